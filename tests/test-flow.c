#include "flow-world.h"

#define S WB_US_PER_S

static void
assert_clean (FwWorld *world)
{
  fw_check_finished (world);
  g_assert_cmpstr (world->faults->str, ==, "");
}

/* Guards against a data path that loses, misdelivers or never closes plain flows. */
static void
test_plain (void)
{
  FwWorld *world = fw_new (1, 4, 4, 10 * S);
  guint i;

  for (i = 0; i < 30; i++)
    (void) fw_client (world, 3, S, 1500, 5);
  fw_run (world, 10 * S);
  assert_clean (world);
  g_assert_cmpuint (fw_counter (world, "flow_opened"), ==, 30);
  fw_run (world, 20 * S);
  g_assert_cmpuint (fw_held (world), ==, 0);
  fw_free (world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/flow/plain", test_plain);
  return g_test_run ();
}
