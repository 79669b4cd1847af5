#include "wa-private.h"

/* Mean service times before anything was measured. */
#define INITIAL_SHORT_US (50 * WB_US_PER_MS)
#define INITIAL_LONG_US (1 * WB_US_PER_S)
#define INITIAL_MIXED_US (200 * WB_US_PER_MS)

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
tenant_free (gpointer data)
{
  WaTenant *tenant = data;
  guint i;

  for (i = 0; i < WC_N_CLASSES; i++)
    {
      wb_histogram_free (tenant->wait[i]);
      wb_histogram_free (tenant->service[i]);
    }
  g_free (tenant);
}

static void
add_tenant (WaAdmission *admission, WaLevel level, guint weight)
{
  WaTenant *tenant = g_new0 (WaTenant, 1);

  tenant->weight = MAX (1, weight);
  g_queue_init (&tenant->waiting);
  g_ptr_array_add (admission->tenants[level], tenant);
}

/* Limits until a configuration is known: an agent that has just started serves what balancers with
 * a configuration send to it. */
#define UNCONFIGURED_QUEUE 64
#define UNCONFIGURED_DEADLINE_US (1 * WB_US_PER_S)
#define UNCONFIGURED_RESERVE_US (100 * WB_US_PER_MS)

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
  admission->queue_limit = UNCONFIGURED_QUEUE;
  admission->deadline_us = UNCONFIGURED_DEADLINE_US;
  admission->open_reserve_us = UNCONFIGURED_RESERVE_US;
  admission->started_us = cold ? now_us : WB_NEVER;
  admission->entries = g_hash_table_new_full (handle_hash, handle_equal, NULL, g_free);
  admission->placements = g_hash_table_new_full (handle_hash, handle_equal, NULL, g_free);
  admission->peers = g_ptr_array_new_with_free_func (g_free);
  admission->pulls = g_array_new (FALSE, FALSE, sizeof (WaPull));
  admission->next_request_id = g_rand_int (admission->random);
  admission->next_pull_id = g_rand_int (admission->random);
  admission->swept_us = now_us;
  admission->short_use_us = now_us;
  admission->mean_service_us[WC_CLASS_SHORT] = INITIAL_SHORT_US;
  admission->mean_service_us[WC_CLASS_LONG] = INITIAL_LONG_US;
  admission->mean_service_us[WC_CLASS_MIXED] = INITIAL_MIXED_US;
  g_queue_init (&admission->opened);
  g_queue_init (&admission->ahead);
  g_queue_init (&admission->reserved[0]);
  g_queue_init (&admission->reserved[1]);
  admission->reserve_used = 1;
  g_queue_init (&admission->placing);
  for (level = 0; level < WA_N_LEVELS; level++)
    {
      g_queue_init (&admission->by_age[level]);
      admission->tenants[level] = g_ptr_array_new_with_free_func (tenant_free);
      add_tenant (admission, level, 1);
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
  g_rand_free (admission->random);
  g_free (admission);
}

static void
set_weight (WaAdmission *admission, WaLevel level, WaTenant *tenant, guint weight)
{
  weight = MAX (1, weight);
  if (tenant->waiting.length > 0)
    admission->active_weight[level] += weight - tenant->weight;
  tenant->weight = weight;
}

static void
set_tenants (WaAdmission *admission, const WcConfig *config)
{
  guint level, i;

  for (level = 0; level < WA_N_LEVELS; level++)
    for (i = 0; i < config->tenants->len; i++)
      {
        const WcTenant *tenant = g_ptr_array_index (config->tenants, i);

        if (i < admission->tenants[level]->len)
          set_weight (admission, level, wa_tenant (admission, level, i), tenant->weight);
        else
          add_tenant (admission, level, tenant->weight);
      }
}

void
wa_admission_set_config (WaAdmission *admission, WcConfig *config, const WcService *service)
{
  WcConfig *previous = admission->config;

  admission->config = wc_config_ref (config);
  wc_config_unref (previous);
  set_tenants (admission, config);
  if (service == NULL)
    return;
  admission->service_id = service->id;
  if (!admission->server_known)
    {
      admission->slots = MAX (1, service->slots);
      admission->cold_start_us = service->cold_start_us;
    }
  admission->reserve_short = MIN (service->reserve_short, admission->slots - 1);
  admission->queue_limit = service->queue_limit;
  admission->deadline_us = service->deadline_us;
  admission->open_reserve_us = service->open_reserve_us;
}

void
wa_admission_set_capacity (WaAdmission *admission, guint slots, gint64 cold_us, gint64 now_us)
{
  admission->server_known = TRUE;
  admission->slots = MAX (1, slots);
  admission->reserve_short = MIN (admission->reserve_short, admission->slots - 1);
  admission->started_us = cold_us > 0 ? now_us : WB_NEVER;
  admission->cold_start_us = cold_us;
}

void
wa_admission_set_policy (WaAdmission *admission, WaPolicy policy)
{
  admission->policy = policy;
}

void
wa_admission_set_draining (WaAdmission *admission, gboolean draining, gint64 now_us)
{
  admission->draining = draining;
  if (draining)
    wa_pull_hand_over (admission, now_us);
}

static WaEntry *
add_entry (WaAdmission *admission, WbHandle flow, WcClass class, guint tenant)
{
  WaEntry *entry = g_new0 (WaEntry, 1);

  entry->flow = flow;
  entry->class = class;
  /* A later configuration may add tenants; the entry stays where it was counted. */
  entry->tenant = tenant < admission->tenants[0]->len ? tenant : WC_TENANT_OTHER;
  entry->on_time_us = WB_NEVER;
  entry->by_age.data = entry;
  entry->by_tenant.data = entry;
  g_hash_table_insert (admission->entries, &entry->flow, entry);
  return entry;
}

/* Most tenants have requests of one class only, and a histogram takes 8 KB. */
void
wa_record (WbHistogram **histogram, gint64 value)
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
           gboolean initial,
           gint64 now_us)
{
  WaEntry *entry = add_entry (admission, flow, class, tenant);

  wa_slots_take (admission, entry, initial ? WA_ENTRY_RESERVED : WA_ENTRY_BUSY, now_us);
  wa_record (&wa_tenant (admission, wa_level (class), entry->tenant)->wait[class], 0);
  wb_counters_add (admission->counters, WA_COUNTER_ADMITTED, 1);
  return WA_ADMITTED;
}

static WaVerdict
queue_up (WaAdmission *admission,
          WbHandle flow,
          WcClass class,
          guint tenant,
          gboolean initial,
          gint64 waited_us,
          gboolean ahead,
          gint64 now_us)
{
  WaEntry *entry = add_entry (admission, flow, class, tenant);

  entry->state = initial ? WA_ENTRY_WAITING_OPEN : WA_ENTRY_WAITING_REQUEST;
  entry->queued_us = now_us - waited_us;
  entry->ahead = ahead;
  if (ahead)
    admission->ahead_queued++;
  wa_queue_push (admission, entry);
  if (initial)
    wa_pull_offer (admission, now_us);
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
wa_admission_open (WaAdmission *admission,
                   WbHandle flow,
                   WcClass class,
                   guint tenant,
                   gint64 waited_us,
                   guint *retry_after_s,
                   gint64 now_us)
{
  const WaEntry *entry;
  gboolean hand_over = wa_pull_hands_over (admission, now_us);

  wa_place_cancel (admission, flow);
  entry = wa_entry_get (admission, flow);
  /* A repeated initial packet whose first copy was delivered is delivered again. */
  if (entry != NULL)
    return wa_entry_waits (entry) ? WA_QUEUED : WA_ADMITTED;
  wa_pull_settle (admission);
  if (!hand_over && wa_slots_free (admission, wa_level (class), now_us))
    return admit_now (admission, flow, class, tenant, TRUE, now_us);
  if (wa_refuse_on_arrival (admission, class, tenant, waited_us, now_us))
    return refuse_now (admission, retry_after_s, now_us);
  /* Handed over by the next tick, because the caller does not expect a grant before this returns.
   */
  admission->hand_over_due |= hand_over;
  return queue_up (admission, flow, class, tenant, TRUE, waited_us, FALSE, now_us);
}

void
wa_admission_set_objective (
    WaAdmission *admission, WbHandle flow, guint priority, gint64 objective_us, gint64 now_us)
{
  WaEntry *entry = wa_entry_get (admission, flow);

  if (entry == NULL || !wa_entry_waits (entry))
    return;
  entry->priority = priority;
  if (objective_us > 0)
    entry->on_time_us = entry->queued_us + objective_us - admission->mean_service_us[entry->class];
}

static void
use_reservation (WaAdmission *admission, WaEntry *entry, gint64 now_us)
{
  g_queue_unlink (&admission->reserved[entry->brief], &entry->by_age);
  wa_slots_reserve_used (admission, entry, TRUE, now_us);
  entry->state = WA_ENTRY_BUSY;
  entry->requested_us = now_us;
}

WaVerdict
wa_admission_request (WaAdmission *admission,
                      WbHandle flow,
                      WcClass class,
                      guint tenant,
                      guint *retry_after_s,
                      gint64 now_us)
{
  gboolean ahead;
  gint64 waited_us = wa_slots_forget_opened (admission, flow, &ahead);
  WaEntry *entry = wa_entry_get (admission, flow);

  if (entry == NULL && wa_slots_free (admission, wa_level (class), now_us))
    return admit_now (admission, flow, class, tenant, FALSE, now_us);
  if (entry == NULL && wa_refuse_on_arrival (admission, class, tenant, waited_us, now_us))
    return refuse_now (admission, retry_after_s, now_us);
  if (entry == NULL)
    return queue_up (admission, flow, class, tenant, FALSE, waited_us, ahead, now_us);
  if (entry->state == WA_ENTRY_RESERVED)
    use_reservation (admission, entry, now_us);
  return entry->state == WA_ENTRY_BUSY ? WA_ADMITTED : WA_QUEUED;
}

void
wa_admission_start_request (
    WaAdmission *admission, WbHandle flow, WcClass class, guint tenant, gint64 now_us)
{
  WaEntry *entry;

  wa_slots_forget_opened (admission, flow, NULL);
  entry = wa_entry_get (admission, flow);
  if (entry == NULL)
    wa_slots_take (admission, add_entry (admission, flow, class, tenant), WA_ENTRY_BUSY, now_us);
  else if (entry->state == WA_ENTRY_RESERVED)
    use_reservation (admission, entry, now_us);
}

void
wa_admission_recover_request (
    WaAdmission *admission, WbHandle flow, WcClass class, guint tenant, gint64 now_us)
{
  WaEntry *entry;

  wa_slots_forget_opened (admission, flow, NULL);
  if (wa_entry_get (admission, flow) != NULL)
    return;
  entry = add_entry (admission, flow, class, tenant);
  wa_slots_take (admission, entry, WA_ENTRY_BUSY, now_us);
  entry->requested_us = 0; /* the beginning of the request is not known */
}

void
wa_admission_answered (WaAdmission *admission, WbHandle flow, gint64 now_us)
{
  WaEntry *entry = wa_entry_get (admission, flow);

  wa_evidence_answered (admission);
  if (entry != NULL)
    entry->answered = TRUE;
}

void
wa_admission_returned (WaAdmission *admission, WbHandle flow, gint64 now_us)
{
  wa_evidence_returned (admission, now_us);
  wa_admission_remove (admission, flow, now_us);
}

void
wa_admission_finish_request (WaAdmission *admission, WbHandle flow, gint64 now_us)
{
  WaEntry *entry = wa_entry_get (admission, flow);

  if (entry == NULL || (entry->state != WA_ENTRY_BUSY && entry->state != WA_ENTRY_RESERVED))
    return;
  wa_slots_release (admission, entry, now_us);
  wa_queue_dispatch (admission, now_us);
}

void
wa_admission_remove (WaAdmission *admission, WbHandle flow, gint64 now_us)
{
  WaEntry *entry;

  wa_place_cancel (admission, flow);
  wa_slots_forget_opened (admission, flow, NULL);
  entry = wa_entry_get (admission, flow);
  if (entry == NULL)
    return;
  if (entry->state == WA_ENTRY_BUSY || entry->state == WA_ENTRY_RESERVED)
    {
      wa_slots_release (admission, entry, now_us);
      wa_queue_dispatch (admission, now_us);
      return;
    }
  wa_queue_drop (admission, entry);
  wb_counters_add (admission->counters, WA_COUNTER_GONE_WAITING, 1);
}

void
wa_admission_tick (WaAdmission *admission, gint64 now_us)
{
  wa_place_expire (admission, now_us);
  wa_pull_expire (admission, now_us);
  wa_slots_expire (admission, now_us);
  wa_refuse_sweep (admission, now_us);
  admission->hand_over_due = FALSE;
  if (wa_pull_hands_over (admission, now_us))
    wa_pull_hand_over (admission, now_us);
  wa_queue_dispatch (admission, now_us);
}

gint64
wa_admission_next_us (const WaAdmission *admission)
{
  gint64 next_us = WB_NEVER;
  guint i;

  if (admission->hand_over_due)
    return admission->swept_us;
  if (admission->placing.head != NULL)
    next_us = MIN (next_us, ((WaPlacement *) admission->placing.head->data)->due_us);
  if (admission->pulls->len > 0)
    next_us = MIN (next_us, g_array_index (admission->pulls, WaPull, 0).due_us);
  for (i = 0; i < G_N_ELEMENTS (admission->reserved); i++)
    if (admission->reserved[i].head != NULL)
      {
        const WaEntry *entry = admission->reserved[i].head->data;

        next_us = MIN (next_us, entry->started_us + wa_slots_reserve_time (admission, entry));
      }
  if (admission->ahead.head != NULL)
    next_us = MIN (next_us, wa_slots_ahead_until (admission, admission->ahead.head->data));
  if (admission->opened.head != NULL)
    next_us = MIN (next_us,
                   ((WaEntry *) admission->opened.head->data)->started_us + admission->deadline_us);
  if (wa_queue_length (admission) > 0)
    next_us = MIN (next_us, admission->swept_us + WA_SWEEP_INTERVAL_US);
  return next_us;
}

ww_occupancy
wa_admission_occupancy (const WaAdmission *admission, gint64 now_us)
{
  ww_occupancy occupancy = { 0 };

  occupancy.slots = wa_slots_usable (admission, now_us);
  occupancy.flags = wa_evidence_flags (admission);
  occupancy.busy = wa_slots_busy (admission) + admission->pulls->len;
  occupancy.waiting_short = admission->by_age[WA_LEVEL_SHORT].length;
  occupancy.waiting_long = admission->by_age[WA_LEVEL_REST].length;
  if (admission->draining)
    occupancy.flags |= WA_OCCUPANCY_DRAINING;
  if (wa_slots_cold (admission, now_us))
    {
      occupancy.flags |= WA_OCCUPANCY_COLD;
      occupancy.slots = MAX (1, admission->slots / 2);
    }
  if (wa_evidence_not_answering (admission, now_us))
    {
      occupancy.flags |= WA_OCCUPANCY_NOT_ANSWERING;
      occupancy.busy = MAX (occupancy.busy, occupancy.slots);
    }
  if (wa_evidence_is_slow (admission, now_us))
    occupancy.slots = MAX (1, occupancy.slots / 2);
  return occupancy;
}

const WbCounters *
wa_admission_counters (const WaAdmission *admission)
{
  return admission->counters;
}

static const WaTenant *
find_tenant (const WaAdmission *admission, WcClass class, guint tenant)
{
  const GPtrArray *tenants = admission->tenants[wa_level (class)];

  return tenant < tenants->len ? g_ptr_array_index (tenants, tenant) : NULL;
}

const WbHistogram *
wa_admission_wait_histogram (const WaAdmission *admission, WcClass class, guint tenant)
{
  const WaTenant *found = find_tenant (admission, class, tenant);

  return found != NULL ? found->wait[class] : NULL;
}

const WbHistogram *
wa_admission_service_histogram (const WaAdmission *admission, WcClass class, guint tenant)
{
  const WaTenant *found = find_tenant (admission, class, tenant);

  return found != NULL ? found->service[class] : NULL;
}

guint
wa_admission_in_use (const WaAdmission *admission)
{
  return wa_slots_busy (admission);
}

guint
wa_admission_waiting (const WaAdmission *admission)
{
  return wa_queue_length (admission);
}
