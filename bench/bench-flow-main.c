#include "wf.h"
#include "wl.h"

#include <stdio.h>

/* Cost per packet and per new flow at the balancer and at the agent, and bytes per flow held and
 * per registry entry. */

#define SERVICE_ADDRESS 0xc0000201
#define ROUNDS 5

typedef struct
{
  GByteArray *datagram; /* last one from the balancer */
} Bench;

static void
keep_datagram (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  Bench *bench = context;

  g_byte_array_set_size (bench->datagram, 0);
  g_byte_array_append (bench->datagram, data, (guint) length);
}

static void
discard_packet (gpointer context, const guint8 *packet, gsize length)
{
}

static void
discard_datagram (gpointer context, guint64 endpoint_id, const guint8 *data, gsize length)
{
}

static GByteArray *
initial_packet (guint flow)
{
  WwPacket packet = { .source_address = 0x0a000000 + flow,
                      .destination_address = SERVICE_ADDRESS,
                      .source_port = 4000,
                      .destination_port = 80,
                      .protocol = WW_PROTOCOL_TCP,
                      .tcp_flags = WW_TCP_SYN,
                      .sequence = 100,
                      .window = 8000 };

  return ww_packet_build_tcp (&packet);
}

static gdouble
ns_since (gint64 start_us, guint count)
{
  return (gdouble) (g_get_monotonic_time () - start_us) * 1000.0 / count;
}

static WcConfig *
make_config (void)
{
  WcConfig *config = wc_config_new ();
  WcService *service = wc_service_new ("a", SERVICE_ADDRESS);

  wc_service_add_port (service, 80, WW_PROTOCOL_TCP, WC_CLASS_MIXED);
  service->slots = 1000000;
  wc_config_add_service (config, service);
  return config;
}

/* Bytes per registry entry, from registrations of another endpoint. */
static gdouble
registry_bytes (WfAgent *agent, guint flows)
{
  ww_peer message = { .service_id = wb_name_id ("a"), .sender_id = 2 };
  ww_flow_entry entries[WW_MAX_REGISTER_FLOWS] = { 0 };
  gsize memory = wf_agent_memory (agent);
  guint i, count = 0;

  message.body.kind = WW_PEER_REGISTER;
  message.body.ww_peer_body_u.registration.flows.flows_val = entries;
  for (i = 0; i < flows; i++)
    {
      entries[count++].flow = (ww_flow){ 0x0b000000 + i, SERVICE_ADDRESS, 80, WW_PROTOCOL_TCP };
      if (count == WW_MAX_REGISTER_FLOWS || i + 1 == flows)
        {
          g_autoptr (GByteArray) datagram = g_byte_array_new ();

          message.body.ww_peer_body_u.registration.flows.flows_len = count;
          count = 0;
          if (ww_peer_encode (&message, datagram))
            wf_agent_receive (agent, datagram->data, datagram->len, 11 * WB_US_PER_S);
        }
    }
  return (gdouble) (wf_agent_memory (agent) - memory) / flows;
}

static void
run (guint flows)
{
  g_autoptr (WcConfig) config = make_config ();
  Bench bench = { g_byte_array_new () };
  WlCallbacks to_agent = { &bench, keep_datagram };
  WfCallbacks callbacks = { NULL, discard_packet, discard_packet, discard_datagram };
  WlEndpoint target = { .id = 1, .service_id = wb_name_id ("a"), .address = 1, .data_port = 1 };
  WfEndpoint self = { .id = 1 };
  g_autoptr (WlBalancer) balancer = wl_balancer_new (9, &to_agent);
  g_autoptr (WfAgent) agent = wf_agent_new (1, wb_name_id ("a"), &callbacks, 1, 0);
  g_autoptr (GPtrArray) opening =
      g_ptr_array_new_with_free_func ((GDestroyNotify) g_byte_array_unref);
  gdouble balancer_ns, open_ns, packet_ns;
  gsize memory;
  gint64 start_us;
  guint i, round;

  wl_balancer_set_config (balancer, config);
  wl_balancer_set_endpoints (balancer, &target, 1);
  wf_agent_set_config (agent, config, 0);
  wf_agent_set_endpoints (agent, &self, 1, 0);
  for (i = 0; i < flows; i++)
    {
      g_autoptr (GByteArray) packet = initial_packet (i);

      wl_balancer_packet (balancer, packet->data, packet->len);
      g_ptr_array_add (opening, g_byte_array_append (g_byte_array_new (), bench.datagram->data,
                                                     bench.datagram->len));
    }
  start_us = g_get_monotonic_time ();
  for (round = 0; round < ROUNDS; round++)
    for (i = 0; i < flows; i++)
      {
        const GByteArray *datagram = g_ptr_array_index (opening, i);

        wl_balancer_packet (balancer, datagram->data + WW_ENCAP_LENGTH,
                            datagram->len - WW_ENCAP_LENGTH);
      }
  balancer_ns = ns_since (start_us, flows * ROUNDS);
  memory = wf_agent_memory (agent);
  start_us = g_get_monotonic_time ();
  for (i = 0; i < flows; i++)
    {
      const GByteArray *datagram = g_ptr_array_index (opening, i);

      wf_agent_receive (agent, datagram->data, datagram->len, 10 * WB_US_PER_S);
    }
  open_ns = ns_since (start_us, flows);
  memory = wf_agent_memory (agent) - memory;
  /* A repeated initial packet takes the path of any packet of a held flow. */
  start_us = g_get_monotonic_time ();
  for (round = 0; round < ROUNDS; round++)
    for (i = 0; i < flows; i++)
      {
        const GByteArray *datagram = g_ptr_array_index (opening, i);

        wf_agent_receive (agent, datagram->data, datagram->len, 10 * WB_US_PER_S + 1000);
      }
  packet_ns = ns_since (start_us, flows * ROUNDS);
  printf ("%7u %7u %12.0f %12.0f %12.0f %8.2f %10.0f %11.0f\n", flows, wf_agent_flows_held (agent),
          balancer_ns, packet_ns, open_ns, packet_ns / balancer_ns, (gdouble) memory / flows,
          registry_bytes (agent, flows));
  g_byte_array_unref (bench.datagram);
}

int
main (void)
{
  guint flows;

  printf (
      "  flows    held  balancer_ns agent_pkt_ns agent_new_ns    ratio bytes/flow bytes/entry\n");
  for (flows = 1000; flows <= 64000; flows *= 4)
    run (flows);
  return 0;
}
