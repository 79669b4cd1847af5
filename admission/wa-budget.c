#include "wa-private.h"

#include "wb-log.h"

/*
 * Budget of a cold backend server: the requests of the last second, and the flows whose initial
 * packet was delivered and whose first request may follow at any time.
 */

/* Return: whether deliveries are limited at present. */
gboolean
wa_budget_applies (const WaAdmission *admission, gint64 now_us)
{
  return admission->cold_window.limit > 0 && wa_slots_server_is_cold (admission, now_us);
}

/* Return: flows whose request cannot be held back, because it is expected and its initial packet
 * was delivered. */
static guint
owed (const WaAdmission *admission)
{
  return admission->reserved[0].length + admission->reserved[1].length +
         admission->opened_without_slot.length;
}

/* Return: how many more requests or initial packets may be delivered. */
guint
wa_budget_units (const WaAdmission *admission, gint64 now_us)
{
  guint limit = admission->cold_window.limit;
  guint used;

  if (!wa_budget_applies (admission, now_us))
    return G_MAXUINT;
  used = wa_cold_window_count (&admission->cold_window, now_us) + owed (admission);
  return used < limit ? limit - used : 0;
}

/* Counts a request that is delivered. The window is kept while the server is warm too: a server
 * that becomes cold has received the requests of the second before. */
void
wa_budget_count_request (WaAdmission *admission, gint64 now_us)
{
  wa_cold_window_record (&admission->cold_window, now_us);
  if (wa_budget_applies (admission, now_us))
    wb_counters_add (admission->counters, WA_COUNTER_COLD_DELIVERED, 1);
}

/* Counts an arrival that gets no slot at once only because of the budget. */
void
wa_budget_count_held_back (WaAdmission *admission, WaLevel level, gint64 now_us)
{
  if (wa_budget_units (admission, now_us) == 0 && wa_slots_free (admission, level, now_us))
    wb_counters_add (admission->counters, WA_COUNTER_COLD_LIMITED, 1);
}

/* Return: @slot_wait_us, the predicted wait for a slot behind @ahead entries, or the wait for the
 * budget if that is longer. From the end of the cold time only slots are waited for. */
gint64
wa_budget_predict (const WaAdmission *admission, guint ahead, gint64 slot_wait_us, gint64 now_us)
{
  gint64 cold_us, budget_us;

  if (!wa_budget_applies (admission, now_us))
    return slot_wait_us;
  cold_us = admission->cold_start_us - (now_us - admission->cold_since_us);
  budget_us =
      wa_cold_window_free_us (&admission->cold_window, owed (admission), ahead + 1, now_us) -
      now_us;
  return MAX (slot_wait_us, MIN (budget_us, cold_us + slot_wait_us));
}

/* Return: the time after the last check at which a queued entry fits in the budget again or the
 * cold time ends, or WB_NEVER when there is none. While the budget has units, slots decide. */
gint64
wa_budget_next_us (const WaAdmission *admission)
{
  gint64 checked_us = admission->cold_checked_us;
  gint64 end_us, free_us;

  if (!wa_budget_applies (admission, checked_us))
    return WB_NEVER;
  end_us = admission->cold_since_us + admission->cold_start_us;
  if (wa_queue_length (admission) == 0 || owed (admission) >= admission->cold_window.limit)
    return end_us;
  free_us = wa_cold_window_free_us (&admission->cold_window, owed (admission), 1, checked_us);
  return free_us > checked_us ? MIN (end_us, free_us) : end_us;
}

/* Logs when the limit begins and ends to apply. */
void
wa_budget_update (WaAdmission *admission, gint64 now_us)
{
  gboolean applies = wa_budget_applies (admission, now_us);

  admission->cold_checked_us = now_us;
  if (applies == admission->cold_limit_logged)
    return;
  admission->cold_limit_logged = applies;
  wb_log_info (
      "cold_limit_changed", WB_NUMBER ("limited", applies),
      WB_NUMBER ("limit", admission->cold_window.limit),
      WB_NUMBER ("last_second", wa_cold_window_count (&admission->cold_window, now_us)),
      WB_NUMBER ("delivered", wb_counters_get (admission->counters, WA_COUNTER_COLD_DELIVERED)),
      WB_NUMBER ("held_back", wb_counters_get (admission->counters, WA_COUNTER_COLD_LIMITED)));
}

/* Applies the limit of the configuration with the allowance of the settings. */
static void
update_limit (WaAdmission *admission)
{
  wa_cold_window_set_limit (
      &admission->cold_window,
      wa_cold_limit (admission->cold_per_s, admission->cold_overage, admission->cold_slack));
}

void
wa_budget_set_rate (WaAdmission *admission, gdouble per_s)
{
  admission->cold_per_s = per_s;
  update_limit (admission);
}

void
wa_admission_set_cold_allowance (WaAdmission *admission, gdouble overage, gdouble slack)
{
  admission->cold_overage = overage;
  admission->cold_slack = slack;
  update_limit (admission);
}
