#include "wm-private.h"

/* When most endpoints of a service fail within this time, the fault may lie with this node or its
 * network: they stay usable until the time is over. */
#define MASS_FAILURE_GRACE_US (10 * WB_US_PER_S)

/* Number of endpoints of one service by state. */
typedef struct
{
  guint reachable;
  guint in_lost_zone;
  guint failed_recently;
} ServiceCounts;

/* Confirmed suspects are avoided like dead members: clients whose flows have their home there would
 * have to wait for the time in which the member may refute. */
static gboolean
has_failed (const WmNode *node, const WmMember *row)
{
  return row->info.state == WW_MEMBER_DEAD || wm_is_unreachable (node, row);
}

static gboolean
failed_recently (const WmNode *node, const WmMember *row)
{
  return has_failed (node, row) && node->now_us - row->since_us < MASS_FAILURE_GRACE_US;
}

static gboolean
is_candidate (const WmNode *node, const WmMember *row, guint64 service_id)
{
  if (row->info.role != WW_ROLE_AGENT || (row->info.flags & WM_MEMBER_NO_SERVER) != 0)
    return FALSE;
  if (service_id != 0 && row->info.service_id != service_id)
    return FALSE;
  if (row->info.state == WW_MEMBER_LEFT)
    return FALSE;
  return !has_failed (node, row) || failed_recently (node, row);
}

/* This endpoint works, whatever other members report about its availability zone. */
static gboolean
in_lost_zone (const WmNode *node, const WmMember *row)
{
  return row->info.id != node->settings.id && wm_node_zone_lost (node, row->info.zone);
}

static void
count_row (const WmNode *node, const WmMember *row, ServiceCounts *counts)
{
  if (has_failed (node, row))
    counts->failed_recently++;
  else if (in_lost_zone (node, row))
    counts->in_lost_zone++;
  else
    counts->reachable++;
}

static GHashTable *
count_services (const WmNode *node, guint64 service_id)
{
  GHashTable *counts_by_service = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  guint i;

  for (i = 0; i < node->rows->len; i++)
    {
      WmMember *row = &g_array_index (node->rows, WmMember, i);
      ServiceCounts *counts;

      if (!is_candidate (node, row, service_id))
        continue;
      counts = g_hash_table_lookup (counts_by_service, &row->info.service_id);
      if (counts == NULL)
        {
          counts = g_new0 (ServiceCounts, 1);
          g_hash_table_insert (counts_by_service, &row->info.service_id, counts);
        }
      count_row (node, row, counts);
    }
  return counts_by_service;
}

static gboolean
is_usable (const WmNode *node, const WmMember *row, const ServiceCounts *counts)
{
  guint total = counts->reachable + counts->in_lost_zone + counts->failed_recently;

  if (has_failed (node, row))
    return counts->failed_recently * 2 > total && !in_lost_zone (node, row);
  return counts->reachable == 0 || !in_lost_zone (node, row);
}

GArray *
wm_node_usable_endpoints (const WmNode *node, guint64 service_id)
{
  g_autoptr (GHashTable) counts_by_service = count_services (node, service_id);
  GArray *members = g_array_new (FALSE, FALSE, sizeof (ww_member));
  guint i;

  for (i = 0; i < node->rows->len; i++)
    {
      const WmMember *row = &g_array_index (node->rows, WmMember, i);

      if (is_candidate (node, row, service_id) &&
          is_usable (node, row, g_hash_table_lookup (counts_by_service, &row->info.service_id)))
        g_array_append_vals (members, &row->info, 1);
    }
  return members;
}

static guint64
lost_zones (const WmNode *node)
{
  guint64 lost = 0;
  guint i;

  for (i = 0; i < node->zones->len; i++)
    if (wm_node_zone_lost (node, g_array_index (node->zones, WmZone, i).zone))
      lost |= G_GUINT64_CONSTANT (1) << i;
  return lost;
}

/* Reports changes that come with time alone: the loss of an availability zone, and the end of the
 * grace time after a mass failure. */
void
wm_usable_tick (WmNode *node)
{
  WmUsableSnapshot *usable = &node->usable_snapshot;
  guint64 lost = lost_zones (node);

  if (node->state_counts[WW_MEMBER_DEAD] > usable->n_dead)
    usable->recheck_us = node->now_us + MASS_FAILURE_GRACE_US;
  usable->n_dead = node->state_counts[WW_MEMBER_DEAD];
  if (lost == usable->lost_zones && node->now_us < usable->recheck_us)
    return;
  if (node->now_us >= usable->recheck_us)
    usable->recheck_us = WB_NEVER;
  usable->lost_zones = lost;
  node->change_pending = TRUE;
}
