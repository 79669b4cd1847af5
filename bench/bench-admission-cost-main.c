/*
 * Measures the processor time of admission at one endpoint while its queue is full and its flows
 * belong to many tenants.
 */
#include "wa-options.h"

#define TENANT_COUNT 1000
#define QUEUE_LIMIT 256
#define DURATION_S 20
#define TICK_US (20 * WB_US_PER_MS)

/* New flows per second at one endpoint: ten times the expected rate, and a surge. */
static const guint rates[] = { 50, 500 };

static void
on_place (gpointer context, WbHandle flow, guint64 endpoint_id)
{
}

static void
on_admit (gpointer context, WbHandle flow)
{
  g_array_append_val ((GArray *) context, flow);
}

static void
on_refuse (gpointer context, WbHandle flow, guint retry_after_s)
{
}

static void
on_grant (gpointer context, WbHandle flow, guint64 endpoint_id)
{
}

static void
on_send (gpointer context, guint64 endpoint_id, const ww_peer *message)
{
}

static WaAdmission *
new_admission (GArray *admitted)
{
  g_autoptr (WcConfig) config = wc_config_new ();
  WcService *service = wc_service_new ("bench", 1);
  WaCallbacks callbacks = { .context = admitted,
                            .place = on_place,
                            .admit = on_admit,
                            .refuse = on_refuse,
                            .grant = on_grant,
                            .send = on_send };
  WaEndpoint peers[] = { { .id = 2 }, { .id = 3 }, { .id = 4 } };
  WaAdmission *admission;
  guint i;

  service->reserve_short = 1;
  service->queue_limit = QUEUE_LIMIT;
  service->deadline_us = 3600 * WB_US_PER_S;
  wc_config_add_service (config, service);
  for (i = 1; i <= TENANT_COUNT; i++)
    {
      g_autofree gchar *name = g_strdup_printf ("tenant-%u", i);

      wc_config_add_tenant (config, name, 1, i, 32);
    }
  admission = wa_admission_new (1, &callbacks, 1, FALSE, 0);
  wa_admission_set_config (admission, config, service);
  wa_admission_set_peers (admission, peers, G_N_ELEMENTS (peers));
  return admission;
}

/* Fills the slots and the queue with short and long flows in turn, then lets @rate flows per second
 * arrive and end while the queue stays full. Returns the processor time as a share of one core;
 * nothing blocks, so the elapsed time stands for it. */
static gdouble
measure_cpu_share (guint rate)
{
  g_autoptr (GArray) admitted = g_array_new (FALSE, FALSE, sizeof (WbHandle));
  g_autoptr (WaAdmission) admission = new_admission (admitted);
  WbHandle flow = { .index = 0, .generation = 1 };
  guint retry_after_s, i, finished = 0;
  gint64 now_us, begin_us;

  for (i = 0; i < QUEUE_LIMIT + 4; i++, flow.index++)
    if (wa_admission_open (admission, flow, i % 2, 1 + i * 7 % TENANT_COUNT, 0, &retry_after_s,
                           0) == WA_ADMITTED)
      g_array_append_val (admitted, flow);
  begin_us = g_get_monotonic_time ();
  for (now_us = 0; now_us < DURATION_S * WB_US_PER_S; now_us += TICK_US)
    {
      for (i = 0; i < rate * TICK_US / WB_US_PER_S; i++, flow.index++)
        {
          wa_admission_open (admission, flow, i % 2, 1 + flow.index % TENANT_COUNT, 0,
                             &retry_after_s, now_us);
          if (finished < admitted->len)
            wa_admission_finish_request (admission, g_array_index (admitted, WbHandle, finished++),
                                         now_us);
        }
      wa_admission_tick (admission, now_us);
    }
  return (gdouble) (g_get_monotonic_time () - begin_us) / (DURATION_S * WB_US_PER_S);
}

int
main (void)
{
  guint i;

  g_print ("%d tenants, up to %d entries queued\n", TENANT_COUNT, QUEUE_LIMIT);
  for (i = 0; i < G_N_ELEMENTS (rates); i++)
    g_print ("%u new flows/s: %.2f%% of a core\n", rates[i], 100 * measure_cpu_share (rates[i]));
  return 0;
}
