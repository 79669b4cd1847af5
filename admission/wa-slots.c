#include "wa-private.h"

/* When most clients send their first payload after the reservation has expired, reserving only
 * wastes the slot. Reservations are then shortened to this time; also the lower limit of a
 * measured reservation. */
#define SHORTENED_RESERVATION_US (10 * WB_US_PER_MS)
#define SHORTEN_BELOW_USED_SHARE 0.5

/* One in 16 reservations that would be shortened lasts for the whole open_reserve, to notice when
 * clients change. */
#define FULL_RESERVATION_EVERY 16

/* A new sample has a weight of 1/32 in the means of reservations. */
#define RESERVATION_MEAN_DIVISOR 32

/* A payload that has not arrived after the mean delay and 4 mean deviations, which is the
 * retransmission timeout of RFC 6298, was lost or its client has given up, as is common after
 * an outage. Reservations are not shortened by this until enough payloads were measured. */
#define PAYLOAD_DEVIATIONS 4
#define PAYLOAD_SAMPLES_MIN 16

/* An entry is opened ahead only when this many are queued for each slot, and when the mean slot
 * time is at most 50 mean payload delays; otherwise the gain is too small. */
#define AHEAD_SHORT_QUEUED_PER_SLOT 1
#define AHEAD_LONG_QUEUED_PER_SLOT 2
#define AHEAD_SLOT_TIME_MAX_DELAYS 50

/* Lower limit of the entries opened ahead for a server that announces its slots. It queues requests
 * in excess of them: one of two is served next while the payload of the other is on its way. */
#define AHEAD_LIMIT_ANNOUNCED_MIN 2

WaLevel
wa_level_for_class (WcClass class)
{
  return class == WC_CLASS_SHORT ? WA_LEVEL_SHORT : WA_LEVEL_LONG;
}

WaEntry *
wa_entry_find (const WaAdmission *admission, WbHandle flow)
{
  return g_hash_table_lookup (admission->entries, &flow);
}

gboolean
wa_entry_is_queued (const WaEntry *entry)
{
  return entry->state == WA_ENTRY_QUEUED_INITIAL || entry->state == WA_ENTRY_QUEUED_REQUEST;
}

gboolean
wa_slots_server_is_cold (const WaAdmission *admission, gint64 now_us)
{
  return admission->cold_since_us != WB_NEVER &&
         now_us - admission->cold_since_us < admission->cold_start_us;
}

/* A backend server that has just started counts as having half its slots, unless it has announced
 * them: it then serves as many requests at a time even while it is slow. */
guint
wa_slots_usable (const WaAdmission *admission, gint64 now_us)
{
  if (admission->capacity_announced || !wa_slots_server_is_cold (admission, now_us))
    return admission->slots;
  return MAX (1, admission->slots / 2);
}

/* Return: slots that long and mixed work can get because of its age, despite queued short work. */
guint
wa_slots_for_aged (const WaAdmission *admission, gint64 now_us)
{
  return MAX (1, wa_slots_usable (admission, now_us) / 2);
}

guint
wa_slots_in_use (const WaAdmission *admission)
{
  return admission->slots_in_use[WA_LEVEL_SHORT] + admission->slots_in_use[WA_LEVEL_LONG];
}

/* Whether an entry of the level can get a slot, whatever the budget of a cold server. No particular
 * slot is reserved for short work; the number of slots that other work may use is limited. */
gboolean
wa_slots_free (const WaAdmission *admission, WaLevel level, gint64 now_us)
{
  guint usable = wa_slots_usable (admission, now_us);
  guint reserved = admission->policy == WA_POLICY_FULL ? admission->reserve_short : 0;

  if (wa_slots_in_use (admission) >= usable)
    return FALSE;
  if (level == WA_LEVEL_SHORT)
    return TRUE;
  return admission->slots_in_use[WA_LEVEL_LONG] + MIN (reserved, usable - 1) < usable;
}

/* Whether an entry of the level can be delivered: there is a slot, and a unit of the budget. */
gboolean
wa_slots_available (const WaAdmission *admission, WaLevel level, gint64 now_us)
{
  return wa_slots_free (admission, level, now_us) && wa_budget_units (admission, now_us) > 0;
}

void
wa_slots_acquire (WaAdmission *admission, WaEntry *entry, WaEntryState state, gint64 now_us)
{
  WaLevel level = wa_level_for_class (entry->class);
  WaTenantQueue *tenant = wa_tenant_queue (admission, level, entry->tenant);

  wa_predict_update_short_slots (admission, now_us);
  if (entry->opened_ahead)
    admission->opened_ahead_queued--;
  entry->opened_ahead = FALSE;
  entry->state = state;
  entry->started_us = now_us;
  entry->charged_us = admission->mean_slot_time_us[entry->class];
  tenant->weighted_slot_time_us += (gdouble) entry->charged_us / tenant->weight;
  tenant->slots_in_use++;
  admission->slots_in_use[level]++;
  if (state == WA_ENTRY_IN_PROGRESS)
    entry->request_started_us = now_us;
  if (state != WA_ENTRY_RESERVED)
    return;
  entry->initial_delivered_us = now_us;
  entry->reservation_shortened = (admission->reservation_used_share < SHORTEN_BELOW_USED_SHARE ||
                                  admission->payload_samples >= PAYLOAD_SAMPLES_MIN) &&
                                 ++admission->reservation_count % FULL_RESERVATION_EVERY != 0;
  g_queue_push_tail_link (&admission->reserved[entry->reservation_shortened], &entry->age_link);
}

/* Frees the slot and charges the tenant the time used instead of the mean charged in advance. */
static void
free_slot (WaAdmission *admission, WaEntry *entry, gint64 now_us)
{
  WaLevel level = wa_level_for_class (entry->class);
  WaTenantQueue *tenant = wa_tenant_queue (admission, level, entry->tenant);
  gint64 used_us = now_us - entry->started_us;

  wa_predict_update_short_slots (admission, now_us);
  if (entry->state == WA_ENTRY_RESERVED)
    g_queue_unlink (&admission->reserved[entry->reservation_shortened], &entry->age_link);
  tenant->weighted_slot_time_us += (gdouble) (used_us - entry->charged_us) / tenant->weight;
  tenant->slots_in_use--;
  admission->slots_in_use[level]--;
  wa_predict_record_slot_time (admission, entry->class, used_us);
  if (entry->state != WA_ENTRY_IN_PROGRESS || entry->request_started_us == 0)
    return;
  wa_health_record_service_time (admission, entry->class, now_us - entry->request_started_us);
  wa_histogram_record (&tenant->service_histogram[entry->class],
                       now_us - entry->request_started_us);
}

/* Frees the entry's slot and the entry. */
void
wa_slots_release (WaAdmission *admission, WaEntry *entry, gint64 now_us)
{
  free_slot (admission, entry, now_us);
  g_hash_table_remove (admission->entries, &entry->flow);
}

/* Removes a flow in state OPENED_WITHOUT_SLOT. @opened_ahead (out) (optional) is set when it was
 * opened ahead and its payload was not overdue. Return: queue wait of its initial packet, or 0. */
gint64
wa_slots_remove_opened (WaAdmission *admission, WbHandle flow, gboolean *opened_ahead)
{
  WaEntry *entry = wa_entry_find (admission, flow);
  gint64 waited_us;

  if (opened_ahead != NULL)
    *opened_ahead = FALSE;
  if (entry == NULL || entry->state != WA_ENTRY_OPENED_WITHOUT_SLOT)
    return 0;
  waited_us = entry->queue_wait_us;
  if (opened_ahead != NULL)
    *opened_ahead = entry->opened_ahead;
  if (entry->opened_ahead)
    g_queue_unlink (&admission->opened_ahead, &entry->tenant_link);
  g_queue_unlink (&admission->opened_without_slot, &entry->age_link);
  g_hash_table_remove (admission->entries, &flow);
  return waited_us;
}

/* Return: time after the delivery of an initial packet after which its first payload is overdue. */
static gint64
payload_timeout (const WaAdmission *admission)
{
  gint64 timeout_us =
      admission->mean_payload_delay_us + PAYLOAD_DEVIATIONS * admission->payload_delay_deviation_us;

  if (admission->payload_samples < PAYLOAD_SAMPLES_MIN)
    return admission->open_reserve_us;
  return MIN (MAX (timeout_us, SHORTENED_RESERVATION_US), admission->open_reserve_us);
}

gint64
wa_slots_reservation_time (const WaAdmission *admission, const WaEntry *entry)
{
  if (!entry->reservation_shortened)
    return admission->open_reserve_us;
  if (admission->reservation_used_share < SHORTEN_BELOW_USED_SHARE)
    return MIN (SHORTENED_RESERVATION_US, admission->open_reserve_us);
  return payload_timeout (admission);
}

static void
record_payload (WaAdmission *admission, gint64 delay_us)
{
  gint64 error_us = delay_us - admission->mean_payload_delay_us;

  if (admission->payload_samples == 0)
    {
      admission->mean_payload_delay_us = delay_us;
      admission->payload_delay_deviation_us = delay_us / 2;
    }
  else
    {
      admission->mean_payload_delay_us += error_us / RESERVATION_MEAN_DIVISOR;
      admission->payload_delay_deviation_us +=
          (ABS (error_us) - admission->payload_delay_deviation_us) / RESERVATION_MEAN_DIVISOR;
    }
  admission->payload_samples = MIN (admission->payload_samples + 1, PAYLOAD_SAMPLES_MIN);
}

/* Records whether the first payload arrived during a reservation, and its delay. Shortened
 * reservations are not representative and are left out. */
void
wa_slots_record_reservation (WaAdmission *admission,
                             const WaEntry *entry,
                             gboolean payload_arrived,
                             gint64 now_us)
{
  if (entry->reservation_shortened)
    return;
  if (payload_arrived)
    record_payload (admission, now_us - entry->initial_delivered_us);
  admission->reservation_used_share +=
      ((payload_arrived ? 1 : 0) - admission->reservation_used_share) / RESERVATION_MEAN_DIVISOR;
}

/* Return: time at which the first payload of an entry opened ahead is overdue. */
gint64
wa_slots_payload_due_us (const WaAdmission *admission, const WaEntry *entry)
{
  return entry->initial_delivered_us + payload_timeout (admission);
}

/* Whether another initial packet may be delivered before a slot is free. Requests that the server
 * has queued in excess of its slots count too, because they are served first. */
static gboolean
may_open_ahead (const WaAdmission *admission, gint64 now_us)
{
  guint usable = wa_slots_usable (admission, now_us);
  guint limit =
      admission->capacity_announced ? MAX (AHEAD_LIMIT_ANNOUNCED_MIN, admission->slots / 2) : 1;
  guint over_capacity = MAX (wa_slots_in_use (admission), usable) - usable;

  if (wa_budget_units (admission, now_us) == 0)
    return FALSE;
  return over_capacity + admission->opened_ahead.length + admission->opened_ahead_queued < limit;
}

/* Return: the next entry to open ahead, or NULL when the queue is too short or the gain too small.
 */
static WaEntry *
next_to_open_ahead (WaAdmission *admission, gint64 now_us)
{
  guint usable = wa_slots_usable (admission, now_us);
  WaEntry *entry = NULL;

  if (admission->by_age[WA_LEVEL_SHORT].length >= AHEAD_SHORT_QUEUED_PER_SLOT * usable)
    entry = wa_queue_next (admission, WA_LEVEL_SHORT, TRUE, now_us);
  else if (admission->by_age[WA_LEVEL_SHORT].length == 0 &&
           admission->by_age[WA_LEVEL_LONG].length >= AHEAD_LONG_QUEUED_PER_SLOT * usable)
    entry = wa_queue_next (admission, WA_LEVEL_LONG, TRUE, now_us);
  if (entry == NULL || admission->mean_payload_delay_us * AHEAD_SLOT_TIME_MAX_DELAYS <
                           admission->mean_slot_time_us[entry->class])
    return NULL;
  return entry;
}

/* Delivers queued initial packets before a slot is free, so that their payload has arrived when one
 * is. Otherwise each slot is idle between two flows for a round trip to the client, which took 4.6%
 * of the slot time of an overloaded endpoint. Only a few at a time and only from a long queue,
 * because peers can no longer pull such an entry. */
void
wa_slots_open_ahead (WaAdmission *admission, gint64 now_us)
{
  WaEntry *entry;

  if (admission->policy > WA_POLICY_NO_RESERVE ||
      admission->reservation_used_share < SHORTEN_BELOW_USED_SHARE)
    return;
  while (may_open_ahead (admission, now_us) &&
         (entry = next_to_open_ahead (admission, now_us)) != NULL)
    {
      WbHandle flow = entry->flow;

      wa_queue_take (admission, entry);
      entry->state = WA_ENTRY_OPENED_WITHOUT_SLOT;
      entry->opened_ahead = TRUE;
      entry->queue_wait_us = now_us - entry->waiting_since_us;
      entry->started_us = entry->initial_delivered_us = now_us;
      g_queue_push_tail_link (&admission->opened_ahead, &entry->tenant_link);
      g_queue_push_tail_link (&admission->opened_without_slot, &entry->age_link);
      wb_counters_add (admission->counters, WA_COUNTER_OPENED_AHEAD, 1);
      admission->callbacks.admit (admission->callbacks.context, flow);
    }
}

static void
expire_reservations (WaAdmission *admission, GQueue *reserved, gint64 now_us)
{
  GList *head;

  while ((head = reserved->head) != NULL)
    {
      WaEntry *entry = head->data;

      if (now_us - entry->started_us < wa_slots_reservation_time (admission, entry))
        return;
      /* The client cannot send its payload before the server has responded. */
      if (entry->reservation_shortened && !entry->server_responded)
        {
          entry->reservation_shortened = FALSE;
          g_queue_unlink (reserved, head);
          g_queue_push_tail_link (&admission->reserved[0], head);
          continue;
        }
      wb_counters_add (admission->counters, WA_COUNTER_RESERVE_EXPIRED, 1);
      wa_slots_record_reservation (admission, entry, FALSE, now_us);
      if (!entry->server_responded)
        wa_health_no_response (admission, now_us);
      free_slot (admission, entry, now_us);
      entry->state = WA_ENTRY_OPENED_WITHOUT_SLOT;
      entry->started_us = now_us;
      g_queue_push_tail_link (&admission->opened_without_slot, &entry->age_link);
    }
}

/* Entries whose first payload is overdue no longer count as opened ahead, so that others are opened
 * in their place. */
static void
expire_opened_ahead (WaAdmission *admission, gint64 now_us)
{
  GList *head;

  while ((head = admission->opened_ahead.head) != NULL)
    {
      WaEntry *entry = head->data;

      if (now_us < wa_slots_payload_due_us (admission, entry))
        return;
      g_queue_unlink (&admission->opened_ahead, head);
      entry->opened_ahead = FALSE;
    }
}

/* Removes opened entries after the deadline of the service. Until then their wait is kept, because
 * it counts against the deadline of the first request: to the client both are one wait. */
static void
expire_opened (WaAdmission *admission, gint64 now_us)
{
  GList *head;

  while ((head = admission->opened_without_slot.head) != NULL)
    {
      const WaEntry *entry = head->data;

      if (now_us - entry->started_us < admission->deadline_us)
        return;
      wa_slots_remove_opened (admission, entry->flow, NULL);
    }
}

void
wa_slots_expire (WaAdmission *admission, gint64 now_us)
{
  expire_reservations (admission, &admission->reserved[1], now_us);
  expire_reservations (admission, &admission->reserved[0], now_us);
  expire_opened_ahead (admission, now_us);
  expire_opened (admission, now_us);
}
