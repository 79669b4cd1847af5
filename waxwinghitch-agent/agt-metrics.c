#include "agt.h"

/* One block of lines for each class and tenant that has been admitted. */
static void
append_waits (const WaAdmission *admission, const WcConfig *config, GString *text)
{
  guint class, tenant;

  for (class = 0; class < WC_N_CLASSES; class ++)
    for (tenant = 0; tenant < config->tenants->len; tenant++)
      {
        const WcTenant *entry = g_ptr_array_index (config->tenants, tenant);
        const WbHistogram *wait = wa_admission_wait (admission, (WcClass) class, tenant);
        g_autofree gchar *labels = NULL;

        if (wait == NULL || wb_histogram_count (wait) == 0)
          continue;
        labels =
            g_strdup_printf ("class=%s,tenant=%s", wc_class_name ((WcClass) class), entry->name);
        wb_histogram_append_text (wait, "admission_wait_us", labels, text);
      }
}

void
agt_metrics_append (const WfAgent *agent, const WcConfig *config, GString *text)
{
  const WaAdmission *admission = wf_agent_admission (agent);

  wb_counters_append_text (wf_agent_counters (agent), text);
  wb_counters_append_text (wa_admission_counters (admission), text);
  if (config != NULL)
    append_waits (admission, config, text);
}
