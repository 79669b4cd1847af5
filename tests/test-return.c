#include "wf-options.h"
#include "wf-server.h"

#include <string.h>

/*
 * A format in which the system may not send packets of its own and the backend server returns
 * packets that it does not hold. It is IPv4 with the type-of-service byte as the mark of a returned
 * packet and the TCP window as the number of the copy.
 */

#define TOS_OFFSET 1
#define SELF 1
#define PEER 2
#define SERVICE 7
#define CLIENT 0x0a000001
#define ADDRESS 0xc0000201
#define PORT 80
#define CLIENT_SEQUENCE 5000
#define SERVER_SEQUENCE 9000
#define CONFIG_VERSION 5

static WwPacketStatus
parse (const guint8 *data, gsize length, WwPacket *packet)
{
  WwPacketStatus status = ww_packet_parse (data, length, packet);

  if (status != WW_PACKET_OK)
    return status;
  packet->returned = data[TOS_OFFSET] != 0;
  if (packet->tcp_flags == WW_TCP_SYN)
    packet->retransmission = packet->window;
  return status;
}

static void
clear_returned (guint8 *data, gsize length)
{
  data[TOS_OFFSET] = 0;
}

static const WwPacketFormat format = {
  .name = "test",
  .returns_packets = TRUE,
  .numbers_retransmissions = TRUE,
  .parse = parse,
  .build = ww_packet_build_tcp,
  .clear_returned = clear_returned,
};

typedef struct
{
  guint count;
  GBytes *last;
  guint64 endpoint;
  ww_encap header;
} Output;

typedef struct
{
  WfAgent *agent;
  Output server, client, peer;
  gint64 now_us;
} World;

static void
note (Output *output, const guint8 *data, gsize length)
{
  output->count++;
  g_clear_pointer (&output->last, g_bytes_unref);
  output->last = g_bytes_new (data, length);
}

static void
to_server (gpointer context, const guint8 *data, gsize length)
{
  note (&((World *) context)->server, data, length);
}

static void
to_client (gpointer context, const guint8 *data, gsize length)
{
  note (&((World *) context)->client, data, length);
}

/* Messages between agents are left out; only packets count. */
static void
to_endpoint (gpointer context, guint64 endpoint_id, const guint8 *data, gsize length)
{
  World *world = context;
  const guint8 *packet;
  gsize packet_length;

  if (!ww_encap_parse (data, length, &world->peer.header, &packet, &packet_length))
    return;
  world->peer.endpoint = endpoint_id;
  note (&world->peer, packet, packet_length);
}

static void
set_peer (World *world, gboolean present, gboolean draining)
{
  const WfEndpoint endpoints[] = { { .id = SELF },
                                   { .id = PEER, .incarnation = 1, .draining = draining } };

  wf_agent_set_endpoints (world->agent, endpoints, present ? 2 : 1, world->now_us);
}

static World *
world_new (gboolean with_config, gboolean with_peer)
{
  World *world = g_new0 (World, 1);
  WfCallbacks callbacks = { world, to_server, to_client, to_endpoint };

  world->now_us = 1000 * WB_US_PER_S;
  world->agent = wf_agent_new (SELF, SERVICE, &callbacks, 1, world->now_us);
  wf_agent_set_format (world->agent, &format);
  wf_agent_set_capacity (world->agent, 4, 0, world->now_us);
  if (with_config)
    {
      g_autoptr (WcConfig) config = wc_config_new ();
      WcService *service = wc_service_new ("s", ADDRESS);
      WcRoute *route = wc_route_new (ADDRESS, PORT, WW_PROTOCOL_TCP, WC_CLASS_SHORT);

      service->id = SERVICE;
      wc_route_add_target (route, SERVICE, 1);
      wc_config_add_service (config, service);
      wc_config_add_route (config, route);
      config->version = CONFIG_VERSION;
      wf_agent_set_config (world->agent, config, world->now_us);
    }
  set_peer (world, with_peer, FALSE);
  world->now_us += 60 * WB_US_PER_S;
  wf_agent_tick (world->agent, world->now_us);
  return world;
}

static void
world_free (World *world)
{
  Output *outputs[] = { &world->server, &world->client, &world->peer };
  guint i;

  wf_agent_free (world->agent);
  for (i = 0; i < G_N_ELEMENTS (outputs); i++)
    g_clear_pointer (&outputs[i]->last, g_bytes_unref);
  g_free (world);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (World, world_free)

static void
advance (World *world, gint64 duration_us)
{
  gint64 end_us = world->now_us + duration_us;

  while (world->now_us < end_us)
    {
      world->now_us += WB_US_PER_MS;
      wf_agent_tick (world->agent, world->now_us);
    }
}

static WwPacket
from_client (guint8 flags, guint32 sequence, guint32 acknowledgment, guint copy)
{
  WwPacket packet = { .source_address = CLIENT,
                      .destination_address = ADDRESS,
                      .source_port = 4000,
                      .destination_port = PORT,
                      .protocol = WW_PROTOCOL_TCP,
                      .tcp_flags = flags,
                      .sequence = sequence,
                      .acknowledgment = acknowledgment,
                      .window = (guint16) copy };

  return packet;
}

static void
receive (World *world, const WwPacket *packet, ww_encap_kind kind)
{
  ww_encap header = { .kind = kind,
                      .hops = 1,
                      .service_id = SERVICE,
                      .config_version = CONFIG_VERSION,
                      .home_id = SELF,
                      .sender_id = 99 };
  g_autoptr (GByteArray) bytes = ww_packet_build_tcp (packet);
  g_autoptr (GByteArray) datagram = g_byte_array_new ();

  ww_encap_append (datagram, &header, bytes->data, bytes->len);
  wf_agent_receive (world->agent, datagram->data, datagram->len, world->now_us);
}

/* The server returns the last packet that it got. */
static void
server_returns (World *world)
{
  gsize length;
  const guint8 *data = g_bytes_get_data (world->server.last, &length);
  g_autofree guint8 *copy = g_memdup2 (data, length);

  copy[TOS_OFFSET] = 1;
  wf_agent_from_server (world->agent, copy, length, world->now_us);
}

static void
server_sends (World *world, guint8 flags, guint32 sequence, guint32 acknowledgment)
{
  WwPacket packet = { .source_address = ADDRESS,
                      .destination_address = CLIENT,
                      .source_port = PORT,
                      .destination_port = 4000,
                      .protocol = WW_PROTOCOL_TCP,
                      .tcp_flags = flags,
                      .sequence = sequence,
                      .acknowledgment = acknowledgment };
  g_autoptr (GByteArray) bytes = ww_packet_build_tcp (&packet);

  wf_agent_from_server (world->agent, bytes->data, bytes->len, world->now_us);
}

static void
open_flow (World *world)
{
  WwPacket initial = from_client (WW_TCP_SYN, CLIENT_SEQUENCE, 0, 0);
  WwPacket ack = from_client (WW_TCP_ACK, CLIENT_SEQUENCE + 1, SERVER_SEQUENCE + 1, 0);

  receive (world, &initial, WW_ENCAP_PLACE);
  server_sends (world, WW_TCP_SYN | WW_TCP_ACK, SERVER_SEQUENCE, CLIENT_SEQUENCE + 1);
  receive (world, &ack, WW_ENCAP_FORWARD);
}

static WwPacket
last_to_client (const World *world)
{
  WwPacket packet;
  gsize length;
  const guint8 *data = g_bytes_get_data (world->client.last, &length);

  g_assert_cmpint (ww_packet_parse (data, length, &packet), ==, WW_PACKET_OK);
  return packet;
}

/* Guards against a new flow that ends because its first server does not accept it. */
static void
test_initial_offered_again (void)
{
  g_autoptr (World) world = world_new (TRUE, TRUE);
  WwPacket initial = from_client (WW_TCP_SYN, CLIENT_SEQUENCE, 0, 0);

  receive (world, &initial, WW_ENCAP_PLACE);
  g_assert_cmpuint (world->server.count, ==, 1);
  server_returns (world);
  g_assert_cmpuint (world->peer.count, ==, 1);
  g_assert_cmpuint (world->peer.endpoint, ==, PEER);
  g_assert_cmpint (world->peer.header.kind, ==, WW_ENCAP_PLACE);
  g_assert_true (g_bytes_equal (world->peer.last, world->server.last));
  g_assert_cmpuint (world->client.count, ==, 0);
}

/* Guards against a client that waits although no server accepts its flow. */
static void
test_initial_refused (void)
{
  g_autoptr (World) world = world_new (TRUE, FALSE);
  WwPacket initial = from_client (WW_TCP_SYN, CLIENT_SEQUENCE, 0, 0);
  WwPacket copy = from_client (WW_TCP_SYN, CLIENT_SEQUENCE, 0, 1);

  receive (world, &initial, WW_ENCAP_FORWARD);
  server_returns (world);
  g_assert_cmpuint (world->client.count, ==, 1);
  g_assert_cmpint (last_to_client (world).tcp_flags, ==, WW_TCP_RST);
  receive (world, &copy, WW_ENCAP_FORWARD);
  g_assert_cmpuint (world->client.count, ==, 1);
  g_assert_cmpuint (world->server.count, ==, 1);
}

/* Guards against packets of a flow that is held elsewhere and that stay with a restarted agent, or
 * go to its server again and again. */
static void
test_unknown_absent (void)
{
  g_autoptr (World) world = world_new (TRUE, TRUE);
  WwPacket data = from_client (WW_TCP_ACK, CLIENT_SEQUENCE + 1, SERVER_SEQUENCE + 1, 0);
  guint i;

  receive (world, &data, WW_ENCAP_CHAIN);
  if (world->server.count == 0)
    return;
  server_returns (world);
  for (i = 0; i < 3; i++)
    {
      advance (world, 200 * WB_US_PER_MS);
      receive (world, &data, WW_ENCAP_CHAIN);
    }
  g_assert_cmpuint (world->server.count, ==, 1);
  g_assert_cmpuint (world->client.count, ==, 0);
}

/* Guards against a flow of the own server that an agent does not take up again after its restart.
 */
static void
test_unknown_held (void)
{
  g_autoptr (World) world = world_new (TRUE, FALSE);
  WwPacket data = from_client (WW_TCP_ACK, CLIENT_SEQUENCE + 1, SERVER_SEQUENCE + 1, 0);

  receive (world, &data, WW_ENCAP_FORWARD);
  g_assert_cmpuint (world->server.count, ==, 1);
  advance (world, 150 * WB_US_PER_MS);
  g_assert_cmpuint (wf_agent_flows_held (world->agent), ==, 1);
  receive (world, &data, WW_ENCAP_FORWARD);
  g_assert_cmpuint (world->server.count, ==, 2);
}

/* Guards against a reset of a flow that another server holds: a server that has crashed returns
 * nothing, which is no sign that it held the flow. */
static void
test_unknown_server_replaced (void)
{
  g_autoptr (World) world = world_new (TRUE, FALSE);
  WwPacket data = from_client (WW_TCP_ACK, CLIENT_SEQUENCE + 1, SERVER_SEQUENCE + 1, 0);

  receive (world, &data, WW_ENCAP_FORWARD);
  advance (world, 150 * WB_US_PER_MS);
  g_assert_cmpuint (wf_agent_flows_held (world->agent), ==, 1);
  wf_agent_server_replaced (world->agent, world->now_us, world->now_us);
  g_assert_cmpuint (world->client.count, ==, 0);
  g_assert_cmpuint (wf_agent_flows_held (world->agent), ==, 0);
}

/* Guards against a home that forgets the holder of a flow because the holder's agent has restarted
 * and its server has not announced itself yet. */
static void
test_held_before_announcement (void)
{
  g_autoptr (World) world = world_new (TRUE, TRUE);
  WwPacket data = from_client (WW_TCP_ACK, CLIENT_SEQUENCE + 1, SERVER_SEQUENCE + 1, 0);

  wf_agent_set_server_state (world->agent, WF_SERVER_ABSENT, world->now_us);
  receive (world, &data, WW_ENCAP_TO_HOLDER);
  g_assert_cmpuint (world->peer.count, ==, 0);
  g_assert_cmpuint (world->server.count, ==, 0);
  wf_agent_set_server_state (world->agent, WF_SERVER_READY, world->now_us);
  receive (world, &data, WW_ENCAP_TO_HOLDER);
  g_assert_cmpuint (world->server.count, ==, 1);
}

/* Guards against packets of an open flow that go to the server of an endpoint which has just joined
 * and has become the home of the flow: none of its server's flows is unknown to it. */
static void
test_new_home (void)
{
  g_autoptr (World) world = world_new (TRUE, TRUE);
  guint16 port;

  wf_agent_set_flows_complete (world->agent, TRUE);
  for (port = 1; port <= 20; port++)
    {
      WwPacket data = from_client (WW_TCP_ACK, CLIENT_SEQUENCE + 1, SERVER_SEQUENCE + 1, 0);

      data.source_port = port;
      receive (world, &data, WW_ENCAP_FORWARD);
    }
  g_assert_cmpuint (world->server.count, ==, 0);
  g_assert_cmpuint (world->peer.count, ==, 20);
}

/* Guards against a flow taken up too early, which is reset although another endpoint holds it. */
static void
test_returned_late (void)
{
  g_autoptr (World) world = world_new (TRUE, FALSE);
  WwPacket data = from_client (WW_TCP_ACK, CLIENT_SEQUENCE + 1, SERVER_SEQUENCE + 1, 0);

  receive (world, &data, WW_ENCAP_FORWARD);
  advance (world, 300 * WB_US_PER_MS);
  server_returns (world);
  g_assert_cmpuint (world->client.count, ==, 0);
  g_assert_cmpuint (wf_agent_flows_held (world->agent), ==, 0);
}

/* Guards against a client that waits for its own timeout when its server has lost the flow, and
 * against a reset that it does not accept. */
static void
test_lost (void)
{
  g_autoptr (World) world = world_new (TRUE, FALSE);
  WwPacket data = from_client (WW_TCP_ACK, CLIENT_SEQUENCE + 1, SERVER_SEQUENCE + 1, 0);

  open_flow (world);
  receive (world, &data, WW_ENCAP_FORWARD);
  world->client.count = 0;
  server_returns (world);
  g_assert_cmpuint (world->client.count, ==, 1);
  g_assert_cmpint (last_to_client (world).tcp_flags, ==, WW_TCP_RST);
  g_assert_cmpuint (last_to_client (world).sequence, ==, SERVER_SEQUENCE + 1);
}

/* Guards against the same when a new process takes the place of the server. */
static void
test_server_replaced (void)
{
  g_autoptr (World) world = world_new (TRUE, FALSE);

  open_flow (world);
  world->client.count = 0;
  wf_agent_server_replaced (world->agent, world->now_us, world->now_us);
  g_assert_cmpuint (world->client.count, ==, 1);
  g_assert_cmpuint (wf_agent_flows_held (world->agent), ==, 0);
}

/* Guards against a reset of a flow that the new process took before it announced itself. */
static void
test_server_replaced_early (void)
{
  g_autoptr (World) world = world_new (TRUE, FALSE);

  open_flow (world);
  world->client.count = 0;
  wf_agent_server_replaced (world->agent, world->now_us - WB_US_PER_MS,
                            world->now_us + WB_US_PER_MS);
  g_assert_cmpuint (world->client.count, ==, 0);
  g_assert_cmpuint (wf_agent_flows_held (world->agent), ==, 1);
}

/* Guards against the same when the earlier process was given the first copy and did not answer. */
static void
test_server_replaced_repeated (void)
{
  g_autoptr (World) world = world_new (TRUE, FALSE);
  WwPacket initial = from_client (WW_TCP_SYN, CLIENT_SEQUENCE, 0, 0);
  gint64 started_us;

  receive (world, &initial, WW_ENCAP_PLACE);
  advance (world, 100 * WB_US_PER_MS);
  started_us = world->now_us;
  advance (world, 100 * WB_US_PER_MS);
  open_flow (world);
  world->client.count = 0;
  wf_agent_server_replaced (world->agent, started_us, world->now_us);
  g_assert_cmpuint (world->client.count, ==, 0);
  g_assert_cmpuint (wf_agent_flows_held (world->agent), ==, 1);
}

/* Guards against new flows at a server that has said that it leaves, also when every endpoint of
 * the service does, and against clients that are kept waiting then. */
static void
test_leaving (void)
{
  g_autoptr (World) world = world_new (TRUE, TRUE);
  WwPacket initial = from_client (WW_TCP_SYN, CLIENT_SEQUENCE, 0, 0);

  wf_agent_set_server_state (world->agent, WF_SERVER_DRAINING, world->now_us);
  receive (world, &initial, WW_ENCAP_PLACE);
  g_assert_cmpuint (world->server.count, ==, 0);
  g_assert_cmpuint (world->peer.endpoint, ==, PEER);
  set_peer (world, TRUE, TRUE);
  initial.source_port++;
  receive (world, &initial, WW_ENCAP_PLACE);
  g_assert_cmpuint (world->server.count, ==, 0);
  g_assert_cmpuint (world->client.count, ==, 1);
  g_assert_cmpint (last_to_client (world).tcp_flags, ==, WW_TCP_RST);
}

/* Guards against an agent that drops packets until it has a configuration, although the balancer
 * that sent them has one. */
static void
test_no_config (void)
{
  g_autoptr (World) world = world_new (FALSE, FALSE);

  open_flow (world);
  g_assert_cmpuint (world->server.count, ==, 2);
  g_assert_cmpuint (world->client.count, ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/return/initial-offered-again", test_initial_offered_again);
  g_test_add_func ("/return/initial-refused", test_initial_refused);
  g_test_add_func ("/return/unknown-absent", test_unknown_absent);
  g_test_add_func ("/return/unknown-held", test_unknown_held);
  g_test_add_func ("/return/unknown-server-replaced", test_unknown_server_replaced);
  g_test_add_func ("/return/held-before-announcement", test_held_before_announcement);
  g_test_add_func ("/return/new-home", test_new_home);
  g_test_add_func ("/return/returned-late", test_returned_late);
  g_test_add_func ("/return/lost", test_lost);
  g_test_add_func ("/return/server-replaced", test_server_replaced);
  g_test_add_func ("/return/server-replaced-repeated", test_server_replaced_repeated);
  g_test_add_func ("/return/server-replaced-early", test_server_replaced_early);
  g_test_add_func ("/return/leaving", test_leaving);
  g_test_add_func ("/return/no-config", test_no_config);
  return g_test_run ();
}
