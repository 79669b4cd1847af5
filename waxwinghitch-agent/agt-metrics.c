#include "agt.h"

/* Appends one histogram for each class and tenant that has samples. */
static void
append_histograms (const WaAdmission *admission,
                   const WcConfig *config,
                   const gchar *service_label,
                   const gchar *name,
                   const WbHistogram *(*get_histogram) (const WaAdmission *, WcClass, guint),
                   GString *text)
{
  guint class, tenant;

  wb_histogram_append_type (name, text);
  for (class = 0; class < WC_N_CLASSES; class ++)
    for (tenant = 0; tenant < config->tenants->len; tenant++)
      {
        const WcTenant *entry = g_ptr_array_index (config->tenants, tenant);
        const WbHistogram *histogram = get_histogram (admission, (WcClass) class, tenant);
        g_autofree gchar *tenant_name = NULL;
        g_autofree gchar *labels = NULL;

        if (histogram == NULL || wb_histogram_count (histogram) == 0)
          continue;
        tenant_name = g_strescape (entry->name, NULL);
        labels = g_strdup_printf ("service=\"%s\",class=\"%s\",tenant=\"%s\"", service_label,
                                  wc_class_name ((WcClass) class), tenant_name);
        wb_histogram_append_text (histogram, name, labels, text);
      }
}

void
agt_metrics_append (const WfAgent *agent,
                    const WcConfig *config,
                    const gchar *service_label,
                    GString *text)
{
  const WaAdmission *admission = wf_agent_admission (agent);

  wb_counters_append_text (wf_agent_counters (agent), text);
  wb_counters_append_text (wa_admission_counters (admission), text);
  if (config == NULL)
    return;
  append_histograms (admission, config, service_label, "admission_wait_us",
                     wa_admission_wait_histogram, text);
  append_histograms (admission, config, service_label, "request_service_us",
                     wa_admission_service_histogram, text);
}
