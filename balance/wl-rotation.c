#include "wl-rotation.h"

#include <stdlib.h>

/* A process that is restarted is back within this time, and has been noticed as failed before. */
#define LEAVE_DELAY_US (3 * WB_US_PER_S)

/* Available ones first, then by capacity; ids make the order the same at all balancers. */
static gint
compare_members (gconstpointer a, gconstpointer b)
{
  const WlRotationMember *left = a;
  const WlRotationMember *right = b;

  if (left->available != right->available)
    return left->available ? -1 : 1;
  if (left->capacity_kbps != right->capacity_kbps)
    return left->capacity_kbps > right->capacity_kbps ? -1 : 1;
  return left->id < right->id ? -1 : left->id > right->id;
}

guint
wl_rotation_size (WlRotationMember *members, guint count)
{
  guint required = (count + 1) / 2;
  guint available = 0, size, i;
  guint64 most = 0;

  qsort (members, count, sizeof *members, compare_members);
  while (available < count && members[available].available)
    available++;
  size = available;
  for (i = 0; i < available; i++)
    if (members[i].capacity_kbps == 0)
      return available;
  for (i = MAX (1, required); i <= available; i++)
    if (i * members[i - 1].capacity_kbps >= most)
      {
        most = i * members[i - 1].capacity_kbps;
        size = i;
      }
  return size;
}

void
wl_rotation_init (WlRotation *rotation)
{
  *rotation = (WlRotation){ .in_rotation = TRUE, .leave_us = WB_NEVER };
}

void
wl_rotation_update (WlRotation *rotation, gboolean needed, gint64 now_us)
{
  if (needed)
    wl_rotation_init (rotation);
  else if (rotation->in_rotation && rotation->leave_us == WB_NEVER)
    rotation->leave_us = now_us + LEAVE_DELAY_US;
}

gboolean
wl_rotation_tick (WlRotation *rotation, gint64 now_us)
{
  if (now_us < rotation->leave_us)
    return FALSE;
  rotation->in_rotation = FALSE;
  rotation->leave_us = WB_NEVER;
  return TRUE;
}
