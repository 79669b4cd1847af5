#pragma once

#include "wb.h"

/**
 * DOC: Timer source of a daemon's main loop. It dispatches the ticks when they are due, and
 * detects that the process was paused (SIGSTOP, frozen host) by gaps of the monotonic clock.
 */

/** A longer gap between two readings of the clock counts as a pause of the process. */
#define WD_PAUSE_THRESHOLD_US WB_US_PER_S

/**
 * struct WdTimerCallbacks - callbacks of the timer
 * @next_us: monotonic time at which the next tick is due
 * @tick: does the work that is due
 * @resumed: the process was paused for @gap_us; called before any tick with the new time
 */
typedef struct
{
  gpointer context;
  gint64 (*next_us) (gpointer context);
  void (*tick) (gpointer context, gint64 now_us);
  void (*resumed) (gpointer context, gint64 gap_us, gint64 now_us);
} WdTimerCallbacks;

/**
 * wd_timer_attach() - attaches a timer to the default main context
 *
 * Attach it before the sockets: sources of one priority run in the order of attachment, so that
 * resumed() is called before the datagrams that arrived during a pause are received.
 *
 * Return: (transfer full): the source; end it with g_source_destroy() and g_source_unref()
 */
GSource *wd_timer_attach (const WdTimerCallbacks *callbacks);
