#pragma once

#include "wf.h"

/**
 * DOC: Limits of the agent core, and switches that turn off single mechanisms.
 *
 * The switches exist for tests, which show a failure without the mechanism first. The daemon uses
 * only the limits.
 */

/**
 * enum WfDisabled - mechanisms that a test can turn off
 * @WF_DISABLE_REGISTER: holders do not register their flows with the home
 * @WF_DISABLE_CHAIN: packets of unknown flows are dropped instead of forwarded in rank order
 * @WF_DISABLE_RECOVERY: no recovery probe, and no recovery from outgoing packets
 * @WF_DISABLE_RELEASE: the home does not release the second holder of a flow
 * @WF_DISABLE_JOIN_DEFERRAL: an endpoint that has just joined or resumed places flows at once
 * @WF_DISABLE_DRAIN_HANDOVER: a draining endpoint takes the initial packets placed on it
 * @WF_DISABLE_SILENT_PROBE: idle flows are reclaimed without probes
 * @WF_DISABLE_SERVICE_CHECK: packets are delivered without rule R2
 * @WF_DISABLE_REQUEST_QUEUE: later requests are delivered without admission
 */
typedef enum
{
  WF_DISABLE_REGISTER = 1 << 0,
  WF_DISABLE_CHAIN = 1 << 1,
  WF_DISABLE_RECOVERY = 1 << 2,
  WF_DISABLE_RELEASE = 1 << 3,
  WF_DISABLE_JOIN_DEFERRAL = 1 << 4,
  WF_DISABLE_DRAIN_HANDOVER = 1 << 5,
  WF_DISABLE_SILENT_PROBE = 1 << 6,
  WF_DISABLE_SERVICE_CHECK = 1 << 7,
  WF_DISABLE_REQUEST_QUEUE = 1 << 8,
} WfDisabled;

/**
 * struct WfOptions - limits and switches
 * @disabled: set of WfDisabled
 * @max_flows: most rows of the flow table
 * @max_registry: most registry entries
 * @max_queued_bytes: most bytes of packets kept for all flows together
 */
typedef struct
{
  guint disabled;
  guint max_flows;
  guint max_registry;
  gsize max_queued_bytes;
} WfOptions;

/** wf_options_default() - the limits of the daemon, with every mechanism on */
WfOptions wf_options_default (void);

/** wf_agent_set_options() - replaces the limits and switches */
void wf_agent_set_options (WfAgent *agent, const WfOptions *options);
