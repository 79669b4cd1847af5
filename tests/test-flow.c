#include "flow-world.h"

#include <string.h>

/*
 * Each scenario runs with a mechanism off, where it must show the failure, and with everything on.
 */

#define S WB_US_PER_S

static FwWorld *
new_world (guint disabled, guint agents, guint slots, gint64 deadline_us)
{
  FwWorld *world = fw_new (7, agents, slots, deadline_us);
  guint i;

  world->options.disabled = disabled;
  for (i = 0; i < world->n_agents; i++)
    wf_agent_set_options (world->agents[i].agent, &world->options);
  return world;
}

/* Ends the run and returns the number of faults that the oracle saw. */
static guint
finish (FwWorld *world)
{
  const gchar *line;
  guint faults = 0;

  fw_check_finished (world);
  for (line = strchr (world->faults->str, '\n'); line != NULL; line = strchr (line + 1, '\n'))
    faults++;
  if (faults > 0)
    g_test_message ("%s", world->faults->str);
  fw_free (world);
  return faults;
}

static void
add_clients (FwWorld *world, guint count, guint requests, gint64 gap_us)
{
  while (count-- > 0)
    (void) fw_client (world, requests, gap_us, 1500, 5);
}

static guint64
initials (const FwWorld *world)
{
  guint64 sum = 0;
  guint i;

  for (i = 0; i < world->n_agents; i++)
    sum += world->agents[i].initials;
  return sum;
}

/* Guards against a data path that loses, misdelivers or never closes plain flows. */
static void
test_plain (void)
{
  FwWorld *world = new_world (0, 4, 4, 10 * S);

  add_clients (world, 30, 3, S);
  fw_run (world, 10 * S);
  g_assert_cmpuint (fw_counter (world, "flow_opened"), ==, 30);
  fw_run (world, 20 * S);
  g_assert_cmpuint (fw_held (world), ==, 0);
  g_assert_cmpuint (finish (world), ==, 0);
}

/* The balancers and the new endpoint know of a join, the other endpoints do not. */
static guint
join_known_to_some (guint disabled)
{
  FwWorld *world = new_world (disabled, 3, 4, 10 * S);

  add_clients (world, 30, 4, S);
  fw_run (world, 1 * S);
  (void) fw_start_agent (world, "a");
  fw_publish_to (world, 3, 0, 0);
  fw_publish_to (world, -1, 1, 0);
  fw_run (world, 15 * S);
  return finish (world);
}

/* Guards against flows broken while balancers disagree about a join. */
static void
test_view_disagreement (void)
{
  g_assert_cmpuint (join_known_to_some (WF_DISABLE_CHAIN), >, 0);
  g_assert_cmpuint (join_known_to_some (0), ==, 0);
}

/* Endpoint 0 drains, so that others hold the flows whose home it is, and then leaves. */
static FwWorld *
home_leaves (guint disabled, gboolean answered)
{
  FwWorld *world = new_world (disabled, 4, 8, 10 * S);
  guint i;

  fw_drain (world, 0, TRUE);
  fw_publish (world, 0);
  fw_run (world, 1 * S);
  for (i = 0; i < 4; i++)
    world->agents[i].server_silent = !answered;
  add_clients (world, 30, 4, S);
  fw_run (world, 200 * WB_US_PER_MS);
  world->agents[0].member = FALSE;
  fw_publish (world, 0);
  fw_run (world, 2 * S);
  return world;
}

static guint
home_moved (guint disabled)
{
  FwWorld *world = home_leaves (disabled, TRUE);

  fw_run (world, 15 * S);
  return finish (world);
}

/* Guards against a flow that is lost when its home moves. */
static void
test_home_moved (void)
{
  g_assert_cmpuint (home_moved (WF_DISABLE_REGISTRATION | WF_DISABLE_CHAIN), >, 0);
  g_assert_cmpuint (home_moved (0), ==, 0);
}

static guint64
initials_repeated (guint disabled)
{
  FwWorld *world = home_leaves (disabled, FALSE);
  guint64 count = initials (world);

  fw_free (world);
  return count;
}

/* Guards against a repeated initial packet that goes to a second server after the home moved. */
static void
test_repeated_syn (void)
{
  g_assert_cmpuint (initials_repeated (WF_DISABLE_REGISTRATION), >, 30);
  g_assert_cmpuint (initials_repeated (0), ==, 30);
}

static guint
restart_all (guint disabled)
{
  FwWorld *world = new_world (disabled, 3, 8, 10 * S);
  guint i;

  add_clients (world, 30, 4, S);
  fw_run (world, 1500 * WB_US_PER_MS);
  for (i = 0; i < 3; i++)
    fw_restart_agent (world, i);
  fw_publish (world, 0);
  fw_run (world, 15 * S);
  return finish (world);
}

/* Guards against flows lost with the table of an agent that restarts beside its server. */
static void
test_agent_restart (void)
{
  g_assert_cmpuint (restart_all (WF_DISABLE_RECOVERY), >, 0);
  g_assert_cmpuint (restart_all (0), ==, 0);
}

/* Guards against a home that does not learn again who holds its flows after a restart. */
static void
test_registry_recovered (void)
{
  FwWorld *world = new_world (0, 4, 40, 10 * S);
  guint64 before;

  fw_drain (world, 0, TRUE);
  fw_publish (world, 0);
  fw_run (world, 1 * S);
  add_clients (world, 30, 2, 3 * S);
  fw_run (world, 1 * S);
  before = wb_counters_get_by_name (wf_agent_counters (world->agents[0].agent),
                                    "flow_register_received");
  g_assert_cmpuint (before, >, 0);
  fw_restart_agent (world, 0);
  fw_publish (world, 0);
  fw_run (world, 100 * WB_US_PER_MS);
  g_assert_cmpuint (wb_counters_get_by_name (wf_agent_counters (world->agents[0].agent),
                                             "flow_register_received"),
                    ==, before);
  fw_run (world, 15 * S);
  g_assert_cmpuint (finish (world), ==, 0);
}

/* Initial packets reach a paused endpoint that the others meanwhile consider dead. */
static guint64
old_initials (guint disabled)
{
  FwWorld *world = new_world (disabled, 3, 8, 10 * S);
  guint64 count;

  fw_pause (world, 0, 4 * S);
  add_clients (world, 30, 1, 0);
  fw_run (world, 100 * WB_US_PER_MS);
  world->agents[0].member = FALSE;
  fw_publish (world, 0);
  fw_run (world, 3800 * WB_US_PER_MS);
  count = initials (world);
  fw_run (world, 1 * S);
  count = initials (world) - count;
  fw_free (world);
  return count;
}

/* Guards against a paused agent that wakes and places the initial packets of flows that were
 * served elsewhere meanwhile. */
static void
test_paused (void)
{
  g_assert_cmpuint (old_initials (WF_DISABLE_JOIN_DEFERRAL), >, 0);
  g_assert_cmpuint (old_initials (0), ==, 0);
}

/* Tells an endpoint to take an initial packet, as a home does that does not know better. */
static void
place_syn (FwWorld *world, guint agent)
{
  WwPacket syn = { .source_address = 0x0a000000 + FW_CLIENTS - 1,
                   .destination_address = FW_ADDRESS,
                   .source_port = 4242,
                   .destination_port = FW_PORT,
                   .protocol = WW_PROTOCOL_TCP,
                   .tcp_flags = WW_TCP_SYN };
  g_autoptr (GByteArray) packet = ww_packet_build_tcp (&syn);
  ww_encap header = { .kind = WW_ENCAP_PLACE, .hops = 2, .service_id = wb_name_id ("a") };
  g_autoptr (GByteArray) datagram = g_byte_array_new ();

  world->clients[FW_CLIENTS - 1].unreachable = TRUE;
  ww_encap_append (datagram, &header, packet->data, packet->len);
  fw_to_agent (world, agent, datagram->data, datagram->len, 0);
}

/* Endpoint 0 drains, and membership has not told the others; one of them places a flow there
 * before it hears of the drain with an occupancy reply. */
static guint64
initials_while_draining (guint disabled)
{
  FwWorld *world = new_world (disabled, 3, 2, 10 * S);
  guint64 before, count;

  add_clients (world, 12, 3, S);
  fw_run (world, 1 * S);
  fw_drain (world, 0, TRUE);
  before = world->agents[0].initials;
  add_clients (world, 40, 1, 0);
  fw_run (world, 10 * S);
  place_syn (world, 0);
  fw_run (world, 10 * S);
  count = world->agents[0].initials - before;
  g_assert_cmpuint (finish (world), ==, 0);
  return count;
}

/* Guards against new work on a draining endpoint, and against flows that the drain breaks. */
static void
test_draining (void)
{
  /* Admission hands over the queue of a draining endpoint, so that nothing arrives there even with
   * the hand-over of the flow core off. */
  g_assert_cmpuint (initials_while_draining (WF_DISABLE_DRAIN_HANDOVER), ==, 0);
  g_assert_cmpuint (initials_while_draining (0), ==, 0);
}

/* Guards against a sole endpoint that drains and serves nobody. */
static void
test_sole_draining (void)
{
  FwWorld *world = new_world (0, 1, 4, 10 * S);

  fw_drain (world, 0, TRUE);
  add_clients (world, 4, 1, 0);
  fw_run (world, 5 * S);
  g_assert_cmpuint (finish (world), ==, 0);
}

/* The address moves to service "b" and back while flows are open. */
static guint
address_moved (guint disabled)
{
  FwWorld *world = new_world (disabled, 3, 8, 10 * S);
  guint i;

  add_clients (world, 20, 4, S);
  fw_run (world, 1500 * WB_US_PER_MS);
  world->balancer_config_delay_us = 3 * S;
  fw_config (world, "b", 8, 10 * S, 0);
  fw_run (world, 100 * WB_US_PER_MS);
  for (i = 0; i < 3; i++)
    wf_agent_set_config (world->agents[i].agent, g_ptr_array_index (world->configs, 0),
                         world->now_us);
  g_assert_cmpuint (fw_counter (world, "flow_r5_config_older"), ==, 3);
  fw_run (world, 5 * S);
  fw_config (world, "a", 8, 10 * S, 0);
  fw_run (world, 20 * S);
  return finish (world);
}

/* Guards against a packet delivered to the service that had the address before (R2), and against
 * an older configuration that takes effect after a newer one (R5). */
static void
test_address_moved (void)
{
  g_assert_cmpuint (address_moved (WF_DISABLE_SERVICE_CHECK), >, 0);
  g_assert_cmpuint (address_moved (0), ==, 0);
}

/* Two endpoints are told to take the same initial packet. */
static guint
connections_of_one_flow (guint disabled)
{
  FwWorld *world = new_world (disabled, 3, 4, 10 * S);
  guint i, count = 0;

  place_syn (world, 0);
  place_syn (world, 1);
  fw_run (world, 80 * S);
  for (i = 0; i < 3; i++)
    count += g_hash_table_size (world->agents[i].served);
  fw_free (world);
  return count;
}

/* Guards against two servers that keep a connection for one flow (R1). This client acknowledges
 * neither answer, so that the home decides when the holder registers again after 60 s. */
static void
test_two_holders (void)
{
  g_assert_cmpuint (connections_of_one_flow (WF_DISABLE_RELEASE), ==, 2);
  g_assert_cmpuint (connections_of_one_flow (0), ==, 1);
}

static guint64
udp_flows_opened (guint disabled)
{
  FwWorld *world = new_world (disabled, 3, 8, 10 * S);
  guint64 opened;
  guint i;

  for (i = 0; i < 30; i++)
    fw_send_udp (world, i, "first");
  fw_run (world, 1 * S);
  (void) fw_start_agent (world, "a");
  fw_publish (world, 0);
  fw_run (world, 1 * S);
  for (i = 0; i < 30; i++)
    fw_send_udp (world, i, "second");
  fw_run (world, 1 * S);
  g_assert_cmpuint (world->udp_answers, ==, 60);
  opened = fw_counter (world, "flow_opened");
  fw_run (world, 100 * S);
  g_assert_cmpuint (fw_held (world), ==, 0);
  fw_free (world);
  return opened;
}

/* Guards against a UDP flow that changes its server when an endpoint joins. */
static void
test_udp_join (void)
{
  g_assert_cmpuint (udp_flows_opened (WF_DISABLE_REGISTRATION | WF_DISABLE_CHAIN), >, 30);
  g_assert_cmpuint (udp_flows_opened (0), ==, 30);
}

static guint
idle_flow (guint disabled)
{
  FwWorld *world = new_world (disabled, 3, 4, 10 * S);
  FwClient *silent = fw_client (world, 2, 1 * S, 1500, 5);

  add_clients (world, 1, 2, 300 * S);
  fw_run (world, 500 * WB_US_PER_MS);
  silent->unreachable = TRUE;
  silent->excused = TRUE;
  fw_run (world, 400 * S);
  return finish (world);
}

/* Guards against silent flows that are never reclaimed, against one that is reclaimed while regions
 * have lost each other for an hour, and against an idle live flow that is. */
static void
test_silent (void)
{
  FwWorld *world = new_world (0, 1, 4, 10 * S);
  FwClient *silent = fw_client (world, 2, 300 * S, 1500, 5);

  fw_run (world, 500 * WB_US_PER_MS);
  g_assert_cmpint (fw_find_held (world, silent), ==, 0);
  silent->unreachable = TRUE;
  fw_run (world, 4000 * S);
  g_assert_cmpint (fw_find_held (world, silent), ==, 0);
  fw_run (world, 1000 * S);
  g_assert_cmpint (fw_find_held (world, silent), ==, -1);
  g_assert_cmpuint (fw_counter (world, "flow_silent_reset"), ==, 1);
  fw_free (world);
  g_assert_cmpuint (idle_flow (WF_DISABLE_IDLE_PROBE | WF_DISABLE_RECOVERY), >, 0);
  g_assert_cmpuint (idle_flow (0), ==, 0);
}

/* Guards against a refused request that reaches a server, at the start and later (R3). */
static void
test_refused (void)
{
  FwWorld *world = new_world (0, 2, 1, 300 * WB_US_PER_MS);
  guint i, refused = 0;

  for (i = 0; i < 20; i++)
    {
      (void) fw_client (world, 3, 50 * WB_US_PER_MS, 300, 120);
      fw_run (world, 60 * WB_US_PER_MS);
    }
  fw_run (world, 20 * S);
  for (i = 0; i < world->n_clients; i++)
    refused += world->clients[i].refused >= 0;
  g_assert_cmpuint (refused, >, 0);
  g_assert_cmpuint (fw_counter (world, "flow_r3_refused_initial"), >, 0);
  g_assert_cmpuint (fw_counter (world, "flow_r3_refused_request"), >, 0);
  g_assert_cmpuint (refused, ==,
                    fw_counter (world, "flow_r3_refused_initial") +
                        fw_counter (world, "flow_r3_refused_request"));
  g_assert_cmpuint (finish (world), ==, 0);
}

/* Guards against state that lost, repeated or reordered packets and messages corrupt. */
static void
test_bad_network (void)
{
  FwWorld *world = new_world (0, 4, 2, 10 * S);

  world->loss = 0.05;
  world->duplicate = 0.1;
  world->jitter_us = 30 * WB_US_PER_MS;
  add_clients (world, 40, 3, S);
  fw_run (world, 60 * S);
  g_assert_cmpuint (finish (world), ==, 0);
}

/* Guards against a table that grows without bound. */
static void
test_limits (void)
{
  FwWorld *world = new_world (0, 1, 8, 10 * S);

  world->options.max_flows = 4;
  wf_agent_set_options (world->agents[0].agent, &world->options);
  add_clients (world, 8, 2, 30 * S);
  fw_run (world, 2 * S);
  g_assert_cmpuint (fw_held (world), ==, 4);
  g_assert_cmpuint (fw_counter (world, "flow_limit_flows"), >=, 4);
  fw_free (world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/flow/plain", test_plain);
  g_test_add_func ("/flow/view-disagreement", test_view_disagreement);
  g_test_add_func ("/flow/home-moved", test_home_moved);
  g_test_add_func ("/flow/repeated-syn", test_repeated_syn);
  g_test_add_func ("/flow/agent-restart", test_agent_restart);
  g_test_add_func ("/flow/registry-recovered", test_registry_recovered);
  g_test_add_func ("/flow/paused", test_paused);
  g_test_add_func ("/flow/draining", test_draining);
  g_test_add_func ("/flow/sole-draining", test_sole_draining);
  g_test_add_func ("/flow/address-moved", test_address_moved);
  g_test_add_func ("/flow/two-holders", test_two_holders);
  g_test_add_func ("/flow/udp-join", test_udp_join);
  g_test_add_func ("/flow/silent", test_silent);
  g_test_add_func ("/flow/refused", test_refused);
  g_test_add_func ("/flow/bad-network", test_bad_network);
  g_test_add_func ("/flow/limits", test_limits);
  return g_test_run ();
}
