#include "agent-fixture.h"
#include "flow-sim.h"

#include <string.h>

/*
 * A configuration gives the destination of open flows to another service. Their packets must reach
 * the server that holds the flow, or nobody.
 */

#define S WB_US_PER_S
#define N_AGENTS_OF_A 3
#define OTHER_SERVICE_ID 8
#define OTHER_ENDPOINT_ID 31
#define THIRD_ENDPOINT_ID 3 /* of this service, behind AF_PEER_ID */

/* What happens beside the move of the destination from service "a" to "b". */
typedef enum
{
  WITH_NOTHING,
  WITH_LATE_BALANCERS,
  WITH_LATE_AGENTS,
  WITH_RESTART_IN_NEW_SERVICE,
  WITH_RESTART_IN_OLD_SERVICE,
  WITH_JOIN_IN_NEW_SERVICE,
  WITHOUT_NEW_SERVICE,
  WITH_MOVE_BACK,
  WITH_WEIGHTS,
  WITH_LATER_RESTART, /* after another configuration, when no history is left */
} Scenario;

static void
add_clients (FsSim *sim, guint count, guint n_requests, gint64 think_time_us)
{
  while (count-- > 0)
    (void) fs_add_client (sim, n_requests, think_time_us, 1500, 5);
}

/* Flows are open at "a", half of them with a request every second and half with one every six, when
 * the destination moves. New flows go to "b" from then on. */
static void
move (gconstpointer data)
{
  Scenario scenario = GPOINTER_TO_UINT (data);
  guint seed, i;

  for (seed = 1; seed <= 20; seed++)
    {
      FsSim *sim = fs_new (seed, N_AGENTS_OF_A, 8, 10 * S);
      guint b_begin = sim->n_agents;

      for (i = 0; i < 2 && scenario != WITHOUT_NEW_SERVICE; i++)
        (void) fs_start_agent (sim, "b");
      fs_publish_members (sim, 0);
      if (scenario == WITH_WEIGHTS)
        fs_publish_split (sim, 9, 1, 0);
      fs_run (sim, 20 * S);
      add_clients (sim, 12, 8, S);
      add_clients (sim, 12, scenario == WITH_LATER_RESTART ? 8 : 3, 6 * S);
      fs_run (sim, 1500 * WB_US_PER_MS);
      if (scenario == WITH_LATE_BALANCERS)
        sim->balancer_config_delay_us = 4 * S;
      if (scenario == WITH_WEIGHTS)
        fs_publish_split (sim, 1, 9, 3 * S);
      else
        fs_publish_config (sim, "b", 8, 10 * S, scenario == WITH_LATE_AGENTS ? 5 * S : S / 10);
      fs_run (sim, 4 * S);
      if (scenario == WITH_LATER_RESTART)
        {
          fs_run (sim, 22 * S);
          fs_publish_config (sim, "b", 8, 10 * S, S / 10);
          fs_run (sim, S);
        }
      if (scenario == WITH_RESTART_IN_NEW_SERVICE || scenario == WITH_LATER_RESTART)
        fs_restart_agent (sim, b_begin);
      if (scenario == WITH_RESTART_IN_OLD_SERVICE)
        fs_restart_agent (sim, 0);
      if (scenario == WITH_JOIN_IN_NEW_SERVICE)
        (void) fs_start_agent (sim, "b");
      fs_publish_members (sim, S / 2);
      if (scenario == WITH_MOVE_BACK)
        fs_publish_config (sim, "a", 8, 10 * S, S / 10);
      fs_run (sim, 2 * S);
      if (scenario != WITHOUT_NEW_SERVICE)
        add_clients (sim, 12, 2, S);
      fs_run (sim, 40 * S);
      fs_check_finished (sim);
      if (sim->violations->len > 0)
        g_test_message ("seed %u: %s", seed, sim->violations->str);
      g_assert_cmpstr (sim->violations->str, ==, "");
      fs_free (sim);
    }
}

/* Guards against packets of a flow of the present service that enter through another zone, and are
 * led through the previous service before the homes for the other zones see them. */
static void
test_other_zone (void)
{
  FsSim *sim = fs_new_in_zones (11, FS_N_ZONES, 16, 10 * S);
  guint i;

  for (i = 0; i < FS_N_ZONES; i++)
    (void) fs_start_agent (sim, "b");
  fs_publish_members (sim, 0);
  fs_run (sim, 20 * S);
  fs_publish_config (sim, "b", 16, 10 * S, S / 10);
  fs_run (sim, 2 * S);
  add_clients (sim, 24, 6, S);
  sim->other_zone_probability = 0.5;
  fs_run (sim, 15 * S);
  fs_check_finished (sim);
  g_assert_cmpstr (sim->violations->str, ==, "");
  g_assert_cmpuint (fs_sum_counter (sim, "flow_forwarded_chain"), >, 0);
  g_assert_cmpuint (fs_sum_counter (sim, "flow_forwarded_moved"), ==, 0);
  g_assert_cmpuint (fs_sum_counter (sim, "flow_recovery_probes"), ==, 0);
  fs_free (sim);
}

/* An agent with the returning format and one endpoint of another service. */

static void
list_other_endpoints (gpointer context, guint64 service_id, GArray *endpoints)
{
  WfEndpoint endpoint = { .id = OTHER_ENDPOINT_ID, .incarnation = 1 };

  if (service_id == OTHER_SERVICE_ID)
    g_array_append_val (endpoints, endpoint);
}

static guint64
other_endpoint_service (gpointer context, guint64 endpoint_id)
{
  return endpoint_id == OTHER_ENDPOINT_ID ? OTHER_SERVICE_ID : 0;
}

static AfFixture *
fixture_new (void)
{
  return af_new_with_others (list_other_endpoints, other_endpoint_service);
}

static void
receive (AfFixture *fixture, const WwPacket *packet, ww_encap_kind kind, guint64 sender_id)
{
  fixture->sender_id = sender_id;
  af_receive_packet (fixture, packet, kind);
}

static WwPacket
data_packet (void)
{
  WwPacket packet =
      af_client_packet (WW_TCP_ACK, AF_CLIENT_SEQUENCE + 1, AF_SERVER_SEQUENCE + 1, 0);

  packet.payload = (const guint8 *) "GET /";
  packet.payload_length = strlen ("GET /");
  return packet;
}

/* Guards against an agent in its recovery period that delivers packets of another service's open
 * flows to its own server, which has never seen them, to find out whether it holds them. */
static void
test_not_probed (void)
{
  g_autoptr (AfFixture) fixture = fixture_new ();
  WwPacket packet = data_packet ();

  af_set_route (fixture, OTHER_SERVICE_ID);
  af_set_route (fixture, AF_SERVICE_ID);
  receive (fixture, &packet, WW_ENCAP_FORWARD, AF_BALANCER_ID);
  g_assert_cmpuint (fixture->server.count, ==, 0);
  g_assert_cmpuint (fixture->peer.count, ==, 1);
  g_assert_cmpuint (fixture->peer.endpoint_id, ==, OTHER_ENDPOINT_ID);
  g_assert_cmpuint (fixture->peer.header.service_id, ==, OTHER_SERVICE_ID);

  /* The other service does not hold it either: the flow is of this one, and its agent has lost it.
   */
  receive (fixture, &packet, WW_ENCAP_CHAIN, OTHER_ENDPOINT_ID);
  g_assert_cmpuint (fixture->peer.count, ==, 1);
  g_assert_cmpuint (fixture->server.count, ==, 1);

  /* When every holder must have registered, the flow can only be of this service. */
  af_advance (fixture, 30 * S);
  packet.source_port++;
  receive (fixture, &packet, WW_ENCAP_FORWARD, AF_BALANCER_ID);
  g_assert_cmpuint (fixture->peer.count, ==, 1);
  g_assert_cmpuint (fixture->server.count, ==, 2);
}

/* Guards against a holder that drops the packets of either end of an open flow because its
 * destination has moved, and against one that opens a new flow there. */
static void
test_held (void)
{
  g_autoptr (AfFixture) fixture = fixture_new ();
  WwPacket packet = data_packet ();
  WwPacket initial = af_client_packet (WW_TCP_SYN, AF_CLIENT_SEQUENCE, 0, 0);
  guint delivered, sent;

  af_establish_flow (fixture);
  af_set_route (fixture, OTHER_SERVICE_ID);
  delivered = fixture->server.count;
  sent = fixture->client.count;
  receive (fixture, &packet, WW_ENCAP_TO_HOLDER, OTHER_ENDPOINT_ID);
  g_assert_cmpuint (fixture->server.count, ==, delivered + 1);
  af_send_from_server_with_payload (fixture, WW_TCP_ACK, AF_SERVER_SEQUENCE + 1,
                                    AF_CLIENT_SEQUENCE + 6, "HTTP/1.1 200 OK\r\n");
  g_assert_cmpuint (fixture->client.count, ==, sent + 1);

  /* The home sends the initial packet of an unknown flow that is registered here: it goes back. */
  initial.source_port++;
  receive (fixture, &initial, WW_ENCAP_TO_HOLDER, OTHER_ENDPOINT_ID);
  g_assert_cmpuint (fixture->server.count, ==, delivered + 1);
  g_assert_cmpuint (fixture->peer.endpoint_id, ==, OTHER_ENDPOINT_ID);
  g_assert_cmpint (fixture->peer.header.kind, ==, WW_ENCAP_FORWARD);
  receive (fixture, &initial, WW_ENCAP_PLACE, AF_PEER_ID);
  receive (fixture, &initial, WW_ENCAP_FORWARD, AF_BALANCER_ID);
  g_assert_cmpuint (fixture->server.count, ==, delivered + 1);

  /* A configuration without the route ends its flows. */
  af_set_route (fixture, 0);
  receive (fixture, &packet, WW_ENCAP_FORWARD, AF_BALANCER_ID);
  g_assert_cmpuint (fixture->server.count, ==, delivered + 1);
}

/* Guards against a flow that is lost when the agent of its holder has started again after the
 * move: the registration with the home leads to the agent, whose server still holds the flow. */
static void
test_restarted_holder (void)
{
  g_autoptr (AfFixture) fixture = fixture_new ();
  WwPacket packet = data_packet ();

  af_set_route (fixture, OTHER_SERVICE_ID);
  receive (fixture, &packet, WW_ENCAP_TO_HOLDER, OTHER_ENDPOINT_ID);
  g_assert_cmpuint (fixture->server.count, ==, 1);
  af_send_from_server (fixture, WW_TCP_ACK, AF_SERVER_SEQUENCE + 1, AF_CLIENT_SEQUENCE + 6);
  g_assert_cmpuint (fixture->client.count, ==, 1);
  g_assert_cmpuint (wf_agent_flows_held (fixture->agent), ==, 1);
}

/* Guards against two services that each take the other for the previous one, because their agents
 * have different configurations, and pass a packet back and forth instead of looking for its flow.
 */
static void
test_both_ask (void)
{
  g_autoptr (AfFixture) fixture = fixture_new ();
  WwPacket packet = data_packet ();

  af_set_route (fixture, OTHER_SERVICE_ID);
  af_set_route (fixture, AF_SERVICE_ID);
  fixture->home_id = OTHER_ENDPOINT_ID;
  receive (fixture, &packet, WW_ENCAP_FORWARD, OTHER_ENDPOINT_ID);
  g_assert_cmpuint (fixture->peer.count, ==, 0);
  g_assert_cmpuint (fixture->server.count, ==, 1);

  /* This service does not hold the flow: the home that has asked goes on with its chain. */
  af_return_from_server (fixture);
  g_assert_cmpuint (fixture->peer.count, ==, 1);
  g_assert_cmpuint (fixture->peer.endpoint_id, ==, OTHER_ENDPOINT_ID);
  g_assert_cmpint (fixture->peer.header.kind, ==, WW_ENCAP_CHAIN);
  g_assert_cmpuint (fixture->peer.header.home_id, ==, 0);

  /* A later endpoint of that chain does not ask the other service again. */
  packet.source_port++;
  fixture->home_id = 0;
  receive (fixture, &packet, WW_ENCAP_CHAIN, AF_PEER_ID);
  g_assert_cmpuint (fixture->server.count, ==, 2);
  af_return_from_server (fixture);
  g_assert_cmpuint (fixture->peer.count, ==, 1);
}

/* Guards against initial packets that a tombstone leads to the service that had the destination
 * before, so that they circle and the flow is opened at a server that must not get it. */
static void
test_initial_tombstone (void)
{
  g_autoptr (AfFixture) fixture = fixture_new ();
  WwPacket initial = af_client_packet (WW_TCP_SYN, AF_CLIENT_SEQUENCE, 0, 0);
  WwPacket retransmission = af_client_packet (WW_TCP_SYN, AF_CLIENT_SEQUENCE, 0, 1);

  af_set_route (fixture, OTHER_SERVICE_ID);
  receive (fixture, &initial, WW_ENCAP_CHAIN, AF_PEER_ID);
  g_assert_cmpuint (fixture->peer.count, ==, 1);
  g_assert_cmpuint (fixture->peer.endpoint_id, ==, OTHER_ENDPOINT_ID);

  /* An entry of the registry in a sender with a newer configuration is not its choice of this
   * service. */
  fixture->config_version++;
  receive (fixture, &retransmission, WW_ENCAP_TO_HOLDER, AF_PEER_ID);
  g_assert_cmpuint (fixture->peer.count, ==, 2);
  g_assert_cmpuint (fixture->server.count, ==, 0);

  af_set_route (fixture, AF_SERVICE_ID);
  receive (fixture, &retransmission, WW_ENCAP_CHAIN, AF_PEER_ID);
  g_assert_cmpuint (fixture->peer.count, ==, 2);
  g_assert_cmpuint (fixture->server.count, ==, 1);
}

/* Guards against packets of an open flow that circle along the tombstones of deferred placements:
 * the last endpoint sends them back to the home, whose tombstone sends them on again. */
static void
test_deferred_tombstone (void)
{
  g_autoptr (AfFixture) fixture = af_new (TRUE, TRUE);
  WwPacket initial = af_client_packet (WW_TCP_SYN, AF_CLIENT_SEQUENCE, 0, 1);
  WwPacket packet = data_packet ();
  guint forwarded;

  wf_agent_resumed (fixture->agent, fixture->now_us);
  af_advance (fixture, S);
  do
    {
      initial.source_port++;
      receive (fixture, &initial, WW_ENCAP_FORWARD, AF_BALANCER_ID);
    }
  while (fixture->peer.header.kind != WW_ENCAP_CHAIN);

  packet.source_port = initial.source_port;
  forwarded = fixture->peer.count;
  receive (fixture, &packet, WW_ENCAP_FORWARD, AF_BALANCER_ID);
  g_assert_cmpuint (fixture->peer.count, ==, forwarded + 1);
  g_assert_cmpint (fixture->peer.header.kind, ==, WW_ENCAP_TO_HOLDER);

  fixture->hops = 4;
  receive (fixture, &packet, WW_ENCAP_FORWARD, THIRD_ENDPOINT_ID);
  g_assert_cmpuint (fixture->peer.count, ==, forwarded + 1);
  g_assert_cmpuint (fixture->server.count, ==, 1);
}

/* Guards against an entry in another service that names the wrong holder and is never corrected,
 * because the packets go back to the home and not to the endpoint that has the entry. */
static void
test_wrong_entry (void)
{
  g_autoptr (AfFixture) fixture = fixture_new ();
  WwPacket packet = data_packet ();

  receive (fixture, &packet, WW_ENCAP_TO_HOLDER, OTHER_ENDPOINT_ID);
  g_assert_cmpuint (fixture->server.count, ==, 1);
  af_return_from_server (fixture);
  g_assert_cmpuint (fixture->peer.count, ==, 1);
  g_assert_cmpuint (fixture->peer.endpoint_id, ==, OTHER_ENDPOINT_ID);
  g_assert_cmpint (fixture->peer.header.kind, ==, WW_ENCAP_FORWARD);
}

/* Guards against a home in another service that ends a flow after the client has accepted the
 * SYN-ACK of its server. */
static void
test_release_confirmed (void)
{
  g_autoptr (AfFixture) fixture = fixture_new ();
  WwPacket packet = af_client_packet (0, 0, 0, 0);
  WwFlowKey key = ww_packet_key_from_client (&packet);
  ww_peer message = { .service_id = AF_SERVICE_ID, .sender_id = OTHER_ENDPOINT_ID };
  g_autoptr (GByteArray) datagram = g_byte_array_new ();

  af_establish_flow (fixture);
  message.body.kind = WW_PEER_RELEASE;
  message.body.ww_peer_body_u.release.flow = ww_flow_key_to_wire (&key);
  message.body.ww_peer_body_u.release.holder_id = OTHER_ENDPOINT_ID;
  g_assert_true (ww_peer_encode (&message, datagram));
  wf_agent_receive (fixture->agent, datagram->data, datagram->len, fixture->now_us);
  g_assert_cmpuint (wf_agent_flows_held (fixture->agent), ==, 1);
}

/* Guards against a packet that is forwarded with the version of an older configuration than the
 * one by which its sender has chosen the service: the receiver would contradict that choice. */
static void
test_newest_version (void)
{
  g_autoptr (AfFixture) fixture = fixture_new ();
  WwPacket packet = data_packet ();

  af_set_route (fixture, OTHER_SERVICE_ID);
  fixture->config_version += 3;
  receive (fixture, &packet, WW_ENCAP_FORWARD, AF_BALANCER_ID);
  g_assert_cmpuint (fixture->peer.count, ==, 1);
  g_assert_cmpuint (fixture->peer.header.config_version, ==, fixture->config_version);
}

/* Guards against the same when the server has a half-open connection of the flow: the packet is of
 * another connection. */
static void
test_wrong_entry_half_open (void)
{
  g_autoptr (AfFixture) fixture = fixture_new ();
  WwPacket initial = af_client_packet (WW_TCP_SYN, AF_CLIENT_SEQUENCE, 0, 0);
  WwPacket packet = data_packet ();

  receive (fixture, &initial, WW_ENCAP_PLACE, AF_PEER_ID);
  af_send_from_server (fixture, WW_TCP_SYN | WW_TCP_ACK, AF_SERVER_SEQUENCE,
                       AF_CLIENT_SEQUENCE + 1);
  packet.acknowledgment += 1000;
  receive (fixture, &packet, WW_ENCAP_TO_HOLDER, OTHER_ENDPOINT_ID);
  g_assert_cmpuint (fixture->peer.count, ==, 1);
  g_assert_cmpuint (fixture->peer.endpoint_id, ==, OTHER_ENDPOINT_ID);
  g_assert_cmpint (fixture->peer.header.kind, ==, WW_ENCAP_FORWARD);
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const gchar *path;
    Scenario scenario;
  } scenarios[] = {
    { "/moved/sim", WITH_NOTHING },
    { "/moved/sim-late-balancers", WITH_LATE_BALANCERS },
    { "/moved/sim-late-agents", WITH_LATE_AGENTS },
    { "/moved/sim-restart-in-new-service", WITH_RESTART_IN_NEW_SERVICE },
    { "/moved/sim-restart-in-old-service", WITH_RESTART_IN_OLD_SERVICE },
    { "/moved/sim-join-in-new-service", WITH_JOIN_IN_NEW_SERVICE },
    { "/moved/sim-without-new-service", WITHOUT_NEW_SERVICE },
    { "/moved/sim-move-back", WITH_MOVE_BACK },
    { "/moved/sim-weights", WITH_WEIGHTS },
    { "/moved/sim-later-restart", WITH_LATER_RESTART },
  };
  guint i;

  g_test_init (&argc, &argv, NULL);
  for (i = 0; i < G_N_ELEMENTS (scenarios); i++)
    g_test_add_data_func (scenarios[i].path, GUINT_TO_POINTER (scenarios[i].scenario), move);
  g_test_add_func ("/moved/sim-other-zone", test_other_zone);
  g_test_add_func ("/moved/not-probed", test_not_probed);
  g_test_add_func ("/moved/held", test_held);
  g_test_add_func ("/moved/restarted-holder", test_restarted_holder);
  g_test_add_func ("/moved/both-ask", test_both_ask);
  g_test_add_func ("/moved/initial-tombstone", test_initial_tombstone);
  g_test_add_func ("/moved/deferred-tombstone", test_deferred_tombstone);
  g_test_add_func ("/moved/wrong-entry", test_wrong_entry);
  g_test_add_func ("/moved/wrong-entry-half-open", test_wrong_entry_half_open);
  g_test_add_func ("/moved/release-confirmed", test_release_confirmed);
  g_test_add_func ("/moved/newest-version", test_newest_version);
  return g_test_run ();
}
