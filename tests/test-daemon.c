#include "wd-access.h"

#define MEMBER_ADDRESS 0x7f000001
#define STRANGER_ADDRESS 0x7f000002

/* Guards against a joining member that is shut out before membership knows it, and against a
 * stranger that goes on sending after the grace. */
static void
test_grace (void)
{
  g_autoptr (WdAccess) access = wd_access_new ();

  g_assert_true (wd_access_check (access, STRANGER_ADDRESS, 0));
  g_assert_true (wd_access_check (access, STRANGER_ADDRESS, WD_GRACE_US));
  g_assert_false (wd_access_check (access, STRANGER_ADDRESS, WD_GRACE_US + 1));
  g_assert_false (wd_access_check (access, STRANGER_ADDRESS, WD_GRACE_US + WD_BLOCK_US));
  g_assert_true (wd_access_check (access, STRANGER_ADDRESS, WD_GRACE_US + WD_BLOCK_US + 1));
}

/* Guards against contacts that lose access after the grace: a node rejoins through them. */
static void
test_allowed (void)
{
  g_autoptr (WdAccess) access = wd_access_new ();

  wd_access_allow (access, MEMBER_ADDRESS);
  g_assert_true (wd_access_is_allowed (access, MEMBER_ADDRESS));
  g_assert_false (wd_access_is_allowed (access, STRANGER_ADDRESS));
  g_assert_true (wd_access_check (access, MEMBER_ADDRESS, 0));
  g_assert_true (wd_access_check (access, MEMBER_ADDRESS, WD_GRACE_US + 1));
}

/* Guards against unbounded memory when datagrams come from many forged addresses. */
static void
test_bound (void)
{
  g_autoptr (WdAccess) access = wd_access_new ();
  guint32 i;

  for (i = 0; i < WD_GRACE_ADDRESSES; i++)
    g_assert_true (wd_access_check (access, STRANGER_ADDRESS + i, 0));
  g_assert_false (wd_access_check (access, STRANGER_ADDRESS + i, 0));
  g_assert_true (wd_access_check (access, STRANGER_ADDRESS + i, WD_GRACE_US + WD_BLOCK_US + 1));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/daemon/access/grace", test_grace);
  g_test_add_func ("/daemon/access/allowed", test_allowed);
  g_test_add_func ("/daemon/access/bound", test_bound);
  return g_test_run ();
}
