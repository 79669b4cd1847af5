#include "wa-private.h"

/* At least one admission in this many is that of a tenant's oldest entry, whether or not it can
 * meet its objective. */
#define OLDEST_EVERY 8

WaTenantQueue *
wa_tenant_queue (WaAdmission *admission, WaLevel level, guint tenant)
{
  GPtrArray *tenants = admission->tenants[level];

  return g_ptr_array_index (tenants, tenant < tenants->len ? tenant : WC_TENANT_OTHER);
}

/* A tenant that had no work for a time starts from the lowest weighted slot time of the active
 * tenants, so that it cannot claim the time that it did not use. */
static void
activate_tenant (WaAdmission *admission, WaLevel level, WaTenantQueue *tenant)
{
  GPtrArray *tenants = admission->tenants[level];
  gdouble lowest_us = G_MAXDOUBLE;
  guint i;

  if (tenant->slots_in_use > 0 || tenant->waiting.length > 0)
    return;
  for (i = 0; i < tenants->len; i++)
    {
      const WaTenantQueue *other = g_ptr_array_index (tenants, i);

      if (other != tenant && (other->slots_in_use > 0 || other->waiting.length > 0))
        lowest_us = MIN (lowest_us, other->weighted_slot_time_us);
    }
  if (lowest_us < G_MAXDOUBLE)
    tenant->weighted_slot_time_us = MAX (tenant->weighted_slot_time_us, lowest_us);
}

/* Inserts in the order of waiting_since_us. Searches from the tail, where most entries belong. */
static void
insert_by_age (GQueue *queue, GList *link)
{
  gint64 waiting_since_us = ((const WaEntry *) link->data)->waiting_since_us;
  GList *previous = queue->tail;

  while (previous != NULL &&
         ((const WaEntry *) previous->data)->waiting_since_us > waiting_since_us)
    previous = previous->prev;
  if (previous == NULL)
    g_queue_push_head_link (queue, link);
  else
    g_queue_insert_after_link (queue, previous, link);
}

void
wa_queue_push (WaAdmission *admission, WaEntry *entry)
{
  WaLevel level = wa_level_for_class (entry->class);
  WaTenantQueue *tenant = wa_tenant_queue (admission, level, entry->tenant);

  activate_tenant (admission, level, tenant);
  if (tenant->waiting.length == 0)
    admission->active_weight[level] += tenant->weight;
  insert_by_age (&tenant->waiting, &entry->tenant_link);
  insert_by_age (&admission->by_age[level], &entry->age_link);
  tenant->waiting_by_class[entry->class]++;
  admission->waiting_by_class[entry->class]++;
  wb_counters_add (admission->counters, WA_COUNTER_QUEUED, 1);
}

void
wa_queue_unlink (WaAdmission *admission, WaEntry *entry)
{
  WaLevel level = wa_level_for_class (entry->class);
  WaTenantQueue *tenant = wa_tenant_queue (admission, level, entry->tenant);

  g_queue_unlink (&tenant->waiting, &entry->tenant_link);
  g_queue_unlink (&admission->by_age[level], &entry->age_link);
  if (tenant->waiting.length == 0)
    admission->active_weight[level] -= tenant->weight;
  tenant->waiting_by_class[entry->class]--;
  admission->waiting_by_class[entry->class]--;
}

/* Removes and frees an entry that is granted or refused, or whose flow has ended. */
void
wa_queue_delete (WaAdmission *admission, WaEntry *entry)
{
  if (entry->opened_ahead)
    admission->opened_ahead_queued--;
  wa_queue_unlink (admission, entry);
  g_hash_table_remove (admission->entries, &entry->flow);
}

guint
wa_queue_length (const WaAdmission *admission)
{
  return admission->by_age[WA_LEVEL_SHORT].length + admission->by_age[WA_LEVEL_LONG].length;
}

/* Return: the tenant's newest entry that can still meet its objective, or NULL. */
static const WaEntry *
newest_on_time (const WaTenantQueue *tenant, gint64 now_us)
{
  const GList *link;

  for (link = tenant->waiting.tail; link != NULL; link = link->prev)
    if (now_us <= ((const WaEntry *) link->data)->admit_by_us)
      return link->data;
  return NULL;
}

/* Whether the entries of the tenant that can still meet their objective are too many for the last
 * of them to be admitted in time. In order of age each of them would then be admitted at its last
 * moment, or just after it. */
static gboolean
is_overloaded (WaAdmission *admission, const WaTenantQueue *tenant, gint64 now_us)
{
  const WaEntry *newest = newest_on_time (tenant, now_us);
  gint64 work_us;

  if (newest == NULL || newest->admit_by_us == WB_NEVER)
    return FALSE;
  work_us = wa_predict_on_time_work (admission, tenant, now_us) -
            admission->mean_slot_time_us[newest->class];
  return wa_predict_entry_wait (admission, newest, work_us, now_us) > newest->admit_by_us - now_us;
}

/* Whether @entry is admitted before @best, which is older. */
static gboolean
precedes (const WaEntry *entry, const WaEntry *best, gboolean newest_first, gint64 now_us)
{
  gboolean entry_on_time = now_us <= entry->admit_by_us;
  gboolean best_on_time = now_us <= best->admit_by_us;

  if (entry_on_time != best_on_time)
    return entry_on_time;
  if (entry->priority != best->priority)
    return entry->priority < best->priority;
  return newest_first && entry_on_time;
}

/* Return: the entry of the tenant to admit next, or NULL. Under overload, admission in order of age
 * would make every response miss its objective, so entries that can meet it come first; of those
 * the newest one when not all can. */
static WaEntry *
next_of_tenant (WaAdmission *admission,
                const WaTenantQueue *tenant,
                gboolean initial_only,
                gint64 now_us)
{
  gboolean oldest_first = admission->admissions_past_oldest >= OLDEST_EVERY - 1;
  gboolean newest_first = !oldest_first && is_overloaded (admission, tenant, now_us);
  WaEntry *best = NULL;
  GList *link;

  for (link = tenant->waiting.head; link != NULL; link = link->next)
    {
      WaEntry *entry = link->data;

      if (initial_only && entry->state != WA_ENTRY_QUEUED_INITIAL)
        continue;
      if (best == NULL || precedes (entry, best, newest_first, now_us))
        best = entry;
      if (oldest_first)
        break;
    }
  return best;
}

/* Return: the next entry of the tenant with the lowest weighted slot time, or NULL. */
WaEntry *
wa_queue_next (WaAdmission *admission, WaLevel level, gboolean initial_only, gint64 now_us)
{
  GPtrArray *tenants = admission->tenants[level];
  WaEntry *best = NULL;
  gdouble lowest_us = G_MAXDOUBLE;
  guint i;

  for (i = 0; i < tenants->len; i++)
    {
      const WaTenantQueue *tenant = g_ptr_array_index (tenants, i);
      WaEntry *entry;

      if (tenant->weighted_slot_time_us >= lowest_us)
        continue;
      entry = next_of_tenant (admission, tenant, initial_only, now_us);
      if (entry == NULL)
        continue;
      best = entry;
      lowest_us = tenant->weighted_slot_time_us;
    }
  return best;
}

/* Whether long work is admitted before short work because an entry has waited for half its
 * deadline. This applies to at most every second admission, and only while less than half the slots
 * serve long work: a long request uses a slot for as long as many short ones, so a limit on
 * admissions alone let long work delay the short class. The order of the tenants stays, so a
 * tenant gains nothing from a long queue. */
static gboolean
long_work_is_aged (const WaAdmission *admission, gint64 now_us)
{
  const GList *head = admission->by_age[WA_LEVEL_LONG].head;

  if (head == NULL || admission->last_was_aged ||
      admission->slots_in_use[WA_LEVEL_LONG] >= wa_slots_for_aged (admission, now_us))
    return FALSE;
  return now_us - ((const WaEntry *) head->data)->waiting_since_us >= admission->deadline_us / 2;
}

static WaEntry *
next_to_admit (WaAdmission *admission, gboolean *is_aged, gint64 now_us)
{
  gboolean long_slot_available = wa_slots_available (admission, WA_LEVEL_LONG, now_us);
  WaEntry *entry;

  *is_aged = FALSE;
  if (!long_slot_available && !wa_slots_available (admission, WA_LEVEL_SHORT, now_us))
    return NULL;
  if (long_slot_available && long_work_is_aged (admission, now_us))
    {
      *is_aged = TRUE;
      return wa_queue_next (admission, WA_LEVEL_LONG, FALSE, now_us);
    }
  entry = wa_queue_next (admission, WA_LEVEL_SHORT, FALSE, now_us);
  if (entry != NULL || !long_slot_available)
    return entry;
  entry = wa_queue_next (admission, WA_LEVEL_LONG, FALSE, now_us);
  return entry != NULL && wa_pull_short_before_long (admission, now_us) ? NULL : entry;
}

/* Removes an entry that is admitted or opened ahead from the queue, and counts how many in a row
 * were not the oldest of their tenant. */
void
wa_queue_take (WaAdmission *admission, WaEntry *entry)
{
  const WaTenantQueue *tenant =
      wa_tenant_queue (admission, wa_level_for_class (entry->class), entry->tenant);
  gboolean is_oldest = tenant->waiting.head->data == entry;

  admission->admissions_past_oldest = is_oldest ? 0 : admission->admissions_past_oldest + 1;
  wa_queue_unlink (admission, entry);
}

/* Admits queued entries while slots are available, then opens initial packets ahead and pulls from
 * peers for the slots that remain free. */
void
wa_queue_dispatch (WaAdmission *admission, gint64 now_us)
{
  WaEntry *entry;
  gboolean is_aged;

  while ((entry = next_to_admit (admission, &is_aged, now_us)) != NULL)
    {
      WbHandle flow = entry->flow;
      gboolean is_initial = entry->state == WA_ENTRY_QUEUED_INITIAL;

      admission->last_was_aged = is_aged;
      if (is_aged)
        wb_counters_add (admission->counters, WA_COUNTER_AGED, 1);
      wa_queue_take (admission, entry);
      entry->queue_wait_us = now_us - entry->waiting_since_us;
      wa_slots_acquire (admission, entry, is_initial ? WA_ENTRY_RESERVED : WA_ENTRY_IN_PROGRESS,
                        now_us);
      if (!is_initial)
        wa_budget_count_request (admission, now_us);
      wa_histogram_record (
          &wa_tenant_queue (admission, wa_level_for_class (entry->class), entry->tenant)
               ->wait_histogram[entry->class],
          entry->queue_wait_us);
      wb_counters_add (admission->counters, WA_COUNTER_ADMITTED, 1);
      admission->callbacks.admit (admission->callbacks.context, flow);
    }
  wa_slots_open_ahead (admission, now_us);
  wa_pull_for_free_slots (admission, now_us);
}
