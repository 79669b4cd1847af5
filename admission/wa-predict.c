#include "wa-private.h"

/* A new sample has a weight of 1/32 in the mean slot time, so that single very slow requests have
 * little effect. */
#define SLOT_TIME_MEAN_DIVISOR 32

/* Time constant of the average of the slots used by short work. */
#define SHORT_SLOTS_AVERAGE_US (2 * WB_US_PER_S)

void
wa_predict_record_slot_time (WaAdmission *admission, WcClass class, gint64 slot_time_us)
{
  admission->mean_slot_time_us[class] +=
      (slot_time_us - admission->mean_slot_time_us[class]) / SLOT_TIME_MEAN_DIVISOR;
}

/* Brings the average up to date; call before the number of slots in use by short work changes. */
void
wa_predict_update_short_slots (WaAdmission *admission, gint64 now_us)
{
  gdouble elapsed_us = (gdouble) (now_us - admission->mean_short_slots_us);

  admission->mean_short_slots +=
      (admission->slots_in_use[WA_LEVEL_SHORT] - admission->mean_short_slots) * elapsed_us /
      (elapsed_us + SHORT_SLOTS_AVERAGE_US);
  admission->mean_short_slots_us = now_us;
}

/* Return: expected slot time in microseconds of queued entries; @waiting counts them by class. */
static gint64
queued_work (const WaAdmission *admission, const guint *waiting)
{
  gint64 work_us = 0;
  guint class;

  for (class = 0; class < WC_N_CLASSES; class ++)
    work_us += waiting[class] * admission->mean_slot_time_us[class];
  return work_us;
}

static gint64
queued_work_of_level (const WaAdmission *admission, WaLevel level)
{
  gint64 short_us =
      admission->waiting_by_class[WC_CLASS_SHORT] * admission->mean_slot_time_us[WC_CLASS_SHORT];

  if (level == WA_LEVEL_SHORT)
    return short_us;
  return queued_work (admission, admission->waiting_by_class) - short_us;
}

/* Return: predicted time until the queue is empty. */
gint64
wa_predict_backlog_time (const WaAdmission *admission, gint64 now_us)
{
  gint64 slot_wait_us =
      queued_work (admission, admission->waiting_by_class) / wa_slots_usable (admission, now_us);

  return wa_budget_predict (admission, wa_queue_length (admission), slot_wait_us, now_us);
}

/* Return: number of queued entries that @work_us stands for. */
static guint
entries_of_work (const WaAdmission *admission, gint64 work_us)
{
  gint64 queued_us = MAX (1, queued_work (admission, admission->waiting_by_class));
  gint64 entries = (work_us * wa_queue_length (admission) + queued_us / 2) / queued_us;

  return (guint) MIN (entries, wa_queue_length (admission));
}

/* Return: sum of the weights of @tenant and of the other tenants with queued entries at the level.
 */
static guint
competing_weight (const WaAdmission *admission, WaLevel level, const WaTenantQueue *tenant)
{
  return admission->active_weight[level] + (tenant->waiting.length > 0 ? 0 : tenant->weight);
}

/* Short work shares the slots with long and mixed work that is admitted because of its age. */
static gint64
predict_short (const WaAdmission *admission, gint64 work_us, gint64 now_us)
{
  guint usable = wa_slots_usable (admission, now_us);

  if (admission->by_age[WA_LEVEL_LONG].length > 0 && usable > 1)
    usable -= wa_slots_for_aged (admission, now_us);
  return work_us / usable;
}

/* Long and mixed work is admitted either after the queued short work, to the slots that short work
 * did not use lately, or because of its age after half its deadline, whichever is earlier. */
static gint64
predict_long (const WaAdmission *admission, gint64 work_us, gint64 waited_us, gint64 now_us)
{
  gdouble usable = wa_slots_usable (admission, now_us);
  gdouble long_slots =
      MAX (1, usable - MAX (admission->reserve_short, admission->mean_short_slots));
  gdouble in_order_us =
      (gdouble) (work_us + queued_work_of_level (admission, WA_LEVEL_SHORT)) / long_slots;
  gdouble aged_us = (gdouble) MAX (0, admission->deadline_us / 2 - waited_us) +
                    (gdouble) work_us / wa_slots_for_aged (admission, now_us);

  return (gint64) MIN (in_order_us, aged_us);
}

/* @tenant_work_us is the slot time of the tenant's entries before this one. Entries of other
 * tenants are admitted in between in proportion to the weights, but no more than are queued at the
 * level. */
static gint64
predict (const WaAdmission *admission,
         WaLevel level,
         const WaTenantQueue *tenant,
         gint64 tenant_work_us,
         gint64 waited_us,
         gint64 now_us)
{
  gint64 shared_us = tenant_work_us * competing_weight (admission, level, tenant) / tenant->weight;
  gint64 work_us = MIN (shared_us, MAX (tenant_work_us, queued_work_of_level (admission, level)));

  if (level == WA_LEVEL_SHORT)
    return wa_budget_predict (admission, entries_of_work (admission, work_us),
                              predict_short (admission, work_us, now_us), now_us);
  return wa_budget_predict (
      admission,
      entries_of_work (admission, work_us + queued_work_of_level (admission, WA_LEVEL_SHORT)),
      predict_long (admission, work_us, waited_us, now_us), now_us);
}

gint64
wa_predict_arrival_wait (WaAdmission *admission, WcClass class, guint tenant, gint64 now_us)
{
  WaLevel level = wa_level_for_class (class);
  const WaTenantQueue *tenant_queue = wa_tenant_queue (admission, level, tenant);

  return predict (admission, level, tenant_queue,
                  queued_work (admission, tenant_queue->waiting_by_class), 0, now_us);
}

/* Return: expected slot time of the tenant's entries that can still meet their objective. */
gint64
wa_predict_on_time_work (const WaAdmission *admission, const WaTenantQueue *tenant, gint64 now_us)
{
  gint64 work_us = 0;
  const GList *link;

  for (link = tenant->waiting.head; link != NULL; link = link->next)
    {
      const WaEntry *entry = link->data;

      if (now_us <= entry->admit_by_us)
        work_us += admission->mean_slot_time_us[entry->class];
    }
  return work_us;
}

/* Return: whether an arrival is admitted in time for its objective if it is queued. Only entries
 * that can meet theirs too are admitted before it. */
gboolean
wa_predict_is_on_time (WaAdmission *admission, const WaArrival *arrival, gint64 now_us)
{
  WaLevel level = wa_level_for_class (arrival->class);
  const WaTenantQueue *tenant = wa_tenant_queue (admission, level, arrival->tenant);
  gint64 work_us = wa_predict_on_time_work (admission, tenant, now_us);

  return arrival->objective_us != 0 &&
         arrival->waited_us + predict (admission, level, tenant, work_us, 0, now_us) +
                 admission->mean_slot_time_us[arrival->class] <=
             arrival->objective_us;
}

gint64
wa_predict_entry_wait (WaAdmission *admission,
                       const WaEntry *entry,
                       gint64 tenant_work_us,
                       gint64 now_us)
{
  WaLevel level = wa_level_for_class (entry->class);

  return predict (admission, level, wa_tenant_queue (admission, level, entry->tenant),
                  tenant_work_us, now_us - entry->waiting_since_us, now_us);
}

gint64
wa_admission_predicted_wait (const WaAdmission *admission, WbHandle flow, gint64 now_us)
{
  const WaEntry *entry = wa_entry_find (admission, flow);
  const GList *link;
  gint64 tenant_work_us = 0;

  if (entry == NULL || !wa_entry_is_queued (entry))
    return -1;
  for (link = entry->tenant_link.prev; link != NULL; link = link->prev)
    tenant_work_us += admission->mean_slot_time_us[((const WaEntry *) link->data)->class];
  return wa_predict_entry_wait ((WaAdmission *) admission, entry, tenant_work_us, now_us);
}
