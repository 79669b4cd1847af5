#include "wa-private.h"

/* Weight of a new measurement in the mean service time. */
#define SAMPLE_SHARE 16

void
wa_predict_record (WaAdmission *admission, WcClass class, gint64 service_us)
{
  admission->mean_service_us[class] +=
      (service_us - admission->mean_service_us[class]) / SAMPLE_SHARE;
}

static gint64
work_waiting (const WaAdmission *admission, WcClass class)
{
  return admission->waiting_by_class[class] * admission->mean_service_us[class];
}

gint64
wa_predict_drain (const WaAdmission *admission)
{
  gint64 work_us = 0;
  guint class;

  for (class = 0; class < WC_N_CLASSES; class ++)
    work_us += work_waiting (admission, class);
  return work_us / admission->slots;
}

/* The work ahead of a new entry: its own class and the classes before it. */
gint64
wa_predict_wait (const WaAdmission *admission, WaLevel level)
{
  if (level == WA_LEVEL_SHORT)
    return work_waiting (admission, WC_CLASS_SHORT) / admission->slots;
  return wa_predict_drain (admission);
}
