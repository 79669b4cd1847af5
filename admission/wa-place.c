#include "wa-private.h"

/* Loads of endpoints without a usable report; all are above that of any report. */
#define DISTRUSTED_LOAD (G_MAXUINT64 - 4)
#define NO_REPLY_LOAD (G_MAXUINT64 - 3)
#define LAST_RESORT_LOAD (G_MAXUINT64 - 2)
#define EVACUATED_LOAD (G_MAXUINT64 - 1)

/* Load of an endpoint whose slots are all in use: 1000 thousandths in the upper 32 bits. */
#define FULL_LOAD ((guint64) 1000 << 32)

/* Age up to which a report of a free slot is used when all candidates are full. */
#define FREE_SLOT_REPORT_MAX_AGE_US (1 * WB_US_PER_S)

/* Return: busy slots and queued entries in thousandths of the slots, in the upper 32 bits. Flows
 * that were placed since the query are added, because the report does not contain them. Queued long
 * work does not delay short work: for a short flow it is in the lower 32 bits, to decide between
 * equals. */
static guint64
load_from_report (const ww_occupancy *report, WaLevel level, guint placed_since)
{
  guint64 work = (guint64) report->busy + report->waiting_short + placed_since;
  guint64 slots = MAX (1, report->slots);

  if (level == WA_LEVEL_LONG)
    return ((work + report->waiting_long) * 1000 / slots) << 32;
  return ((work * 1000 / slots) << 32) | report->waiting_long;
}

/* Endpoints with a usable report come first, then distrusted ones, then those that have not
 * replied, and then those that are draining or suspected or whose server does not answer. All but
 * the first count as full. A candidate whose zone was evacuated after the query is chosen only when
 * that is true of all; it passes the flow on. */
static guint64
candidate_load (WaAdmission *admission, const WaCandidate *candidate, WaLevel level, gint64 now_us)
{
  ww_occupancy report;
  guint placed_since = 0;
  const WaPeer *peer = NULL;

  if (candidate->id == admission->self_id)
    report = wa_admission_occupancy (admission, now_us);
  else
    {
      peer = wa_peer_find (admission, candidate->id);
      if (peer != NULL && peer->evacuated)
        return EVACUATED_LOAD;
      if (peer == NULL || !candidate->replied)
        return NO_REPLY_LOAD;
      report = peer->report;
      placed_since = peer->placed_count - candidate->placed_at_query;
    }
  if (candidate->last_resort ||
      (report.flags & (WA_OCCUPANCY_DRAINING | WA_OCCUPANCY_NOT_ANSWERING)) != 0)
    return LAST_RESORT_LOAD;
  if (peer != NULL && wa_health_peer_distrusted (peer, now_us))
    return DISTRUSTED_LOAD;
  return load_from_report (&report, level, placed_since);
}

/* Return: the load with its work counted by @factor in thousandths; the decision between equals in
 * the lower 32 bits stays. */
static guint64
scale_load (guint64 load, guint factor)
{
  if (load >= DISTRUSTED_LOAD)
    return load;
  return ((load >> 32) * factor / WA_SPEED_NORMAL) << 32 | (load & G_MAXUINT32);
}

static void
placement_free (WaAdmission *admission, WaPlacement *placement)
{
  WbHandle flow = placement->flow;

  g_queue_unlink (&admission->pending_placements, &placement->link);
  g_hash_table_remove (admission->placements, &flow);
}

static void
place_flow (WaAdmission *admission, WbHandle flow, guint32 entry_zone, guint64 id)
{
  WaPeer *peer = wa_peer_find (admission, id);
  guint32 zone = peer != NULL ? peer->zone : admission->zone;

  if (peer != NULL)
    peer->placed_count++;
  if (entry_zone != 0)
    wb_counters_add (admission->counters,
                     zone == entry_zone ? WA_COUNTER_PLACED_IN_ZONE : WA_COUNTER_PLACED_OUT_OF_ZONE,
                     1);
  wb_counters_add (admission->counters,
                   id == admission->self_id ? WA_COUNTER_PLACED_SELF : WA_COUNTER_PLACED_PEER, 1);
  admission->callbacks.place (admission->callbacks.context, flow, id);
}

/* Return: the peer of @zone, or of any zone for 0, that most recently reported a free slot for the
 * level, or NULL. When all candidates are full, placing on that peer still beats queueing: if the
 * report is outdated, it costs only the offer and the pull that would have followed anyway. */
static WaPeer *
find_peer_with_free_slot (const WaAdmission *admission, WaLevel level, guint32 zone, gint64 now_us)
{
  guint reserved = level == WA_LEVEL_SHORT ? 0 : admission->reserve_short;
  gint64 latest_us = MAX (1, now_us - FREE_SLOT_REPORT_MAX_AGE_US);
  WaPeer *latest = NULL;
  guint i;

  for (i = 0; i < admission->peers->len; i++)
    {
      WaPeer *peer = g_ptr_array_index (admission->peers, i);
      const ww_occupancy *report = &peer->report;

      if (peer->reported_us < latest_us || report->busy + reserved >= report->slots ||
          (zone != 0 && peer->zone != zone) || report->waiting_short > 0 || peer->draining ||
          peer->suspected || peer->evacuated ||
          (report->flags & (WA_OCCUPANCY_DRAINING | WA_OCCUPANCY_NOT_ANSWERING)) != 0 ||
          wa_health_peer_distrusted (peer, now_us))
        continue;
      latest = peer;
      latest_us = peer->reported_us;
    }
  return latest;
}

/* Queries the candidates from @first on. Return: the number of queries. */
static guint
send_queries (WaAdmission *admission, WaPlacement *placement, guint first, gint64 now_us)
{
  ww_peer_body body = { .kind = WW_PEER_OCCUPANCY_REQUEST };
  guint64 queried_ids[WA_MAX_QUERIES];
  guint count = 0;
  guint i;

  body.ww_peer_body_u.occupancy_request.request_id = placement->request_id;
  body.ww_peer_body_u.occupancy_request.occupancy = wa_admission_occupancy (admission, now_us);
  for (i = first; i < placement->candidate_count && count < WA_MAX_QUERIES; i++)
    {
      WaCandidate *candidate = &placement->candidates[i];
      const WaPeer *peer = wa_peer_find (admission, candidate->id);

      if (peer == NULL)
        continue;
      candidate->placed_at_query = peer->placed_count;
      candidate->reply_expected = TRUE;
      queried_ids[count++] = candidate->id;
    }
  placement->missing_replies = count;
  /* Sent after all are counted, because a reply may arrive before the callback returns. The last
   * one frees the placement. */
  for (i = 0; i < count; i++)
    wa_peer_send (admission, queried_ids[i], &body);
  return count;
}

static void finish_placement (WaAdmission *admission, WaPlacement *placement, gint64 now_us);

/* All endpoints of the entry zone that are known to the placement are full: queries those of other
 * zones, and decides again when they have replied. */
static void
query_other_zones (WaAdmission *admission, WaPlacement *placement, gint64 now_us)
{
  guint first = placement->candidate_count;
  guint i;

  for (i = 0; i < first; i++)
    placement->candidates[i].reply_expected = FALSE;
  for (i = 0; i < placement->other_zone_count; i++)
    placement->candidates[placement->candidate_count++] = placement->other_zones[i];
  placement->other_zone_count = 0;
  placement->expires_us = now_us + WA_QUERY_TIMEOUT_US;
  g_queue_unlink (&admission->pending_placements, &placement->link);
  g_queue_push_tail_link (&admission->pending_placements, &placement->link);
  if (send_queries (admission, placement, first, now_us) == 0)
    finish_placement (admission, placement, now_us);
}

static void
finish_placement (WaAdmission *admission, WaPlacement *placement, gint64 now_us)
{
  guint64 lowest_load = G_MAXUINT64;
  guint64 chosen = placement->candidates[0].id;
  guint32 entry_zone = placement->entry_zone;
  WbHandle flow = placement->flow;
  WaPeer *peer = NULL;
  guint i;

  for (i = 0; i < placement->candidate_count; i++)
    {
      guint64 load =
          candidate_load (admission, &placement->candidates[i], placement->level, now_us);

      load =
          scale_load (load, wa_health_work_factor (admission, placement->candidates[i].id, now_us));
      if (load >= lowest_load)
        continue;
      lowest_load = load;
      chosen = placement->candidates[i].id;
    }
  if (lowest_load >= FULL_LOAD)
    peer = find_peer_with_free_slot (admission, placement->level, entry_zone, now_us);
  if (lowest_load >= FULL_LOAD && peer == NULL && placement->other_zone_count > 0)
    {
      query_other_zones (admission, placement, now_us);
      return;
    }
  if (lowest_load >= FULL_LOAD && peer == NULL && entry_zone != 0)
    peer = find_peer_with_free_slot (admission, placement->level, 0, now_us);
  placement_free (admission, placement);
  if (peer != NULL)
    peer->report.busy++;
  place_flow (admission, flow, entry_zone, peer != NULL ? peer->id : chosen);
}

/* Chooses the first endpoints of @zone in rank order that are neither suspected nor draining. */
static guint
choose_in_zone (const WaAdmission *admission,
                const WaEndpoint *ranked,
                guint count,
                gboolean allow_self,
                guint32 zone,
                WaCandidate *candidates)
{
  guint found = 0;
  guint i;

  for (i = 0; i < count && found < WA_MAX_CANDIDATES; i++)
    {
      gboolean self = ranked[i].id == admission->self_id;

      if (ranked[i].zone == zone && !ranked[i].draining && !ranked[i].suspected &&
          !ranked[i].evacuated && !(self && (admission->draining || !allow_self)))
        candidates[found++] = (WaCandidate){ .id = ranked[i].id };
    }
  return found;
}

/* Chooses the first endpoints of other zones than @zone in rank order that are neither suspected,
 * draining nor evacuated. The ranking has the first endpoint of each zone before the rest, so that
 * they are in different zones. Return: their number, so many that the queries do not exceed
 * WA_MAX_QUERIES.
 */
static guint
choose_in_other_zones (const WaAdmission *admission,
                       const WaEndpoint *ranked,
                       guint count,
                       guint32 zone,
                       guint queries,
                       WaCandidate *candidates)
{
  guint limit = MIN (WA_MAX_OTHER_ZONES, WA_MAX_QUERIES - queries);
  guint found = 0;
  guint i;

  for (i = 0; i < count && found < limit; i++)
    if (ranked[i].zone != zone && ranked[i].id != admission->self_id && !ranked[i].draining &&
        !ranked[i].suspected && !ranked[i].evacuated)
      candidates[found++] = (WaCandidate){ .id = ranked[i].id };
  return found;
}

/* Chooses the first endpoints in rank order that are neither suspected nor draining. If there are
 * too few, suspected ones follow, then draining ones. Evacuated ones are left out. */
static guint
choose_candidates (const WaAdmission *admission,
                   const WaEndpoint *ranked,
                   guint count,
                   gboolean allow_self,
                   WaCandidate *candidates)
{
  guint found = 0;
  guint tier, i;

  for (tier = 0; tier < 3; tier++)
    for (i = 0; i < count && found < WA_MAX_CANDIDATES; i++)
      {
        gboolean self = ranked[i].id == admission->self_id;
        gboolean draining = ranked[i].draining || (self && admission->draining);
        guint endpoint_tier = draining ? 2 : ranked[i].suspected ? 1 : 0;

        if (endpoint_tier != tier || (self && !allow_self) || ranked[i].evacuated)
          continue;
        candidates[found++] = (WaCandidate){ .id = ranked[i].id, .last_resort = tier > 0 };
      }
  return found;
}

static void
place_by_query (WaAdmission *admission, const WaPlacement *chosen, gint64 now_us)
{
  WaPlacement *placement = g_memdup2 (chosen, sizeof *chosen);

  placement->request_id = admission->next_request_id++;
  placement->expires_us = now_us + WA_QUERY_TIMEOUT_US;
  placement->link.data = placement;
  g_queue_push_tail_link (&admission->pending_placements, &placement->link);
  g_hash_table_insert (admission->placements, &placement->flow, placement);
  if (send_queries (admission, placement, 0, now_us) == 0 && chosen->entry_zone != 0)
    finish_placement (admission, placement, now_us);
}

static gboolean
local_server_is_idle (const WaAdmission *admission, gint64 now_us)
{
  return wa_slots_in_use (admission) == 0 && wa_queue_length (admission) == 0 &&
         wa_budget_units (admission, now_us) > 0 && !wa_health_not_answering (admission, now_us) &&
         !wa_health_is_slow (admission, now_us);
}

/* Sets the candidates of a placement: those of the entry zone if there are any, else those of all
 * zones. */
static void
set_candidates (const WaAdmission *admission,
                WaPlacement *placement,
                const WaEndpoint *ranked,
                guint count,
                gboolean allow_self)
{
  guint queries = 0;
  guint i;

  if (placement->entry_zone != 0)
    placement->candidate_count = choose_in_zone (admission, ranked, count, allow_self,
                                                 placement->entry_zone, placement->candidates);
  if (placement->candidate_count == 0)
    {
      placement->candidate_count =
          choose_candidates (admission, ranked, count, allow_self, placement->candidates);
      return;
    }
  for (i = 0; i < placement->candidate_count; i++)
    if (placement->candidates[i].id != admission->self_id)
      queries++;
  placement->other_zone_count = choose_in_other_zones (
      admission, ranked, count, placement->entry_zone, queries, placement->other_zones);
}

void
wa_admission_place_in_zone (WaAdmission *admission,
                            WbHandle flow,
                            WcClass class,
                            guint32 entry_zone,
                            const WaEndpoint *ranked,
                            guint count,
                            gboolean allow_self,
                            gint64 now_us)
{
  WaPlacement placement = { .flow = flow,
                            .level = wa_level_for_class (class),
                            .entry_zone = admission->zone != 0 ? entry_zone : 0 };
  const WaCandidate *candidates = placement.candidates;
  guint found;
  gboolean first_is_self;

  if (g_hash_table_contains (admission->placements, &flow))
    return;
  set_candidates (admission, &placement, ranked, count, allow_self);
  found = placement.candidate_count + placement.other_zone_count;
  if (found == 0)
    return;
  first_is_self = candidates[0].id == admission->self_id;
  if (admission->policy == WA_POLICY_NEXT_RANK && placement.candidate_count > 1 && first_is_self &&
      !wa_slots_available (admission, WA_LEVEL_LONG, now_us))
    {
      place_flow (admission, flow, placement.entry_zone, candidates[1].id);
      return;
    }
  if (found == 1 || admission->policy >= WA_POLICY_NEXT_RANK ||
      admission->pending_placements.length >= WA_MAX_PENDING_PLACEMENTS)
    {
      place_flow (admission, flow, placement.entry_zone, candidates[0].id);
      return;
    }
  if (first_is_self && local_server_is_idle (admission, now_us))
    {
      wb_counters_add (admission->counters, WA_COUNTER_PLACED_IDLE, 1);
      place_flow (admission, flow, placement.entry_zone, admission->self_id);
      return;
    }
  place_by_query (admission, &placement, now_us);
}

void
wa_admission_place (WaAdmission *admission,
                    WbHandle flow,
                    WcClass class,
                    const WaEndpoint *ranked,
                    guint count,
                    gboolean allow_self,
                    gint64 now_us)
{
  wa_admission_place_in_zone (admission, flow, class, 0, ranked, count, allow_self, now_us);
}

void
wa_place_receive_reply (WaAdmission *admission, guint64 id, guint32 request_id, gint64 now_us)
{
  GList *link;
  guint i;

  for (link = admission->pending_placements.head; link != NULL; link = link->next)
    {
      WaPlacement *placement = link->data;

      if (placement->request_id != request_id)
        continue;
      for (i = 0; i < placement->candidate_count; i++)
        if (placement->candidates[i].id == id && !placement->candidates[i].replied)
          {
            placement->candidates[i].replied = TRUE;
            if (placement->candidates[i].reply_expected)
              placement->missing_replies--;
          }
      if (placement->missing_replies == 0)
        finish_placement (admission, placement, now_us);
      return;
    }
}

void
wa_place_expire (WaAdmission *admission, gint64 now_us)
{
  GList *head;

  while ((head = admission->pending_placements.head) != NULL)
    {
      WaPlacement *placement = head->data;

      if (now_us < placement->expires_us)
        return;
      wb_counters_add (admission->counters, WA_COUNTER_QUERY_TIMEOUTS, 1);
      finish_placement (admission, placement, now_us);
    }
}

void
wa_place_cancel (WaAdmission *admission, WbHandle flow)
{
  WaPlacement *placement = g_hash_table_lookup (admission->placements, &flow);

  if (placement != NULL)
    placement_free (admission, placement);
}
