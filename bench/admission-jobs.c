#include <math.h>

#include "admission-fake.h"

#define SHORT_US (50 * WB_US_PER_MS)
#define LONG_US (1 * WB_US_PER_S)
#define STRAGGLER_US (10 * WB_US_PER_S)
#define SHORT_SHARE 0.90
#define LONG_SHARE 0.09
#define MEAN_US (SHORT_SHARE * SHORT_US + LONG_SHARE * LONG_US + 0.01 * STRAGGLER_US)

void
fake_options_init (FakeOptions *options)
{
  *options = (FakeOptions){ .endpoints = 7,
                            .slots = 4,
                            .reserve_short = 1,
                            .class_known = TRUE,
                            .slow = FAKE_NONE,
                            .cold = FAKE_NONE,
                            .misleading = FAKE_NONE,
                            .client_rtt_us = 6 * WB_US_PER_MS,
                            .deadline_us = 10 * WB_US_PER_S,
                            .queue_limit = 256 };
}

static FakeJob
draw_job (gint64 arrival_us, guint tenant, WcClass class, gint64 mean_us, GRand *random)
{
  FakeJob job = { .arrival_us = arrival_us,
                  .class = class,
                  .tenant = tenant,
                  .service_us = (gint64) (mean_us * g_rand_double_range (random, 0.5, 1.5)) };

  job.key = ((guint64) g_rand_int (random) << 32) | g_rand_int (random);
  return job;
}

static FakeJob
draw_mixed_job (gint64 arrival_us, guint tenant, GRand *random)
{
  gdouble kind = g_rand_double (random);

  if (kind < SHORT_SHARE)
    return draw_job (arrival_us, tenant, WC_CLASS_SHORT, SHORT_US, random);
  if (kind < SHORT_SHARE + LONG_SHARE)
    return draw_job (arrival_us, tenant, WC_CLASS_LONG, LONG_US, random);
  return draw_job (arrival_us, tenant, WC_CLASS_LONG, STRAGGLER_US, random);
}

/* Poisson arrivals whose rate changes every 1 to 3 s. */
static gdouble
next_arrival (gdouble now_us,
              gdouble rate,
              const FakeLoad *load,
              gdouble *factor,
              gdouble *factor_until_us,
              GRand *random)
{
  if (now_us >= *factor_until_us)
    {
      *factor = load->swing ? g_rand_double_range (random, 2.0 / 3, 4.0 / 3) : 1;
      *factor_until_us = now_us + g_rand_double_range (random, 1e6, 3e6);
    }
  return now_us - log (1 - g_rand_double (random)) / (rate * *factor);
}

void
fake_jobs_mixed (GArray *jobs, const FakeOptions *options, const FakeLoad *load, GRand *random)
{
  gdouble rate = load->load * options->endpoints * options->slots / MEAN_US;
  gdouble now_us = 0, factor = 1, until_us = 0;

  while ((now_us = next_arrival (now_us, rate, load, &factor, &until_us, random)) <
         options->duration_us)
    {
      FakeJob job = draw_mixed_job ((gint64) now_us, load->tenant, random);

      g_array_append_val (jobs, job);
    }
}

void
fake_jobs_single (GArray *jobs,
                  const FakeOptions *options,
                  const FakeLoad *load,
                  WcClass class,
                  gint64 service_us,
                  GRand *random)
{
  gdouble rate = load->load * options->endpoints * options->slots / service_us;
  gdouble now_us = 0, factor = 1, until_us = 0;

  if (load->load <= 0)
    return;
  while ((now_us = next_arrival (now_us, rate, load, &factor, &until_us, random)) <
         options->duration_us)
    {
      FakeJob job = draw_job ((gint64) now_us, load->tenant, class, service_us, random);

      g_array_append_val (jobs, job);
    }
}

static gint
compare_jobs (gconstpointer a, gconstpointer b)
{
  const FakeJob *left = a;
  const FakeJob *right = b;

  return left->arrival_us < right->arrival_us ? -1 : left->arrival_us > right->arrival_us;
}

void
fake_jobs_sort (GArray *jobs)
{
  g_array_sort (jobs, compare_jobs);
}

FakeResult *
fake_result_new (void)
{
  FakeResult *result = g_new0 (FakeResult, 1);

  result->wait[0] = g_array_new (FALSE, FALSE, sizeof (gint64));
  result->wait[1] = g_array_new (FALSE, FALSE, sizeof (gint64));
  result->refusal_delay = g_array_new (FALSE, FALSE, sizeof (gint64));
  return result;
}

void
fake_result_free (FakeResult *result)
{
  if (result == NULL)
    return;
  g_array_unref (result->wait[0]);
  g_array_unref (result->wait[1]);
  g_array_unref (result->refusal_delay);
  g_free (result);
}

static gint
compare_values (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *) a;
  gint64 right = *(const gint64 *) b;

  return left < right ? -1 : left > right;
}

gdouble
fake_quantile (GArray *values, gdouble quantile)
{
  guint index;

  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_values);
  index = (guint) (quantile * values->len);
  return (gdouble) g_array_index (values, gint64, MIN (index, values->len - 1)) / WB_US_PER_MS;
}
