#include "wa-private.h"

/* Mean slot times until some were measured. */
#define INITIAL_SHORT_SLOT_TIME_US (50 * WB_US_PER_MS)
#define INITIAL_LONG_SLOT_TIME_US (1 * WB_US_PER_S)
#define INITIAL_MIXED_SLOT_TIME_US (200 * WB_US_PER_MS)

static guint
handle_hash (gconstpointer key)
{
  const WbHandle *handle = key;

  return handle->index * 31 + handle->generation;
}

static gboolean
handle_equal (gconstpointer a, gconstpointer b)
{
  const WbHandle *left = a;
  const WbHandle *right = b;

  return left->index == right->index && left->generation == right->generation;
}

static void
tenant_queue_free (gpointer data)
{
  WaTenantQueue *tenant = data;
  guint i;

  for (i = 0; i < WC_N_CLASSES; i++)
    {
      wb_histogram_free (tenant->wait_histogram[i]);
      wb_histogram_free (tenant->service_histogram[i]);
    }
  g_free (tenant);
}

static void
add_tenant_queue (WaAdmission *admission, WaLevel level, guint weight)
{
  WaTenantQueue *tenant = g_new0 (WaTenantQueue, 1);

  tenant->weight = MAX (1, weight);
  g_queue_init (&tenant->waiting);
  g_ptr_array_add (admission->tenants[level], tenant);
}

/* Limits before the first configuration: a balancer that has one may already forward flows to an
 * agent that has just started. */
#define UNCONFIGURED_QUEUE_LIMIT 64
#define UNCONFIGURED_DEADLINE_US (1 * WB_US_PER_S)
#define UNCONFIGURED_OPEN_RESERVE_US (100 * WB_US_PER_MS)

WaAdmission *
wa_admission_new (
    guint64 self_id, const WaCallbacks *callbacks, guint32 seed, gboolean cold, gint64 now_us)
{
  WaAdmission *admission = g_new0 (WaAdmission, 1);
  guint level;

  admission->self_id = self_id;
  admission->callbacks = *callbacks;
  admission->random = g_rand_new_with_seed (seed);
  admission->counters = wa_counters_new ();
  admission->slots = 1;
  admission->queue_limit = UNCONFIGURED_QUEUE_LIMIT;
  admission->deadline_us = UNCONFIGURED_DEADLINE_US;
  admission->open_reserve_us = UNCONFIGURED_OPEN_RESERVE_US;
  admission->cold_since_us = cold ? now_us : WB_NEVER;
  wa_cold_window_init (&admission->cold_window);
  wa_cold_window_use_up (&admission->cold_window, now_us);
  admission->cold_overage = 1;
  admission->entries = g_hash_table_new_full (handle_hash, handle_equal, NULL, g_free);
  admission->placements = g_hash_table_new_full (handle_hash, handle_equal, NULL, g_free);
  admission->peers = g_ptr_array_new_with_free_func (g_free);
  admission->pulls = g_array_new (FALSE, FALSE, sizeof (WaPull));
  admission->next_request_id = g_rand_int (admission->random);
  admission->next_pull_id = g_rand_int (admission->random);
  admission->last_sweep_us = now_us;
  admission->mean_short_slots_us = now_us;
  admission->mean_slot_time_us[WC_CLASS_SHORT] = INITIAL_SHORT_SLOT_TIME_US;
  admission->mean_slot_time_us[WC_CLASS_LONG] = INITIAL_LONG_SLOT_TIME_US;
  admission->mean_slot_time_us[WC_CLASS_MIXED] = INITIAL_MIXED_SLOT_TIME_US;
  g_queue_init (&admission->opened_without_slot);
  g_queue_init (&admission->opened_ahead);
  g_queue_init (&admission->reserved[0]);
  g_queue_init (&admission->reserved[1]);
  admission->reservation_used_share = 1;
  g_queue_init (&admission->pending_placements);
  for (level = 0; level < WA_N_LEVELS; level++)
    {
      g_queue_init (&admission->by_age[level]);
      admission->tenants[level] = g_ptr_array_new_with_free_func (tenant_queue_free);
      add_tenant_queue (admission, level, 1);
    }
  return admission;
}

void
wa_admission_free (WaAdmission *admission)
{
  guint level;

  if (admission == NULL)
    return;
  for (level = 0; level < WA_N_LEVELS; level++)
    g_ptr_array_unref (admission->tenants[level]);
  g_hash_table_unref (admission->entries);
  g_hash_table_unref (admission->placements);
  g_ptr_array_unref (admission->peers);
  g_array_unref (admission->pulls);
  wb_counters_free (admission->counters);
  wc_config_unref (admission->config);
  wa_cold_window_clear (&admission->cold_window);
  g_rand_free (admission->random);
  g_free (admission);
}

static void
set_tenant_weight (WaAdmission *admission, WaLevel level, WaTenantQueue *tenant, guint weight)
{
  weight = MAX (1, weight);
  if (tenant->waiting.length > 0)
    admission->active_weight[level] += weight - tenant->weight;
  tenant->weight = weight;
}

static void
apply_tenants (WaAdmission *admission, const WcConfig *config)
{
  guint level, i;

  for (level = 0; level < WA_N_LEVELS; level++)
    for (i = 0; i < config->tenants->len; i++)
      {
        const WcTenant *tenant = g_ptr_array_index (config->tenants, i);

        if (i < admission->tenants[level]->len)
          set_tenant_weight (admission, level, wa_tenant_queue (admission, level, i),
                             tenant->weight);
        else
          add_tenant_queue (admission, level, tenant->weight);
      }
}

void
wa_admission_set_config (WaAdmission *admission, WcConfig *config, const WcService *service)
{
  WcConfig *previous = admission->config;

  admission->config = wc_config_ref (config);
  wc_config_unref (previous);
  apply_tenants (admission, config);
  if (service == NULL)
    return;
  admission->service_id = service->id;
  if (!admission->capacity_announced)
    {
      admission->slots = MAX (1, service->slots);
      admission->cold_start_us = service->cold_start_us;
    }
  admission->reserve_short = MIN (service->reserve_short, admission->slots - 1);
  admission->queue_limit = service->queue_limit;
  admission->deadline_us = service->deadline_us;
  admission->open_reserve_us = service->open_reserve_us;
  wa_budget_set_rate (admission, service->cold_per_s);
}

void
wa_admission_set_capacity (WaAdmission *admission, guint slots, gint64 cold_us, gint64 now_us)
{
  admission->capacity_announced = TRUE;
  admission->slots = MAX (1, slots);
  admission->reserve_short = MIN (admission->reserve_short, admission->slots - 1);
  admission->cold_since_us = cold_us > 0 ? now_us : WB_NEVER;
  admission->cold_start_us = cold_us;
  wa_budget_update (admission, now_us);
}

void
wa_admission_set_policy (WaAdmission *admission, WaPolicy policy)
{
  admission->policy = policy;
}

void
wa_admission_set_ignores_speed (WaAdmission *admission, gboolean ignores_speed)
{
  admission->ignores_speed = ignores_speed;
}

void
wa_admission_set_draining (WaAdmission *admission, gboolean draining, gint64 now_us)
{
  admission->draining = draining;
  if (draining)
    wa_pull_hand_over_queue (admission, now_us);
}

static WaEntry *
add_entry (WaAdmission *admission, WbHandle flow, WcClass class, guint tenant)
{
  WaEntry *entry = g_new0 (WaEntry, 1);

  entry->flow = flow;
  entry->class = class;
  /* A tenant that a later configuration adds must not move the entry out of the queue of
   * WC_TENANT_OTHER, in which it is counted. */
  entry->tenant = tenant < admission->tenants[0]->len ? tenant : WC_TENANT_OTHER;
  entry->admit_by_us = WB_NEVER;
  entry->age_link.data = entry;
  entry->tenant_link.data = entry;
  g_hash_table_insert (admission->entries, &entry->flow, entry);
  return entry;
}

/* Allocated on first use: most tenants have requests of one class only, and a histogram takes
 * 8 KB. */
void
wa_histogram_record (WbHistogram **histogram, gint64 value)
{
  if (*histogram == NULL)
    *histogram = wb_histogram_new ();
  wb_histogram_record (*histogram, value);
}

static WaVerdict
admit_now (WaAdmission *admission,
           WbHandle flow,
           WcClass class,
           guint tenant,
           gboolean is_initial,
           gint64 now_us)
{
  WaEntry *entry = add_entry (admission, flow, class, tenant);

  wa_slots_acquire (admission, entry, is_initial ? WA_ENTRY_RESERVED : WA_ENTRY_IN_PROGRESS,
                    now_us);
  if (!is_initial)
    wa_budget_count_request (admission, now_us);
  wa_histogram_record (&wa_tenant_queue (admission, wa_level_for_class (class), entry->tenant)
                            ->wait_histogram[class],
                       0);
  wb_counters_add (admission->counters, WA_COUNTER_ADMITTED, 1);
  return WA_ADMITTED;
}

static WaVerdict
enqueue (WaAdmission *admission,
         WbHandle flow,
         WcClass class,
         guint tenant,
         gboolean is_initial,
         gint64 waited_us,
         gboolean opened_ahead,
         gint64 now_us)
{
  WaEntry *entry = add_entry (admission, flow, class, tenant);

  entry->state = is_initial ? WA_ENTRY_QUEUED_INITIAL : WA_ENTRY_QUEUED_REQUEST;
  entry->waiting_since_us = now_us - waited_us;
  entry->opened_ahead = opened_ahead;
  if (opened_ahead)
    admission->opened_ahead_queued++;
  wa_queue_push (admission, entry);
  if (is_initial)
    wa_pull_send_offers (admission, now_us);
  return WA_QUEUED;
}

static WaVerdict
refuse_now (WaAdmission *admission, guint *retry_after_s, gint64 now_us)
{
  if (retry_after_s != NULL)
    *retry_after_s = wa_refuse_retry_after (admission, now_us);
  return WA_REFUSED;
}

WaVerdict
wa_admission_open_for (WaAdmission *admission,
                       WbHandle flow,
                       const WaArrival *arrival,
                       guint *retry_after_s,
                       gint64 now_us)
{
  const WaEntry *entry;
  gboolean hand_over = wa_pull_must_hand_over (admission, now_us);

  wa_place_cancel (admission, flow);
  entry = wa_entry_find (admission, flow);
  /* A retransmission of a delivered initial packet is delivered too. */
  if (entry != NULL)
    return wa_entry_is_queued (entry) ? WA_QUEUED : WA_ADMITTED;
  wa_pull_complete_oldest (admission);
  if (!hand_over && wa_slots_available (admission, wa_level_for_class (arrival->class), now_us))
    return admit_now (admission, flow, arrival->class, arrival->tenant, TRUE, now_us);
  wa_budget_count_held_back (admission, wa_level_for_class (arrival->class), now_us);
  if (wa_refuse_on_arrival (admission, arrival, now_us))
    return refuse_now (admission, retry_after_s, now_us);
  /* The next tick hands it over, because the caller does not expect a grant before this returns. */
  admission->hand_over_due |= hand_over;
  (void) enqueue (admission, flow, arrival->class, arrival->tenant, TRUE, arrival->waited_us, FALSE,
                  now_us);
  wa_admission_set_objective (admission, flow, arrival->priority, arrival->objective_us, now_us);
  return WA_QUEUED;
}

WaVerdict
wa_admission_open (WaAdmission *admission,
                   WbHandle flow,
                   WcClass class,
                   guint tenant,
                   gint64 waited_us,
                   guint *retry_after_s,
                   gint64 now_us)
{
  WaArrival arrival = { .class = class, .tenant = tenant, .waited_us = waited_us };

  return wa_admission_open_for (admission, flow, &arrival, retry_after_s, now_us);
}

void
wa_admission_set_objective (
    WaAdmission *admission, WbHandle flow, guint priority, gint64 objective_us, gint64 now_us)
{
  WaEntry *entry = wa_entry_find (admission, flow);

  if (entry == NULL || !wa_entry_is_queued (entry))
    return;
  entry->priority = priority;
  if (objective_us > 0)
    entry->admit_by_us =
        entry->waiting_since_us + objective_us - admission->mean_slot_time_us[entry->class];
}

static void
use_reservation (WaAdmission *admission, WaEntry *entry, gint64 now_us)
{
  g_queue_unlink (&admission->reserved[entry->reservation_shortened], &entry->age_link);
  wa_slots_record_reservation (admission, entry, TRUE, now_us);
  entry->state = WA_ENTRY_IN_PROGRESS;
  entry->request_started_us = now_us;
  wa_budget_count_request (admission, now_us);
}

WaVerdict
wa_admission_request (WaAdmission *admission,
                      WbHandle flow,
                      WcClass class,
                      guint tenant,
                      guint *retry_after_s,
                      gint64 now_us)
{
  gboolean opened_ahead;
  gint64 waited_us = wa_slots_remove_opened (admission, flow, &opened_ahead);
  WaArrival arrival = { .class = class, .tenant = tenant, .waited_us = waited_us };
  WaEntry *entry = wa_entry_find (admission, flow);

  if (entry == NULL && wa_slots_available (admission, wa_level_for_class (class), now_us))
    return admit_now (admission, flow, class, tenant, FALSE, now_us);
  if (entry == NULL)
    wa_budget_count_held_back (admission, wa_level_for_class (class), now_us);
  if (entry == NULL && wa_refuse_on_arrival (admission, &arrival, now_us))
    return refuse_now (admission, retry_after_s, now_us);
  if (entry == NULL)
    return enqueue (admission, flow, class, tenant, FALSE, waited_us, opened_ahead, now_us);
  if (entry->state == WA_ENTRY_RESERVED)
    use_reservation (admission, entry, now_us);
  return entry->state == WA_ENTRY_IN_PROGRESS ? WA_ADMITTED : WA_QUEUED;
}

void
wa_admission_start_request (
    WaAdmission *admission, WbHandle flow, WcClass class, guint tenant, gint64 now_us)
{
  WaEntry *entry;

  wa_slots_remove_opened (admission, flow, NULL);
  entry = wa_entry_find (admission, flow);
  if (entry == NULL)
    {
      wa_slots_acquire (admission, add_entry (admission, flow, class, tenant), WA_ENTRY_IN_PROGRESS,
                        now_us);
      wa_budget_count_request (admission, now_us);
    }
  else if (entry->state == WA_ENTRY_RESERVED)
    use_reservation (admission, entry, now_us);
}

void
wa_admission_recover_request (
    WaAdmission *admission, WbHandle flow, WcClass class, guint tenant, gint64 now_us)
{
  WaEntry *entry;

  wa_slots_remove_opened (admission, flow, NULL);
  if (wa_entry_find (admission, flow) != NULL)
    return;
  entry = add_entry (admission, flow, class, tenant);
  wa_slots_acquire (admission, entry, WA_ENTRY_IN_PROGRESS, now_us);
  entry->request_started_us = 0; /* not known; no service time is recorded */
}

void
wa_admission_request_delivered (WaAdmission *admission, gint64 now_us)
{
  wa_budget_count_request (admission, now_us);
}

void
wa_admission_server_responded (WaAdmission *admission, WbHandle flow, gint64 now_us)
{
  WaEntry *entry = wa_entry_find (admission, flow);

  wa_health_server_responded (admission);
  if (entry != NULL)
    entry->server_responded = TRUE;
}

void
wa_admission_packet_returned (WaAdmission *admission, WbHandle flow, gint64 now_us)
{
  wa_health_packet_returned (admission, now_us);
  wa_admission_remove (admission, flow, now_us);
}

void
wa_admission_finish_request (WaAdmission *admission, WbHandle flow, gint64 now_us)
{
  WaEntry *entry = wa_entry_find (admission, flow);

  if (entry == NULL || (entry->state != WA_ENTRY_IN_PROGRESS && entry->state != WA_ENTRY_RESERVED))
    return;
  wa_slots_release (admission, entry, now_us);
  wa_queue_dispatch (admission, now_us);
}

void
wa_admission_remove (WaAdmission *admission, WbHandle flow, gint64 now_us)
{
  WaEntry *entry;

  wa_place_cancel (admission, flow);
  wa_slots_remove_opened (admission, flow, NULL);
  entry = wa_entry_find (admission, flow);
  if (entry == NULL)
    return;
  if (entry->state == WA_ENTRY_IN_PROGRESS || entry->state == WA_ENTRY_RESERVED)
    {
      wa_slots_release (admission, entry, now_us);
      wa_queue_dispatch (admission, now_us);
      return;
    }
  wa_queue_delete (admission, entry);
  wb_counters_add (admission->counters, WA_COUNTER_GONE_WAITING, 1);
}

void
wa_admission_tick (WaAdmission *admission, gint64 now_us)
{
  wa_budget_update (admission, now_us);
  wa_place_expire (admission, now_us);
  wa_pull_expire (admission, now_us);
  wa_slots_expire (admission, now_us);
  wa_refuse_sweep (admission, now_us);
  admission->hand_over_due = FALSE;
  if (wa_pull_must_hand_over (admission, now_us))
    wa_pull_hand_over_queue (admission, now_us);
  wa_queue_dispatch (admission, now_us);
}

gint64
wa_admission_next_us (const WaAdmission *admission)
{
  gint64 next_us = WB_NEVER;
  guint i;

  /* A time in the past: the tick is due at once. */
  if (admission->hand_over_due)
    return admission->last_sweep_us;
  if (admission->pending_placements.head != NULL)
    next_us = MIN (next_us, ((WaPlacement *) admission->pending_placements.head->data)->expires_us);
  if (admission->pulls->len > 0)
    next_us = MIN (next_us, g_array_index (admission->pulls, WaPull, 0).expires_us);
  for (i = 0; i < G_N_ELEMENTS (admission->reserved); i++)
    if (admission->reserved[i].head != NULL)
      {
        const WaEntry *entry = admission->reserved[i].head->data;

        next_us = MIN (next_us, entry->started_us + wa_slots_reservation_time (admission, entry));
      }
  if (admission->opened_ahead.head != NULL)
    next_us =
        MIN (next_us, wa_slots_payload_due_us (admission, admission->opened_ahead.head->data));
  if (admission->opened_without_slot.head != NULL)
    next_us = MIN (next_us, ((WaEntry *) admission->opened_without_slot.head->data)->started_us +
                                admission->deadline_us);
  if (wa_queue_length (admission) > 0)
    next_us = MIN (next_us, admission->last_sweep_us + WA_SWEEP_INTERVAL_US);
  return MIN (next_us, wa_budget_next_us (admission));
}

ww_occupancy
wa_admission_occupancy (const WaAdmission *admission, gint64 now_us)
{
  ww_occupancy occupancy = { 0 };

  occupancy.slots = wa_slots_usable (admission, now_us);
  occupancy.flags = wa_health_service_time_flags (admission);
  occupancy.busy = wa_slots_in_use (admission) + admission->pulls->len;
  occupancy.waiting_short = admission->by_age[WA_LEVEL_SHORT].length;
  occupancy.waiting_long = admission->by_age[WA_LEVEL_LONG].length;
  if (admission->draining)
    occupancy.flags |= WA_OCCUPANCY_DRAINING;
  if (wa_slots_server_is_cold (admission, now_us))
    {
      occupancy.flags |= WA_OCCUPANCY_COLD;
      occupancy.slots = MAX (1, admission->slots / 2);
    }
  if (wa_health_not_answering (admission, now_us))
    {
      occupancy.flags |= WA_OCCUPANCY_NOT_ANSWERING;
      occupancy.busy = MAX (occupancy.busy, occupancy.slots);
    }
  if (wa_health_is_slow (admission, now_us))
    occupancy.slots = MAX (1, occupancy.slots / 2);
  if (wa_budget_units (admission, now_us) <= admission->pulls->len)
    occupancy.busy = MAX (occupancy.busy, occupancy.slots);
  return occupancy;
}

const WbCounters *
wa_admission_counters (const WaAdmission *admission)
{
  return admission->counters;
}

static const WaTenantQueue *
find_tenant_queue (const WaAdmission *admission, WcClass class, guint tenant)
{
  const GPtrArray *tenants = admission->tenants[wa_level_for_class (class)];

  return tenant < tenants->len ? g_ptr_array_index (tenants, tenant) : NULL;
}

const WbHistogram *
wa_admission_wait_histogram (const WaAdmission *admission, WcClass class, guint tenant)
{
  const WaTenantQueue *found = find_tenant_queue (admission, class, tenant);

  return found != NULL ? found->wait_histogram[class] : NULL;
}

const WbHistogram *
wa_admission_service_histogram (const WaAdmission *admission, WcClass class, guint tenant)
{
  const WaTenantQueue *found = find_tenant_queue (admission, class, tenant);

  return found != NULL ? found->service_histogram[class] : NULL;
}

guint
wa_admission_slots_in_use (const WaAdmission *admission)
{
  return wa_slots_in_use (admission);
}

guint
wa_admission_queue_length (const WaAdmission *admission)
{
  return wa_queue_length (admission);
}
