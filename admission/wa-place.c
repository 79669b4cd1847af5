#include "wa-private.h"

/* Loads of endpoints without a usable report; all above a real one. */
#define DISTRUSTED_LOAD (G_MAXUINT64 - 4)
#define NO_REPLY_LOAD (G_MAXUINT64 - 3)
#define LAST_LOAD (G_MAXUINT64 - 2)

/* Load of an endpoint whose slots are all in use. */
#define FULL_LOAD ((guint64) 1000 << 32)

#define RECENT_REPORT_US (1 * WB_US_PER_S)

/* Occupancy relative to the slots, in thousandths. Flows placed after the report was made are
 * added, because the report does not contain them. Long work that waits does not delay short work,
 * but it decides between endpoints that are equal otherwise. */
static guint64
load_of (const ww_occupancy *report, WaLevel level, guint placed_since)
{
  guint64 work = (guint64) report->busy + report->waiting_short + placed_since;
  guint64 slots = MAX (1, report->slots);

  if (level == WA_LEVEL_REST)
    return ((work + report->waiting_long) * 1000 / slots) << 32;
  return ((work * 1000 / slots) << 32) | report->waiting_long;
}

/* Draining and suspected endpoints, and those whose server does not answer, come last. An endpoint
 * whose reports were wrong counts as full: it comes after any endpoint with a free slot. */
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
      peer = wa_peer_get (admission, candidate->id);
      if (peer == NULL || !candidate->replied)
        return NO_REPLY_LOAD;
      report = peer->report;
      placed_since = peer->placed - candidate->placed;
    }
  if (candidate->last || (report.flags & (WA_OCCUPANCY_DRAINING | WA_OCCUPANCY_NOT_ANSWERING)) != 0)
    return LAST_LOAD;
  if (peer != NULL && wa_evidence_distrusted (peer, now_us))
    return DISTRUSTED_LOAD;
  return load_of (&report, level, placed_since);
}

static void
placement_free (WaAdmission *admission, WaPlacement *placement)
{
  WbHandle flow = placement->flow;

  g_queue_unlink (&admission->placing, &placement->link);
  g_hash_table_remove (admission->placements, &flow);
}

static void
place_on (WaAdmission *admission, WbHandle flow, guint64 id)
{
  WaPeer *peer = wa_peer_get (admission, id);

  if (peer != NULL)
    peer->placed++;
  wb_counters_add (admission->counters,
                   id == admission->self_id ? WA_COUNTER_PLACED_SELF : WA_COUNTER_PLACED_PEER, 1);
  admission->callbacks.place (admission->callbacks.context, flow, id);
}

/* The peer that was the last to report a slot free for the level. Where all
 * candidates are full, a report of this age still beats queueing: one that proves wrong only costs
 * the offer and the pull that would have followed anyway. */
static WaPeer *
find_free_peer (const WaAdmission *admission, WaLevel level, gint64 now_us)
{
  guint kept = level == WA_LEVEL_SHORT ? 0 : admission->reserve_short;
  gint64 latest_us = MAX (1, now_us - RECENT_REPORT_US);
  WaPeer *latest = NULL;
  guint i;

  for (i = 0; i < admission->peers->len; i++)
    {
      WaPeer *peer = g_ptr_array_index (admission->peers, i);
      const ww_occupancy *report = &peer->report;

      if (peer->reported_us < latest_us || report->busy + kept >= report->slots ||
          report->waiting_short > 0 || peer->draining || peer->suspected ||
          (report->flags & (WA_OCCUPANCY_DRAINING | WA_OCCUPANCY_NOT_ANSWERING)) != 0 ||
          wa_evidence_distrusted (peer, now_us))
        continue;
      latest = peer;
      latest_us = peer->reported_us;
    }
  return latest;
}

static void
decide (WaAdmission *admission, WaPlacement *placement, gint64 now_us)
{
  guint64 least = G_MAXUINT64;
  guint64 chosen = placement->candidates[0].id;
  WbHandle flow = placement->flow;
  WaPeer *peer;
  guint i;

  for (i = 0; i < placement->count; i++)
    {
      guint64 load =
          candidate_load (admission, &placement->candidates[i], placement->level, now_us);

      if (load >= least)
        continue;
      least = load;
      chosen = placement->candidates[i].id;
    }
  peer = least >= FULL_LOAD ? find_free_peer (admission, placement->level, now_us) : NULL;
  placement_free (admission, placement);
  if (peer != NULL)
    peer->report.busy++;
  place_on (admission, flow, peer != NULL ? peer->id : chosen);
}

/* Candidates are the first endpoints in rank order that take new flows; suspected and draining ones
 * fill up what is missing. */
static guint
choose_candidates (const WaAdmission *admission,
                   const WaEndpoint *ranked,
                   guint count,
                   gboolean allow_self,
                   WaCandidate *candidates)
{
  guint found = 0;
  guint pass, i;

  for (pass = 0; pass < 3; pass++)
    for (i = 0; i < count && found < WA_RANKS; i++)
      {
        gboolean self = ranked[i].id == admission->self_id;
        gboolean draining = ranked[i].draining || (self && admission->draining);
        guint worth = draining ? 2 : ranked[i].suspected ? 1 : 0;

        if (worth != pass || (self && !allow_self))
          continue;
        candidates[found++] = (WaCandidate){ .id = ranked[i].id, .last = pass > 0 };
      }
  return found;
}

static void
send_queries (WaAdmission *admission, WaPlacement *placement, gint64 now_us)
{
  ww_peer_body body = { .kind = WW_PEER_OCCUPANCY_REQUEST };
  guint i;

  body.ww_peer_body_u.occupancy_request.request_id = placement->request_id;
  body.ww_peer_body_u.occupancy_request.occupancy = wa_admission_occupancy (admission, now_us);
  for (i = 0; i < placement->count; i++)
    {
      WaCandidate *candidate = &placement->candidates[i];
      const WaPeer *peer = wa_peer_get (admission, candidate->id);

      if (peer == NULL)
        continue;
      candidate->placed = peer->placed;
      placement->missing++;
    }
  /* Sent last: a reply may arrive before the callback returns. */
  for (i = 0; i < placement->count; i++)
    if (wa_peer_get (admission, placement->candidates[i].id) != NULL)
      wa_peer_send (admission, placement->candidates[i].id, &body);
}

static void
place_by_query (WaAdmission *admission,
                WbHandle flow,
                WaLevel level,
                const WaCandidate *candidates,
                guint count,
                gint64 now_us)
{
  WaPlacement *placement = g_new0 (WaPlacement, 1);

  placement->flow = flow;
  placement->level = level;
  placement->request_id = admission->next_request_id++;
  placement->due_us = now_us + WA_QUERY_TIMEOUT_US;
  placement->count = count;
  memcpy (placement->candidates, candidates, count * sizeof *candidates);
  placement->link.data = placement;
  g_queue_push_tail_link (&admission->placing, &placement->link);
  g_hash_table_insert (admission->placements, &placement->flow, placement);
  send_queries (admission, placement, now_us);
}

static gboolean
self_idle (const WaAdmission *admission, gint64 now_us)
{
  return wa_slots_busy (admission) == 0 && wa_queue_length (admission) == 0 &&
         !wa_evidence_not_answering (admission, now_us) && !wa_evidence_is_slow (admission, now_us);
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
  WaCandidate candidates[WA_RANKS];
  guint found;
  gboolean first_is_self;

  if (g_hash_table_contains (admission->placements, &flow))
    return;
  found = choose_candidates (admission, ranked, count, allow_self, candidates);
  if (found == 0)
    return;
  first_is_self = candidates[0].id == admission->self_id;
  if (admission->policy == WA_POLICY_NEXT_RANK && found > 1 && first_is_self &&
      !wa_slots_free (admission, WA_LEVEL_REST, now_us))
    {
      place_on (admission, flow, candidates[1].id);
      return;
    }
  if (found == 1 || admission->policy >= WA_POLICY_NEXT_RANK ||
      admission->placing.length >= WA_MAX_PLACEMENTS)
    {
      place_on (admission, flow, candidates[0].id);
      return;
    }
  if (first_is_self && self_idle (admission, now_us))
    {
      wb_counters_add (admission->counters, WA_COUNTER_PLACED_IDLE, 1);
      place_on (admission, flow, admission->self_id);
      return;
    }
  place_by_query (admission, flow, wa_level (class), candidates, found, now_us);
}

void
wa_place_reply (WaAdmission *admission, guint64 id, guint32 request_id, gint64 now_us)
{
  GList *link;
  guint i;

  for (link = admission->placing.head; link != NULL; link = link->next)
    {
      WaPlacement *placement = link->data;

      if (placement->request_id != request_id)
        continue;
      for (i = 0; i < placement->count; i++)
        if (placement->candidates[i].id == id && !placement->candidates[i].replied)
          {
            placement->candidates[i].replied = TRUE;
            placement->missing--;
          }
      if (placement->missing == 0)
        decide (admission, placement, now_us);
      return;
    }
}

void
wa_place_expire (WaAdmission *admission, gint64 now_us)
{
  GList *head;

  while ((head = admission->placing.head) != NULL)
    {
      WaPlacement *placement = head->data;

      if (now_us < placement->due_us)
        return;
      wb_counters_add (admission->counters, WA_COUNTER_QUERY_TIMEOUTS, 1);
      decide (admission, placement, now_us);
    }
}

void
wa_place_cancel (WaAdmission *admission, WbHandle flow)
{
  WaPlacement *placement = g_hash_table_lookup (admission->placements, &flow);

  if (placement != NULL)
    placement_free (admission, placement);
}
