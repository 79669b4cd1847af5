#pragma once

#include "wf.h"

/**
 * DOC: What the backend server beside an agent says of itself.
 *
 * The server announces itself again and again. Announcements may come late, repeated or from a
 * process that has ended meanwhile; this module finds out which of them count.
 */

/**
 * struct WfAnnouncement - one announcement
 * @name: name of the server's process; a restarted process may use it again
 * @service_id: wb_name_id() of the service that it serves
 * @started_ms: when the process started, in Unix milliseconds; 0 when it does not say
 * @sequence: rises with each announcement of the process
 * @draining: it takes no new flows and will end
 * @slots: requests that it serves at a time
 * @cold_us: how much longer it is slow after its start
 */
typedef struct
{
  gchar *name;
  guint64 service_id;
  gint64 started_ms;
  guint64 sequence;
  gboolean draining;
  guint slots;
  gint64 cold_us;
} WfAnnouncement;

void wf_announcement_clear (WfAnnouncement *announcement);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (WfAnnouncement, wf_announcement_clear)

/**
 * enum WfAnnouncementResult - what an announcement means
 * @WF_ANNOUNCEMENT_UNCHANGED: the server is as before
 * @WF_ANNOUNCEMENT_CHANGED: state, slots or cold time have changed
 * @WF_ANNOUNCEMENT_NEW_PROCESS: another process has taken the place of the one known: its flows are
 *   lost
 * @WF_ANNOUNCEMENT_STALE: older than what is known; ignored
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

/** wf_announcement_result_name() - the name used in logs */
const gchar *wf_announcement_result_name (WfAnnouncementResult heard);

typedef struct WfServer WfServer;

/**
 * wf_server_new() - a server of which nothing is known yet
 * @interval_us: time between two announcements of the server
 */
WfServer *wf_server_new (guint64 service_id, gint64 interval_us);
void wf_server_free (WfServer *server);

/** wf_server_announce() - the server has announced itself */
WfAnnouncementResult
wf_server_announce (WfServer *server, const WfAnnouncement *announcement, gint64 now_us);

/**
 * wf_server_withdraw() - a process says that it has ended
 * @started_ms: as in its announcements; 0 when it does not say
 *
 * Return: whether it was the one known
 */
gboolean wf_server_withdraw (WfServer *server, const gchar *name, gint64 started_ms);

/** wf_server_tick() - notices a server that has gone silent. Return: whether the state changed */
gboolean wf_server_tick (WfServer *server, gint64 now_us);
gint64 wf_server_next_us (const WfServer *server);

WfServerState wf_server_state (const WfServer *server);
guint wf_server_slots (const WfServer *server);
gint64 wf_server_cold_us (const WfServer *server);

/** wf_server_started_ms() - when the process known started, in Unix milliseconds; 0 when unknown */
gint64 wf_server_started_ms (const WfServer *server);

/** wf_server_name() - name of the process known, or "" */
const gchar *wf_server_name (const WfServer *server);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WfServer, wf_server_free)
