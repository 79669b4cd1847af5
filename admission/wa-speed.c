#include "wa-speed.h"

#include <math.h>
#include <stdlib.h>

/* 64 x log2 (1.3): a smaller difference between servers can be chance. */
#define SPREAD_STEPS 24

/* Keeps products of loads within 32 bits. */
#define SLOWEST_FACTOR 16

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  return *(const gint *) a - *(const gint *) b;
}

gint
wa_speed_median (gint *times, guint count)
{
  if (count == 0)
    return 0;
  qsort (times, count, sizeof *times, compare_times);
  return times[(count - 1) * 3 / 4] - times[(count - 1) / 4] > SPREAD_STEPS ? times[count / 2] : 0;
}

guint
wa_speed_work_factor (gint steps, gint median)
{
  gdouble factor = WA_SPEED_NORMAL * exp2 ((gdouble) (steps - median) / WA_SPEED_STEPS);

  return (guint) CLAMP (factor, 0.5 * WA_SPEED_NORMAL, SLOWEST_FACTOR * WA_SPEED_NORMAL);
}
