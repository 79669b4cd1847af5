#include <math.h>

#include "wa-private.h"

/* Jitter keeps refused clients from coming back all at once. */
guint
wa_refuse_retry_after (WaAdmission *admission)
{
  gdouble drain_s = (gdouble) wa_predict_drain (admission) / WB_US_PER_S;
  gdouble retry_s = drain_s * g_rand_double_range (admission->random, 0.5, 1.5);

  return (guint) MAX (1, ceil (retry_s));
}

gboolean
wa_refuse_on_arrival (WaAdmission *admission, WaLevel level)
{
  if (wa_queue_length (admission) >= admission->queue_limit)
    {
      wb_counters_add (admission->counters, WA_COUNTER_REFUSED_LIMIT, 1);
      return TRUE;
    }
  if (wa_predict_wait (admission, level) > admission->deadline_us)
    {
      wb_counters_add (admission->counters, WA_COUNTER_REFUSED_PREDICTED, 1);
      return TRUE;
    }
  return FALSE;
}

static void
refuse_expired (WaAdmission *admission, WaLevel level, gint64 now_us)
{
  GList *head;

  while ((head = admission->by_age[level].head) != NULL)
    {
      WaEntry *entry = head->data;
      WbHandle flow = entry->flow;

      if (now_us - entry->queued_us < admission->deadline_us)
        return;
      wa_queue_remove (admission, entry);
      g_hash_table_remove (admission->entries, &flow);
      wb_counters_add (admission->counters, WA_COUNTER_REFUSED_DEADLINE, 1);
      admission->callbacks.refuse (admission->callbacks.context, flow,
                                   wa_refuse_retry_after (admission));
    }
}

void
wa_refuse_sweep (WaAdmission *admission, gint64 now_us)
{
  if (now_us - admission->swept_us < WA_SWEEP_INTERVAL_US)
    return;
  admission->swept_us = now_us;
  refuse_expired (admission, WA_LEVEL_SHORT, now_us);
  refuse_expired (admission, WA_LEVEL_REST, now_us);
}
