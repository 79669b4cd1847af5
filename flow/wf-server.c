#include "wf-server.h"

#include <string.h>

/* Intervals without an announcement after which the server is absent: one announcement can be lost,
 * and the next one can be late. */
#define ABSENT_AFTER_INTERVALS 3

/* Announcements that a server may send at once after its start: the first one, and repetitions of
 * it while its agent does not respond. */
#define FIRST_ANNOUNCEMENTS 3

/* A process whose announcements look out of date: an earlier one, or one that has withdrawn. */
typedef struct
{
  gchar *name; /* NULL when there is none */
  gint64 started_ms;
  guint64 sequence;
  gint64 seen_us; /* first announcement */
} DoubtfulProcess;

struct WfServer
{
  guint64 service_id;
  gint64 interval_us;
  WfServerState state;
  gchar *name; /* of the process that announced itself last, or NULL */
  gint64 started_ms;
  guint64 sequence;
  guint slots;
  gint64 cold_us;
  gint64 announced_us;
  gint64 started_us;              /* estimate, see estimate_start() */
  gboolean is_successor;          /* another process has announced itself before */
  gboolean withdrawn;             /* the process has reported its end */
  gboolean withdrawn_for_certain; /* with its start time: the report cannot be an earlier one's */
  DoubtfulProcess doubtful;
};

void
wf_announcement_clear (WfAnnouncement *announcement)
{
  g_clear_pointer (&announcement->name, g_free);
}

const gchar *
wf_server_state_name (WfServerState state)
{
  static const gchar *const names[] = { "ready", "leaving", "absent" };

  return names[state];
}

const gchar *
wf_announcement_result_name (WfAnnouncementResult result)
{
  static const gchar *const names[] = { "nothing_new", "change", "new_process", "late", "foreign" };

  return names[result];
}

WfServer *
wf_server_new (guint64 service_id, gint64 interval_us)
{
  WfServer *server = g_new0 (WfServer, 1);

  server->service_id = service_id;
  server->interval_us = interval_us;
  server->state = WF_SERVER_ABSENT;
  return server;
}

void
wf_server_free (WfServer *server)
{
  if (server == NULL)
    return;
  g_free (server->name);
  g_free (server->doubtful.name);
  g_free (server);
}

/* Returns whether an announcement is of a newer process (1), the same one (0) or an earlier one
 * (-1). The start time decides, because a new process may use the old name. Without it another name
 * is a new process, unless the present one has given its start time: whoever sends an announcement
 * without it cannot show that this process has ended. */
static gint
compare_process (const WfServer *server, const gchar *name, gint64 started_ms)
{
  if (started_ms == 0 && server->started_ms != 0)
    return -1;
  if (started_ms != 0 && server->started_ms != 0 && started_ms != server->started_ms)
    return started_ms > server->started_ms ? 1 : -1;
  return strcmp (name, server->name) == 0 ? 0 : 1;
}

static void
apply_announcement (WfServer *server, const WfAnnouncement *announcement, gint64 now_us)
{
  server->state = announcement->draining ? WF_SERVER_DRAINING : WF_SERVER_READY;
  server->sequence = announcement->sequence;
  server->slots = announcement->slots;
  server->cold_us = announcement->cold_us;
  server->announced_us = now_us;
}

/* Returns when the process started. When the wall clock was set back, the start time lies in the
 * future or contradicts the number of announcements; the earliest possible time is returned then,
 * since a flow that is wrongly taken for a lost one would be reset. */
static gint64
estimate_start (const WfServer *server, const WfAnnouncement *announcement, gint64 now_us)
{
  gint64 intervals = announcement->age_us / server->interval_us;

  if (announcement->started_ms != 0 && announcement->age_us >= 0 &&
      announcement->sequence <= (guint64) intervals + FIRST_ANNOUNCEMENTS)
    return now_us - announcement->age_us;
  return server->name == NULL ? G_MININT64 : server->announced_us;
}

static WfAnnouncementResult
replace_process (WfServer *server, const WfAnnouncement *announcement, gint64 now_us)
{
  gboolean first = server->name == NULL;
  gboolean same = !first && announcement->started_ms != 0 &&
                  announcement->started_ms == server->started_ms &&
                  strcmp (announcement->name, server->name) == 0;

  g_clear_pointer (&server->doubtful.name, g_free);
  server->withdrawn = server->withdrawn_for_certain = FALSE;
  if (!same)
    {
      server->started_us = estimate_start (server, announcement, now_us);
      g_free (server->name);
      server->name = g_strdup (announcement->name);
      server->started_ms = announcement->started_ms;
      server->is_successor = !first;
    }
  apply_announcement (server, announcement, now_us);
  return first || same ? WF_ANNOUNCEMENT_CHANGED : WF_ANNOUNCEMENT_NEW_PROCESS;
}

/* Whether a process whose announcements look out of date runs nevertheless: its numbers have
 * started again under the same name, or the host's clock was set back before its start. Late
 * announcements of an ended process arrive together, those of a running one at its interval. */
static gboolean
is_running_process (WfServer *server, const WfAnnouncement *announcement, gint64 now_us)
{
  DoubtfulProcess *doubtful = &server->doubtful;

  if (doubtful->name == NULL || strcmp (doubtful->name, announcement->name) != 0 ||
      doubtful->started_ms != announcement->started_ms ||
      announcement->sequence <= doubtful->sequence)
    {
      g_free (doubtful->name);
      doubtful->name = g_strdup (announcement->name);
      doubtful->started_ms = announcement->started_ms;
      doubtful->sequence = announcement->sequence;
      doubtful->seen_us = now_us;
      return FALSE;
    }
  doubtful->sequence = announcement->sequence;
  return now_us - doubtful->seen_us >= server->interval_us / 2;
}

/* A process that has reported its end is known by its start time; without one its name may be in
 * use again. After a report without a start time, which may be a late one of an earlier process,
 * only announcements that are older than the last one are out of the question. */
static gboolean
has_reported_end (const WfServer *server, const WfAnnouncement *announcement)
{
  return server->withdrawn && announcement->started_ms != 0 &&
         announcement->started_ms == server->started_ms &&
         (server->withdrawn_for_certain || announcement->sequence <= server->sequence);
}

static WfAnnouncementResult
announce_out_of_date (WfServer *server, const WfAnnouncement *announcement, gint64 now_us)
{
  if (server->state != WF_SERVER_ABSENT || has_reported_end (server, announcement) ||
      !is_running_process (server, announcement, now_us))
    return WF_ANNOUNCEMENT_STALE;
  return replace_process (server, announcement, now_us);
}

WfAnnouncementResult
wf_server_announce (WfServer *server, const WfAnnouncement *announcement, gint64 now_us)
{
  WfServerState state = server->state;
  guint slots = server->slots;
  gboolean cold = server->cold_us > 0;
  gint order;

  if (announcement->service_id != server->service_id)
    return WF_ANNOUNCEMENT_WRONG_SERVICE;
  if (server->name == NULL)
    return replace_process (server, announcement, now_us);
  order = compare_process (server, announcement->name, announcement->started_ms);
  if (order > 0)
    return replace_process (server, announcement, now_us);
  if (order < 0 || announcement->sequence <= server->sequence || server->withdrawn)
    return announce_out_of_date (server, announcement, now_us);
  apply_announcement (server, announcement, now_us);
  return state != server->state || slots != server->slots || cold != (server->cold_us > 0)
             ? WF_ANNOUNCEMENT_CHANGED
             : WF_ANNOUNCEMENT_UNCHANGED;
}

gboolean
wf_server_withdraw (WfServer *server, const gchar *name, gint64 started_ms)
{
  if (server->name == NULL || strcmp (name, server->name) != 0)
    return FALSE;
  if (started_ms != 0 && started_ms != server->started_ms)
    return FALSE;
  /* A process announces that it drains before it ends. Without that, the report is probably a late
   * one of an earlier process with this name: the next announcement shows it. */
  if (started_ms == 0 && server->started_ms != 0 && server->state == WF_SERVER_READY)
    {
      server->state = WF_SERVER_DRAINING;
      return TRUE;
    }
  server->state = WF_SERVER_ABSENT;
  server->withdrawn = TRUE;
  server->withdrawn_for_certain = started_ms != 0;
  return TRUE;
}

gboolean
wf_server_tick (WfServer *server, gint64 now_us)
{
  if (now_us < wf_server_next_us (server))
    return FALSE;
  server->state = WF_SERVER_ABSENT;
  return TRUE;
}

gint64
wf_server_next_us (const WfServer *server)
{
  return server->state == WF_SERVER_ABSENT
             ? WB_NEVER
             : server->announced_us + ABSENT_AFTER_INTERVALS * server->interval_us;
}

WfServerState
wf_server_state (const WfServer *server)
{
  return server->state;
}

guint
wf_server_slots (const WfServer *server)
{
  return server->slots;
}

gint64
wf_server_cold_us (const WfServer *server)
{
  return server->cold_us;
}

gint64
wf_server_started_us (const WfServer *server)
{
  return server->started_us;
}

gboolean
wf_server_started_since (const WfServer *server, gint64 since_us)
{
  return server->is_successor || (server->name != NULL && server->started_us > since_us);
}

gboolean
wf_server_withdrawn (const WfServer *server)
{
  return server->withdrawn;
}

const gchar *
wf_server_name (const WfServer *server)
{
  return server->name != NULL ? server->name : "";
}
