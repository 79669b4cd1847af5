#include "member-net.h"

/* Guards against a join that does not spread, and a list of members that stays incomplete. */
static void
test_join (void)
{
  g_autoptr (MnNet) net = mn_net_new (60, 6, 3, 3, 1);
  guint i;

  for (i = 0; i < net->count; i++)
    {
      mn_start (net, i);
      mn_run (net, 100 * WB_US_PER_MS);
    }
  mn_run (net, 60 * WB_US_PER_S);
  for (i = 0; i < net->count; i++)
    {
      g_assert_cmpuint (mn_count_views (net, i, WW_MEMBER_ALIVE), ==, net->count - 1);
      g_assert_true (wm_node_ready (net->nodes[i].core));
      g_assert_cmpuint (net->nodes[i].most_dead, ==, 0);
    }
}

/* Guards against a failed endpoint that is noticed late: its service peers avoid it within 3 s, and
 * the other nodes soon after. */
static void
test_death (void)
{
  g_autoptr (MnNet) net = mn_net_new (120, 12, 4, 3, 2);
  guint round;

  mn_start_all (net);
  mn_run (net, 5 * WB_US_PER_S);
  for (round = 0; round < 10; round++)
    {
      guint victim = 12 + round * 8;
      guint i;

      mn_kill (net, victim);
      mn_run (net, 3 * WB_US_PER_S);
      for (i = victim + 1; i < victim + 4; i++)
        g_assert_cmpint (mn_state (net, i, victim), ==, WW_MEMBER_DEAD);
      mn_run (net, WB_US_PER_S);
      g_assert_cmpuint (mn_count_views (net, victim, WW_MEMBER_DEAD), ==, net->count - 1 - round);
    }
}

/* Guards against a configuration that does not reach every node. */
static void
test_config (void)
{
  g_autoptr (MnNet) net = mn_net_new (100, 10, 4, 3, 3);
  g_autoptr (GHashTable) parts = NULL;
  g_autoptr (GBytes) root = mn_config (30, 1, 0, &parts);
  g_autoptr (GHashTable) parts2 = NULL;
  g_autoptr (GBytes) root2 = mn_config (30, 2, 1, &parts2);
  guint i;

  mn_start_all (net);
  mn_run (net, 2 * WB_US_PER_S);
  for (i = 0; i < net->count; i++)
    mn_offer (net, i, 1, root, parts);
  mn_run (net, 2 * WB_US_PER_S);
  mn_offer (net, 0, 2, root2, parts2);
  mn_run (net, 5 * WB_US_PER_S);
  g_assert_cmpuint (mn_count_applied (net, 2), ==, net->count);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/join", test_join);
  g_test_add_func ("/member/death", test_death);
  g_test_add_func ("/member/config", test_config);
  return g_test_run ();
}
