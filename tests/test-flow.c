#include "flow-sim.h"

#include <string.h>

/*
 * Most scenarios run twice: with the mechanism that prevents the failure off, where the failure
 * must show, and with every mechanism on.
 */

#define S WB_US_PER_S

static FsSim *
new_sim (guint disabled, guint n_agents, guint n_slots, gint64 deadline_us)
{
  FsSim *sim = fs_new (7, n_agents, n_slots, deadline_us);
  guint i;

  sim->options.disabled = disabled;
  for (i = 0; i < sim->n_agents; i++)
    wf_agent_set_options (sim->agents[i].wf_agent, &sim->options);
  return sim;
}

/* Frees the simulation and returns the number of violations that the oracle has found. */
static guint
finish_sim (FsSim *sim)
{
  const gchar *line;
  guint n_violations = 0;

  fs_check_finished (sim);
  for (line = strchr (sim->violations->str, '\n'); line != NULL; line = strchr (line + 1, '\n'))
    n_violations++;
  if (n_violations > 0)
    g_test_message ("%s", sim->violations->str);
  fs_free (sim);
  return n_violations;
}

static void
add_clients (FsSim *sim, guint count, guint n_requests, gint64 think_time_us)
{
  while (count-- > 0)
    (void) fs_add_client (sim, n_requests, think_time_us, 1500, 5);
}

static guint64
server_initial_packets (const FsSim *sim)
{
  guint64 sum = 0;
  guint i;

  for (i = 0; i < sim->n_agents; i++)
    sum += sim->agents[i].initial_packets_received;
  return sum;
}

/* Guards against flows that are lost, misdelivered or never closed without any fault or change. */
static void
test_plain_flows (void)
{
  FsSim *sim = new_sim (0, 4, 4, 10 * S);

  add_clients (sim, 30, 3, S);
  fs_run (sim, 10 * S);
  g_assert_cmpuint (fs_sum_counter (sim, "flow_opened"), ==, 30);
  fs_run (sim, 20 * S);
  g_assert_cmpuint (fs_flows_held (sim), ==, 0);
  g_assert_cmpuint (finish_sim (sim), ==, 0);
}

/* An endpoint joins. It and the balancers get the new member list, the other endpoints do not. */
static guint
join_seen_by_some_nodes (guint disabled)
{
  FsSim *sim = new_sim (disabled, 3, 4, 10 * S);

  add_clients (sim, 30, 4, S);
  fs_run (sim, 1 * S);
  (void) fs_start_agent (sim, "a");
  fs_publish_members_to (sim, 3, 0, 0);
  fs_publish_members_to (sim, -1, 1, 0);
  fs_run (sim, 15 * S);
  return finish_sim (sim);
}

/* Guards against flows broken while balancers and endpoints have different member lists. */
static void
test_different_member_lists (void)
{
  g_assert_cmpuint (join_seen_by_some_nodes (WF_DISABLE_CHAIN), >, 0);
  g_assert_cmpuint (join_seen_by_some_nodes (0), ==, 0);
}

/* Endpoint 0 drains, so that others hold the flows whose home it is, and then leaves. With
 * @responds FALSE the packets of the servers are lost. */
static FsSim *
remove_home (guint disabled, gboolean responds)
{
  FsSim *sim = new_sim (disabled, 4, 8, 10 * S);
  guint i;

  fs_set_draining (sim, 0, TRUE);
  fs_publish_members (sim, 0);
  fs_run (sim, 1 * S);
  for (i = 0; i < 4; i++)
    sim->agents[i].server_output_lost = !responds;
  add_clients (sim, 30, 4, S);
  fs_run (sim, 200 * WB_US_PER_MS);
  sim->agents[0].is_member = FALSE;
  fs_publish_members (sim, 0);
  fs_run (sim, 2 * S);
  return sim;
}

static guint
flows_lost_with_home (guint disabled)
{
  FsSim *sim = remove_home (disabled, TRUE);

  fs_run (sim, 15 * S);
  return finish_sim (sim);
}

/* Guards against a flow that is lost when its home leaves and another endpoint becomes the home. */
static void
test_home_moved (void)
{
  g_assert_cmpuint (flows_lost_with_home (WF_DISABLE_REGISTRATION | WF_DISABLE_CHAIN), >, 0);
  g_assert_cmpuint (flows_lost_with_home (0), ==, 0);
}

static guint64
initial_packets_when_home_moves (guint disabled)
{
  FsSim *sim = remove_home (disabled, FALSE);
  guint64 count = server_initial_packets (sim);

  fs_free (sim);
  return count;
}

/* Guards against a retransmitted initial packet that goes to a second server after the home has
 * moved. */
static void
test_retransmitted_syn (void)
{
  g_assert_cmpuint (initial_packets_when_home_moves (WF_DISABLE_REGISTRATION), >, 30);
  g_assert_cmpuint (initial_packets_when_home_moves (0), ==, 30);
}

static guint
restart_all_agents (guint disabled)
{
  FsSim *sim = new_sim (disabled, 3, 8, 10 * S);
  guint i;

  add_clients (sim, 30, 4, S);
  fs_run (sim, 1500 * WB_US_PER_MS);
  for (i = 0; i < 3; i++)
    fs_restart_agent (sim, i);
  fs_publish_members (sim, 0);
  fs_run (sim, 15 * S);
  return finish_sim (sim);
}

/* Guards against flows lost with the flow table of an agent that restarts without its server. */
static void
test_agent_restart (void)
{
  g_assert_cmpuint (restart_all_agents (WF_DISABLE_RECOVERY), >, 0);
  g_assert_cmpuint (restart_all_agents (0), ==, 0);
}

/* Guards against a home whose registry is not filled again after it has restarted. */
static void
test_registry_recovered (void)
{
  FsSim *sim = new_sim (0, 4, 40, 10 * S);
  guint64 before;

  fs_set_draining (sim, 0, TRUE);
  fs_publish_members (sim, 0);
  fs_run (sim, 1 * S);
  add_clients (sim, 30, 2, 3 * S);
  fs_run (sim, 1 * S);
  before = wb_counters_get_by_name (wf_agent_counters (sim->agents[0].wf_agent),
                                    "flow_register_received");
  g_assert_cmpuint (before, >, 0);
  fs_restart_agent (sim, 0);
  fs_publish_members (sim, 0);
  fs_run (sim, 100 * WB_US_PER_MS);
  /* The counters of the new process began at 0: each flow has been registered again. */
  g_assert_cmpuint (wb_counters_get_by_name (wf_agent_counters (sim->agents[0].wf_agent),
                                             "flow_register_received"),
                    ==, before);
  fs_run (sim, 15 * S);
  g_assert_cmpuint (finish_sim (sim), ==, 0);
}

/* Initial packets wait at a paused endpoint that is declared dead meanwhile. Returns how many it
 * delivers when it resumes. */
static guint64
stale_initial_packets (guint disabled)
{
  FsSim *sim = new_sim (disabled, 3, 8, 10 * S);
  guint64 count;

  fs_pause_agent (sim, 0, 4 * S);
  add_clients (sim, 30, 1, 0);
  fs_run (sim, 100 * WB_US_PER_MS);
  sim->agents[0].is_member = FALSE;
  fs_publish_members (sim, 0);
  fs_run (sim, 3800 * WB_US_PER_MS);
  count = server_initial_packets (sim);
  fs_run (sim, 1 * S);
  count = server_initial_packets (sim) - count;
  fs_free (sim);
  return count;
}

/* Guards against an agent that resumes from a pause and places the initial packets of flows that
 * other endpoints have served meanwhile. */
static void
test_paused_agent (void)
{
  g_assert_cmpuint (stale_initial_packets (WF_DISABLE_JOIN_DEFERRAL), >, 0);
  g_assert_cmpuint (stale_initial_packets (0), ==, 0);
}

/* Places an initial packet on an endpoint, as the home of the flow does. The client sends nothing
 * further. */
static void
place_syn (FsSim *sim, guint agent)
{
  WwPacket syn = { .source_address = FS_CLIENT_ADDRESS + FS_MAX_CLIENTS - 1,
                   .destination_address = FS_SERVICE_ADDRESS,
                   .source_port = 4242,
                   .destination_port = FS_TCP_PORT,
                   .protocol = WW_PROTOCOL_TCP,
                   .tcp_flags = WW_TCP_SYN };
  g_autoptr (GByteArray) packet = ww_packet_build_tcp (&syn);
  ww_encap header = { .kind = WW_ENCAP_PLACE, .hops = 2, .service_id = wb_name_id ("a") };
  g_autoptr (GByteArray) datagram = g_byte_array_new ();

  sim->clients[FS_MAX_CLIENTS - 1].path_down = TRUE;
  ww_encap_append (datagram, &header, packet->data, packet->len);
  fs_send_to_agent (sim, agent, datagram->data, datagram->len, 0);
}

/* Endpoint 0 drains without a new member list; another endpoint places a flow there before it
 * learns of the drain from an occupancy report. */
static guint64
initial_packets_while_draining (guint disabled)
{
  FsSim *sim = new_sim (disabled, 3, 2, 10 * S);
  guint64 before, count;

  add_clients (sim, 12, 3, S);
  fs_run (sim, 1 * S);
  fs_set_draining (sim, 0, TRUE);
  before = sim->agents[0].initial_packets_received;
  add_clients (sim, 40, 1, 0);
  fs_run (sim, 10 * S);
  place_syn (sim, 0);
  fs_run (sim, 10 * S);
  count = sim->agents[0].initial_packets_received - before;
  g_assert_cmpuint (finish_sim (sim), ==, 0);
  return count;
}

/* Guards against new flows on a draining endpoint, and against flows that the drain breaks. */
static void
test_draining (void)
{
  /* Admission hands over the queue of a draining endpoint, so that no flow arrives there even with
   * the hand-over of the flow package off. */
  g_assert_cmpuint (initial_packets_while_draining (WF_DISABLE_DRAIN_HANDOVER), ==, 0);
  g_assert_cmpuint (initial_packets_while_draining (0), ==, 0);
}

/* Guards against a service that takes no flows because its only endpoint drains. */
static void
test_only_endpoint_draining (void)
{
  FsSim *sim = new_sim (0, 1, 4, 10 * S);

  fs_set_draining (sim, 0, TRUE);
  add_clients (sim, 4, 1, 0);
  fs_run (sim, 5 * S);
  g_assert_cmpuint (finish_sim (sim), ==, 0);
}

/* The address moves to service "b", which has no endpoint, and back, while flows are open and
 * others are opened through balancers that do not know of the move yet. */
static guint
move_address (guint disabled)
{
  FsSim *sim = new_sim (disabled, 3, 8, 10 * S);
  guint i;

  add_clients (sim, 20, 4, S);
  fs_run (sim, 1500 * WB_US_PER_MS);
  sim->balancer_config_delay_us = 3 * S;
  fs_publish_config (sim, "b", 8, 10 * S, 0);
  fs_run (sim, 100 * WB_US_PER_MS);
  /* The first version arrives again, late. */
  for (i = 0; i < 3; i++)
    wf_agent_set_config (sim->agents[i].wf_agent, g_ptr_array_index (sim->configs, 0), sim->now_us);
  g_assert_cmpuint (fs_sum_counter (sim, "flow_r5_config_older"), ==, 3);
  fs_run (sim, 2 * S);
  add_clients (sim, 8, 2, S);
  fs_run (sim, 3 * S);
  fs_publish_config (sim, "a", 8, 10 * S, 0);
  fs_run (sim, 20 * S);
  return finish_sim (sim);
}

/* Guards against a new flow that is opened at the service that had its destination address before,
 * against open flows that the move interrupts, and against an older configuration that takes effect
 * after a newer one. */
static void
test_address_moved (void)
{
  g_assert_cmpuint (move_address (WF_DISABLE_SERVICE_CHECK), >, 0);
  g_assert_cmpuint (move_address (0), ==, 0);
}

/* Places one initial packet on two endpoints. Returns how many servers keep a connection. */
static guint
connections_of_one_flow (guint disabled)
{
  FsSim *sim = new_sim (disabled, 3, 4, 10 * S);
  guint i, count = 0;

  place_syn (sim, 0);
  place_syn (sim, 1);
  fs_run (sim, 80 * S);
  for (i = 0; i < 3; i++)
    count += g_hash_table_size (sim->agents[i].connections);
  fs_free (sim);
  return count;
}

/* Guards against two servers that keep a connection for one flow, whose payload must go to one
 * endpoint only. This client acknowledges neither SYN-ACK, so that the home decides when a holder
 * registers again after 60 s. */
static void
test_two_holders (void)
{
  g_assert_cmpuint (connections_of_one_flow (WF_DISABLE_RELEASE), ==, 2);
  g_assert_cmpuint (connections_of_one_flow (0), ==, 1);
}

/* 30 clients send a datagram before and after an endpoint joins. Returns how many flows have been
 * opened for them. */
static guint64
udp_flows_opened (guint disabled)
{
  FsSim *sim = new_sim (disabled, 3, 8, 10 * S);
  guint64 opened;
  guint i;

  for (i = 0; i < 30; i++)
    fs_send_udp (sim, i, "first");
  fs_run (sim, 1 * S);
  (void) fs_start_agent (sim, "a");
  fs_publish_members (sim, 0);
  fs_run (sim, 1 * S);
  for (i = 0; i < 30; i++)
    fs_send_udp (sim, i, "second");
  fs_run (sim, 1 * S);
  g_assert_cmpuint (sim->udp_responses, ==, 60);
  opened = fs_sum_counter (sim, "flow_opened");
  fs_run (sim, 100 * S);
  g_assert_cmpuint (fs_flows_held (sim), ==, 0);
  fs_free (sim);
  return opened;
}

/* Guards against a UDP flow that changes its server when an endpoint joins. */
static void
test_udp_join (void)
{
  g_assert_cmpuint (udp_flows_opened (WF_DISABLE_REGISTRATION | WF_DISABLE_CHAIN), >, 30);
  g_assert_cmpuint (udp_flows_opened (0), ==, 30);
}

/* One client disappears without closing its flow; another pauses for 300 s between its requests. */
static guint
idle_flow_violations (guint disabled)
{
  FsSim *sim = new_sim (disabled, 3, 4, 10 * S);
  FsClient *silent = fs_add_client (sim, 2, 1 * S, 1500, 5);

  add_clients (sim, 1, 2, 300 * S);
  fs_run (sim, 500 * WB_US_PER_MS);
  silent->path_down = TRUE;
  silent->may_fail = TRUE;
  fs_run (sim, 400 * S);
  return finish_sim (sim);
}

/* Guards against a flow whose client is gone and that is never removed, against one that is removed
 * although the regions of client and server were only disconnected for an hour, and against the
 * removal of an idle flow whose client is alive. */
static void
test_silent_clients (void)
{
  FsSim *sim = new_sim (0, 1, 4, 10 * S);
  FsClient *silent = fs_add_client (sim, 2, 300 * S, 1500, 5);

  fs_run (sim, 500 * WB_US_PER_MS);
  g_assert_cmpint (fs_find_holder (sim, silent), ==, 0);
  silent->path_down = TRUE;
  fs_run (sim, 4000 * S);
  g_assert_cmpint (fs_find_holder (sim, silent), ==, 0);
  fs_run (sim, 1000 * S);
  g_assert_cmpint (fs_find_holder (sim, silent), ==, -1);
  g_assert_cmpuint (fs_sum_counter (sim, "flow_silent_reset"), ==, 1);
  fs_free (sim);
  g_assert_cmpuint (idle_flow_violations (WF_DISABLE_IDLE_PROBE | WF_DISABLE_RECOVERY), >, 0);
  g_assert_cmpuint (idle_flow_violations (0), ==, 0);
}

/* Guards against a refused request that reaches a server, be it the first of its flow or a later
 * one. */
static void
test_refused_requests (void)
{
  FsSim *sim = new_sim (0, 2, 1, 300 * WB_US_PER_MS);
  guint i, refused = 0;

  for (i = 0; i < 20; i++)
    {
      (void) fs_add_client (sim, 3, 50 * WB_US_PER_MS, 300, 120);
      fs_run (sim, 60 * WB_US_PER_MS);
    }
  fs_run (sim, 20 * S);
  for (i = 0; i < sim->n_clients; i++)
    refused += sim->clients[i].refused_request >= 0;
  g_assert_cmpuint (refused, >, 0);
  g_assert_cmpuint (fs_sum_counter (sim, "flow_r3_refused_initial"), >, 0);
  g_assert_cmpuint (fs_sum_counter (sim, "flow_r3_refused_request"), >, 0);
  g_assert_cmpuint (refused, ==,
                    fs_sum_counter (sim, "flow_r3_refused_initial") +
                        fs_sum_counter (sim, "flow_r3_refused_request"));
  g_assert_cmpuint (finish_sim (sim), ==, 0);
}

/* Guards against flows broken by lost, duplicated or reordered packets and messages. */
static void
test_bad_network (void)
{
  FsSim *sim = new_sim (0, 4, 2, 10 * S);

  sim->loss_probability = 0.05;
  sim->duplicate_probability = 0.1;
  sim->jitter_us = 30 * WB_US_PER_MS;
  add_clients (sim, 40, 3, S);
  fs_run (sim, 60 * S);
  g_assert_cmpuint (finish_sim (sim), ==, 0);
}

/* Guards against a flow table that grows beyond its limit. */
static void
test_flow_limit (void)
{
  FsSim *sim = new_sim (0, 1, 8, 10 * S);

  sim->options.max_flows = 4;
  wf_agent_set_options (sim->agents[0].wf_agent, &sim->options);
  add_clients (sim, 8, 2, 30 * S);
  fs_run (sim, 2 * S);
  g_assert_cmpuint (fs_flows_held (sim), ==, 4);
  g_assert_cmpuint (fs_sum_counter (sim, "flow_limit_flows"), >=, 4);
  fs_free (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/flow/plain", test_plain_flows);
  g_test_add_func ("/flow/view-disagreement", test_different_member_lists);
  g_test_add_func ("/flow/home-moved", test_home_moved);
  g_test_add_func ("/flow/repeated-syn", test_retransmitted_syn);
  g_test_add_func ("/flow/agent-restart", test_agent_restart);
  g_test_add_func ("/flow/registry-recovered", test_registry_recovered);
  g_test_add_func ("/flow/paused", test_paused_agent);
  g_test_add_func ("/flow/draining", test_draining);
  g_test_add_func ("/flow/sole-draining", test_only_endpoint_draining);
  g_test_add_func ("/flow/address-moved", test_address_moved);
  g_test_add_func ("/flow/two-holders", test_two_holders);
  g_test_add_func ("/flow/udp-join", test_udp_join);
  g_test_add_func ("/flow/silent", test_silent_clients);
  g_test_add_func ("/flow/refused", test_refused_requests);
  g_test_add_func ("/flow/bad-network", test_bad_network);
  g_test_add_func ("/flow/limits", test_flow_limit);
  return g_test_run ();
}
