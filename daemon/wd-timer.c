#include "wd-timer.h"

/* Bounded, so that a gap longer than WD_PAUSE_THRESHOLD_US can only come from a pause. */
#define MAX_WAIT_US (250 * WB_US_PER_MS)

typedef struct
{
  GSource source;
  WdTimerCallbacks callbacks;
  gint64 last_read_us;
  gint64 gap_us;
} Timer;

static gint64
read_clock (Timer *timer)
{
  gint64 now_us = g_get_monotonic_time ();

  if (now_us - timer->last_read_us > WD_PAUSE_THRESHOLD_US)
    timer->gap_us = now_us - timer->last_read_us;
  timer->last_read_us = now_us;
  return now_us;
}

static gboolean
timer_prepare (GSource *source, gint *timeout_ms)
{
  Timer *timer = (Timer *) source;
  gint64 now_us = read_clock (timer);
  gint64 wait_us = timer->callbacks.next_us (timer->callbacks.context) - now_us;

  wait_us = CLAMP (wait_us, 0, MAX_WAIT_US);
  *timeout_ms = (gint) ((wait_us + WB_US_PER_MS - 1) / WB_US_PER_MS);
  return wait_us == 0 || timer->gap_us > 0;
}

static gboolean
timer_check (GSource *source)
{
  Timer *timer = (Timer *) source;
  gint64 now_us = read_clock (timer);

  return timer->gap_us > 0 || timer->callbacks.next_us (timer->callbacks.context) <= now_us;
}

static gboolean
timer_dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  Timer *timer = (Timer *) source;
  gint64 gap_us = timer->gap_us;

  timer->gap_us = 0;
  if (gap_us > 0)
    timer->callbacks.resumed (timer->callbacks.context, gap_us, timer->last_read_us);
  timer->callbacks.tick (timer->callbacks.context, timer->last_read_us);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs timer_functions = {
  .prepare = timer_prepare,
  .check = timer_check,
  .dispatch = timer_dispatch,
};

GSource *
wd_timer_attach (const WdTimerCallbacks *callbacks)
{
  GSource *source = g_source_new (&timer_functions, sizeof (Timer));
  Timer *timer = (Timer *) source;

  timer->callbacks = *callbacks;
  timer->last_read_us = g_get_monotonic_time ();
  g_source_attach (source, NULL);
  return source;
}
