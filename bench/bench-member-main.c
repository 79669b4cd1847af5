#include "member-net.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

/*
 * Measures membership and the spread of configurations on a simulated network in virtual time.
 *
 * Usage: bench-member [nodes]...; without arguments 50, 200, 800, 3200 and 6100 nodes. A tenth of
 * the nodes are balancers, and each service has 3 agents.
 */

#define SEED 20261204
#define ZONE_COUNT 4
#define ENDPOINTS_PER_SERVICE 3
#define STEP_US (100 * WB_US_PER_MS)
#define IDLE_S 30
#define CHURN_S 60
/* Limits of the measurement of a lost zone; large fleets take longer than either to declare the
 * members of the zone dead one by one. */
#define ZONE_LIMIT_S 120
#define ZONE_LIMIT_LARGE_S 20
#define LARGE_NODE_COUNT 2000

/* 2,132 restarts and failures a day at 6,100 nodes. */
#define RESTARTS_PER_NODE_S (2132.0 / 86400 / 6100)

typedef struct
{
  gdouble bytes_per_s; /* mean of the nodes */
  gdouble cpu_us_per_s;
  gdouble max_bytes_per_s; /* of one node */
} Load;

static guint64
sent_bytes (const MnNode *node)
{
  if (node->core == NULL)
    return 0;
  return wb_counters_get (wm_node_counters (node->core), WM_COUNTER_SENT_BYTES);
}

/* Restarts as many random nodes as the rate asks for in @duration_us; @due_restarts carries the
 * fraction over. The first 3 nodes are contacts and keep running. */
static void
restart_random_nodes (MnNet *net, gdouble *due_restarts, gint64 duration_us)
{
  guint index;

  *due_restarts += RESTARTS_PER_NODE_S * net->node_count * (gdouble) duration_us / WB_US_PER_S;
  while (*due_restarts >= 1)
    {
      *due_restarts -= 1;
      index = (guint) g_rand_int_range (net->random, 3, (gint32) net->node_count);
      wm_node_leave (net->nodes[index].core, net->now_us);
      mn_start (net, index);
    }
}

/* Measures traffic and processor time over @seconds, with or without random restarts. Nodes
 * whose counter of sent bytes did not grow, as after a restart, are left out of the byte counts. */
static Load
measure_load (MnNet *net, guint seconds, gboolean churn)
{
  guint64 *bytes_before = g_new (guint64, net->node_count);
  Load load = { 0 };
  gdouble due_restarts = 0;
  guint i, second, counted = 0;

  for (i = 0; i < net->node_count; i++)
    bytes_before[i] = sent_bytes (&net->nodes[i]);
  net->cpu_ns = 0;
  net->measure_cpu = TRUE;
  for (second = 0; second < seconds; second++)
    {
      if (churn)
        restart_random_nodes (net, &due_restarts, WB_US_PER_S);
      mn_run (net, WB_US_PER_S);
    }
  net->measure_cpu = FALSE;
  for (i = 0; i < net->node_count; i++)
    if (sent_bytes (&net->nodes[i]) > bytes_before[i])
      {
        gdouble bytes_per_s = (gdouble) (sent_bytes (&net->nodes[i]) - bytes_before[i]) / seconds;

        load.bytes_per_s += bytes_per_s;
        load.max_bytes_per_s = MAX (load.max_bytes_per_s, bytes_per_s);
        counted++;
      }
  load.bytes_per_s /= MAX (1, counted);
  load.cpu_us_per_s = (gdouble) net->cpu_ns / 1000 / net->node_count / seconds;
  g_free (bytes_before);
  return load;
}

/* Stops @failed and measures the seconds until half and all of the other nodes, and all endpoints
 * of its service, regard it as dead; -1 when it takes more than 60 s. Then restarts it. */
static void
measure_failure_detection (
    MnNet *net, guint failed, gdouble *half_s, gdouble *all_s, gdouble *peers_s)
{
  gint64 begin_us = net->now_us;
  guint64 service = net->nodes[failed].settings.service_id;
  guint expected = net->node_count - 1;

  *half_s = *all_s = *peers_s = -1;
  mn_kill (net, failed);
  while (*all_s < 0 && net->now_us - begin_us < 60 * WB_US_PER_S)
    {
      gboolean peers_detected = TRUE;
      gdouble now_s;
      guint count, i;

      mn_run (net, STEP_US / 2);
      now_s = (gdouble) (net->now_us - begin_us) / WB_US_PER_S;
      count = mn_count_observers (net, failed, WW_MEMBER_DEAD);
      for (i = 0; i < net->node_count; i++)
        if (net->nodes[i].core != NULL && net->nodes[i].settings.service_id == service)
          peers_detected = peers_detected && mn_member_state (net, i, failed) == WW_MEMBER_DEAD;
      if (*peers_s < 0 && peers_detected)
        *peers_s = now_s;
      if (*half_s < 0 && 2 * count >= expected)
        *half_s = now_s;
      if (count == expected)
        *all_s = now_s;
    }
  mn_start (net, failed);
  mn_run (net, 5 * WB_US_PER_S);
}

/* Returns the seconds until a node that restarts without any state is ready and has the
 * configuration, then waits until nodes that restarted earlier have it too. */
static gdouble
measure_restart (MnNet *net, guint index)
{
  gint64 begin_us = net->now_us;
  gdouble ready_s = -1;

  mn_start (net, index);
  while ((ready_s < 0 || mn_count_config_version (net, 1) < net->node_count) &&
         net->now_us - begin_us < 200 * WB_US_PER_S)
    {
      mn_run (net, STEP_US);
      if (ready_s < 0 && wm_node_ready (net->nodes[index].core) &&
          net->nodes[index].config_version == 1)
        ready_s = (gdouble) (net->now_us - begin_us) / WB_US_PER_S;
    }
  return ready_s;
}

/* Measures the seconds until half and all nodes use a new configuration version; -1 when it takes
 * more than 60 s. */
static void
measure_config_spread (MnNet *net, guint services, gdouble *half_s, gdouble *all_s)
{
  GHashTable *parts = NULL;
  GBytes *root = mn_make_config (services, 2, 1, &parts);
  gint64 begin_us = net->now_us;

  *half_s = *all_s = -1;
  mn_offer_config (net, 0, 2, root, parts);
  while (*all_s < 0 && net->now_us - begin_us < 60 * WB_US_PER_S)
    {
      guint count;

      mn_run (net, STEP_US / 4);
      count = mn_count_config_version (net, 2);
      if (*half_s < 0 && 2 * count >= net->node_count)
        *half_s = (gdouble) (net->now_us - begin_us) / WB_US_PER_S;
      if (count == net->node_count)
        *all_s = (gdouble) (net->now_us - begin_us) / WB_US_PER_S;
    }
  g_hash_table_unref (parts);
  g_bytes_unref (root);
}

/* Returns the number of members of a zone that @observer does not regard as dead. */
static guint
count_remaining (const MnNet *net, guint observer, guint zone)
{
  guint i, count = 0;

  for (i = 0; i < net->node_count; i++)
    if (net->nodes[i].settings.zone == zone)
      count += mn_member_state (net, observer, i) <= WW_MEMBER_SUSPECT;
  return count;
}

/* Stops an availability zone and measures the seconds until all balancers of other zones regard it
 * as lost, and until each of them regards half, and 99%, of its members as dead one by one. */
static void
measure_zone_loss (
    MnNet *net, guint balancers, gdouble *lost_s, gdouble *half_s, gdouble *nearly_all_s)
{
  gint64 begin_us = net->now_us;
  gint64 limit_us =
      (net->node_count > LARGE_NODE_COUNT ? ZONE_LIMIT_LARGE_S : ZONE_LIMIT_S) * WB_US_PER_S;
  guint zone = 2, size = 0, i;

  *lost_s = *half_s = *nearly_all_s = -1;
  for (i = 0; i < net->node_count; i++)
    if (net->nodes[i].settings.zone == zone)
      {
        mn_kill (net, i);
        size++;
      }
  while ((*nearly_all_s < 0 || *lost_s < 0) && net->now_us - begin_us < limit_us)
    {
      gboolean zone_lost = TRUE;
      guint remaining = 0;
      gdouble now_s;

      mn_run (net, net->now_us - begin_us < 10 * WB_US_PER_S ? STEP_US : 10 * STEP_US);
      now_s = (gdouble) (net->now_us - begin_us) / WB_US_PER_S;
      for (i = 0; i < balancers; i++)
        if (net->nodes[i].core != NULL)
          {
            zone_lost = zone_lost && wm_node_zone_lost (net->nodes[i].core, zone);
            remaining = MAX (remaining, count_remaining (net, i, zone));
          }
      if (*lost_s < 0 && zone_lost)
        *lost_s = now_s;
      if (*half_s < 0 && 2 * remaining <= size)
        *half_s = now_s;
      if (*nearly_all_s < 0 && 100 * remaining <= size)
        *nearly_all_s = now_s;
    }
}

static void
bench_fleet (guint count)
{
  guint balancers = MAX (3, count / 10);
  guint services = MAX (1, (count - balancers) / ENDPOINTS_PER_SERVICE);
  gsize heap_bytes_before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  MnNet *net = mn_net_new (count, balancers, ENDPOINTS_PER_SERVICE, ZONE_COUNT, SEED);
  GHashTable *parts = NULL;
  GBytes *root = mn_make_config (services, 1, 0, &parts);
  gdouble half_s, all_s, peers_s, detected_half_s = 0, detected_all_s = 0, detected_peers_s = 0;
  gdouble ready_s, config_half_s, config_all_s, lost_s, zone_half_s, zone_nearly_all_s;
  gsize heap_bytes, config_bytes = 0;
  Load idle, churn;
  guint i;

  mn_start_all (net);
  heap_bytes = mallinfo2 ().uordblks + mallinfo2 ().hblkhd - heap_bytes_before;
  for (i = 0; i < count; i++)
    mn_offer_config (net, i, 1, root, parts);
  config_bytes = mallinfo2 ().uordblks + mallinfo2 ().hblkhd - heap_bytes_before - heap_bytes;
  mn_run (net, 10 * WB_US_PER_S);
  idle = measure_load (net, IDLE_S, FALSE);
  churn = measure_load (net, CHURN_S, TRUE);
  mn_run (net, 20 * WB_US_PER_S);
  for (i = 0; i < 3; i++)
    {
      measure_failure_detection (net, balancers + 7 + i * 11, &half_s, &all_s, &peers_s);
      detected_half_s = MAX (detected_half_s, half_s);
      detected_all_s = all_s < 0 ? all_s : MAX (detected_all_s, all_s);
      detected_peers_s = MAX (detected_peers_s, peers_s);
    }
  ready_s = measure_restart (net, balancers + 1);
  measure_config_spread (net, services, &config_half_s, &config_all_s);
  mn_run (net, 10 * WB_US_PER_S);
  measure_zone_loss (net, balancers, &lost_s, &zone_half_s, &zone_nearly_all_s);
  g_print (
      "| %u | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f + %.0f | %.2f / %.2f / %.2f | %.2f / %.2f "
      "| %u | %.1f | %.1f | %.1f / %.1f |\n",
      count, idle.bytes_per_s, idle.max_bytes_per_s, churn.bytes_per_s, churn.max_bytes_per_s,
      churn.cpu_us_per_s, (gdouble) heap_bytes / count / 1024,
      (gdouble) config_bytes / count / 1024, detected_peers_s, detected_half_s, detected_all_s,
      config_half_s, config_all_s, g_bit_storage (count), ready_s, lost_s, zone_half_s,
      zone_nearly_all_s);
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
    bench_fleet ((guint) atoi (argv[i]));
  for (i = 0; argc == 1 && i < (gint) G_N_ELEMENTS (sizes); i++)
    bench_fleet (sizes[i]);
  return 0;
}
