#pragma once

#include "wa.h"
#include "ww-packet-format.h"
#include "ww-packet.h"

/**
 * DOC: Decides for each packet of a service whether to deliver it to the local backend server, send
 * it to another endpoint, queue it or refuse it.
 *
 * The agent process beside each backend server passes in packets, the time and the list of
 * endpoints, and sends what comes out of the callbacks. Slots, queue order and refusal decisions
 * are left to the admission package, membership and sockets to the caller.
 */

/**
 * struct WfEndpoint - one endpoint of the service, as membership reports it
 * @incarnation: rises when the endpoint's agent restarts or resumes from a pause
 * @evacuated: its availability zone is evacuated: it remains the home of its flows and keeps those
 *   that it holds, but gets no new flow, not even when there is no other endpoint
 * @zone: availability zone, as in ww_member; 0 when it is not known
 */
typedef struct
{
  guint64 id;
  guint64 incarnation;
  gboolean draining;
  gboolean suspected;
  gboolean evacuated;
  guint32 zone;
} WfEndpoint;

/**
 * struct WfCallbacks - output of an agent
 * @to_server: delivers an IP packet to the backend server
 * @to_client: sends an IP packet towards the client
 * @to_endpoint: sends a datagram to the data address of another endpoint's agent, which may be of
 *   another service
 * @list_endpoints: (optional): appends the endpoints of another service to an array of WfEndpoint
 * @endpoint_service: (optional): service of an endpoint that is not in the list of this service; 0
 *   when the endpoint is not known, or cannot be reached
 *
 * Without the optional ones, flows do not survive a configuration that gives their destination to
 * another service.
 */
typedef struct
{
  gpointer context;
  void (*to_server) (gpointer context, const guint8 *packet, gsize length);
  void (*to_client) (gpointer context, const guint8 *packet, gsize length);
  void (*to_endpoint) (gpointer context, guint64 endpoint_id, const guint8 *data, gsize length);
  void (*list_endpoints) (gpointer context, guint64 service_id, GArray *endpoints);
  guint64 (*endpoint_service) (gpointer context, guint64 endpoint_id);
} WfCallbacks;

typedef struct WfAgent WfAgent;

/**
 * wf_agent_new() - creates the agent of the endpoint @self_id, which serves the service @service_id
 * @seed: seed of the agent's random numbers
 */
WfAgent *wf_agent_new (
    guint64 self_id, guint64 service_id, const WfCallbacks *callbacks, guint32 seed, gint64 now_us);
void wf_agent_free (WfAgent *agent);

/** wf_agent_set_format() - sets the packet format; the default is ww_packet_format_ip. Call before
 * the first packet. */
void wf_agent_set_format (WfAgent *agent, const WwPacketFormat *format);

/**
 * wf_agent_set_zone() - sets the availability zone of this endpoint
 * @zone: as in ww_member
 * @affinity: whether flows are placed in the zone through which they enter. The home of a flow
 *   follows the entry zone in the header of its packets in any case, so that all members agree on
 *   it while the setting is being changed.
 */
void wf_agent_set_zone (WfAgent *agent, guint32 zone, gboolean affinity);

/**
 * enum WfServerState - whether the backend server takes new flows
 * @WF_SERVER_READY: it does
 * @WF_SERVER_DRAINING: it has announced that it does not; it keeps the flows that it has
 * @WF_SERVER_ABSENT: it has not announced itself yet, or it has ended with its flows
 */
typedef enum
{
  WF_SERVER_READY,
  WF_SERVER_DRAINING,
  WF_SERVER_ABSENT,
} WfServerState;

/** wf_server_state_name() - returns the name used in logs */
const gchar *wf_server_state_name (WfServerState state);

/**
 * wf_agent_set_server_state() - sets the state that follows from the server's announcements
 *
 * A server that is not ready gets no initial packet, not even when every other endpoint drains.
 * The state is ready until the first call.
 */
void wf_agent_set_server_state (WfAgent *agent, WfServerState state, gint64 now_us);

/** wf_agent_set_capacity() - sets the slots and the remaining cold time that the backend server has
 * announced; call for each announcement */
void wf_agent_set_capacity (WfAgent *agent, guint slots, gint64 cold_us, gint64 now_us);

/** wf_agent_set_cold_allowance() - sets the allowance of a cold server; see
 * wa_admission_set_cold_allowance() */
void wf_agent_set_cold_allowance (WfAgent *agent, gdouble overage, gdouble slack);

/**
 * wf_agent_set_flows_complete() - sets whether the agent has a row for every flow of its server
 *
 * That is the case when the server started after the agent, which then does not probe the server
 * for flows that have no row.
 */
void wf_agent_set_flows_complete (WfAgent *agent, gboolean complete);

/**
 * wf_agent_set_server_process() - sets what is known of the process of the backend server
 * @started_us: earliest time at which the process can have started; G_MININT64 when unknown
 * @withdrawn: the process has reported its end, so it holds no flow
 *
 * An agent that is older than its server's process knows for certain which flows it holds. The
 * start is unknown until the first call.
 */
void wf_agent_set_server_process (WfAgent *agent, gint64 started_us, gboolean withdrawn);

/**
 * wf_agent_server_replaced() - ends the flows of a backend server whose process has been replaced
 * @started_us: earliest time at which the new process can have responded, not later than @now_us
 *
 * Flows whose initial packet was delivered, or on which the server has sent data, after @started_us
 * stay, since the new process may hold them.
 */
void wf_agent_server_replaced (WfAgent *agent, gint64 started_us, gint64 now_us);

/**
 * wf_agent_set_config() - puts a configuration into effect
 *
 * A version older than the one in effect is ignored and counted. Flows of a route that leads to
 * another service now stay here, and are registered with their homes in that service.
 */
void wf_agent_set_config (WfAgent *agent, WcConfig *config, gint64 now_us);

/**
 * wf_agent_set_endpoints() - sets all endpoints of the service that are not dead, this one included
 *
 * Registers each flow with its home when the home has moved or restarted. Also to be called when
 * only endpoints of other services have changed. Until the first call packets of unknown flows are
 * dropped: an agent that knows no other endpoint would place flows that others hold.
 */
void
wf_agent_set_endpoints (WfAgent *agent, const WfEndpoint *endpoints, guint count, gint64 now_us);

/**
 * wf_agent_set_search_agents() - sets the agents that may be asked for the holder of a flow
 * @ids: all agents of the service that are alive or suspected, also those without a backend server
 * @complete: whether the member list is complete; without it no search begins here
 *
 * Packets of unknown flows are not searched for until the first call, nor in services of fewer than
 * WF_SEARCH_AGENTS_MIN agents.
 */
void wf_agent_set_search_agents (
    WfAgent *agent, const guint64 *ids, guint count, gboolean complete, gint64 now_us);

/** wf_agent_set_draining() - sets whether this endpoint drains and takes no new flows */
void wf_agent_set_draining (WfAgent *agent, gboolean draining, gint64 now_us);

/**
 * wf_agent_set_evacuated() - sets whether the availability zone of this endpoint is evacuated
 *
 * The agent of an evacuated endpoint hands over its queued initial packets at once. It passes each
 * further one on to an endpoint outside the evacuated zones, or refuses it when there is none; only
 * a retransmission on a flow whose SYN-ACK the server has sent is delivered. Packets of open flows
 * are delivered as before. Call after wf_agent_set_endpoints() for the same change.
 */
void wf_agent_set_evacuated (WfAgent *agent, gboolean evacuated, gint64 now_us);

/**
 * wf_agent_resumed() - the process has resumed from a pause
 *
 * Discards initial packets that waited beyond their deadline. Placement is deferred to other
 * endpoints for a while, as after a start.
 */
void wf_agent_resumed (WfAgent *agent, gint64 now_us);

/**
 * wf_agent_receive() - handles a datagram from the data address (encapsulated packet or peer
 * message)
 *
 * The caller has checked that it comes from a member's address.
 */
void wf_agent_receive (WfAgent *agent, const guint8 *data, gsize length, gint64 now_us);

/** wf_agent_from_server() - handles an IP packet that the backend server sent */
void wf_agent_from_server (WfAgent *agent, const guint8 *packet, gsize length, gint64 now_us);

/** wf_agent_tick() - runs the timers that are due */
void wf_agent_tick (WfAgent *agent, gint64 now_us);

/** wf_agent_next_us() - returns the time at which wf_agent_tick() is due next */
gint64 wf_agent_next_us (const WfAgent *agent);

guint wf_agent_flows_held (const WfAgent *agent);
guint wf_agent_flows_waiting (const WfAgent *agent);

/** wf_agent_memory() - returns the bytes of flow table, registry and queued packets */
gsize wf_agent_memory (const WfAgent *agent);

const WbCounters *wf_agent_counters (const WfAgent *agent);
const WaAdmission *wf_agent_admission (const WfAgent *agent);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WfAgent, wf_agent_free)
