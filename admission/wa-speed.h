#pragma once

#include <glib.h>

/**
 * DOC: Speed of the backend servers of one service, from the service times that they report.
 *
 * Service times are logarithms in steps, of which WA_SPEED_STEPS are a factor of 2, so that ratios
 * are differences. The functions know nothing of endpoints or queues.
 */

#define WA_SPEED_STEPS 64

/** Factor by which work counts for a server with the median service time, in thousandths. */
#define WA_SPEED_NORMAL 1000

/**
 * wa_speed_median() - median of the service times, if they differ enough to place by speed
 * @times: service times in steps; sorted by the call
 *
 * Return: median in steps, or 0 when the 75th percentile is at most 1.3 times the 25th
 */
gint wa_speed_median (gint *times, guint count);

/**
 * wa_speed_work_factor() - time of a server's requests relative to the median
 * @steps: its service time
 * @median: from wa_speed_median()
 *
 * Return: thousandths, from half of WA_SPEED_NORMAL to 16 times it. A server that ends its requests
 * much sooner than others fails rather than works, so it gains no more from a shorter time.
 */
guint wa_speed_work_factor (gint steps, gint median);
