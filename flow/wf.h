#pragma once

#include "wa.h"
#include "ww-packet-format.h"
#include "ww-packet.h"

/**
 * DOC: The decision core of the process beside each backend server.
 *
 * Holds the flow table and the registry, drives admission, and decides for each packet where it
 * goes.
 */

/**
 * struct WfEndpoint - one endpoint of the service, as membership reports it
 * @incarnation: rises when the endpoint's agent restarts or resumes from a pause
 */
typedef struct
{
  guint64 id;
  guint64 incarnation;
  gboolean draining;
  gboolean suspected;
} WfEndpoint;

/**
 * struct WfCallbacks - output of the agent core
 * @to_server: delivers an IP packet to the backend server
 * @to_client: sends an IP packet towards the client
 * @to_endpoint: sends a datagram to the data address of another endpoint's agent
 */
typedef struct
{
  gpointer context;
  void (*to_server) (gpointer context, const guint8 *packet, gsize length);
  void (*to_client) (gpointer context, const guint8 *packet, gsize length);
  void (*to_endpoint) (gpointer context, guint64 endpoint_id, const guint8 *data, gsize length);
} WfCallbacks;

typedef struct WfAgent WfAgent;

/**
 * wf_agent_new() - the core of the agent @self_id, which serves the service @service_id
 * @seed: seed of the agent's random numbers
 */
WfAgent *wf_agent_new (
    guint64 self_id, guint64 service_id, const WfCallbacks *callbacks, guint32 seed, gint64 now_us);
void wf_agent_free (WfAgent *agent);

/** wf_agent_set_format() - format of the packets; ww_packet_format_ip by default. Call before any
 * packet. */
void wf_agent_set_format (WfAgent *agent, const WwPacketFormat *format);

/**
 * enum WfServerState - whether the backend server takes new flows
 * @WF_SERVER_READY: it does
 * @WF_SERVER_DRAINING: it has said that it does not, and keeps the flows that it has
 * @WF_SERVER_ABSENT: nothing is known of it, or it is gone with its flows
 */
typedef enum
{
  WF_SERVER_READY,
  WF_SERVER_DRAINING,
  WF_SERVER_ABSENT,
} WfServerState;

/** wf_server_state_name() - the name used in logs */
const gchar *wf_server_state_name (WfServerState state);

/**
 * wf_agent_set_server_state() - what the backend server has said of itself
 *
 * A server that is not ready gets no initial packet, also when every other endpoint drains. An
 * agent that never hears of this takes its server for ready.
 */
void wf_agent_set_server_state (WfAgent *agent, WfServerState state, gint64 now_us);

/** wf_agent_set_capacity() - slots and cold time that the backend server has announced */
void wf_agent_set_capacity (WfAgent *agent, guint slots, gint64 cold_us, gint64 now_us);

/**
 * wf_agent_set_flows_complete() - whether the agent has seen all flows of its server
 *
 * The server has started after the agent, so that it holds no flow of before. Such an agent does
 * not ask its server about flows that it does not know.
 */
void wf_agent_set_flows_complete (WfAgent *agent, gboolean known);

/**
 * wf_agent_server_replaced() - a new process has taken the place of the backend server
 * @started_us: since when the new process can have answered, not later than @now_us
 *
 * Ends all flows but those that were delivered or answered after @started_us, which the new process
 * may hold.
 */
void wf_agent_server_replaced (WfAgent *agent, gint64 started_us, gint64 now_us);

/** wf_agent_set_config() - takes over a configuration; an older version than the one in effect is
 * ignored and counted */
void wf_agent_set_config (WfAgent *agent, WcConfig *config, gint64 now_us);

/**
 * wf_agent_set_endpoints() - all endpoints of the service that are not dead, the own one included
 *
 * Sends the registrations that moved homes require. Before the first call, packets of unknown flows
 * are dropped: an agent that knows only itself would place flows that others hold.
 */
void
wf_agent_set_endpoints (WfAgent *agent, const WfEndpoint *endpoints, guint count, gint64 now_us);

/** wf_agent_set_draining() - the own endpoint takes no new flows while draining */
void wf_agent_set_draining (WfAgent *agent, gboolean draining, gint64 now_us);

/** wf_agent_resumed() - the process was paused: see "Pause" in docs/design.md */
void wf_agent_resumed (WfAgent *agent, gint64 now_us);

/**
 * wf_agent_receive() - a datagram on the data address (encapsulated packet or peer message)
 *
 * The caller has checked that it comes from a member's address.
 */
void wf_agent_receive (WfAgent *agent, const guint8 *data, gsize length, gint64 now_us);

/** wf_agent_from_server() - an IP packet that the backend server sent */
void wf_agent_from_server (WfAgent *agent, const guint8 *packet, gsize length, gint64 now_us);

/** wf_agent_tick() - runs what is due */
void wf_agent_tick (WfAgent *agent, gint64 now_us);

/** wf_agent_next_us() - when the next tick is due */
gint64 wf_agent_next_us (const WfAgent *agent);

guint wf_agent_flows_held (const WfAgent *agent);
guint wf_agent_flows_waiting (const WfAgent *agent);

/** wf_agent_memory() - bytes of the flow table and the registry */
gsize wf_agent_memory (const WfAgent *agent);

const WbCounters *wf_agent_counters (const WfAgent *agent);
const WaAdmission *wf_agent_admission (const WfAgent *agent);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WfAgent, wf_agent_free)
