#include "member-net.h"

#define TRAFFIC_LIMIT_BYTES_PER_MINUTE G_GUINT64_CONSTANT (122880)

/* Guards against joins that do not reach all members, and against incomplete member lists. */
static void
test_join (void)
{
  g_autoptr (MnNet) net = mn_net_new (60, 6, 3, 3, 1);
  guint i;

  for (i = 0; i < net->node_count; i++)
    {
      mn_start (net, i);
      mn_run (net, 100 * WB_US_PER_MS);
    }
  mn_run (net, 60 * WB_US_PER_S);
  for (i = 0; i < net->node_count; i++)
    {
      g_assert_cmpuint (mn_count_observers (net, i, WW_MEMBER_ALIVE), ==, net->node_count - 1);
      g_assert_true (wm_node_ready (net->nodes[i].core));
      g_assert_cmpuint (net->nodes[i].max_dead, ==, 0);
    }
}

/* Starts all nodes from index @first on at the same time. */
static void
start_nodes_from (MnNet *net, guint first, guint control_limit)
{
  guint i;

  for (i = first; i < net->node_count; i++)
    {
      net->nodes[i].settings.control_limit = control_limit;
      mn_start (net, i);
    }
}

/* Guards against separate groups of members after all nodes have started at once: no contact knows
 * any other member then, and nodes that joined through different contacts have to find each other.
 */
static void
check_simultaneous_start (guint count, guint control_limit, gint64 limit_us)
{
  guint32 seed;

  for (seed = 1; seed <= 10; seed++)
    {
      g_autoptr (MnNet) net = mn_net_new (count, 6, 7, 3, seed);
      guint i;

      net->jitter_us = 2 * WB_US_PER_MS;
      start_nodes_from (net, 0, control_limit);
      mn_run (net, limit_us);
      for (i = 0; i < net->node_count; i++)
        g_assert_cmpuint (wm_node_count (net->nodes[i].core, WW_MEMBER_ALIVE), ==, net->node_count);
    }
}

/* Deployments have 16 to 83 nodes and get traffic 10 s (small ones) or 14 s (large ones) after the
 * start. Small ones have to work with the default limit of control traffic. */
static void
test_simultaneous_start (void)
{
  check_simultaneous_start (20, 0, 10 * WB_US_PER_S);
  check_simultaneous_start (80, 8192, 14 * WB_US_PER_S);
}

/* Guards against a slow recovery after all hosts have failed at once: nodes whose member list is
 * incomplete send all flows to the few endpoints in it. The first attempt of a client times out
 * after 1.4 s. */
static void
test_simultaneous_restart (void)
{
  check_simultaneous_start (20, 8192, WB_US_PER_S);
  check_simultaneous_start (92, 8192, WB_US_PER_S);
}

/* Guards against a member list that stays incomplete for seconds because a contact does not
 * reply, as when one of several failed hosts restarts later than the others. */
static void
test_restart_without_contact (void)
{
  g_autoptr (MnNet) net = mn_net_new (20, 3, 7, 3, 1);
  guint i;

  start_nodes_from (net, 1, 8192);
  mn_run (net, WB_US_PER_S);
  for (i = 1; i < net->node_count; i++)
    g_assert_true (wm_node_members_complete (net->nodes[i].core));
}

/* Guards against a request for the member list that adds another member than its sender. */
static void
test_request_introduces_sender (void)
{
  g_autoptr (MnNet) net = mn_net_new (4, 1, 3, 1, 3);
  ww_members_request request = { .buckets = 1 };
  WwCall call = { .xid = 1, .procedure = WW_PROC_MEMBERS };
  WmNode *receiver;
  guint i;

  mn_start (net, 0);
  mn_start (net, 1);
  mn_run (net, WB_US_PER_S);
  receiver = net->nodes[0].core;
  mn_start (net, 2);
  mn_start (net, 3);
  request.member = wm_self (net->nodes[2].core)->info;
  for (i = 0; i < 2; i++)
    {
      const ww_member *sender = &wm_self (net->nodes[i == 0 ? 3 : 2].core)->info;
      g_autoptr (GByteArray) bytes =
          ww_call_encode (&call, (xdrproc_t) xdr_ww_members_request, &request, NULL);

      wm_node_receive (receiver, sender->address, wm_member_control_port (sender), bytes->data,
                       bytes->len, net->now_us);
      g_assert_cmpuint (wm_node_count (receiver, WW_MEMBER_ALIVE), ==, 2 + i);
    }
}

static gboolean
knows_all_members (const MnNet *net, guint index, guint count)
{
  return wm_node_members_complete (net->nodes[index].core) &&
         wm_node_count (net->nodes[index].core, WW_MEMBER_ALIVE) == count;
}

/* Guards against a node that gets the member list too late because the others use their limit of
 * control traffic for changes: with 80 nodes and a limit of 8192 bytes/s, a new node may take 4 s.
 */
static void
test_join_under_load (void)
{
  g_autoptr (MnNet) net = mn_net_new (90, 20, 14, 3, 5);
  guint i, step;

  for (i = 0; i < net->node_count; i++)
    net->nodes[i].settings.control_limit = 8192;
  for (i = 0; i < 80; i++)
    mn_start (net, i);
  mn_run (net, 40 * WB_US_PER_S);
  for (i = 80; i < 90; i++)
    {
      wm_node_set_draining (net->nodes[i - 40].core, TRUE, net->now_us);
      mn_start (net, i);
      for (step = 0; step < 40 && !knows_all_members (net, i, i + 1); step++)
        mn_run (net, 100 * WB_US_PER_MS);
      g_assert_true (knows_all_members (net, i, i + 1));
    }
}

/* Guards against late detection of a failed endpoint: the other endpoints of its service declare it
 * dead within 3 s, and all other nodes a second later. */
static void
test_failure_detection (void)
{
  g_autoptr (MnNet) net = mn_net_new (120, 12, 4, 3, 2);
  guint round;

  mn_start_all (net);
  mn_run (net, 5 * WB_US_PER_S);
  for (round = 0; round < 10; round++)
    {
      guint failed = 12 + round * 8;
      guint i;

      mn_kill (net, failed);
      mn_run (net, 3 * WB_US_PER_S);
      for (i = failed + 1; i < failed + 4; i++)
        g_assert_cmpint (mn_member_state (net, i, failed), ==, WW_MEMBER_DEAD);
      mn_run (net, WB_US_PER_S);
      g_assert_cmpuint (mn_count_observers (net, failed, WW_MEMBER_DEAD), ==,
                        net->node_count - 1 - round);
    }
}

/* Guards against a new configuration version that does not reach all nodes. */
static void
test_config_spread (void)
{
  g_autoptr (MnNet) net = mn_net_new (100, 10, 4, 3, 3);
  g_autoptr (GHashTable) parts = NULL;
  g_autoptr (GBytes) root = mn_make_config (30, 1, 0, &parts);
  g_autoptr (GHashTable) parts2 = NULL;
  g_autoptr (GBytes) root2 = mn_make_config (30, 2, 1, &parts2);
  guint i;

  mn_start_all (net);
  mn_run (net, 2 * WB_US_PER_S);
  for (i = 0; i < net->node_count; i++)
    mn_offer_config (net, i, 1, root, parts);
  mn_run (net, 2 * WB_US_PER_S);
  mn_offer_config (net, 0, 2, root2, parts2);
  mn_run (net, 5 * WB_US_PER_S);
  g_assert_cmpuint (mn_count_config_version (net, 2), ==, net->node_count);
}

static gboolean
partition_groups (MnNet *net, guint from, guint to)
{
  return (from < net->partition_node) != (to < net->partition_node);
}

static gboolean
partition_one_way (MnNet *net, guint from, guint to)
{
  return from < net->partition_node && to >= net->partition_node;
}

/* The node receives nothing, but what it sends arrives. */
static gboolean
partition_inbound (MnNet *net, guint from, guint to)
{
  return to == net->partition_node;
}

static gboolean
partition_pair (MnNet *net, guint from, guint to)
{
  return (from == net->partition_node && to == net->partition_node + 1) ||
         (to == net->partition_node && from == net->partition_node + 1);
}

static void
assert_all_alive (const MnNet *net)
{
  guint i;

  for (i = 0; i < net->node_count; i++)
    g_assert_cmpuint (mn_count_observers (net, i, WW_MEMBER_ALIVE), ==, net->node_count - 1);
}

static guint
max_dead_of_any_node (const MnNet *net)
{
  guint i, most = 0;

  for (i = 0; i < net->node_count; i++)
    most = MAX (most, net->nodes[i].max_dead);
  return most;
}

/* Guards against a network partition whose two sides remain separate after it has healed. */
static void
check_partition (gboolean (*partition) (MnNet *net, guint from, guint to), guint32 seed)
{
  g_autoptr (MnNet) net = mn_net_new (40, 8, 4, 4, seed);
  guint i;

  mn_start_all (net);
  mn_run (net, 3 * WB_US_PER_S);
  net->partition = partition;
  net->partition_node = 16;
  mn_run (net, 60 * WB_US_PER_S);
  for (i = 0; i < net->node_count; i++)
    g_assert_cmpuint (wm_node_count (net->nodes[i].core, WW_MEMBER_DEAD), ==, i < 16 ? 24 : 16);
  net->partition = NULL;
  mn_run (net, 30 * WB_US_PER_S);
  assert_all_alive (net);
}

static void
test_full_partition (void)
{
  check_partition (partition_groups, 4);
}

static void
test_one_way_partition (void)
{
  check_partition (partition_one_way, 5);
}

/* Guards against a resumed process that the others still regard as dead, and against one that
 * declares the others dead because its probes timed out during the pause. */
static void
test_pause (void)
{
  g_autoptr (MnNet) net = mn_net_new (40, 8, 4, 4, 6);
  guint64 before;
  guint i;

  mn_start_all (net);
  mn_run (net, 3 * WB_US_PER_S);
  before = wm_self (net->nodes[9].core)->info.incarnation;
  mn_pause (net, 9);
  mn_run (net, 10 * WB_US_PER_S);
  g_assert_cmpuint (mn_count_observers (net, 9, WW_MEMBER_DEAD), ==, net->node_count - 1);
  mn_resume (net, 9);
  mn_run (net, 5 * WB_US_PER_S);
  assert_all_alive (net);
  g_assert_cmpuint (wm_self (net->nodes[9].core)->info.incarnation, >, before);
  g_assert_cmpuint (net->nodes[9].max_dead, ==, 0);
  for (i = 0; i < net->node_count; i++)
    g_assert_cmpuint (net->nodes[i].max_dead, <=, 1);
}

/* Guards against a member declared dead on the report of the only node that cannot reach it. */
static void
test_lone_report (void)
{
  g_autoptr (MnNet) net = mn_net_new (40, 8, 4, 4, 7);

  mn_start_all (net);
  mn_run (net, 3 * WB_US_PER_S);
  net->partition = partition_pair;
  net->partition_node = 12;
  mn_run (net, 30 * WB_US_PER_S);
  g_assert_cmpuint (max_dead_of_any_node (net), ==, 0);
}

/* Guards against a node without inbound traffic that declares others dead. It does so when one
 * reporter suffices, which shows that the requirement of a second reporter prevents it. */
static void
test_no_inbound_traffic (void)
{
  guint reporters;

  for (reporters = 1; reporters <= WM_SUSPICION_REPORTERS; reporters++)
    {
      g_autoptr (MnNet) net = mn_net_new (40, 8, 4, 4, 8);

      net->required_reporters = reporters;
      mn_start_all (net);
      mn_run (net, 3 * WB_US_PER_S);
      net->partition = partition_inbound;
      net->partition_node = 12;
      mn_run (net, 10 * WB_US_PER_S);
      if (reporters == 1)
        g_assert_cmpuint (net->nodes[12].max_dead, >, 0);
      else
        g_assert_cmpuint (net->nodes[12].max_dead, ==, 0);
    }
}

/* Guards against restarted processes that declare others dead, and against ones that reuse an
 * incarnation of the process before, for which the other members have its old state. */
static void
test_rolling_restart (void)
{
  g_autoptr (MnNet) net = mn_net_new (40, 8, 4, 4, 9);
  guint i;

  mn_start_all (net);
  mn_run (net, 3 * WB_US_PER_S);
  for (i = 0; i < net->node_count; i++)
    {
      guint64 epoch = wm_incarnation_epoch (wm_self (net->nodes[i].core)->info.incarnation);

      wm_node_set_draining (net->nodes[i].core, TRUE, net->now_us);
      mn_run (net, WB_US_PER_S);
      wm_node_leave (net->nodes[i].core, net->now_us);
      mn_run (net, WB_US_PER_S / 10);
      mn_kill (net, i);
      mn_run (net, WB_US_PER_S);
      mn_start (net, i);
      mn_run (net, 2 * WB_US_PER_S);
      g_assert_true (wm_node_ready (net->nodes[i].core));
      g_assert_cmpuint (wm_incarnation_epoch (wm_self (net->nodes[i].core)->info.incarnation), >,
                        epoch);
    }
  mn_run (net, 5 * WB_US_PER_S);
  assert_all_alive (net);
  g_assert_cmpuint (max_dead_of_any_node (net), ==, 0);
}

/* Guards against drains and planned stops of which some members learn only after more than 2 s, and
 * against a node that has left and is declared dead. */
static void
test_drain_and_leave (void)
{
  g_autoptr (MnNet) net = mn_net_new (120, 12, 4, 4, 19);
  guint i;

  mn_start_all (net);
  mn_run (net, 3 * WB_US_PER_S);
  wm_node_set_draining (net->nodes[50].core, TRUE, net->now_us);
  mn_run (net, 2 * WB_US_PER_S);
  for (i = 0; i < net->node_count; i++)
    g_assert_cmpuint (wm_find (net->nodes[i].core, mn_node_id (net, 50))->info.flags, ==,
                      WM_MEMBER_DRAINING);
  wm_node_leave (net->nodes[50].core, net->now_us);
  mn_run (net, 2 * WB_US_PER_S);
  g_assert_cmpuint (mn_count_observers (net, 50, WW_MEMBER_LEFT), ==, net->node_count - 1);
  mn_run (net, 10 * WB_US_PER_S);
  g_assert_cmpuint (max_dead_of_any_node (net), ==, 0);
}

/* Guards against a return to an older configuration version when a node restarts, or when a resumed
 * member still has that version. */
static void
test_config_not_reverted (void)
{
  g_autoptr (MnNet) net = mn_net_new (40, 8, 4, 4, 10);
  g_autoptr (GHashTable) parts = NULL;
  g_autoptr (GBytes) root = mn_make_config (30, 1, 0, &parts);
  g_autoptr (GHashTable) parts2 = NULL;
  g_autoptr (GBytes) root2 = mn_make_config (30, 2, 1, &parts2);
  guint i;

  mn_start_all (net);
  for (i = 0; i < net->node_count; i++)
    mn_offer_config (net, i, 1, root, parts);
  mn_run (net, 2 * WB_US_PER_S);
  mn_pause (net, 11);
  mn_offer_config (net, 0, 2, root2, parts2);
  mn_run (net, 10 * WB_US_PER_S);
  g_assert_cmpuint (mn_count_config_version (net, 2), ==, net->node_count - 1);
  mn_start (net, 20);
  mn_resume (net, 11);
  mn_offer_config (net, 0, 1, root, parts);
  while (!wm_node_ready (net->nodes[20].core))
    mn_run (net, 100 * WB_US_PER_MS);
  g_assert_cmpuint (net->nodes[20].config_version, ==, 2);
  mn_run (net, 5 * WB_US_PER_S);
  g_assert_cmpuint (mn_count_config_version (net, 2), ==, net->node_count);
  for (i = 0; i < net->node_count; i++)
    g_assert_false (net->nodes[i].config_reverted);
}

/* Guards against a configuration that takes effect with a part that does not match its hash. */
static void
test_config_bad_part (void)
{
  g_autoptr (MnNet) net = mn_net_new (10, 2, 4, 2, 11);
  g_autoptr (GHashTable) parts = NULL;
  g_autoptr (GBytes) root = mn_make_config (3, 1, 0, &parts);
  g_autoptr (GBytes) wrong = g_bytes_new_static ("wrong", 5);
  GList *keys = g_hash_table_get_keys (parts);

  mn_start_all (net);
  g_hash_table_insert (parts, g_strdup (keys->data), g_bytes_ref (wrong));
  g_list_free (keys);
  mn_offer_config (net, 0, 1, root, parts);
  mn_run (net, 2 * WB_US_PER_S);
  g_assert_cmpuint (mn_count_config_version (net, 1), ==, 0);
}

/* Guards against live members that are declared dead, and against changes that do not reach all
 * nodes, when datagrams are lost, duplicated or reordered. */
static void
test_lossy_network (void)
{
  g_autoptr (MnNet) net = mn_net_new (60, 8, 4, 4, 12);
  g_autoptr (GHashTable) parts = NULL;
  g_autoptr (GBytes) root = mn_make_config (30, 1, 0, &parts);
  g_autoptr (GHashTable) parts2 = NULL;
  g_autoptr (GBytes) root2 = mn_make_config (30, 2, 1, &parts2);
  guint i;

  net->loss = 0.05;
  net->duplication = 0.1;
  net->jitter_us = 30 * WB_US_PER_MS;
  mn_start_all (net);
  for (i = 0; i < net->node_count; i++)
    mn_offer_config (net, i, 1, root, parts);
  mn_run (net, 5 * WB_US_PER_S);
  mn_offer_config (net, 0, 2, root2, parts2);
  mn_run (net, 60 * WB_US_PER_S);
  g_assert_cmpuint (mn_count_config_version (net, 2), ==, net->node_count);
  g_assert_cmpuint (max_dead_of_any_node (net), ==, 0);
  mn_kill (net, 30);
  mn_run (net, 6 * WB_US_PER_S);
  g_assert_cmpuint (mn_count_observers (net, 30, WW_MEMBER_DEAD), ==, net->node_count - 1);
}

/* Guards against a transfer that makes no progress when all nodes fetch the first configuration
 * from the only node that has it. */
static void
test_first_config (void)
{
  g_autoptr (MnNet) net = mn_net_new (60, 8, 4, 4, 18);
  g_autoptr (GHashTable) parts = NULL;
  g_autoptr (GBytes) root = mn_make_config (30, 1, 0, &parts);

  mn_start_all (net);
  mn_run (net, 5 * WB_US_PER_S);
  mn_offer_config (net, 0, 1, root, parts);
  mn_run (net, 120 * WB_US_PER_S);
  g_assert_cmpuint (mn_count_config_version (net, 1), ==, net->node_count);
}

/* Guards against a node that sends more than 2 KB/s of control traffic, averaged over a minute,
 * when a quarter of the members fails. */
static void
test_traffic_limit (void)
{
  g_autoptr (MnNet) net = mn_net_new (200, 20, 4, 4, 13);
  guint64 before[200] = { 0 };
  guint i, minute;

  mn_start_all (net);
  for (i = 1; i < net->node_count; i += 4)
    mn_kill (net, i);
  for (minute = 0; minute < 2; minute++)
    {
      mn_run (net, 60 * WB_US_PER_S);
      for (i = 0; i < net->node_count; i += 2)
        {
          const WbCounters *counters = wm_node_counters (net->nodes[i].core);
          guint64 sent = wb_counters_get (counters, WM_COUNTER_SENT_BYTES);

          g_assert_cmpuint (sent - before[i], <=, TRAFFIC_LIMIT_BYTES_PER_MINUTE);
          before[i] = sent;
        }
    }
}

/* Guards against a lost availability zone that is not detected as such, a zone that is still
 * regarded as lost after its members have resumed, and a single failure that is taken for a lost
 * zone. */
static void
test_zone_loss (void)
{
  g_autoptr (MnNet) net = mn_net_new (120, 12, 4, 4, 14);
  guint i;

  mn_start_all (net);
  mn_run (net, 3 * WB_US_PER_S);
  mn_kill (net, 100);
  mn_run (net, 6 * WB_US_PER_S);
  for (i = 0; i < 12; i++)
    g_assert_false (wm_node_zone_lost (net->nodes[i].core, 1));
  for (i = 1; i < net->node_count; i += 4)
    mn_pause (net, i);
  mn_run (net, 5 * WB_US_PER_S);
  for (i = 0; i < 12; i++)
    if (i % 4 != 1)
      {
        g_assert_true (wm_node_zone_lost (net->nodes[i].core, 2));
        g_assert_false (wm_node_zone_lost (net->nodes[i].core, 1));
      }
  for (i = 1; i < net->node_count; i += 4)
    mn_resume (net, i);
  mn_run (net, 10 * WB_US_PER_S);
  for (i = 0; i < 12; i++)
    g_assert_false (wm_node_zone_lost (net->nodes[i].core, 2));
}

/* Guards against more or fewer than 24 watchers of the object store, also after one has failed, and
 * against agents that watch it. */
static void
test_watchers (void)
{
  g_autoptr (MnNet) net = mn_net_new (60, 30, 4, 4, 15);
  guint round, i;

  mn_start_all (net);
  for (round = 0; round < 3; round++)
    {
      guint count = 0, last = 0;

      mn_run (net, 10 * WB_US_PER_S);
      for (i = 0; i < net->node_count; i++)
        if (net->nodes[i].core != NULL && wm_node_is_watcher (net->nodes[i].core))
          {
            count++;
            last = i;
          }
      g_assert_cmpuint (count, ==, 24);
      g_assert_cmpuint (last, <, 30);
      mn_kill (net, last);
    }
}

/* Guards against a control message that takes effect although its source address belongs to no
 * known member. */
static void
test_unknown_sender (void)
{
  g_autoptr (MnNet) net = mn_net_new (10, 2, 4, 2, 16);
  WmNode *core;
  ww_gossip_item item = { .kind = WW_GOSSIP_STATE };
  ww_gossip gossip = { .sender_id = 77, .items = { .items_len = 1, .items_val = &item } };
  WwCall call = { .xid = 1, .procedure = WW_PROC_GOSSIP };
  g_autoptr (GByteArray) bytes = NULL;

  mn_start_all (net);
  core = net->nodes[0].core;
  item.ww_gossip_item_u.state = (ww_gossip_state){ .id = mn_node_id (net, 5),
                                                   .incarnation = G_MAXUINT64,
                                                   .reporter_id = mn_node_id (net, 6),
                                                   .second_id = mn_node_id (net, 7),
                                                   .state = WW_MEMBER_DEAD,
                                                   .age_ms = 60000 };
  bytes = ww_call_encode (&call, (xdrproc_t) xdr_ww_gossip, &gossip, NULL);
  g_assert_true (wm_node_receive (core, 0x01020304, 7000, bytes->data, bytes->len, net->now_us));
  g_assert_cmpint (mn_member_state (net, 0, 5), ==, WW_MEMBER_ALIVE);
  g_assert_false (wm_node_is_member (core, 0x01020304));
  g_assert_true (wm_node_is_member (core, net->nodes[6].settings.address));
}

/* Guards against a delta that does not reproduce the target, and against accesses out of bounds
 * when the delta is corrupt. */
static void
test_delta (void)
{
  g_autoptr (GRand) random = g_rand_new_with_seed (17);
  guint round;

  for (round = 0; round < 500; round++)
    {
      gsize length = (gsize) g_rand_int_range (random, 0, 4000);
      g_autofree guint8 *data = g_malloc0 (length + 1);
      g_autoptr (GBytes) base = NULL;
      g_autoptr (GBytes) target = NULL;
      g_autoptr (GBytes) delta = NULL;
      g_autoptr (GBytes) back = NULL;
      g_autoptr (GBytes) damaged = NULL;
      g_autoptr (GBytes) other = NULL;
      g_autofree guint8 *copy = NULL;
      gsize i;

      for (i = 0; i < length; i++)
        data[i] = (guint8) g_rand_int_range (random, 0, 3);
      base = g_bytes_new (data, length);
      for (i = 0; i < length; i += 1 + (gsize) g_rand_int_range (random, 0, 2000))
        data[i] ^= 0xff;
      target = g_bytes_new (data + length / 10, length - length / 10);
      delta = wm_delta_encode (base, target);
      back = wm_delta_apply (base, delta, 4000);
      g_assert_nonnull (back);
      g_assert_true (g_bytes_equal (back, target));
      copy = g_memdup2 (g_bytes_get_data (delta, NULL), g_bytes_get_size (delta));
      copy[g_rand_int_range (random, 0, (gint32) g_bytes_get_size (delta))] ^= 0x55;
      damaged = g_bytes_new (copy, g_bytes_get_size (delta));
      other = wm_delta_apply (base, damaged, 4000);
      g_assert_true (other == NULL || g_bytes_get_size (other) <= 4000);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/join", test_join);
  g_test_add_func ("/member/join-busy", test_join_under_load);
  g_test_add_func ("/member/start-together", test_simultaneous_start);
  g_test_add_func ("/member/death", test_failure_detection);
  g_test_add_func ("/member/full-cut", test_full_partition);
  g_test_add_func ("/member/one-way-cut", test_one_way_partition);
  g_test_add_func ("/member/pause", test_pause);
  g_test_add_func ("/member/lone-report", test_lone_report);
  g_test_add_func ("/member/no-input", test_no_inbound_traffic);
  g_test_add_func ("/member/rolling-restart", test_rolling_restart);
  g_test_add_func ("/member/drain-and-leave", test_drain_and_leave);
  g_test_add_func ("/member/bad-network", test_lossy_network);
  g_test_add_func ("/member/budget", test_traffic_limit);
  g_test_add_func ("/member/zone", test_zone_loss);
  g_test_add_func ("/member/watchers", test_watchers);
  g_test_add_func ("/member/restart-together", test_simultaneous_restart);
  g_test_add_func ("/member/restart-without-contact", test_restart_without_contact);
  g_test_add_func ("/member/request-introduces-sender", test_request_introduces_sender);
  g_test_add_func ("/member/unknown-sender", test_unknown_sender);
  g_test_add_func ("/member/delta", test_delta);
  g_test_add_func ("/member/config", test_config_spread);
  g_test_add_func ("/member/config-first", test_first_config);
  g_test_add_func ("/member/config-newest", test_config_not_reverted);
  g_test_add_func ("/member/config-bad-part", test_config_bad_part);
  return g_test_run ();
}
