#include "wa-cold.h"

#include <math.h>
#include <string.h>

/* Bounds the memory of the ring, which is 8 bytes for each request; far above the rate of any
 * single server. */
#define LIMIT_MAX 65536

/* Products of decimal numbers such as 0.7 and 10 can fall just short of an integer. */
#define ROUNDING_ERROR 1e-6

guint
wa_cold_limit (gdouble per_s, gdouble overage, gdouble slack)
{
  gdouble allowed = floor (per_s * overage + slack + ROUNDING_ERROR);

  if (!(per_s > 0))
    return 0;
  return (guint) CLAMP (allowed - 1, 1, LIMIT_MAX);
}

void
wa_cold_window_init (WaColdWindow *window)
{
  *window = (WaColdWindow){ .used_up_until_us = G_MININT64 };
}

void
wa_cold_window_clear (WaColdWindow *window)
{
  g_clear_pointer (&window->times, g_free);
}

/* Return: the @i-th of the times in the ring, from the oldest. */
static gint64
time_at (const WaColdWindow *window, guint i)
{
  return window->times[(window->first + i) % window->limit];
}

void
wa_cold_window_set_limit (WaColdWindow *window, guint limit)
{
  guint kept = MIN (window->length, limit);
  gint64 *times;
  guint i;

  if (limit == window->limit)
    return;
  times = limit > 0 ? g_new0 (gint64, limit) : NULL;
  for (i = 0; i < kept; i++)
    times[i] = time_at (window, window->length - kept + i);
  g_free (window->times);
  window->times = times;
  window->limit = limit;
  window->first = 0;
  window->length = kept;
}

void
wa_cold_window_use_up (WaColdWindow *window, gint64 now_us)
{
  window->used_up_until_us = now_us + WA_COLD_WINDOW_US;
}

void
wa_cold_window_record (WaColdWindow *window, gint64 now_us)
{
  if (window->limit == 0)
    return;
  if (window->length == window->limit)
    window->first = (window->first + 1) % window->limit;
  else
    window->length++;
  window->times[(window->first + window->length - 1) % window->limit] = now_us;
}

/* Return: number of the oldest times that have left the window. */
static guint
expired_count (const WaColdWindow *window, gint64 now_us)
{
  guint low = 0;
  guint high = window->length;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;

      if (now_us - time_at (window, middle) > WA_COLD_WINDOW_US)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

guint
wa_cold_window_count (const WaColdWindow *window, gint64 now_us)
{
  if (now_us <= window->used_up_until_us)
    return window->limit;
  return window->length - expired_count (window, now_us);
}

/* Return: the first time at which a request delivered at @delivered_us has left the window. */
static gint64
leaves_us (gint64 delivered_us)
{
  return delivered_us + WA_COLD_WINDOW_US + 1;
}

gint64
wa_cold_window_free_us (const WaColdWindow *window, guint owed, guint more, gint64 now_us)
{
  guint units = window->limit > owed ? window->limit - owed : 1;
  guint rounds = (more - 1) / units;
  guint wanted = (more - 1) % units + 1;
  gint64 free_us = MAX (now_us, window->used_up_until_us + 1);
  guint keep;

  if (window->limit == 0)
    return now_us;
  if (window->limit <= owed)
    return now_us + (gint64) more * leaves_us (0);
  /* The request fits when so many times at most are left in the window. */
  keep = units - wanted;
  if (window->length > keep)
    free_us = MAX (free_us, leaves_us (time_at (window, window->length - keep - 1)));
  return free_us + rounds * leaves_us (0);
}
