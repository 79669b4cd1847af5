#pragma once

#include "wb.h"

/**
 * DOC: The timer of a daemon's loop: runs the cores when they are due and detects pauses.
 */

/** Longest gap between two readings of the clock that does not count as a pause. */
#define WD_PAUSE_US WB_US_PER_S

/**
 * struct WdTimerCallbacks - what the timer drives
 * @next_us: when the next tick is due
 * @tick: runs what is due
 * @resumed: the process was paused for @gap_us; called before anything else sees the new time
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
 * @resumed runs before the datagrams that arrived during a pause.
 *
 * Return: (transfer full): the source; end it with g_source_destroy() and g_source_unref()
 */
GSource *wd_timer_attach (const WdTimerCallbacks *callbacks);
