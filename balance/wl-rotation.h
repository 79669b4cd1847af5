#pragma once

#include "wb.h"

/**
 * DOC: Decides which balancers of an availability zone take packets from the fabric.
 *
 * The fabric gives each balancer in rotation the same share of the packets, so the one with the
 * least capacity limits the zone. Where capacities differ, the balancers with little of it stay out
 * of rotation as long as the others together carry more without them. All balancers of a zone
 * decide by the same rule from the member list; a difference between their views lasts as long as
 * the gossip takes.
 */

/**
 * struct WlRotationMember - one balancer of the zone
 * @capacity_kbps: of its network link; 0 when unknown
 * @available: alive and not about to leave
 */
typedef struct
{
  guint64 id;
  guint64 capacity_kbps;
  gboolean available;
} WlRotationMember;

/**
 * wl_rotation_size() - how many of the available balancers belong in rotation, those with the most
 * capacity first
 * @members: all balancers that the fabric may count for the zone; sorted by this function into the
 *   order in which they are chosen
 *
 * The result is at least half of @count, rounded up: the fabric uses every balancer of a zone,
 * failed ones included, when fewer are in rotation. All available ones belong in rotation when
 * there are not that many, when a capacity is unknown, or when no smaller number carries more.
 */
guint wl_rotation_size (WlRotationMember *members, guint count);

/**
 * struct WlRotation - whether this balancer is in rotation
 * @in_rotation: the decision in effect
 * @leave_us: when the balancer leaves rotation, unless it is needed again before; WB_NEVER when it
 *   does not leave
 */
typedef struct
{
  gboolean in_rotation;
  gint64 leave_us;
} WlRotation;

/** wl_rotation_init() - begins in rotation */
void wl_rotation_init (WlRotation *rotation);

/**
 * wl_rotation_update() - applies a change of the zone's balancers or of the configuration
 * @needed: FALSE when the others of the zone carry more without this balancer
 *
 * A balancer that is needed enters rotation at once. One that is not leaves after a time in which
 * it was not needed, so that a restart of another does not move all flows of the zone twice.
 */
void wl_rotation_update (WlRotation *rotation, gboolean needed, gint64 now_us);

/** wl_rotation_tick() - Return: whether the balancer has just left rotation */
gboolean wl_rotation_tick (WlRotation *rotation, gint64 now_us);
