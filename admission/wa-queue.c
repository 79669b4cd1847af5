#include "wa-private.h"

/* One admission in this many is the oldest entry's, whatever can be on time. */
#define OLDEST_EVERY 4

WaTenant *
wa_tenant (WaAdmission *admission, WaLevel level, guint tenant)
{
  GPtrArray *tenants = admission->tenants[level];

  return g_ptr_array_index (tenants, tenant < tenants->len ? tenant : WC_TENANT_OTHER);
}

/* A tenant that comes back after a time without work starts level with the least served active
 * one, so that it neither has to catch up nor may claim the time that it did not use. */
static void
tenant_activate (WaAdmission *admission, WaLevel level, WaTenant *tenant)
{
  GPtrArray *tenants = admission->tenants[level];
  gdouble least = G_MAXDOUBLE;
  guint i;

  if (tenant->in_use > 0 || tenant->waiting.length > 0)
    return;
  for (i = 0; i < tenants->len; i++)
    {
      const WaTenant *other = g_ptr_array_index (tenants, i);

      if (other != tenant && (other->in_use > 0 || other->waiting.length > 0))
        least = MIN (least, other->service_us);
    }
  if (least < G_MAXDOUBLE)
    tenant->service_us = MAX (tenant->service_us, least);
}

/* Entries are ordered by the time since which the client waits. Most go to the end. */
static void
insert_by_age (GQueue *queue, GList *link)
{
  gint64 queued_us = ((const WaEntry *) link->data)->queued_us;
  GList *after = queue->tail;

  while (after != NULL && ((const WaEntry *) after->data)->queued_us > queued_us)
    after = after->prev;
  if (after == NULL)
    g_queue_push_head_link (queue, link);
  else
    g_queue_insert_after_link (queue, after, link);
}

void
wa_queue_push (WaAdmission *admission, WaEntry *entry)
{
  WaLevel level = wa_level (entry->class);
  WaTenant *tenant = wa_tenant (admission, level, entry->tenant);

  tenant_activate (admission, level, tenant);
  if (tenant->waiting.length == 0)
    admission->active_weight[level] += tenant->weight;
  insert_by_age (&tenant->waiting, &entry->by_tenant);
  insert_by_age (&admission->by_age[level], &entry->by_age);
  tenant->waiting_by_class[entry->class]++;
  admission->waiting_by_class[entry->class]++;
  wb_counters_add (admission->counters, WA_COUNTER_QUEUED, 1);
}

void
wa_queue_remove (WaAdmission *admission, WaEntry *entry)
{
  WaLevel level = wa_level (entry->class);
  WaTenant *tenant = wa_tenant (admission, level, entry->tenant);

  g_queue_unlink (&tenant->waiting, &entry->by_tenant);
  g_queue_unlink (&admission->by_age[level], &entry->by_age);
  if (tenant->waiting.length == 0)
    admission->active_weight[level] -= tenant->weight;
  tenant->waiting_by_class[entry->class]--;
  admission->waiting_by_class[entry->class]--;
}

/* Removes an entry that leaves admission without a slot. */
void
wa_queue_drop (WaAdmission *admission, WaEntry *entry)
{
  if (entry->ahead)
    admission->ahead_queued--;
  wa_queue_remove (admission, entry);
  g_hash_table_remove (admission->entries, &entry->flow);
}

guint
wa_queue_length (const WaAdmission *admission)
{
  return admission->by_age[WA_LEVEL_SHORT].length + admission->by_age[WA_LEVEL_REST].length;
}

/* Whether @entry goes before @best, which is older. */
static gboolean
goes_before (const WaEntry *entry, const WaEntry *best, gint64 now_us)
{
  gboolean entry_on_time = now_us <= entry->on_time_us;
  gboolean best_on_time = now_us <= best->on_time_us;

  if (entry_on_time != best_on_time)
    return entry_on_time;
  return entry->priority < best->priority;
}

/* A service that answers late for all because it answers everybody in order serves nobody: when
 * there is more work than slots, what can be on time goes first. */
static WaEntry *
first_of_tenant (const WaAdmission *admission,
                 const WaTenant *tenant,
                 gboolean initial_only,
                 gint64 now_us)
{
  gboolean oldest_first = admission->in_order >= OLDEST_EVERY - 1;
  WaEntry *best = NULL;
  GList *link;

  for (link = tenant->waiting.head; link != NULL; link = link->next)
    {
      WaEntry *entry = link->data;

      if (initial_only && entry->state != WA_ENTRY_WAITING_OPEN)
        continue;
      if (best == NULL || goes_before (entry, best, now_us))
        best = entry;
      if (oldest_first)
        break;
    }
  return best;
}

/* Next is the tenant with the least service received relative to its weight. */
WaEntry *
wa_queue_next (WaAdmission *admission, WaLevel level, gboolean initial_only, gint64 now_us)
{
  GPtrArray *tenants = admission->tenants[level];
  WaEntry *best = NULL;
  gdouble least = G_MAXDOUBLE;
  guint i;

  for (i = 0; i < tenants->len; i++)
    {
      const WaTenant *tenant = g_ptr_array_index (tenants, i);
      WaEntry *entry;

      if (tenant->service_us >= least)
        continue;
      entry = first_of_tenant (admission, tenant, initial_only, now_us);
      if (entry == NULL)
        continue;
      best = entry;
      least = tenant->service_us;
    }
  return best;
}

/* Whether the class order is left aside because an entry outside the short class has waited for
 * half its deadline. At most every second admission is, and only while less than half the slots
 * serve such work: one long request takes a slot for as long as many short ones, so counting
 * admissions alone let long work hold up the short class. The order of the tenants stays: a rush of
 * one must not profit from its own long queue. */
static gboolean
rest_is_aged (const WaAdmission *admission, gint64 now_us)
{
  const GList *head = admission->by_age[WA_LEVEL_REST].head;

  if (head == NULL || admission->last_was_aged ||
      admission->in_use[WA_LEVEL_REST] >= wa_slots_aged (admission, now_us))
    return FALSE;
  return now_us - ((const WaEntry *) head->data)->queued_us >= admission->deadline_us / 2;
}

static WaEntry *
next_to_admit (WaAdmission *admission, gboolean *aged, gint64 now_us)
{
  gboolean rest_free = wa_slots_free (admission, WA_LEVEL_REST, now_us);
  WaEntry *entry;

  *aged = FALSE;
  if (!rest_free && !wa_slots_free (admission, WA_LEVEL_SHORT, now_us))
    return NULL;
  if (rest_free && rest_is_aged (admission, now_us))
    {
      *aged = TRUE;
      return wa_queue_next (admission, WA_LEVEL_REST, FALSE, now_us);
    }
  entry = wa_queue_next (admission, WA_LEVEL_SHORT, FALSE, now_us);
  if (entry != NULL || !rest_free)
    return entry;
  entry = wa_queue_next (admission, WA_LEVEL_REST, FALSE, now_us);
  return entry != NULL && wa_pull_short_first (admission, now_us) ? NULL : entry;
}

static gboolean
is_oldest (WaAdmission *admission, const WaEntry *entry)
{
  return wa_tenant (admission, wa_level (entry->class), entry->tenant)->waiting.head->data == entry;
}

/* Admits waiting entries while slots are free. */
void
wa_queue_dispatch (WaAdmission *admission, gint64 now_us)
{
  WaEntry *entry;
  gboolean aged;

  while ((entry = next_to_admit (admission, &aged, now_us)) != NULL)
    {
      WbHandle flow = entry->flow;
      gboolean initial = entry->state == WA_ENTRY_WAITING_OPEN;

      admission->last_was_aged = aged;
      admission->in_order = is_oldest (admission, entry) ? 0 : admission->in_order + 1;
      if (aged)
        wb_counters_add (admission->counters, WA_COUNTER_AGED, 1);
      wa_queue_remove (admission, entry);
      entry->waited_us = now_us - entry->queued_us;
      wa_slots_take (admission, entry, initial ? WA_ENTRY_RESERVED : WA_ENTRY_BUSY, now_us);
      wa_record (&wa_tenant (admission, wa_level (entry->class), entry->tenant)->wait[entry->class],
                 entry->waited_us);
      wb_counters_add (admission->counters, WA_COUNTER_ADMITTED, 1);
      admission->callbacks.admit (admission->callbacks.context, flow);
    }
  wa_slots_open_ahead (admission, now_us);
  wa_pull_try (admission, now_us);
}
