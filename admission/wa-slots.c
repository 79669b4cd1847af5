#include "wa-private.h"

/* Where most clients send their first payload after the reservation has ended, it only wastes the
 * slot. Most reservations are then brief; every 16th stays full, to notice when clients change. */
#define BRIEF_RESERVE_US (10 * WB_US_PER_MS)
#define BRIEF_BELOW 0.5
#define FULL_RESERVE_EVERY 16
#define RESERVE_SHARE 32

/* A payload that has not come after the mean and 4 mean deviations, the retransmission timeout of
 * RFC 6298, was lost, or its client has gone, as many have after an outage. Reservations are full
 * until enough payloads were measured. */
#define PAYLOAD_DEVIATIONS 4
#define PAYLOAD_SAMPLES_MIN 16

/* Entries queued for each slot before one is opened ahead, and the part of a slot's time that the
 * wait for the payload has to take. */
#define AHEAD_SHORT 1
#define AHEAD_REST 2
#define AHEAD_SHARE 50

/* A server that announces its slots queues what comes above them: one request there is served next,
 * while the packet of another is on its way. */
#define AHEAD_ANNOUNCED_MIN 2

WaLevel
wa_level (WcClass class)
{
  return class == WC_CLASS_SHORT ? WA_LEVEL_SHORT : WA_LEVEL_REST;
}

WaEntry *
wa_entry_get (const WaAdmission *admission, WbHandle flow)
{
  return g_hash_table_lookup (admission->entries, &flow);
}

gboolean
wa_entry_waits (const WaEntry *entry)
{
  return entry->state == WA_ENTRY_WAITING_OPEN || entry->state == WA_ENTRY_WAITING_REQUEST;
}

gboolean
wa_slots_cold (const WaAdmission *admission, gint64 now_us)
{
  return admission->started_us != WB_NEVER &&
         now_us - admission->started_us < admission->cold_start_us;
}

/* A backend server that has just started counts as having half its slots. One that has announced
 * its slots is believed: it serves as many requests at a time while it is slow. */
guint
wa_slots_usable (const WaAdmission *admission, gint64 now_us)
{
  if (admission->server_known || !wa_slots_cold (admission, now_us))
    return admission->slots;
  return MAX (1, admission->slots / 2);
}

/* Slots that long and mixed work gets by ageing, however much short work there is. */
guint
wa_slots_aged (const WaAdmission *admission, gint64 now_us)
{
  return MAX (1, wa_slots_usable (admission, now_us) / 2);
}

guint
wa_slots_busy (const WaAdmission *admission)
{
  return admission->in_use[WA_LEVEL_SHORT] + admission->in_use[WA_LEVEL_REST];
}

/* The reserved slots are kept by a limit on the slots that other work uses, so that any slot may be
 * the reserved one. */
gboolean
wa_slots_free (const WaAdmission *admission, WaLevel level, gint64 now_us)
{
  guint usable = wa_slots_usable (admission, now_us);
  guint reserved = admission->policy == WA_POLICY_FULL ? admission->reserve_short : 0;

  if (wa_slots_busy (admission) >= usable)
    return FALSE;
  if (level == WA_LEVEL_SHORT)
    return TRUE;
  return admission->in_use[WA_LEVEL_REST] + MIN (reserved, usable - 1) < usable;
}

void
wa_slots_take (WaAdmission *admission, WaEntry *entry, WaEntryState state, gint64 now_us)
{
  WaLevel level = wa_level (entry->class);
  WaTenant *tenant = wa_tenant (admission, level, entry->tenant);

  wa_predict_short_use (admission, now_us);
  if (entry->ahead)
    admission->ahead_queued--;
  entry->ahead = FALSE;
  entry->state = state;
  entry->started_us = now_us;
  entry->charged_us = admission->mean_service_us[entry->class];
  tenant->service_us += (gdouble) entry->charged_us / tenant->weight;
  tenant->in_use++;
  admission->in_use[level]++;
  if (state == WA_ENTRY_BUSY)
    entry->requested_us = now_us;
  if (state != WA_ENTRY_RESERVED)
    return;
  entry->delivered_us = now_us;
  entry->brief = (admission->reserve_used < BRIEF_BELOW ||
                  admission->payload_samples >= PAYLOAD_SAMPLES_MIN) &&
                 ++admission->reserve_probe % FULL_RESERVE_EVERY != 0;
  g_queue_push_tail_link (&admission->reserved[entry->brief], &entry->by_age);
}

/* The tenant is charged what it really used. */
static void
free_slot (WaAdmission *admission, WaEntry *entry, gint64 now_us)
{
  WaLevel level = wa_level (entry->class);
  WaTenant *tenant = wa_tenant (admission, level, entry->tenant);
  gint64 used_us = now_us - entry->started_us;

  wa_predict_short_use (admission, now_us);
  if (entry->state == WA_ENTRY_RESERVED)
    g_queue_unlink (&admission->reserved[entry->brief], &entry->by_age);
  tenant->service_us += (gdouble) (used_us - entry->charged_us) / tenant->weight;
  tenant->in_use--;
  admission->in_use[level]--;
  wa_predict_record (admission, entry->class, used_us);
  if (entry->state != WA_ENTRY_BUSY || entry->requested_us == 0)
    return;
  wa_evidence_service (admission, entry->class, now_us - entry->requested_us);
  wa_record (&tenant->service[entry->class], now_us - entry->requested_us);
}

/* Frees the entry's slot and the entry. */
void
wa_slots_release (WaAdmission *admission, WaEntry *entry, gint64 now_us)
{
  free_slot (admission, entry, now_us);
  g_hash_table_remove (admission->entries, &entry->flow);
}

/* Forgets a flow whose first payload is late. Return: its wait as an initial packet, or 0. */
gint64
wa_slots_forget_opened (WaAdmission *admission, WbHandle flow, gboolean *ahead)
{
  WaEntry *entry = wa_entry_get (admission, flow);
  gint64 waited_us;

  if (ahead != NULL)
    *ahead = FALSE;
  if (entry == NULL || entry->state != WA_ENTRY_OPENED)
    return 0;
  waited_us = entry->waited_us;
  if (ahead != NULL)
    *ahead = entry->ahead;
  if (entry->ahead)
    g_queue_unlink (&admission->ahead, &entry->by_tenant);
  g_queue_unlink (&admission->opened, &entry->by_age);
  g_hash_table_remove (admission->entries, &flow);
  return waited_us;
}

/* Time after the delivery of an initial packet in which its first payload is expected. */
static gint64
payload_time (const WaAdmission *admission)
{
  gint64 time_us =
      admission->mean_payload_us + PAYLOAD_DEVIATIONS * admission->payload_deviation_us;

  if (admission->payload_samples < PAYLOAD_SAMPLES_MIN)
    return admission->open_reserve_us;
  return MIN (MAX (time_us, BRIEF_RESERVE_US), admission->open_reserve_us);
}

gint64
wa_slots_reserve_time (const WaAdmission *admission, const WaEntry *entry)
{
  if (!entry->brief)
    return admission->open_reserve_us;
  if (admission->reserve_used < BRIEF_BELOW)
    return MIN (BRIEF_RESERVE_US, admission->open_reserve_us);
  return payload_time (admission);
}

static void
record_payload (WaAdmission *admission, gint64 delay_us)
{
  gint64 error_us = delay_us - admission->mean_payload_us;

  if (admission->payload_samples == 0)
    {
      admission->mean_payload_us = delay_us;
      admission->payload_deviation_us = delay_us / 2;
    }
  else
    {
      admission->mean_payload_us += error_us / RESERVE_SHARE;
      admission->payload_deviation_us +=
          (ABS (error_us) - admission->payload_deviation_us) / RESERVE_SHARE;
    }
  admission->payload_samples = MIN (admission->payload_samples + 1, PAYLOAD_SAMPLES_MIN);
}

/* Only full reservations tell whether clients send in time, and how long they take. */
void
wa_slots_reserve_used (WaAdmission *admission, const WaEntry *entry, gboolean used, gint64 now_us)
{
  if (entry->brief)
    return;
  if (used)
    record_payload (admission, now_us - entry->delivered_us);
  admission->reserve_used += ((used ? 1 : 0) - admission->reserve_used) / RESERVE_SHARE;
}

gint64
wa_slots_ahead_until (const WaAdmission *admission, const WaEntry *entry)
{
  return entry->delivered_us + payload_time (admission);
}

/* Whether another initial packet may be delivered ahead of a free slot. Requests that a server
 * queues above its slots count, as they hold the next one up. */
static gboolean
may_open_ahead (const WaAdmission *admission, gint64 now_us)
{
  guint usable = wa_slots_usable (admission, now_us);
  guint limit = admission->server_known ? MAX (AHEAD_ANNOUNCED_MIN, admission->slots / 2) : 1;
  guint above = MAX (wa_slots_busy (admission), usable) - usable;

  return above + admission->ahead.length + admission->ahead_queued < limit;
}

/* The next entry to open ahead, or NULL when the queue is not long enough. */
static WaEntry *
next_ahead (WaAdmission *admission, gint64 now_us)
{
  guint usable = wa_slots_usable (admission, now_us);
  WaEntry *entry = NULL;

  if (admission->by_age[WA_LEVEL_SHORT].length >= AHEAD_SHORT * usable)
    entry = wa_queue_next (admission, WA_LEVEL_SHORT, TRUE, now_us);
  else if (admission->by_age[WA_LEVEL_SHORT].length == 0 &&
           admission->by_age[WA_LEVEL_REST].length >= AHEAD_REST * usable)
    entry = wa_queue_next (admission, WA_LEVEL_REST, TRUE, now_us);
  if (entry == NULL ||
      admission->mean_payload_us * AHEAD_SHARE < admission->mean_service_us[entry->class])
    return NULL;
  return entry;
}

/* Delivers queued initial packets before a slot is free, so that their payload is there when one
 * is. Otherwise each slot stands empty for a round trip to the client between two flows, which
 * took 4.6% of the slot time of an overloaded endpoint. Few at a time, and only where the queue is
 * long, because such an entry can no longer be pulled. */
void
wa_slots_open_ahead (WaAdmission *admission, gint64 now_us)
{
  WaEntry *entry;

  if (admission->policy > WA_POLICY_NO_RESERVE || admission->reserve_used < BRIEF_BELOW)
    return;
  while (may_open_ahead (admission, now_us) && (entry = next_ahead (admission, now_us)) != NULL)
    {
      WbHandle flow = entry->flow;

      wa_queue_remove (admission, entry);
      entry->state = WA_ENTRY_OPENED;
      entry->ahead = TRUE;
      entry->waited_us = now_us - entry->queued_us;
      entry->started_us = entry->delivered_us = now_us;
      g_queue_push_tail_link (&admission->ahead, &entry->by_tenant);
      g_queue_push_tail_link (&admission->opened, &entry->by_age);
      wb_counters_add (admission->counters, WA_COUNTER_OPENED_AHEAD, 1);
      admission->callbacks.admit (admission->callbacks.context, flow);
    }
}

static void
expire (WaAdmission *admission, GQueue *reserved, gint64 now_us)
{
  GList *head;

  while ((head = reserved->head) != NULL)
    {
      WaEntry *entry = head->data;

      if (now_us - entry->started_us < wa_slots_reserve_time (admission, entry))
        return;
      /* The client cannot send before the server has answered. */
      if (entry->brief && !entry->answered)
        {
          entry->brief = FALSE;
          g_queue_unlink (reserved, head);
          g_queue_push_tail_link (&admission->reserved[0], head);
          continue;
        }
      wb_counters_add (admission->counters, WA_COUNTER_RESERVE_EXPIRED, 1);
      wa_slots_reserve_used (admission, entry, FALSE, now_us);
      if (!entry->answered)
        wa_evidence_unanswered (admission, now_us);
      free_slot (admission, entry, now_us);
      entry->state = WA_ENTRY_OPENED;
      entry->started_us = now_us;
      g_queue_push_tail_link (&admission->opened, &entry->by_age);
    }
}

/* Others are opened in place of those whose payload is late. */
static void
expire_ahead (WaAdmission *admission, gint64 now_us)
{
  GList *head;

  while ((head = admission->ahead.head) != NULL)
    {
      WaEntry *entry = head->data;

      if (now_us < wa_slots_ahead_until (admission, entry))
        return;
      g_queue_unlink (&admission->ahead, head);
      entry->ahead = FALSE;
    }
}

/* The wait of an initial packet counts against the deadline of a first request that comes within
 * that deadline: to the client both are one wait. */
static void
forget_old (WaAdmission *admission, gint64 now_us)
{
  GList *head;

  while ((head = admission->opened.head) != NULL)
    {
      const WaEntry *entry = head->data;

      if (now_us - entry->started_us < admission->deadline_us)
        return;
      wa_slots_forget_opened (admission, entry->flow, NULL);
    }
}

void
wa_slots_expire (WaAdmission *admission, gint64 now_us)
{
  expire (admission, &admission->reserved[1], now_us);
  expire (admission, &admission->reserved[0], now_us);
  expire_ahead (admission, now_us);
  forget_old (admission, now_us);
}
