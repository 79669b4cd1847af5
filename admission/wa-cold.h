#pragma once

#include "wb.h"

/**
 * DOC: Exact count of the requests that a backend server received in the last second.
 *
 * The window keeps the times of as many of the latest requests as the limit allows, which is enough
 * to tell at any time whether one more request stays within the limit, and when. It has no timers
 * and no knowledge of queues; callers pass the time, which must not decrease.
 */

/** Length of the window. A request counts for this time, the last microsecond included. */
#define WA_COLD_WINDOW_US WB_US_PER_S

typedef struct
{
  gint64 *times; /* ring of the latest times, in order */
  guint limit;   /* capacity of the ring; 0: no limit */
  guint first;   /* index of the oldest time */
  guint length;
  gint64 used_up_until_us; /* the window counts as full until then */
} WaColdWindow;

/**
 * wa_cold_limit() - the number of requests that may be delivered in any window
 * @per_s: rate of the service's configuration; 0 for no limit
 * @overage: factor of the rate
 * @slack: number of requests added to it
 *
 * One unit is held back as a reserve for packets that are between agent and server, so that two
 * deliveries which arrive closer together than they left do not exceed the allowance.
 *
 * Return: at least 1, or 0 for no limit
 */
guint wa_cold_limit (gdouble per_s, gdouble overage, gdouble slack);

void wa_cold_window_init (WaColdWindow *window);
void wa_cold_window_clear (WaColdWindow *window);

/** wa_cold_window_set_limit() - sets the limit; keeps the latest times */
void wa_cold_window_set_limit (WaColdWindow *window, guint limit);

/** wa_cold_window_use_up() - counts the window as full until a second after @now_us, for a process
 * that does not know what was delivered before its start */
void wa_cold_window_use_up (WaColdWindow *window, gint64 now_us);

/** wa_cold_window_record() - counts a request delivered at @now_us, even beyond the limit */
void wa_cold_window_record (WaColdWindow *window, gint64 now_us);

/** wa_cold_window_count() - requests in the window that ends at @now_us, at most the limit */
guint wa_cold_window_count (const WaColdWindow *window, gint64 now_us);

/**
 * wa_cold_window_free_us() - when a number of further requests fit in the window
 * @owed: requests that may be delivered at any time without a further check
 * @more: number of further requests, 1 at least, each delivered as soon as it fits
 *
 * Return: time in microseconds at which the last of them fits, @now_us when it does already. When
 * all units are owed, a window after @now_us is assumed for each request.
 */
gint64 wa_cold_window_free_us (const WaColdWindow *window, guint owed, guint more, gint64 now_us);
