#include <math.h>

#include "wa-private.h"

/* Return: seconds after which a refused client may retry: the time until the queue is empty, with
 * jitter so that clients do not return all at once. */
guint
wa_refuse_retry_after (WaAdmission *admission, gint64 now_us)
{
  gdouble backlog_s = (gdouble) wa_predict_backlog_time (admission, now_us) / WB_US_PER_S;
  gdouble retry_s = backlog_s * g_rand_double_range (admission->random, 0.5, 1.5);

  return (guint) MAX (1, ceil (retry_s));
}

static void
refuse (WaAdmission *admission, WaEntry *entry, guint counter, gint64 now_us)
{
  WbHandle flow = entry->flow;

  wa_queue_delete (admission, entry);
  wb_counters_add (admission->counters, counter, 1);
  admission->callbacks.refuse (admission->callbacks.context, flow,
                               wa_refuse_retry_after (admission, now_us));
}

/* Return: the tenant with the longest queue relative to its weight. */
static WaTenantQueue *
find_heaviest_tenant (const WaAdmission *admission, WaLevel level)
{
  GPtrArray *tenants = admission->tenants[level];
  WaTenantQueue *heaviest = NULL;
  guint i;

  for (i = 0; i < tenants->len; i++)
    {
      WaTenantQueue *tenant = g_ptr_array_index (tenants, i);

      if (heaviest == NULL ||
          tenant->waiting.length * heaviest->weight > heaviest->waiting.length * tenant->weight)
        heaviest = tenant;
    }
  return heaviest;
}

/* Refuses an entry of a full queue in favour of short work or of a tenant with fewer entries for
 * its weight, so that neither long work nor the burst of another tenant can exclude them. The entry
 * with the shortest wait is refused. Return: whether there was one. */
static gboolean
evict_for (WaAdmission *admission, WcClass class, guint tenant, gint64 now_us)
{
  WaLevel level = wa_level_for_class (class);
  const WaTenantQueue *requester = wa_tenant_queue (admission, level, tenant);
  WaTenantQueue *heaviest = find_heaviest_tenant (admission, WA_LEVEL_LONG);
  gboolean evict_long = level == WA_LEVEL_SHORT && heaviest->waiting.length > 0;

  if (!evict_long)
    heaviest = find_heaviest_tenant (admission, level);
  if (heaviest->waiting.length == 0)
    return FALSE;
  if (!evict_long && (requester->waiting.length + 1) * heaviest->weight >=
                         heaviest->waiting.length * requester->weight)
    return FALSE;
  refuse (admission, heaviest->waiting.tail->data, WA_COUNTER_REFUSED_LIMIT, now_us);
  return TRUE;
}

/* Whether an entry that would be queued has to be refused at once. When the queue is full, a queued
 * entry may be refused in its place. An entry that can meet its objective overtakes those that
 * cannot, so it does not wait for them. */
gboolean
wa_refuse_on_arrival (WaAdmission *admission, const WaArrival *arrival, gint64 now_us)
{
  WcClass class = arrival->class;
  guint tenant = arrival->tenant;

  if (!wa_predict_is_on_time (admission, arrival, now_us) &&
      arrival->waited_us + wa_predict_arrival_wait (admission, class, tenant, now_us) >
          admission->deadline_us)
    {
      wb_counters_add (admission->counters, WA_COUNTER_REFUSED_PREDICTED, 1);
      return TRUE;
    }
  if (wa_queue_length (admission) >= admission->queue_limit &&
      !evict_for (admission, class, tenant, now_us))
    {
      wb_counters_add (admission->counters, WA_COUNTER_REFUSED_LIMIT, 1);
      return TRUE;
    }
  return FALSE;
}

/* Entries that can still meet their objective are admitted before those that cannot, each in order
 * of age. */
static void
sweep_tenant (WaAdmission *admission, WaTenantQueue *tenant, gint64 now_us)
{
  gint64 on_time_work_us = 0;
  gint64 late_work_us = wa_predict_on_time_work (admission, tenant, now_us);
  GList *link = tenant->waiting.head;

  while (link != NULL)
    {
      WaEntry *entry = link->data;
      gint64 remaining_us = admission->deadline_us - (now_us - entry->waiting_since_us);
      gint64 *work_us = now_us <= entry->admit_by_us ? &on_time_work_us : &late_work_us;

      link = link->next;
      if (remaining_us <= 0)
        refuse (admission, entry, WA_COUNTER_REFUSED_DEADLINE, now_us);
      else if (wa_predict_entry_wait (admission, entry, *work_us, now_us) > remaining_us)
        refuse (admission, entry, WA_COUNTER_REFUSED_PREDICTED, now_us);
      else
        *work_us += admission->mean_slot_time_us[entry->class];
    }
}

/* Refuses queued entries whose deadline has passed or can no longer be met. */
void
wa_refuse_sweep (WaAdmission *admission, gint64 now_us)
{
  guint level, i;

  if (now_us - admission->last_sweep_us < WA_SWEEP_INTERVAL_US)
    return;
  admission->last_sweep_us = now_us;
  for (level = 0; level < WA_N_LEVELS; level++)
    for (i = 0; i < admission->tenants[level]->len; i++)
      sweep_tenant (admission, g_ptr_array_index (admission->tenants[level], i), now_us);
}
