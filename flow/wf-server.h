#pragma once

#include "wf.h"

/**
 * DOC: State of the backend server beside an agent, as it follows from the server's announcements.
 *
 * The server announces itself periodically. Announcements may arrive late, repeated or from a
 * process that has ended; this module ignores those that are out of date. The caller receives them
 * and passes the state on to the agent.
 */

/**
 * struct WfAnnouncement - one announcement of a backend server
 * @name: name of the server's process; a restarted process may use it again
 * @service_id: wb_name_id() of the service that it serves
 * @started_ms: when the process started, in Unix milliseconds; 0 when not given
 * @age_us: time since @started_ms by the wall clock of this host, which may have been set since
 * @sequence: rises with each announcement of the process
 * @draining: it takes no new flows and will end
 * @slots: requests that it serves at a time
 * @cold_us: remaining time for which it is slow after its start
 */
typedef struct
{
  gchar *name;
  guint64 service_id;
  gint64 started_ms;
  gint64 age_us;
  guint64 sequence;
  gboolean draining;
  guint slots;
  gint64 cold_us;
} WfAnnouncement;

void wf_announcement_clear (WfAnnouncement *announcement);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (WfAnnouncement, wf_announcement_clear)

/**
 * enum WfAnnouncementResult - what follows from an announcement
 * @WF_ANNOUNCEMENT_UNCHANGED: the server is as before
 * @WF_ANNOUNCEMENT_CHANGED: the state, the slots or whether it is cold have changed
 * @WF_ANNOUNCEMENT_NEW_PROCESS: a new process has replaced the previous one, whose flows are lost
 * @WF_ANNOUNCEMENT_STALE: of a process that has ended, or older than the latest announcement;
 *   ignored
 * @WF_ANNOUNCEMENT_WRONG_SERVICE: of another service; ignored
 */
typedef enum
{
  WF_ANNOUNCEMENT_UNCHANGED,
  WF_ANNOUNCEMENT_CHANGED,
  WF_ANNOUNCEMENT_NEW_PROCESS,
  WF_ANNOUNCEMENT_STALE,
  WF_ANNOUNCEMENT_WRONG_SERVICE,
} WfAnnouncementResult;

/** wf_announcement_result_name() - returns the name used in logs */
const gchar *wf_announcement_result_name (WfAnnouncementResult result);

typedef struct WfServer WfServer;

/**
 * wf_server_new() - state of a server that has not announced itself yet
 * @interval_us: time between two announcements of the server
 */
WfServer *wf_server_new (guint64 service_id, gint64 interval_us);
void wf_server_free (WfServer *server);

/**
 * wf_server_announce() - handles an announcement
 *
 * An announcement that looks out of date, or lacks the start time that the present process gives,
 * counts only while no server is present, and only if another one follows at the interval of a
 * running process. A process that has withdrawn with its start time does not come back.
 */
WfAnnouncementResult
wf_server_announce (WfServer *server, const WfAnnouncement *announcement, gint64 now_us);

/**
 * wf_server_withdraw() - handles the report of a process that it has ended
 * @started_ms: as in its announcements; 0 when not given
 *
 * Without a start time the report may be a late one of an earlier process with the same name. It
 * then makes a server that gives its start time and has not announced that it drains leave only
 * until its next announcement.
 *
 * Return: whether the state has changed
 */
gboolean wf_server_withdraw (WfServer *server, const gchar *name, gint64 started_ms);

/** wf_server_tick() - makes the server absent when its announcements have stopped. Return: whether
 * the state changed */
gboolean wf_server_tick (WfServer *server, gint64 now_us);
gint64 wf_server_next_us (const WfServer *server);

WfServerState wf_server_state (const WfServer *server);
guint wf_server_slots (const WfServer *server);
gint64 wf_server_cold_us (const WfServer *server);

/** wf_server_started_us() - returns when the announced process started, in the time of the calls;
 * the earliest possible time when its start time is unknown or contradicts its announcements */
gint64 wf_server_started_us (const WfServer *server);

/** wf_server_started_since() - whether the announced process is known to have started after
 * @since_us, at which this object existed */
gboolean wf_server_started_since (const WfServer *server, gint64 since_us);

/** wf_server_withdrawn() - whether the announced process has reported its end */
gboolean wf_server_withdrawn (const WfServer *server);

/** wf_server_name() - returns the name of the announced process, or "" */
const gchar *wf_server_name (const WfServer *server);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WfServer, wf_server_free)
