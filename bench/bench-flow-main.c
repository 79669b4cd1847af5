#include "wf.h"
#include "wl.h"

#include <stdio.h>
#include <time.h>

/*
 * Measures the processor time of a packet at the balancer and at the agent, the processor time of a
 * new flow at the agent, and the memory per flow, for several numbers of flows.
 */

#define SERVICE_ADDRESS 0xc633640a
#define SERVICE_PORT 8080
#define SERVICE "order-desk"
#define LOCAL_ID 11
#define PEER_ID 22
#define PACKET_COUNT 400000
#define ENDPOINT_COUNT 7

typedef struct
{
  guint64 to_server;
  guint64 to_client;
  guint64 to_endpoint;
} PacketCounts;

static void
count_to_server (gpointer context, const guint8 *packet, gsize length)
{
  ((PacketCounts *) context)->to_server++;
}

static void
count_to_client (gpointer context, const guint8 *packet, gsize length)
{
  ((PacketCounts *) context)->to_client++;
}

static void
count_to_endpoint (gpointer context, guint64 endpoint_id, const guint8 *data, gsize length)
{
  ((PacketCounts *) context)->to_endpoint++;
}

static void
count_to_agent (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  ((PacketCounts *) context)->to_endpoint++;
}

static gdouble
cpu_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (gdouble) now.tv_sec * 1e9 + (gdouble) now.tv_nsec;
}

static WcConfig *
make_config (void)
{
  WcConfig *config = wc_config_new ();
  WcService *service = wc_service_new (SERVICE, SERVICE_ADDRESS);

  service->slots = G_MAXUINT16;
  wc_service_add_port (service, SERVICE_PORT, WW_PROTOCOL_TCP, WC_CLASS_SHORT);
  wc_config_add_service (config, service);
  config->version = 1;
  return config;
}

static WwPacket
client_packet (guint flow, guint8 flags, guint32 sequence, guint32 acknowledgment)
{
  WwPacket packet = {
    .source_address = 0xcb007100 + flow / 50000,
    .destination_address = SERVICE_ADDRESS,
    .source_port = (guint16) (1024 + flow % 50000),
    .destination_port = SERVICE_PORT,
    .protocol = WW_PROTOCOL_TCP,
    .tcp_flags = flags,
    .sequence = sequence,
    .acknowledgment = acknowledgment,
    .window = 8192,
  };

  return packet;
}

static void
receive_from_client (WfAgent *agent, const WwPacket *packet, gint64 now_us)
{
  g_autoptr (GByteArray) bytes = ww_packet_build_tcp (packet);
  g_autoptr (GByteArray) datagram = g_byte_array_new ();
  ww_encap header = { .kind = WW_ENCAP_FORWARD,
                      .hops = 1,
                      .service_id = wb_name_id (SERVICE),
                      .config_version = 1,
                      .home_id = LOCAL_ID };

  ww_encap_append (datagram, &header, bytes->data, bytes->len);
  wf_agent_receive (agent, datagram->data, datagram->len, now_us);
}

static void
receive_from_server (WfAgent *agent, guint flow, gint64 now_us)
{
  WwPacket from_client = client_packet (flow, 0, 0, 0);
  WwPacket packet = {
    .source_address = from_client.destination_address,
    .destination_address = from_client.source_address,
    .source_port = from_client.destination_port,
    .destination_port = from_client.source_port,
    .protocol = WW_PROTOCOL_TCP,
    .tcp_flags = WW_TCP_SYN | WW_TCP_ACK,
    .sequence = 5000,
    .acknowledgment = 1001,
    .window = 8192,
  };
  g_autoptr (GByteArray) bytes = ww_packet_build_tcp (&packet);

  wf_agent_from_server (agent, bytes->data, bytes->len, now_us);
}

static WfAgent *
make_agent (PacketCounts *counts, guint endpoint_count, gint64 now_us)
{
  const WfEndpoint endpoints[] = { { .id = LOCAL_ID, .incarnation = 1 },
                                   { .id = PEER_ID, .incarnation = 1 } };
  WfCallbacks callbacks = { counts, count_to_server, count_to_client, count_to_endpoint };
  g_autoptr (WcConfig) config = make_config ();
  WfAgent *agent = wf_agent_new (LOCAL_ID, wb_name_id (SERVICE), &callbacks, 7, now_us);

  wf_agent_set_config (agent, config, now_us);
  wf_agent_set_endpoints (agent, endpoints, endpoint_count, now_us);
  return agent;
}

/* Processor time to build a packet, in ns, which is subtracted from the measurements that include
 * it. */
static gdouble
packet_build_cost (guint flows)
{
  gdouble begin_ns = cpu_ns ();
  guint i;

  for (i = 0; i < PACKET_COUNT; i++)
    {
      WwPacket packet = client_packet (i % flows, WW_TCP_ACK, 1001, 5001);
      g_autoptr (GByteArray) bytes = ww_packet_build_tcp (&packet);
      g_autoptr (GByteArray) datagram = g_byte_array_new ();
      ww_encap header = { .kind = WW_ENCAP_FORWARD };

      ww_encap_append (datagram, &header, bytes->data, bytes->len);
    }
  return (cpu_ns () - begin_ns) / PACKET_COUNT;
}

/* Sends the agent the registrations of flows that the peer holds. */
static void
register_flows (WfAgent *agent, guint flows, gint64 now_us)
{
  ww_flow_entry entries[WW_MAX_REGISTER_FLOWS];
  ww_peer message = { .service_id = wb_name_id (SERVICE), .sender_id = PEER_ID };
  guint i, batch_length = 0;

  message.body.kind = WW_PEER_REGISTER;
  message.body.ww_peer_body_u.registration.incarnation = 1;
  message.body.ww_peer_body_u.registration.flows.flows_val = entries;
  for (i = 0; i < flows; i++)
    {
      WwPacket packet = client_packet (i, 0, 0, 0);
      WwFlowKey key = ww_packet_key_from_client (&packet);
      g_autoptr (GByteArray) bytes = g_byte_array_new ();

      entries[batch_length++] = (ww_flow_entry){ .flow = ww_flow_key_to_wire (&key) };
      if (batch_length < WW_MAX_REGISTER_FLOWS && i + 1 < flows)
        continue;
      message.body.ww_peer_body_u.registration.flows.flows_len = batch_length;
      ww_peer_encode (&message, bytes);
      wf_agent_receive (agent, bytes->data, bytes->len, now_us);
      batch_length = 0;
    }
}

/* Processor time of a packet that the balancer forwards, in ns. */
static gdouble
balancer_cost (guint flows)
{
  PacketCounts counts = { 0 };
  WlCallbacks callbacks = { &counts, count_to_agent };
  g_autoptr (WlBalancer) balancer = wl_balancer_new (1, &callbacks);
  g_autoptr (WcConfig) config = make_config ();
  WlEndpoint endpoints[ENDPOINT_COUNT] = { 0 };
  g_autoptr (GPtrArray) packets =
      g_ptr_array_new_with_free_func ((GDestroyNotify) g_byte_array_unref);
  gdouble begin_ns;
  guint i;

  for (i = 0; i < ENDPOINT_COUNT; i++)
    endpoints[i] =
        (WlEndpoint){ .id = wb_hash64 (&i, sizeof i, 3), .service_id = wb_name_id (SERVICE) };
  wl_balancer_set_config (balancer, config);
  wl_balancer_set_endpoints (balancer, endpoints, ENDPOINT_COUNT);
  for (i = 0; i < flows; i++)
    {
      WwPacket packet = client_packet (i, WW_TCP_ACK, 1001, 5001);

      g_ptr_array_add (packets, ww_packet_build_tcp (&packet));
    }
  begin_ns = cpu_ns ();
  for (i = 0; i < PACKET_COUNT; i++)
    {
      const GByteArray *bytes = g_ptr_array_index (packets, i % flows);

      wl_balancer_packet (balancer, bytes->data, bytes->len);
    }
  g_assert (counts.to_endpoint == PACKET_COUNT);
  return (cpu_ns () - begin_ns) / PACKET_COUNT;
}

typedef struct
{
  gdouble new_flow_ns;
  gdouble packet_ns;
  gdouble bytes_per_flow;
} FlowCost;

/* Measures flows that the agent holds for its backend server. */
static FlowCost
holder_cost (guint flows, gdouble packet_build_ns)
{
  PacketCounts counts = { 0 };
  gint64 now_us = 60 * WB_US_PER_S;
  WfAgent *agent = make_agent (&counts, 1, 0);
  gsize empty_bytes = wf_agent_memory (agent);
  FlowCost cost;
  gdouble begin_ns = cpu_ns ();
  guint i;

  for (i = 0; i < flows; i++)
    {
      WwPacket initial = client_packet (i, WW_TCP_SYN, 1000, 0);
      WwPacket handshake_ack = client_packet (i, WW_TCP_ACK, 1001, 5001);

      receive_from_client (agent, &initial, now_us);
      receive_from_server (agent, i, now_us);
      receive_from_client (agent, &handshake_ack, now_us);
    }
  cost.new_flow_ns = (cpu_ns () - begin_ns) / flows - 3 * packet_build_ns;
  cost.bytes_per_flow = (gdouble) (wf_agent_memory (agent) - empty_bytes) / flows;
  g_assert (wf_agent_flows_held (agent) == flows);
  begin_ns = cpu_ns ();
  for (i = 0; i < PACKET_COUNT; i++)
    {
      WwPacket packet = client_packet (i % flows, WW_TCP_ACK, 1001, 5001);

      receive_from_client (agent, &packet, now_us);
    }
  cost.packet_ns = (cpu_ns () - begin_ns) / PACKET_COUNT - packet_build_ns;
  wf_agent_free (agent);
  return cost;
}

/* Measures flows for which the agent is the home and a peer is the holder: it stores their
 * registrations and forwards their packets. */
static FlowCost
registry_cost (guint flows, gdouble packet_build_ns)
{
  PacketCounts counts = { 0 };
  gint64 now_us = 60 * WB_US_PER_S;
  WfAgent *agent = make_agent (&counts, 2, 0);
  gsize empty_bytes = wf_agent_memory (agent);
  FlowCost cost = { 0 };
  gdouble begin_ns = cpu_ns ();
  guint i;

  register_flows (agent, flows, now_us);
  cost.new_flow_ns = (cpu_ns () - begin_ns) / flows;
  cost.bytes_per_flow = (gdouble) (wf_agent_memory (agent) - empty_bytes) / flows;
  counts.to_endpoint = 0;
  begin_ns = cpu_ns ();
  for (i = 0; i < PACKET_COUNT; i++)
    {
      WwPacket packet = client_packet (i % flows, WW_TCP_ACK, 1001, 5001);

      receive_from_client (agent, &packet, now_us);
    }
  cost.packet_ns = (cpu_ns () - begin_ns) / PACKET_COUNT - packet_build_ns;
  g_assert (counts.to_endpoint == PACKET_COUNT);
  wf_agent_free (agent);
  return cost;
}

int
main (void)
{
  static const guint flow_counts[] = { 1000, 4000, 16000, 64000 };
  guint i;

  printf ("| flows | balancer ns/packet | holder ns/packet | ratio | home forwarding ns/packet | "
          "new flow "
          "at holder ns | registration ns | bytes per flow held | bytes per registry entry |\n");
  printf ("|---|---|---|---|---|---|---|---|---|\n");
  for (i = 0; i < G_N_ELEMENTS (flow_counts); i++)
    {
      gdouble packet_build_ns = packet_build_cost (flow_counts[i]);
      gdouble balancer_ns = balancer_cost (flow_counts[i]);
      FlowCost holder = holder_cost (flow_counts[i], packet_build_ns);
      FlowCost registry = registry_cost (flow_counts[i], packet_build_ns);

      printf ("| %u | %.0f | %.0f | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f |\n", flow_counts[i],
              balancer_ns, holder.packet_ns, holder.packet_ns / balancer_ns, registry.packet_ns,
              holder.new_flow_ns, registry.new_flow_ns, holder.bytes_per_flow,
              registry.bytes_per_flow);
    }
  return 0;
}
