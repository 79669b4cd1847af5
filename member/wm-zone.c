#include "wm-private.h"

#include <string.h>

/* Limit of the table; a configuration has a few availability zones. */
#define MAX_ZONES 64
#define SWEEP_INTERVAL_US (2 * WB_US_PER_S)
/* Reporters repeat their evidence while the zone is unreachable; it expires after they have
 * stopped.
 */
#define REPORT_INTERVAL_US (10 * WB_US_PER_S)
#define EVIDENCE_LIFETIME_US (30 * WB_US_PER_S)
/* A zone is not lost when one of its members was heard from within this time. */
#define UNREACHABLE_MIN_US (2 * WB_US_PER_S)

static WmZone *
find_zone (const WmNode *node, guint32 zone)
{
  guint i;

  for (i = 0; i < node->zones->len; i++)
    if (g_array_index (node->zones, WmZone, i).zone == zone)
      return &g_array_index (node->zones, WmZone, i);
  return NULL;
}

static WmZone *
find_or_add_zone (WmNode *node, guint32 zone)
{
  WmZone *found = find_zone (node, zone);
  WmZone new_zone = { .zone = zone,
                      .reachable_us = node->now_us,
                      .next_sweep_us = node->now_us,
                      .next_report_us = node->now_us };

  if (found != NULL || node->zones->len >= MAX_ZONES)
    return found;
  g_array_append_val (node->zones, new_zone);
  return find_zone (node, zone);
}

/* Called when a member of the zone has replied or sent gossip. */
void
wm_zone_mark_reachable (WmNode *node, guint32 zone)
{
  WmZone *found = find_or_add_zone (node, zone);
  guint i;

  if (found == NULL)
    return;
  found->reachable_us = node->now_us;
  found->n_failed = 0;
  /* Earlier reports no longer count. */
  for (i = 0; i < found->n_reporters; i++)
    found->reporters[i].reported_us = node->now_us - EVIDENCE_LIFETIME_US;
}

static void
add_reporter (WmNode *node, WmZone *zone, guint64 id, guint32 reporter_zone, guint32 sequence)
{
  WmZoneReporter *reporter = NULL;
  guint i;

  for (i = 0; i < zone->n_reporters; i++)
    {
      WmZoneReporter *other = &zone->reporters[i];

      if (other->id == id)
        {
          if (sequence <= other->sequence)
            return;
          reporter = other;
          break;
        }
      if (node->now_us - other->reported_us >= EVIDENCE_LIFETIME_US)
        reporter = other;
    }
  if (reporter == NULL)
    {
      /* Further reporters are neither stored nor passed on. */
      if (zone->n_reporters == WM_ZONE_REPORTERS)
        return;
      reporter = &zone->reporters[zone->n_reporters++];
    }
  *reporter = (WmZoneReporter){ id, reporter_zone, sequence, node->now_us };
  wb_counters_add (node->counters, WM_COUNTER_ZONE_EVIDENCE, 1);
  node->change_pending = TRUE;
  wm_gossip_push_zone (node, zone->zone, id);
}

static void
report_if_due (WmNode *node, WmZone *zone)
{
  if (zone->n_failed < WM_ZONE_MIN_FAILED || node->now_us < zone->next_report_us)
    return;
  zone->next_report_us = node->now_us + REPORT_INTERVAL_US;
  zone->sequence++;
  add_reporter (node, zone, node->settings.id, node->settings.zone, zone->sequence);
}

/* Return: whether further members of the zone are to be probed */
gboolean
wm_zone_probe_failed (WmNode *node, const WmMember *row)
{
  WmZone *zone = find_or_add_zone (node, row->info.zone);
  guint i;

  if (zone == NULL || row->info.zone == node->settings.zone)
    return FALSE;
  for (i = 0; i < zone->n_failed && zone->failed_ids[i] != row->info.id; i++)
    ;
  if (i == zone->n_failed && i < WM_ZONE_MIN_FAILED)
    zone->failed_ids[zone->n_failed++] = row->info.id;
  report_if_due (node, zone);
  if (node->now_us < zone->next_sweep_us || zone->n_failed >= WM_ZONE_MIN_FAILED)
    return FALSE;
  zone->next_sweep_us = node->now_us + SWEEP_INTERVAL_US;
  return TRUE;
}

void
wm_zone_apply_evidence (WmNode *node, const ww_zone_evidence *evidence)
{
  const WmMember *reporter = wm_find (node, evidence->reporter_id);
  WmZone *zone = find_zone (node, evidence->zone);

  /* A zone without known members does not matter. */
  if (reporter == NULL || zone == NULL || evidence->reporter_zone == evidence->zone ||
      reporter->info.zone != evidence->reporter_zone || evidence->reporter_id == node->settings.id)
    return;
  add_reporter (node, zone, evidence->reporter_id, evidence->reporter_zone, evidence->sequence);
}

gboolean
wm_zone_get_evidence (const WmNode *node,
                      guint32 zone,
                      guint64 reporter,
                      ww_zone_evidence *evidence)
{
  const WmZone *found = find_zone (node, zone);
  guint i;

  for (i = 0; found != NULL && i < found->n_reporters; i++)
    if (found->reporters[i].id == reporter &&
        node->now_us - found->reporters[i].reported_us < EVIDENCE_LIFETIME_US)
      {
        *evidence = (ww_zone_evidence){ .zone = zone,
                                        .reporter_id = reporter,
                                        .reporter_zone = found->reporters[i].zone,
                                        .sequence = found->reporters[i].sequence };
        return TRUE;
      }
  return FALSE;
}

/* Adds the evidence of randomly chosen reporters on zones in which probes of this node failed too.
 * It has precedence over other items, of which there are many when a zone is lost. */
guint
wm_zone_fill_gossip (WmNode *node, ww_gossip_item *items, guint max)
{
  guint count = 0;
  guint i, j;

  for (i = 0; i < node->zones->len && count < max; i++)
    {
      const WmZone *zone = &g_array_index (node->zones, WmZone, i);
      guint first;

      if (zone->n_reporters == 0 || zone->n_failed == 0)
        continue;
      first = (guint) g_rand_int_range (node->random, 0, (gint32) zone->n_reporters);
      for (j = 0; j < zone->n_reporters && count < max; j++)
        {
          guint64 id = zone->reporters[(first + j) % zone->n_reporters].id;

          items[count].kind = WW_GOSSIP_ZONE;
          count += wm_zone_get_evidence (node, zone->zone, id, &items[count].ww_gossip_item_u.zone);
        }
    }
  return count;
}

/* Whether enough reporters in at least two other zones, or all when there are fewer, report the
 * zone as unreachable. */
gboolean
wm_zone_has_enough_evidence (const WmNode *node, guint32 zone)
{
  const WmZone *found = find_zone (node, zone);
  guint reporter_zones = 0, count = 0, other_zones, i, j;

  if (found == NULL || found->n_reporters < WM_ZONE_MIN_REPORTERS)
    return FALSE;
  for (i = 0; i < found->n_reporters; i++)
    {
      const WmZoneReporter *reporter = &found->reporters[i];

      if (node->now_us - reporter->reported_us >= EVIDENCE_LIFETIME_US)
        continue;
      count++;
      for (j = 0; j < i && found->reporters[j].zone != reporter->zone; j++)
        ;
      reporter_zones += j == i;
    }
  other_zones = node->zones->len - 1;
  return count >= WM_ZONE_MIN_REPORTERS && reporter_zones >= MIN (2, other_zones);
}

gboolean
wm_node_zone_lost (const WmNode *node, guint32 zone)
{
  const WmZone *found = find_zone (node, zone);

  return found != NULL && node->now_us - found->reachable_us >= UNREACHABLE_MIN_US &&
         wm_zone_has_enough_evidence (node, zone);
}
