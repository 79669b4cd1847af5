#include "wd-member-log.h"

#include "wb-log.h"

#include <string.h>

#define INTERVAL_US (250 * WB_US_PER_MS)

enum
{
  ALIVE,
  SUSPECT,
  DEAD,
  N_COUNTS,
};

struct WdMemberLog
{
  const WmNode *member;
  guint logged[N_COUNTS];
  gint64 logged_us;
  guint timer; /* logs the counts at the end of the interval; 0 for none */
};

WdMemberLog *
wd_member_log_new (const WmNode *member)
{
  WdMemberLog *log = g_new0 (WdMemberLog, 1);

  log->member = member;
  return log;
}

void
wd_member_log_free (WdMemberLog *log)
{
  if (log == NULL)
    return;
  if (log->timer != 0)
    g_source_remove (log->timer);
  g_free (log);
}

static gboolean
interval_ended (gpointer data)
{
  WdMemberLog *log = data;

  log->timer = 0;
  wd_member_log_update (log);
  return G_SOURCE_REMOVE;
}

void
wd_member_log_update (WdMemberLog *log)
{
  guint counts[N_COUNTS] = { wm_node_count (log->member, WW_MEMBER_ALIVE),
                             wm_node_count (log->member, WW_MEMBER_SUSPECT),
                             wm_node_count (log->member, WW_MEMBER_DEAD) };
  gint64 now_us = g_get_monotonic_time ();
  gint64 wait_us = log->logged_us + INTERVAL_US - now_us;

  if (log->timer != 0 || memcmp (counts, log->logged, sizeof counts) == 0)
    return;
  if (log->logged_us != 0 && wait_us > 0)
    {
      log->timer = g_timeout_add ((guint) (wait_us / WB_US_PER_MS) + 1, interval_ended, log);
      return;
    }
  memcpy (log->logged, counts, sizeof counts);
  log->logged_us = now_us;
  wb_log_info ("members_changed", WB_NUMBER ("alive", counts[ALIVE]),
               WB_NUMBER ("suspect", counts[SUSPECT]), WB_NUMBER ("dead", counts[DEAD]));
}
