#include "wf.h"

/* Fuzzes one agent with datagrams from its peers, packets from its backend server and time steps.
 * The input is a sequence of records: a kind byte (modulo 3, in this order), a length of two bytes,
 * and that many bytes of the datagram or packet. For a time step the length is the time in 10 ms
 * and no bytes follow. */

#define SERVICE_ADDRESS 0xc0000201

static void
discard_packet (gpointer context, const guint8 *packet, gsize length)
{
}

static void
discard_datagram (gpointer context, guint64 endpoint_id, const guint8 *data, gsize length)
{
}

static WfAgent *
new_agent (void)
{
  WfCallbacks callbacks = { NULL, discard_packet, discard_packet, discard_datagram };
  WfEndpoint endpoints[] = { { .id = 1 }, { .id = 2 }, { .id = 3 } };
  g_autoptr (WcConfig) config = wc_config_new ();
  WcService *service = wc_service_new ("a", SERVICE_ADDRESS);
  WfAgent *agent = wf_agent_new (1, wb_name_id ("a"), &callbacks, 1, 0);

  wc_service_add_port (service, 80, WW_PROTOCOL_TCP, WC_CLASS_MIXED);
  wc_service_add_port (service, 53, WW_PROTOCOL_UDP, WC_CLASS_SHORT);
  wc_config_add_service (config, service);
  wf_agent_set_config (agent, config, 0);
  wf_agent_set_endpoints (agent, endpoints, G_N_ELEMENTS (endpoints), 0);
  return agent;
}

int LLVMFuzzerTestOneInput (const guint8 *data, gsize size);

int
LLVMFuzzerTestOneInput (const guint8 *data, gsize size)
{
  g_autoptr (WfAgent) agent = new_agent ();
  gint64 now_us = 10 * WB_US_PER_S;

  while (size >= 3)
    {
      gsize length = MIN (size - 3, (gsize) data[1] << 8 | data[2]);

      if (data[0] % 3 == 0)
        wf_agent_receive (agent, data + 3, length, now_us);
      else if (data[0] % 3 == 1)
        wf_agent_from_server (agent, data + 3, length, now_us);
      else
        {
          now_us += (gint64) length * 10 * WB_US_PER_MS;
          length = 0;
          wf_agent_tick (agent, now_us);
        }
      data += 3 + length;
      size -= 3 + length;
    }
  return 0;
}
