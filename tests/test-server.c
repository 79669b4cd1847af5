#include "wf-server.h"

#define SERVICE 7
#define INTERVAL_US WB_US_PER_S

static WfAnnouncementResult
announce (WfServer *server,
          const gchar *name,
          gint64 started_ms,
          guint64 sequence,
          gboolean draining,
          gint64 now_us)
{
  WfAnnouncement announcement = { .name = (gchar *) name,
                                  .service_id = SERVICE,
                                  .started_ms = started_ms,
                                  .sequence = sequence,
                                  .draining = draining,
                                  .slots = 4 };

  return wf_server_announce (server, &announcement, now_us);
}

/* Guards against a repeated or delayed announcement that undoes a newer one. */
static void
test_late (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE, INTERVAL_US);

  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
  g_assert_cmpint (announce (server, "a", 100, 1, FALSE, 0), ==, WF_ANNOUNCEMENT_CHANGED);
  g_assert_cmpint (announce (server, "a", 100, 3, TRUE, 10), ==, WF_ANNOUNCEMENT_CHANGED);
  g_assert_cmpint (announce (server, "a", 100, 2, FALSE, 20), ==, WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_DRAINING);
}

/* Guards against a process that has ended and whose late announcement or withdrawal takes the place
 * of the new one, also under the same name. */
static void
test_new_process (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE, INTERVAL_US);

  announce (server, "a", 100, 9, TRUE, 0);
  g_assert_cmpint (announce (server, "a", 200, 1, FALSE, 10), ==, WF_ANNOUNCEMENT_NEW_PROCESS);
  g_assert_cmpint (announce (server, "a", 100, 10, TRUE, 20), ==, WF_ANNOUNCEMENT_STALE);
  g_assert_false (wf_server_withdraw (server, "a", 100));
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_READY);
  g_assert_true (wf_server_withdraw (server, "a", 200));
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
}

/* Guards against a server of another service that is taken for the own one. */
static void
test_foreign (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE, INTERVAL_US);
  WfAnnouncement announcement = { .name = "x", .service_id = SERVICE + 1, .sequence = 1 };

  g_assert_cmpint (wf_server_announce (server, &announcement, 0), ==,
                   WF_ANNOUNCEMENT_WRONG_SERVICE);
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
}

/* Guards against a server that has gone silent and goes on getting new flows. */
static void
test_silent (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE, INTERVAL_US);

  announce (server, "a", 100, 1, FALSE, 0);
  g_assert_false (wf_server_tick (server, 2 * INTERVAL_US));
  g_assert_true (wf_server_tick (server, wf_server_next_us (server)));
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
  g_assert_cmpint (announce (server, "a", 100, 2, FALSE, 5 * INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_CHANGED);
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_READY);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/server/late", test_late);
  g_test_add_func ("/server/new-process", test_new_process);
  g_test_add_func ("/server/foreign", test_foreign);
  g_test_add_func ("/server/silent", test_silent);
  return g_test_run ();
}
