#pragma once

#include "wa.h"

/**
 * DOC: Baseline policies for comparison and access to internal figures. For benchmarks and tests
 * only.
 */

/**
 * enum WaPolicy - how new flows are placed and queued
 * @WA_POLICY_FULL: places by the occupancy of the first 3 ranks, lets peers pull queued initial
 *   packets, and reserves slots for short work; the other policies reserve none
 * @WA_POLICY_NO_RESERVE: as WA_POLICY_FULL, but without reserved slots
 * @WA_POLICY_BEST_OF_THREE: places by the occupancy of the first 3 ranks; queued initial packets
 *   are not pulled
 * @WA_POLICY_NEXT_RANK: places on the home, or on the next rank when the home is full
 * @WA_POLICY_HASH: always places on the home
 */
typedef enum
{
  WA_POLICY_FULL,
  WA_POLICY_NO_RESERVE,
  WA_POLICY_BEST_OF_THREE,
  WA_POLICY_NEXT_RANK,
  WA_POLICY_HASH,
} WaPolicy;

/** wa_admission_set_policy() - sets the policy; WA_POLICY_FULL by default */
void wa_admission_set_policy (WaAdmission *admission, WaPolicy policy);

/** wa_admission_set_ignores_speed() - whether placement takes no account of the speed of servers;
 * FALSE by default */
void wa_admission_set_ignores_speed (WaAdmission *admission, gboolean ignores_speed);

/** wa_admission_slots_in_use() - slots in use by requests or reserved by initial packets */
guint wa_admission_slots_in_use (const WaAdmission *admission);

/** wa_admission_queue_length() - number of queued initial packets and requests */
guint wa_admission_queue_length (const WaAdmission *admission);

/**
 * wa_admission_predicted_wait() - predicted further wait of a queued flow
 *
 * Return: microseconds, or -1 when the flow is not queued
 */
gint64 wa_admission_predicted_wait (const WaAdmission *admission, WbHandle flow, gint64 now_us);
