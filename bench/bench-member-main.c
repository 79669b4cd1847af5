#include "member-net.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

/*
 * Measures membership and the spread of configurations with encoded messages under virtual time.
 *
 * Usage: bench-member [nodes]...; without arguments 50, 200, 800, 3200 and 6100 nodes. A tenth of
 * the nodes are balancers, and 3 agents serve one service, as in section 1.5 of the design page.
 */

#define SEED 20261204
#define ZONES 4
#define SERVICE_SIZE 3
#define STEP_US (100 * WB_US_PER_MS)
#define REST_S 30
#define CHURN_S 60
/* Large fleets take longer than either to declare a zone's members dead one by one. */
#define ZONE_LIMIT_S 120
#define ZONE_LIMIT_LARGE_S 20
#define LARGE 2000

/* 2,132 restarts and failures a day at 6,100 nodes. */
#define CHURN_PER_NODE_S (2132.0 / 86400 / 6100)

typedef struct
{
  gdouble bytes;
  gdouble cpu_us;
  gdouble most_bytes;
} Load;

static guint64
sent_bytes (const MnNode *node)
{
  if (node->core == NULL)
    return 0;
  return wb_counters_get (wm_node_counters (node->core), WM_COUNTER_SENT_BYTES);
}

static void
churn_step (MnNet *net, gdouble *due, gint64 duration_us)
{
  guint index;

  *due += CHURN_PER_NODE_S * net->count * (gdouble) duration_us / WB_US_PER_S;
  while (*due >= 1)
    {
      *due -= 1;
      index = (guint) g_rand_int_range (net->random, 3, (gint32) net->count);
      wm_node_leave (net->nodes[index].core, net->now_us);
      mn_start (net, index);
    }
}

/* Runs for @seconds with or without churn; nodes that restarted are left out of the byte counts. */
static Load
measure_load (MnNet *net, guint seconds, gboolean churn)
{
  guint64 *before = g_new (guint64, net->count);
  Load load = { 0 };
  gdouble due = 0;
  guint i, second, counted = 0;

  for (i = 0; i < net->count; i++)
    before[i] = sent_bytes (&net->nodes[i]);
  net->cpu_ns = 0;
  net->measure_cpu = TRUE;
  for (second = 0; second < seconds; second++)
    {
      if (churn)
        churn_step (net, &due, WB_US_PER_S);
      mn_run (net, WB_US_PER_S);
    }
  net->measure_cpu = FALSE;
  for (i = 0; i < net->count; i++)
    if (sent_bytes (&net->nodes[i]) > before[i])
      {
        gdouble bytes = (gdouble) (sent_bytes (&net->nodes[i]) - before[i]) / seconds;

        load.bytes += bytes;
        load.most_bytes = MAX (load.most_bytes, bytes);
        counted++;
      }
  load.bytes /= MAX (1, counted);
  load.cpu_us = (gdouble) net->cpu_ns / 1000 / net->count / seconds;
  g_free (before);
  return load;
}

/* Seconds until half and all of the running nodes take @victim for dead. */
static void
measure_death (MnNet *net, guint victim, gdouble *half_s, gdouble *all_s, gdouble *peers_s)
{
  gint64 begin_us = net->now_us;
  guint64 service = net->nodes[victim].settings.service_id;
  guint target = net->count - 1;

  *half_s = *all_s = *peers_s = -1;
  mn_kill (net, victim);
  while (*all_s < 0 && net->now_us - begin_us < 60 * WB_US_PER_S)
    {
      gboolean peers = TRUE;
      gdouble now_s;
      guint count, i;

      mn_run (net, STEP_US / 2);
      now_s = (gdouble) (net->now_us - begin_us) / WB_US_PER_S;
      count = mn_count_views (net, victim, WW_MEMBER_DEAD);
      for (i = 0; i < net->count; i++)
        if (net->nodes[i].core != NULL && net->nodes[i].settings.service_id == service)
          peers = peers && mn_state (net, i, victim) == WW_MEMBER_DEAD;
      if (*peers_s < 0 && peers)
        *peers_s = now_s;
      if (*half_s < 0 && 2 * count >= target)
        *half_s = now_s;
      if (count == target)
        *all_s = now_s;
    }
  mn_start (net, victim);
  mn_run (net, 5 * WB_US_PER_S);
}

/* Seconds until a node that restarts without any state is ready, and has the configuration; the
 * other nodes that restarted before get time to do so too. */
static gdouble
measure_start (MnNet *net, guint index)
{
  gint64 begin_us = net->now_us;
  gdouble ready_s = -1;

  mn_start (net, index);
  while ((ready_s < 0 || mn_count_applied (net, 1) < net->count) &&
         net->now_us - begin_us < 200 * WB_US_PER_S)
    {
      mn_run (net, STEP_US);
      if (ready_s < 0 && wm_node_ready (net->nodes[index].core) && net->nodes[index].applied == 1)
        ready_s = (gdouble) (net->now_us - begin_us) / WB_US_PER_S;
    }
  return ready_s;
}

static void
measure_config (MnNet *net, guint services, gdouble *half_s, gdouble *all_s)
{
  GHashTable *parts = NULL;
  GBytes *root = mn_config (services, 2, 1, &parts);
  gint64 begin_us = net->now_us;

  *half_s = *all_s = -1;
  mn_offer (net, 0, 2, root, parts);
  while (*all_s < 0 && net->now_us - begin_us < 60 * WB_US_PER_S)
    {
      guint count;

      mn_run (net, STEP_US / 4);
      count = mn_count_applied (net, 2);
      if (*half_s < 0 && 2 * count >= net->count)
        *half_s = (gdouble) (net->now_us - begin_us) / WB_US_PER_S;
      if (count == net->count)
        *all_s = (gdouble) (net->now_us - begin_us) / WB_US_PER_S;
    }
  g_hash_table_unref (parts);
  g_bytes_unref (root);
}

static guint
endpoints_left (const MnNet *net, guint viewer, guint zone)
{
  guint i, count = 0;

  for (i = 0; i < net->count; i++)
    if (net->nodes[i].settings.zone == zone)
      count += mn_state (net, viewer, i) <= WW_MEMBER_SUSPECT;
  return count;
}

/* Seconds until all balancers outside the zone rank it last by evidence, and until each of them has
 * declared half, and 99%, of its members dead, which is what remains without evidence. */
static void
measure_zone (MnNet *net, guint balancers, gdouble *evidence_s, gdouble *half_s, gdouble *most_s)
{
  gint64 begin_us = net->now_us;
  gint64 limit_us = (net->count > LARGE ? ZONE_LIMIT_LARGE_S : ZONE_LIMIT_S) * WB_US_PER_S;
  guint zone = 2, size = 0, i;

  *evidence_s = *half_s = *most_s = -1;
  for (i = 0; i < net->count; i++)
    if (net->nodes[i].settings.zone == zone)
      {
        mn_kill (net, i);
        size++;
      }
  while ((*most_s < 0 || *evidence_s < 0) && net->now_us - begin_us < limit_us)
    {
      gboolean lost = TRUE;
      guint left = 0;
      gdouble now_s;

      mn_run (net, net->now_us - begin_us < 10 * WB_US_PER_S ? STEP_US : 10 * STEP_US);
      now_s = (gdouble) (net->now_us - begin_us) / WB_US_PER_S;
      for (i = 0; i < balancers; i++)
        if (net->nodes[i].core != NULL)
          {
            lost = lost && wm_node_zone_lost (net->nodes[i].core, zone);
            left = MAX (left, endpoints_left (net, i, zone));
          }
      if (*evidence_s < 0 && lost)
        *evidence_s = now_s;
      if (*half_s < 0 && 2 * left <= size)
        *half_s = now_s;
      if (*most_s < 0 && 100 * left <= size)
        *most_s = now_s;
    }
}

static void
run (guint count)
{
  guint balancers = MAX (3, count / 10);
  guint services = MAX (1, (count - balancers) / SERVICE_SIZE);
  gsize heap_before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  MnNet *net = mn_net_new (count, balancers, SERVICE_SIZE, ZONES, SEED);
  GHashTable *parts = NULL;
  GBytes *root = mn_config (services, 1, 0, &parts);
  gdouble half_s, all_s, peers_s, death_half_s = 0, death_all_s = 0, death_peers_s = 0;
  gdouble start_s, config_half_s, config_all_s, evidence_s, zone_half_s, zone_most_s;
  gsize heap, config_bytes = 0;
  Load rest, churn;
  guint i;

  mn_start_all (net);
  heap = mallinfo2 ().uordblks + mallinfo2 ().hblkhd - heap_before;
  for (i = 0; i < count; i++)
    mn_offer (net, i, 1, root, parts);
  config_bytes = mallinfo2 ().uordblks + mallinfo2 ().hblkhd - heap_before - heap;
  mn_run (net, 10 * WB_US_PER_S);
  rest = measure_load (net, REST_S, FALSE);
  churn = measure_load (net, CHURN_S, TRUE);
  mn_run (net, 20 * WB_US_PER_S);
  for (i = 0; i < 3; i++)
    {
      measure_death (net, balancers + 7 + i * 11, &half_s, &all_s, &peers_s);
      death_half_s = MAX (death_half_s, half_s);
      death_all_s = all_s < 0 ? all_s : MAX (death_all_s, all_s);
      death_peers_s = MAX (death_peers_s, peers_s);
    }
  start_s = measure_start (net, balancers + 1);
  measure_config (net, services, &config_half_s, &config_all_s);
  mn_run (net, 10 * WB_US_PER_S);
  measure_zone (net, balancers, &evidence_s, &zone_half_s, &zone_most_s);
  g_print (
      "| %u | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f + %.0f | %.2f / %.2f / %.2f | %.2f / %.2f "
      "| %u | %.1f | %.1f | %.1f / %.1f |\n",
      count, rest.bytes, rest.most_bytes, churn.bytes, churn.most_bytes, churn.cpu_us,
      (gdouble) heap / count / 1024, (gdouble) config_bytes / count / 1024, death_peers_s,
      death_half_s, death_all_s, config_half_s, config_all_s, g_bit_storage (count), start_s,
      evidence_s, zone_half_s, zone_most_s);
  g_hash_table_unref (parts);
  g_bytes_unref (root);
  mn_net_free (net);
  malloc_trim (0);
}

int
main (int argc, char **argv)
{
  static const guint sizes[] = { 50, 200, 800, 3200, 6100 };
  gint i;

  g_print ("seed %u\n\n", SEED);
  g_print ("| nodes | B/s at rest, mean | most | B/s with churn, mean | most | CPU us per s "
           "| KiB: members + config | death s: peers / half / all | config s: half / all "
           "| log2 n | restart to ready s | zone last s, evidence | zone dead s without it: half / "
           "99%% |\n");
  g_print ("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (i = 1; i < argc; i++)
    run ((guint) atoi (argv[i]));
  for (i = 0; argc == 1 && i < (gint) G_N_ELEMENTS (sizes); i++)
    run (sizes[i]);
  return 0;
}
