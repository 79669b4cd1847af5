#include "wf-server.h"

#define SERVICE_ID 7
#define ANNOUNCEMENT_INTERVAL_US WB_US_PER_S

static WfAnnouncementResult
announce (WfServer *server,
          const gchar *name,
          gint64 started_ms,
          guint64 sequence,
          gboolean draining,
          gint64 now_us)
{
  WfAnnouncement announcement = { .name = (gchar *) name,
                                  .service_id = SERVICE_ID,
                                  .started_ms = started_ms,
                                  .sequence = sequence,
                                  .draining = draining,
                                  .slots = 4 };

  return wf_server_announce (server, &announcement, now_us);
}

/* Guards against an older announcement that arrives late and undoes a newer one. */
static void
test_stale_announcement (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE_ID, ANNOUNCEMENT_INTERVAL_US);

  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
  g_assert_cmpint (announce (server, "a", 100, 1, FALSE, 0), ==, WF_ANNOUNCEMENT_CHANGED);
  g_assert_cmpint (announce (server, "a", 100, 3, TRUE, 10), ==, WF_ANNOUNCEMENT_CHANGED);
  g_assert_cmpint (announce (server, "a", 100, 2, FALSE, 20), ==, WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_DRAINING);
}

/* Guards against a late announcement or withdrawal of an ended process that takes effect although a
 * new process, which may have the same name, has announced itself. */
static void
test_new_process (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE_ID, ANNOUNCEMENT_INTERVAL_US);

  announce (server, "a", 100, 9, TRUE, 0);
  g_assert_cmpint (announce (server, "a", 200, 1, FALSE, 10), ==, WF_ANNOUNCEMENT_NEW_PROCESS);
  g_assert_cmpint (announce (server, "a", 100, 10, TRUE, 20), ==, WF_ANNOUNCEMENT_STALE);
  g_assert_false (wf_server_withdraw (server, "a", 100));
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_READY);
  g_assert_true (wf_server_withdraw (server, "a", 200));
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
}

/* Guards against an agent that accepts a server of another service. */
static void
test_wrong_service (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE_ID, ANNOUNCEMENT_INTERVAL_US);
  WfAnnouncement announcement = { .name = "x", .service_id = SERVICE_ID + 1, .sequence = 1 };

  g_assert_cmpint (wf_server_announce (server, &announcement, 0), ==,
                   WF_ANNOUNCEMENT_WRONG_SERVICE);
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
}

/* Guards against new flows for a server whose announcements have stopped, and against one that is
 * not ready again when they resume. */
static void
test_announcements_stop (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE_ID, ANNOUNCEMENT_INTERVAL_US);

  announce (server, "a", 100, 1, FALSE, 0);
  g_assert_false (wf_server_tick (server, 2 * ANNOUNCEMENT_INTERVAL_US));
  g_assert_true (wf_server_tick (server, wf_server_next_us (server)));
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
  g_assert_cmpint (announce (server, "a", 100, 2, FALSE, 5 * ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_CHANGED);
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_READY);
}

/* Guards against an announcement that was delayed and brings a server back that has withdrawn. */
static void
test_late_after_withdrawal (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE_ID, ANNOUNCEMENT_INTERVAL_US);

  announce (server, "a", 100, 1, FALSE, 0);
  announce (server, "a", 100, 2, TRUE, 10);
  g_assert_true (wf_server_withdraw (server, "a", 100));
  g_assert_cmpint (announce (server, "a", 100, 3, TRUE, 20), ==, WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (announce (server, "a", 100, 4, FALSE, 2 * ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
  g_assert_cmpint (announce (server, "a", 300, 1, FALSE, 3 * ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_NEW_PROCESS);
}

/* Guards against a server without a start time that stays absent because it has started again under
 * its name, and against one that comes back through late announcements, which arrive together. */
static void
test_numbers_start_again (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE_ID, ANNOUNCEMENT_INTERVAL_US);

  announce (server, "a", 0, 9, FALSE, 0);
  g_assert_cmpint (announce (server, "a", 0, 1, FALSE, 10), ==, WF_ANNOUNCEMENT_STALE);
  g_assert_true (wf_server_tick (server, 4 * ANNOUNCEMENT_INTERVAL_US));
  g_assert_cmpint (announce (server, "a", 0, 7, FALSE, 5 * ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (announce (server, "a", 0, 8, FALSE, 5 * ANNOUNCEMENT_INTERVAL_US + 1), ==,
                   WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
  g_assert_cmpint (announce (server, "a", 0, 1, FALSE, 6 * ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (announce (server, "a", 0, 2, FALSE, 7 * ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_NEW_PROCESS);
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_READY);
}

/* Guards against a server that stays absent because the clock of its host was set back before its
 * start, and against a start time from such a clock that makes flows of the server look lost. */
static void
test_clock_set_back (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE_ID, ANNOUNCEMENT_INTERVAL_US);
  WfAnnouncement announcement = {
    .name = (gchar *) "b", .service_id = SERVICE_ID, .started_ms = 300, .sequence = 1
  };

  announce (server, "a", 200, 9, FALSE, 0);
  (void) wf_server_tick (server, 4 * ANNOUNCEMENT_INTERVAL_US);
  (void) announce (server, "a", 100, 1, FALSE, 5 * ANNOUNCEMENT_INTERVAL_US);
  g_assert_cmpint (announce (server, "a", 100, 2, FALSE, 6 * ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_NEW_PROCESS);

  announcement.age_us = -1;
  (void) wf_server_announce (server, &announcement, 8 * ANNOUNCEMENT_INTERVAL_US);
  g_assert_cmpint (wf_server_started_us (server), ==, 6 * ANNOUNCEMENT_INTERVAL_US);
  announcement.started_ms = 400;
  announcement.sequence = 20;
  announcement.age_us = ANNOUNCEMENT_INTERVAL_US;
  (void) wf_server_announce (server, &announcement, 30 * ANNOUNCEMENT_INTERVAL_US);
  g_assert_cmpint (wf_server_started_us (server), ==, 8 * ANNOUNCEMENT_INTERVAL_US);
}

/* Guards against an announcement without a start time that replaces a process which gives its own,
 * or changes its state: the agent would reset the open flows of a server that runs. */
static void
test_no_start_time (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE_ID, ANNOUNCEMENT_INTERVAL_US);
  gint64 now_us;

  announce (server, "a", 100, 5, FALSE, 0);
  g_assert_cmpint (announce (server, "b", 0, 1, FALSE, 10), ==, WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (announce (server, "b", 0, 2, FALSE, ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (announce (server, "a", 0, 90, TRUE, ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_STALE);
  g_assert_cmpstr (wf_server_name (server), ==, "a");
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_READY);
  g_assert_cmpint (announce (server, "a", 100, 6, FALSE, ANNOUNCEMENT_INTERVAL_US + 10), ==,
                   WF_ANNOUNCEMENT_UNCHANGED);

  /* Once the server is absent, the announcements of a running process count. */
  now_us = wf_server_next_us (server);
  g_assert_true (wf_server_tick (server, now_us));
  g_assert_cmpint (announce (server, "b", 0, 8, FALSE, now_us), ==, WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (announce (server, "b", 0, 9, FALSE, now_us + ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_NEW_PROCESS);
}

/* Guards against a late withdrawal of an earlier process that makes the agent ignore its successor,
 * which has the same name, for good: the withdrawal has no start time. */
static void
test_late_withdrawal (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE_ID, ANNOUNCEMENT_INTERVAL_US);
  gint64 now_us = 3 * ANNOUNCEMENT_INTERVAL_US;

  announce (server, "a", 100, 9, TRUE, 0);
  announce (server, "a", 200, 1, FALSE, ANNOUNCEMENT_INTERVAL_US);
  g_assert_true (wf_server_withdraw (server, "a", 0));
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_DRAINING);
  g_assert_false (wf_server_withdrawn (server));
  g_assert_cmpint (announce (server, "a", 200, 2, FALSE, 2 * ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_CHANGED);
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_READY);

  /* One that drains is absent at once, but comes back, without the loss of its flows, if it goes on
   * announcing itself. */
  announce (server, "a", 200, 3, TRUE, now_us);
  g_assert_true (wf_server_withdraw (server, "a", 0));
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
  g_assert_cmpint (announce (server, "a", 200, 2, FALSE, now_us + 1), ==, WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (announce (server, "a", 200, 4, TRUE, now_us + 2), ==, WF_ANNOUNCEMENT_STALE);
  g_assert_cmpint (announce (server, "a", 200, 5, TRUE, now_us + ANNOUNCEMENT_INTERVAL_US), ==,
                   WF_ANNOUNCEMENT_CHANGED);
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_DRAINING);
}

/* Guards against a server that stays ready although it has ended without announcing that it drains.
 */
static void
test_withdrawal_without_drain (void)
{
  g_autoptr (WfServer) server = wf_server_new (SERVICE_ID, ANNOUNCEMENT_INTERVAL_US);

  announce (server, "a", 100, 1, FALSE, 0);
  g_assert_true (wf_server_withdraw (server, "a", 0));
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_DRAINING);
  g_assert_true (wf_server_tick (server, wf_server_next_us (server)));
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);

  /* On a platform without start times, and with the process's own one, it is absent at once. */
  announce (server, "b", 200, 1, FALSE, 10 * ANNOUNCEMENT_INTERVAL_US);
  g_assert_true (wf_server_withdraw (server, "b", 200));
  g_assert_cmpint (wf_server_state (server), ==, WF_SERVER_ABSENT);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/server/late", test_stale_announcement);
  g_test_add_func ("/server/new-process", test_new_process);
  g_test_add_func ("/server/foreign", test_wrong_service);
  g_test_add_func ("/server/silent", test_announcements_stop);
  g_test_add_func ("/server/late-after-withdrawal", test_late_after_withdrawal);
  g_test_add_func ("/server/numbers-start-again", test_numbers_start_again);
  g_test_add_func ("/server/clock-set-back", test_clock_set_back);
  g_test_add_func ("/server/no-start-time", test_no_start_time);
  g_test_add_func ("/server/late-withdrawal", test_late_withdrawal);
  g_test_add_func ("/server/withdrawal-without-drain", test_withdrawal_without_drain);
  return g_test_run ();
}
