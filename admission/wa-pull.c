#include "wa-private.h"

/* Groups of peers in the order in which they get an offer: see offer_pass(). */
#define OFFER_PASSES 4

static gboolean
pulling_enabled (const WaAdmission *admission)
{
  return admission->policy <= WA_POLICY_NO_RESERVE;
}

static WaPull *
pull_at (const WaAdmission *admission, guint i)
{
  return &g_array_index (admission->pulls, WaPull, i);
}

/* Order in which peers get an offer: those that reported a free slot come first and, where zones
 * have an influence, in both groups those of the own zone. */
static guint
offer_pass (const WaAdmission *admission, const WaPeer *peer)
{
  gboolean has_free_slot = peer->report.busy < peer->report.slots;
  gboolean other_zone = admission->zone != 0 && peer->zone != admission->zone;

  return (has_free_slot ? 0 : OFFER_PASSES / 2) + (other_zone ? 1 : 0);
}

/* The last offer is left to other zones, whose free slots may not have been reported here. */
static guint
offer_limit (const WaAdmission *admission, guint pass)
{
  return admission->zone != 0 && pass == OFFER_PASSES / 2 ? WA_OFFER_PEERS - 1 : WA_OFFER_PEERS;
}

/* Tells peers that an initial packet is queued here, in each pass from a random position. */
void
wa_pull_send_offers (WaAdmission *admission, gint64 now_us)
{
  ww_peer_body body = { .kind = WW_PEER_OFFER };
  guint count = admission->peers->len;
  guint first, sent = 0;
  guint pass, i;

  if (!pulling_enabled (admission) || count == 0)
    return;
  body.ww_peer_body_u.offer.occupancy = wa_admission_occupancy (admission, now_us);
  first = (guint) g_rand_int_range (admission->random, 0, (gint32) count);
  for (pass = 0; pass < OFFER_PASSES; pass++)
    for (i = 0; i < count && sent < offer_limit (admission, pass); i++)
      {
        const WaPeer *peer = g_ptr_array_index (admission->peers, (first + i) % count);

        if (peer->draining || peer->suspected || peer->evacuated ||
            offer_pass (admission, peer) != pass)
          continue;
        sent++;
        wb_counters_add (admission->counters, WA_COUNTER_OFFERS_SENT, 1);
        wa_peer_send (admission, peer->id, &body);
      }
}

/* Return: the peer with the most queued short entries; if no peer has any, and unless @short_only,
 * the peer with the most queued long ones; NULL when there is none. */
static WaPeer *
find_peer_to_pull_from (const WaAdmission *admission, gboolean short_only, gint64 now_us)
{
  WaPeer *best = NULL;
  guint64 longest = 0;
  guint i;

  for (i = 0; i < admission->peers->len; i++)
    {
      WaPeer *peer = g_ptr_array_index (admission->peers, i);
      guint64 waiting = ((guint64) peer->report.waiting_short << 32) |
                        (short_only ? 0 : peer->report.waiting_long);

      if (waiting <= longest || now_us < peer->no_pull_until_us)
        continue;
      longest = waiting;
      best = peer;
    }
  return best;
}

/* Return: an id other than 0, which the peer takes for one that it has seen. */
static guint32
next_pull_id (WaAdmission *admission)
{
  if (admission->next_pull_id == 0)
    admission->next_pull_id++;
  return admission->next_pull_id++;
}

static void
send_pull (WaAdmission *admission, WaPeer *peer, gboolean short_only, gint64 now_us)
{
  ww_peer_body body = { .kind = WW_PEER_PULL };
  WaPull pull = { .peer_id = peer->id,
                  .pull_id = next_pull_id (admission),
                  .expires_us = now_us + WA_PULL_TIMEOUT_US };

  g_array_append_val (admission->pulls, pull);
  if (peer->report.waiting_short > 0)
    peer->report.waiting_short--;
  else
    peer->report.waiting_long--;
  body.ww_peer_body_u.pull.pull_id = pull.pull_id;
  body.ww_peer_body_u.pull.short_only = short_only;
  body.ww_peer_body_u.pull.occupancy = wa_admission_occupancy (admission, now_us);
  wb_counters_add (admission->counters, WA_COUNTER_PULLS_SENT, 1);
  wa_peer_send (admission, peer->id, &body);
}

/* Whether there is a free slot, and a unit of the budget, that no pull was sent for. */
static gboolean
may_pull (const WaAdmission *admission, gint64 now_us)
{
  return wa_slots_in_use (admission) + admission->pulls->len <
             wa_slots_usable (admission, now_us) &&
         admission->pulls->len < wa_budget_units (admission, now_us);
}

/* Pulls short work of peers into the free slots. Return: whether queued long and mixed work of this
 * endpoint has to leave the free slots to it. Otherwise a long request would use a slot for seconds
 * while short work waits at a peer. */
gboolean
wa_pull_short_before_long (WaAdmission *admission, gint64 now_us)
{
  WaPeer *peer;

  if (!pulling_enabled (admission) || admission->draining ||
      wa_health_not_answering (admission, now_us))
    return FALSE;
  while (may_pull (admission, now_us))
    {
      peer = find_peer_to_pull_from (admission, TRUE, now_us);
      if (peer == NULL)
        return FALSE;
      send_pull (admission, peer, TRUE, now_us);
    }
  return TRUE;
}

/* Pulls queued initial packets from peers, at most one for each free slot. If entries are queued
 * here while a slot is free, that slot is reserved for short work. */
void
wa_pull_for_free_slots (WaAdmission *admission, gint64 now_us)
{
  if (!pulling_enabled (admission) || admission->draining ||
      wa_health_not_answering (admission, now_us))
    return;
  while (may_pull (admission, now_us))
    {
      gboolean short_only = !wa_slots_available (admission, WA_LEVEL_LONG, now_us);
      WaPeer *peer = find_peer_to_pull_from (admission, short_only, now_us);

      if (peer == NULL)
        return;
      send_pull (admission, peer, short_only, now_us);
    }
}

/* An initial packet has arrived: counts as the grant for the oldest pull. */
void
wa_pull_complete_oldest (WaAdmission *admission)
{
  if (admission->pulls->len > 0)
    g_array_remove_index (admission->pulls, 0);
}

/* The peer has replied to a pull with an occupancy report because it has nothing to grant. */
void
wa_pull_receive_decline (WaAdmission *admission, WaPeer *peer, guint32 pull_id, gint64 now_us)
{
  guint i;

  for (i = 0; i < admission->pulls->len; i++)
    if (pull_at (admission, i)->peer_id == peer->id && pull_at (admission, i)->pull_id == pull_id)
      {
        g_array_remove_index (admission->pulls, i);
        peer->no_pull_until_us = now_us + WA_PULL_BACKOFF_US;
        return;
      }
}

/* Removes pulls without a grant in time: the pull or the grant was lost, or the peer has stopped.
 */
void
wa_pull_expire (WaAdmission *admission, gint64 now_us)
{
  while (admission->pulls->len > 0 && pull_at (admission, 0)->expires_us <= now_us)
    {
      WaPeer *peer = wa_peer_find (admission, pull_at (admission, 0)->peer_id);

      if (peer != NULL)
        peer->no_pull_until_us = now_us + WA_PULL_BACKOFF_US;
      g_array_remove_index (admission->pulls, 0);
      wb_counters_add (admission->counters, WA_COUNTER_PULL_TIMEOUTS, 1);
    }
}

static gboolean
is_duplicate_pull (WaPeer *peer, guint32 pull_id)
{
  guint i;

  for (i = 0; i < WA_RECENT_PULL_IDS; i++)
    if (peer->recent_pull_ids[i] == pull_id)
      return TRUE;
  peer->recent_pull_ids[peer->next_recent_pull++ % WA_RECENT_PULL_IDS] = pull_id;
  return FALSE;
}

static void
grant_entry (WaAdmission *admission, WaEntry *entry, guint64 id)
{
  WbHandle flow = entry->flow;

  wa_queue_delete (admission, entry);
  admission->callbacks.grant (admission->callbacks.context, flow, id);
}

void
wa_pull_receive (WaAdmission *admission, WaPeer *peer, const ww_pull *pull, gint64 now_us)
{
  WaEntry *entry;

  /* The peer has not learned of its evacuation yet. */
  if (peer->evacuated)
    return;
  if (is_duplicate_pull (peer, pull->pull_id))
    {
      wb_counters_add (admission->counters, WA_COUNTER_PULLS_REPEATED, 1);
      return;
    }
  entry = wa_queue_next (admission, WA_LEVEL_SHORT, TRUE, now_us);
  if (entry == NULL && !pull->short_only)
    entry = wa_queue_next (admission, WA_LEVEL_LONG, TRUE, now_us);
  if (entry == NULL)
    {
      wb_counters_add (admission->counters, WA_COUNTER_PULLS_EMPTY, 1);
      wa_peer_send_occupancy_reply (admission, peer->id, pull->pull_id, now_us);
      return;
    }
  wb_counters_add (admission->counters, WA_COUNTER_GRANTED, 1);
  grant_entry (admission, entry, peer->id);
}

static WaPeer *
least_loaded_peer (const WaAdmission *admission)
{
  WaPeer *best = NULL;
  guint least = G_MAXUINT;
  guint i;

  for (i = 0; i < admission->peers->len; i++)
    {
      WaPeer *peer = g_ptr_array_index (admission->peers, i);
      guint load = peer->report.busy + peer->report.waiting_short + peer->report.waiting_long;

      if (peer->draining || peer->suspected || peer->evacuated || load >= least ||
          (peer->report.flags & (WA_OCCUPANCY_DRAINING | WA_OCCUPANCY_NOT_ANSWERING)) != 0)
        continue;
      least = load;
      best = peer;
    }
  return best;
}

/* Whether queued initial packets have to be handed over: this endpoint is draining or its server
 * does not answer, and there is a peer that takes new flows. */
gboolean
wa_pull_must_hand_over (const WaAdmission *admission, gint64 now_us)
{
  return (admission->draining || wa_health_not_answering (admission, now_us)) &&
         least_loaded_peer (admission) != NULL;
}

/* Grants all queued initial packets to the least loaded peers. */
void
wa_pull_hand_over_queue (WaAdmission *admission, gint64 now_us)
{
  WaEntry *entry;

  while ((entry = wa_queue_next (admission, WA_LEVEL_SHORT, TRUE, now_us)) != NULL ||
         (entry = wa_queue_next (admission, WA_LEVEL_LONG, TRUE, now_us)) != NULL)
    {
      WaPeer *peer = least_loaded_peer (admission);

      if (peer == NULL)
        return;
      peer->report.waiting_short++;
      wb_counters_add (admission->counters, WA_COUNTER_HANDED_OVER, 1);
      grant_entry (admission, entry, peer->id);
    }
}
