#include "wa-private.h"

/* Weight of a new measurement in the mean service time: 1/32 averages over a few stragglers. */
#define SAMPLE_SHARE 32

/* Time over which the slots used by short work are averaged. */
#define SHORT_USE_US (2 * WB_US_PER_S)

void
wa_predict_record (WaAdmission *admission, WcClass class, gint64 service_us)
{
  admission->mean_service_us[class] +=
      (service_us - admission->mean_service_us[class]) / SAMPLE_SHARE;
}

/* Call before the number of slots in use by short work changes. */
void
wa_predict_short_use (WaAdmission *admission, gint64 now_us)
{
  gdouble elapsed_us = (gdouble) (now_us - admission->short_use_us);

  admission->short_use += (admission->in_use[WA_LEVEL_SHORT] - admission->short_use) * elapsed_us /
                          (elapsed_us + SHORT_USE_US);
  admission->short_use_us = now_us;
}

static gint64
work_of (const WaAdmission *admission, const guint *waiting)
{
  gint64 work_us = 0;
  guint class;

  for (class = 0; class < WC_N_CLASSES; class ++)
    work_us += waiting[class] * admission->mean_service_us[class];
  return work_us;
}

static gint64
work_of_level (const WaAdmission *admission, WaLevel level)
{
  gint64 short_us =
      admission->waiting_by_class[WC_CLASS_SHORT] * admission->mean_service_us[WC_CLASS_SHORT];

  if (level == WA_LEVEL_SHORT)
    return short_us;
  return work_of (admission, admission->waiting_by_class) - short_us;
}

/* Time until the queue is empty. */
gint64
wa_predict_drain (const WaAdmission *admission, gint64 now_us)
{
  return work_of (admission, admission->waiting_by_class) / wa_slots_usable (admission, now_us);
}

/* Sum of the weights of the tenants that share a level with @tenant. */
static guint
active_weight (const WaAdmission *admission, WaLevel level, const WaTenant *tenant)
{
  return admission->active_weight[level] + (tenant->waiting.length > 0 ? 0 : tenant->weight);
}

/* Short work shares the slots with long and mixed work that ageing lets through. */
static gint64
predict_short (const WaAdmission *admission, gint64 work_us, gint64 now_us)
{
  guint usable = wa_slots_usable (admission, now_us);

  if (admission->by_age[WA_LEVEL_REST].length > 0 && usable > 1)
    usable -= wa_slots_aged (admission, now_us);
  return work_us / usable;
}

/* Long and mixed work comes after the short work that waits, on the slots that short work did not
 * use lately; or else by ageing after half its deadline. */
static gint64
predict_rest (const WaAdmission *admission, gint64 work_us, gint64 waited_us, gint64 now_us)
{
  gdouble usable = wa_slots_usable (admission, now_us);
  gdouble left = MAX (1, usable - MAX (admission->reserve_short, admission->short_use));
  gdouble ordered_us = (gdouble) (work_us + work_of_level (admission, WA_LEVEL_SHORT)) / left;
  gdouble aged_us = (gdouble) MAX (0, admission->deadline_us / 2 - waited_us) +
                    (gdouble) work_us / wa_slots_aged (admission, now_us);

  return (gint64) MIN (ordered_us, aged_us);
}

/* A tenant gets its share of the slots, and never waits for more work than there is. */
static gint64
predict (const WaAdmission *admission,
         WaLevel level,
         const WaTenant *tenant,
         gint64 own_ahead_us,
         gint64 waited_us,
         gint64 now_us)
{
  gint64 shared_us = own_ahead_us * active_weight (admission, level, tenant) / tenant->weight;
  gint64 work_us = MIN (shared_us, MAX (own_ahead_us, work_of_level (admission, level)));

  if (level == WA_LEVEL_SHORT)
    return predict_short (admission, work_us, now_us);
  return predict_rest (admission, work_us, waited_us, now_us);
}

gint64
wa_predict_arrival (WaAdmission *admission, WcClass class, guint tenant, gint64 now_us)
{
  WaLevel level = wa_level (class);
  const WaTenant *share = wa_tenant (admission, level, tenant);

  return predict (admission, level, share, work_of (admission, share->waiting_by_class), 0, now_us);
}

gint64
wa_predict_entry (WaAdmission *admission, const WaEntry *entry, gint64 own_ahead_us, gint64 now_us)
{
  WaLevel level = wa_level (entry->class);

  return predict (admission, level, wa_tenant (admission, level, entry->tenant), own_ahead_us,
                  now_us - entry->queued_us, now_us);
}

gint64
wa_admission_predicted_wait (const WaAdmission *admission, WbHandle flow, gint64 now_us)
{
  const WaEntry *entry = wa_entry_get (admission, flow);
  const GList *link;
  gint64 ahead_us = 0;

  if (entry == NULL || !wa_entry_waits (entry))
    return -1;
  for (link = entry->by_tenant.prev; link != NULL; link = link->prev)
    ahead_us += admission->mean_service_us[((const WaEntry *) link->data)->class];
  return wa_predict_entry ((WaAdmission *) admission, entry, ahead_us, now_us);
}
