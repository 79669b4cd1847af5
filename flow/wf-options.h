#pragma once

#include "wf.h"

/**
 * DOC: Limits of an agent, and switches that turn off single mechanisms.
 *
 * Tests use the switches to show the failure that a mechanism prevents. The daemon uses only the
 * limits.
 */

/**
 * enum WfDisableFlags - mechanisms that a test can turn off
 * @WF_DISABLE_REGISTRATION: holders do not register their flows with the home
 * @WF_DISABLE_CHAIN: packets of unknown flows are dropped instead of forwarded in rank order
 * @WF_DISABLE_RECOVERY: no recovery probe, and no recovery from packets that the server sends
 * @WF_DISABLE_RELEASE: the home does not release the second holder of a flow
 * @WF_DISABLE_JOIN_DEFERRAL: an endpoint that has just joined or resumed places flows at once, also
 *   those of old initial packets from the socket buffer
 * @WF_DISABLE_DRAIN_HANDOVER: a draining endpoint takes the initial packets placed on it
 * @WF_DISABLE_IDLE_PROBE: idle flows are removed without probes
 * @WF_DISABLE_SERVICE_CHECK: packets are delivered without a check that their destination belongs
 *   to the service
 * @WF_DISABLE_REQUEST_QUEUE: later requests of a flow are delivered without admission
 * @WF_DISABLE_EVACUATION: the agent of an evacuated endpoint takes the initial packets that reach
 * it
 * @WF_DISABLE_SEARCH: packets of unknown flows go along the chain in services of any size
 */
typedef enum
{
  WF_DISABLE_REGISTRATION = 1 << 0,
  WF_DISABLE_CHAIN = 1 << 1,
  WF_DISABLE_RECOVERY = 1 << 2,
  WF_DISABLE_RELEASE = 1 << 3,
  WF_DISABLE_JOIN_DEFERRAL = 1 << 4,
  WF_DISABLE_DRAIN_HANDOVER = 1 << 5,
  WF_DISABLE_IDLE_PROBE = 1 << 6,
  WF_DISABLE_SERVICE_CHECK = 1 << 7,
  WF_DISABLE_REQUEST_QUEUE = 1 << 8,
  WF_DISABLE_EVACUATION = 1 << 9,
  WF_DISABLE_SEARCH = 1 << 10,
} WfDisableFlags;

/**
 * struct WfOptions - limits and switches
 * @disabled: set of WfDisableFlags
 * @max_flows: most rows of the flow table
 * @max_registry: most registry entries
 * @max_queued_bytes: most bytes of queued packets of all flows together
 */
typedef struct
{
  guint disabled;
  guint max_flows;
  guint max_registry;
  gsize max_queued_bytes;
} WfOptions;

/** wf_options_default() - returns the limits of the daemon, with every mechanism on */
WfOptions wf_options_default (void);

/** wf_agent_set_options() - replaces the limits and switches */
void wf_agent_set_options (WfAgent *agent, const WfOptions *options);
