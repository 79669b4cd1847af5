#pragma once

#include "wa.h"

/**
 * DOC: Policies to compare against, and inspection of decisions. For benchmarks and tests only.
 */

/**
 * enum WaPolicy - how new flows are placed and queued
 * @WA_POLICY_FULL: occupancy of 3 ranks, late binding, reserved slots; the others reserve none
 * @WA_POLICY_NO_RESERVE: the same without reserved slots
 * @WA_POLICY_BEST_OF_THREE: occupancy of 3 ranks only; queued initial packets stay where they are
 * @WA_POLICY_NEXT_RANK: the home, or the next rank when the home is full
 * @WA_POLICY_HASH: always the home
 */
typedef enum
{
  WA_POLICY_FULL,
  WA_POLICY_NO_RESERVE,
  WA_POLICY_BEST_OF_THREE,
  WA_POLICY_NEXT_RANK,
  WA_POLICY_HASH,
} WaPolicy;

/** wa_admission_set_policy() - the policy in effect; WA_POLICY_FULL by default */
void wa_admission_set_policy (WaAdmission *admission, WaPolicy policy);

/** wa_admission_in_use() - slots in use or reserved by initial packets */
guint wa_admission_in_use (const WaAdmission *admission);

/** wa_admission_waiting() - entries in the queue */
guint wa_admission_waiting (const WaAdmission *admission);

/**
 * wa_admission_predicted_wait() - further wait predicted for a queued flow
 *
 * Return: microseconds, or -1 when the flow is not queued
 */
gint64 wa_admission_predicted_wait (const WaAdmission *admission, WbHandle flow, gint64 now_us);
