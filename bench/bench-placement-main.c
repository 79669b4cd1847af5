#include <stdlib.h>

#include "admission-fake.h"

#define LOAD 0.8
#define SEED 20261204

typedef struct
{
  const gchar *name;
  WaPolicy policy;
  gboolean central;
  gboolean central_by_class;
  gboolean central_ideal;
} Policy;

typedef struct
{
  const gchar *name;
  gboolean class_known;
  gboolean slow;
  gboolean cold;
  gboolean misleading;
} Variant;

typedef struct
{
  guint endpoints;
  guint slots;
} Size;

static const Policy policies[] = {
  { "hash only", WA_POLICY_HASH },
  { "next rank when full", WA_POLICY_NEXT_RANK },
  { "best of 3", WA_POLICY_BEST_OF_THREE },
  { "full, no reserve", WA_POLICY_NO_RESERVE },
  { "full", WA_POLICY_FULL },
  { "central, first come", .central = TRUE },
  { "central, short first", .central = TRUE, .central_by_class = TRUE },
  { "central, ideal", .central = TRUE, .central_by_class = TRUE, .central_ideal = TRUE },
};

static const Variant variants[] = {
  { "class known", .class_known = TRUE },
  { "class unknown" },
  { "class known, one slow endpoint", .class_known = TRUE, .slow = TRUE },
  { "class unknown, one slow endpoint", .slow = TRUE },
  { "class known, one cold start", .class_known = TRUE, .cold = TRUE },
  { "class unknown, one cold start", .cold = TRUE },
  { "class known, one misleading endpoint", .class_known = TRUE, .misleading = TRUE },
  { "class unknown, one misleading endpoint", .misleading = TRUE },
};

static const Size sizes[] = { { 7, 4 }, { 3, 4 }, { 7, 7 }, { 4, 7 } };

/* A cold start is measured over many short runs, because it lasts 10 s. */
static FakeResult *
run (const Size *size, const Variant *variant, const Policy *policy, guint total_s)
{
  FakeResult *result = fake_result_new ();
  FakeLoad load = { .load = LOAD, .swing = TRUE };
  FakeOptions options;
  guint run_s = variant->cold ? 15 : 60;
  guint runs = MAX (1, total_s / run_s);
  guint i;

  fake_options_init (&options);
  options.endpoints = size->endpoints;
  options.slots = size->slots;
  options.policy = policy->policy;
  options.central = policy->central;
  options.central_by_class = policy->central_by_class;
  options.central_ideal = policy->central_ideal;
  options.class_known = variant->class_known;
  options.slow = variant->slow ? 0 : FAKE_NONE;
  options.cold = variant->cold ? 0 : FAKE_NONE;
  options.misleading = variant->misleading ? 0 : FAKE_NONE;
  options.deadline_us = 3600 * WB_US_PER_S;
  options.queue_limit = 100000;
  options.warmup_us = variant->cold ? 0 : 5 * WB_US_PER_S;
  options.duration_us = run_s * WB_US_PER_S;
  for (i = 0; i < runs; i++)
    {
      g_autoptr (GArray) jobs = g_array_new (FALSE, FALSE, sizeof (FakeJob));
      g_autoptr (GRand) random = g_rand_new_with_seed (SEED + i);

      fake_jobs_mixed (jobs, &options, &load, random);
      fake_jobs_sort (jobs);
      fake_run (&options, jobs, SEED + 1000 * i, result);
    }
  return result;
}

static void
print_row (const Policy *policy, FakeResult *result)
{
  guint64 flows = MAX (1, result->flows);

  g_print ("| %-22s | %6.3f | %5.3f | %7.1f | %7.1f | %8.1f | %8.1f | %5.2f | %6.2f | %6.0f |\n",
           policy->name, result->sum_maximum / result->sum_mean,
           result->sum_deviation / result->sum_mean, fake_quantile (result->wait[0], 0.5),
           fake_quantile (result->wait[0], 0.99), fake_quantile (result->wait[0], 0.999),
           fake_quantile (result->wait[1], 0.99),
           (gdouble) result->extra_hops / MAX (1, result->packets),
           (gdouble) result->messages / flows, (gdouble) result->message_bytes / flows);
}

static void
print_target (const gchar *name, gdouble value, gdouble reference, gdouble factor)
{
  g_print ("  %s: %.3f, reference %.3f, limit %.3f: %s\n", name, value, reference,
           factor * reference, value <= factor * reference ? "met" : "MISSED");
}

static void
compare (const Size *size, const Variant *variant, guint total_s)
{
  FakeResult *results[G_N_ELEMENTS (policies)];
  const FakeResult *full, *central;
  guint i;

  g_print ("\n%ux%u, %s\n", size->endpoints, size->slots, variant->name);
  g_print ("| policy                 | max/mn |   cv  | p50 sh. | p99 sh. | p99.9 sh | p99 long | "
           "hops  | msgs   | bytes  |\n");
  g_print ("|---|---|---|---|---|---|---|---|---|---|\n");
  for (i = 0; i < G_N_ELEMENTS (policies); i++)
    {
      results[i] = run (size, variant, &policies[i], total_s);
      print_row (&policies[i], results[i]);
    }
  full = results[4];
  central = results[6];
  print_target ("imbalance", full->sum_maximum / full->sum_mean,
                central->sum_maximum / central->sum_mean, 1.25);
  print_target ("p99 short wait, ms, against short first", fake_quantile (full->wait[0], 0.99),
                fake_quantile (central->wait[0], 0.99), variant->class_known ? 1.0 : 1.5);
  if (!variant->class_known)
    print_target ("p99 short wait, ms, against first come", fake_quantile (full->wait[0], 0.99),
                  fake_quantile (results[5]->wait[0], 0.99), 1.5);
  for (i = 0; i < G_N_ELEMENTS (policies); i++)
    fake_result_free (results[i]);
}

/* Arguments: seconds of virtual time for each row, 600 by default, and the index of the only
 * variant to run. */
int
main (int argc, char **argv)
{
  guint total_s = argc > 1 ? (guint) MAX (60, strtol (argv[1], NULL, 10)) : 600;
  guint only = argc > 2 ? (guint) strtol (argv[2], NULL, 10) : FAKE_NONE;
  guint i, j;

  g_print ("load %.0f%%, %u s of virtual time for each row, seed %d\n", 100 * LOAD, total_s, SEED);
  g_print ("waits in ms; hops: extra hops per packet; msgs, bytes: peer messages and their bytes "
           "per new flow\n");
  for (j = 0; j < G_N_ELEMENTS (variants); j++)
    for (i = 0; i < G_N_ELEMENTS (sizes); i++)
      if (only == FAKE_NONE || only == j)
        compare (&sizes[i], &variants[j], total_s);
  return 0;
}
