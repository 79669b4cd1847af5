#include <math.h>

#include "wa-private.h"

/* Jitter keeps refused clients from coming back all at once. */
guint
wa_refuse_retry_after (WaAdmission *admission, gint64 now_us)
{
  gdouble drain_s = (gdouble) wa_predict_drain (admission, now_us) / WB_US_PER_S;
  gdouble retry_s = drain_s * g_rand_double_range (admission->random, 0.5, 1.5);

  return (guint) MAX (1, ceil (retry_s));
}

static void
refuse (WaAdmission *admission, WaEntry *entry, guint counter, gint64 now_us)
{
  WbHandle flow = entry->flow;

  wa_queue_drop (admission, entry);
  wb_counters_add (admission->counters, counter, 1);
  admission->callbacks.refuse (admission->callbacks.context, flow,
                               wa_refuse_retry_after (admission, now_us));
}

/* The tenant with the longest queue relative to its weight. */
static WaTenant *
heaviest_tenant (const WaAdmission *admission, WaLevel level)
{
  GPtrArray *tenants = admission->tenants[level];
  WaTenant *heaviest = NULL;
  guint i;

  for (i = 0; i < tenants->len; i++)
    {
      WaTenant *tenant = g_ptr_array_index (tenants, i);

      if (heaviest == NULL ||
          tenant->waiting.length * heaviest->weight > heaviest->waiting.length * tenant->weight)
        heaviest = tenant;
    }
  return heaviest;
}

/* Makes room in a full queue for short work or for a tenant with fewer entries, so that neither
 * long work nor another tenant's rush can keep them out. The newest entry has lost the least. */
static gboolean
evict_for (WaAdmission *admission, WcClass class, guint tenant, gint64 now_us)
{
  WaLevel level = wa_level (class);
  const WaTenant *own = wa_tenant (admission, level, tenant);
  WaTenant *heaviest = heaviest_tenant (admission, WA_LEVEL_REST);
  gboolean other_level = level == WA_LEVEL_SHORT && heaviest->waiting.length > 0;

  if (!other_level)
    heaviest = heaviest_tenant (admission, level);
  if (heaviest->waiting.length == 0)
    return FALSE;
  if (!other_level &&
      (own->waiting.length + 1) * heaviest->weight >= heaviest->waiting.length * own->weight)
    return FALSE;
  refuse (admission, heaviest->waiting.tail->data, WA_COUNTER_REFUSED_LIMIT, now_us);
  return TRUE;
}

gboolean
wa_refuse_on_arrival (
    WaAdmission *admission, WcClass class, guint tenant, gint64 waited_us, gint64 now_us)
{
  if (waited_us + wa_predict_arrival (admission, class, tenant, now_us) > admission->deadline_us)
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

static void
sweep_tenant (WaAdmission *admission, WaTenant *tenant, gint64 now_us)
{
  GList *link = tenant->waiting.head;
  gint64 ahead_us = 0;

  while (link != NULL)
    {
      WaEntry *entry = link->data;
      gint64 left_us = admission->deadline_us - (now_us - entry->queued_us);

      link = link->next;
      if (left_us <= 0)
        refuse (admission, entry, WA_COUNTER_REFUSED_DEADLINE, now_us);
      else if (wa_predict_entry (admission, entry, ahead_us, now_us) > left_us)
        refuse (admission, entry, WA_COUNTER_REFUSED_PREDICTED, now_us);
      else
        ahead_us += admission->mean_service_us[entry->class];
    }
}

/* Refuses queued entries whose deadline has passed or cannot be met any more. */
void
wa_refuse_sweep (WaAdmission *admission, gint64 now_us)
{
  guint level, i;

  if (now_us - admission->swept_us < WA_SWEEP_INTERVAL_US)
    return;
  admission->swept_us = now_us;
  for (level = 0; level < WA_N_LEVELS; level++)
    for (i = 0; i < admission->tenants[level]->len; i++)
      sweep_tenant (admission, g_ptr_array_index (admission->tenants[level], i), now_us);
}
