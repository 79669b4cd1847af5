#pragma once

#include "wc-history.h"
#include "wf-options.h"
#include "wf-search.h"
#include "wf-table.h"
#include "ww-flow-log.h"
#include "ww-request-id.h"

/* Longer than the first three retransmissions of an initial packet. */
#define WF_TOMBSTONE_LIFETIME_US (10 * WB_US_PER_S)

/* For this time after it joined or resumed, an endpoint lets the next rank place new flows. */
#define WF_JOIN_DEFERRAL_US (5 * WB_US_PER_S)

/* Time without a change of the endpoints after which an unknown UDP flow is placed without asking
 * the other endpoints. */
#define WF_ENDPOINTS_STABLE_US (10 * WB_US_PER_S)

/* For this time after a pause, initial packets may be old datagrams from the socket buffer. */
#define WF_RESUME_SETTLE_US (200 * WB_US_PER_MS)

/* For this time after the start, a packet of an unknown flow may belong to a connection that the
 * backend server had before. */
#define WF_RECOVERY_PERIOD_US (3600 * WB_US_PER_S)

/* Bits of ww_flow_entry.flags, and of a registry entry. */
#define WF_REGISTRATION_DELIVERED 0x1 /* some payload was delivered */
#define WF_REGISTRATION_WAITING 0x2   /* the initial packet is queued; nothing was delivered */

typedef enum
{
  WF_COUNTER_RECEIVED,
  WF_COUNTER_MALFORMED,
  WF_COUNTER_DELIVERED,
  WF_COUNTER_TO_CLIENT,
  WF_COUNTER_DOUBLE_DELIVERY,
  WF_COUNTER_RELEASE_SENT,
  WF_COUNTER_RELEASED,
  WF_COUNTER_RELEASE_IGNORED,
  WF_COUNTER_WRONG_SERVICE,
  WF_COUNTER_OUTGOING_WRONG_SERVICE,
  WF_COUNTER_REFUSED_INITIAL,
  WF_COUNTER_REFUSED_REQUEST,
  WF_COUNTER_REFUSAL_PREVENTED,
  WF_COUNTER_REFUSAL_RESUMED,
  WF_COUNTER_UNKNOWN_SENDER,
  WF_COUNTER_MALFORMED_MESSAGE,
  WF_COUNTER_CONFIG_OLDER,
  WF_COUNTER_FLOWS_PLACED,
  WF_COUNTER_FLOWS_OPENED,
  WF_COUNTER_FLOWS_CLOSED,
  WF_COUNTER_FORWARDED_HOME,
  WF_COUNTER_FORWARDED_CHAIN,
  WF_COUNTER_FORWARDED_HOLDER,
  WF_COUNTER_FORWARDED_MOVED,
  WF_COUNTER_DEFERRED,
  WF_COUNTER_GRANTED,
  WF_COUNTER_DRAIN_HANDOVER,
  WF_COUNTER_EVACUATED_FORWARDED,
  WF_COUNTER_EVACUATED_REFUSED,
  WF_COUNTER_RETURNED_TO_HOME,
  WF_COUNTER_CHAIN_END,
  WF_COUNTER_HOP_LIMIT,
  WF_COUNTER_SYN_PAYLOAD,
  WF_COUNTER_NOT_READY,
  WF_COUNTER_STALE_INITIAL,
  WF_COUNTER_OTHER_HANDSHAKE,
  WF_COUNTER_QUEUE_EXPIRED,
  WF_COUNTER_OUTGOING_NOT_HELD,
  WF_COUNTER_OUTGOING_EARLIER,
  WF_COUNTER_RECOVERY_PROBES,
  WF_COUNTER_RECOVERED,
  WF_COUNTER_RECOVERY_ABSENT,
  WF_COUNTER_IDLE_PROBES,
  WF_COUNTER_IDLE_CLOSED,
  WF_COUNTER_SILENT_RESET,
  WF_COUNTER_REGISTERED,
  WF_COUNTER_REGISTER_RECEIVED,
  WF_COUNTER_UNREGISTER_RECEIVED,
  WF_COUNTER_REGISTRY_EXPIRED,
  WF_COUNTER_SERVER_RETURNED,
  WF_COUNTER_OFFERED_AGAIN,
  WF_COUNTER_SERVER_LOST,
  WF_COUNTER_RESET_SENT,
  WF_COUNTER_LIMIT_FLOWS,
  WF_COUNTER_LIMIT_REGISTRY,
  WF_COUNTER_LIMIT_QUEUED,
  WF_COUNTER_SEARCHES,
  WF_COUNTER_SEARCH_HELD,
  WF_COUNTER_SEARCH_ABSENT,
  WF_COUNTER_SEARCH_UNANSWERED,
  WF_COUNTER_SEARCH_LIMITED,
  WF_N_COUNTERS,
} WfCounter;

typedef enum
{
  WF_FLOW_PLACING,   /* admission of the home chooses an endpoint */
  WF_FLOW_WAITING,   /* the initial packet waits for a slot */
  WF_FLOW_HELD,      /* the initial packet was delivered to the backend server */
  WF_FLOW_REFUSING,  /* the agent refuses the flow */
  WF_FLOW_PROBING,   /* a recovery probe asks the backend server whether it holds the flow */
  WF_FLOW_NOT_HELD,  /* the backend server does not hold the flow */
  WF_FLOW_TOMBSTONE, /* another endpoint has taken the flow over */
} WfFlowState;

enum
{
  WF_FLAG_IN_ADMISSION = 1 << 0,      /* admission has an entry for the flow */
  WF_FLAG_REGISTERED = 1 << 1,        /* the flow is registered with its home */
  WF_FLAG_SERVER_RESPONDED = 1 << 2,  /* the server has sent a packet on the flow */
  WF_FLAG_PAYLOAD_DELIVERED = 1 << 3, /* some payload was delivered */
  WF_FLAG_REQUEST_ACTIVE = 1 << 4,    /* a request is in progress at the server */
  WF_FLAG_REQUEST_WAITING = 1 << 5,   /* a later request is queued */
  WF_FLAG_RESPONSE_DATA = 1 << 6,     /* server data came after the last client payload */
  WF_FLAG_REQUEST_UNKNOWN = 1 << 7,   /* recovered; the request may have begun before */
  WF_FLAG_CLIENT_FIN = 1 << 8,
  WF_FLAG_SERVER_FIN = 1 << 9,
  WF_FLAG_CLOSED = 1 << 10,
  WF_FLAG_REFUSAL_SENT = 1 << 11,    /* the refusal text was sent */
  WF_FLAG_AGENT_HANDSHAKE = 1 << 12, /* the agent has sent the SYN-ACK, not a server */
  WF_FLAG_DEFERRED = 1 << 14,        /* tombstone: the peer was asked to place the flow */
  WF_FLAG_CONFIRMED = 1 << 15,       /* the client has acknowledged the SYN-ACK of this server */
  WF_FLAG_SENT_TO_HOLDER = 1 << 13,  /* probing: the packet came along a registry entry */
  /* held: recovered from a packet of the server; the client has sent none since */
  WF_FLAG_CLIENT_UNSEEN = WF_FLAG_SENT_TO_HOLDER,
  /* the agent has seen the whole handshake */
  WF_FLAGS_HANDSHAKE_COMPLETE = WF_FLAG_CONFIRMED | WF_FLAG_SERVER_RESPONDED,
};

/* A row of the flow table. */
typedef struct
{
  WwFlowKey key;
  guint64 home_id; /* home of the last registration */
  guint64 peer_id; /* tombstone: the new endpoint; held: the one that granted the flow, or 0;
                      probing: the home in the header, or where a packet that was sent to the
                      holder goes back to */
  gint64 last_activity_us;
  gint64 last_data_us; /* last data of the server; before any, delivery of the initial packet */
  GPtrArray *queue;    /* of GBytes: queued packets, or NULL */
  guint32 client_next; /* sequence number after the client data delivered */
  guint32 client_ack;  /* highest acknowledgment of the client */
  guint32 server_next; /* sequence number after the server data; refusing: start of the text */
  guint32 server_ack;  /* highest acknowledgment of the server */
  guint32 answer_end;  /* sequence number after the HTTP response in progress or the last one */
  guint16 flags;
  guint16 tenant;
  guint16 retry_after_s;
  guint8 state;
  guint8 class;
  guint8 hops;          /* of the initial or probed packet */
  guint8 client_probes; /* idle probes since the last packet of the client */
  guint8 server_probes; /* idle probes since the last packet of either end */
  guint8 attempts;      /* recovery probes, or retransmissions of the refusal */
  guint8 answer_end_known;
  guint32 entry_zone; /* as in the encapsulation header; 0 when it is not known */
} WfFlow;

/* A registry entry: where this endpoint, as the home, finds the holder of a flow. */
typedef struct
{
  WwFlowKey key;
  guint64 holder_id;
  gint64 expires_us;
  guint32 flags;        /* WF_REGISTRATION_* */
  gboolean provisional; /* placed by this home; the holder has not registered yet */
} WfRegistryEntry;

/* Registrations or withdrawals for one home, collected into one message. */
typedef struct
{
  guint64 endpoint_id;
  ww_peer_kind kind;
  guint count;
  ww_flow_entry flows[WW_MAX_REGISTER_FLOWS];
} WfRegistrationBatch;

/* A packet of the client that is being routed, with its encapsulation header. */
typedef struct
{
  ww_encap header;
  const guint8 *data;
  gsize length;
  WwPacket packet;
  WwPacketStatus status;
  WwFlowKey key;
} WfReceivedPacket;

struct WfAgent
{
  guint64 self_id;
  guint32 self_zone;
  guint64 service_id;
  WfCallbacks callbacks;
  const WwPacketFormat *format;
  WfOptions options;
  GRand *random;
  WbCounters *counters;
  WaAdmission *admission;
  WcConfig *config;
  guint64 newest_config_version; /* newest version named by an encapsulated packet */
  gint64 moved_repeat_us;
  WcHistory *history;         /* earlier targets of the routes */
  GHashTable *other_services; /* see wf-moved.c: endpoints of services that get or had the
                                 destinations of flows here */
  const WcService *service;
  WfTable *flows;
  WfTable *registry;
  GArray *endpoints;        /* of WfEndpoint */
  GArray *endpoint_ids;     /* of guint64: their ids, in the same order */
  GArray *endpoint_zones;   /* of guint32: their zones, in the same order */
  GArray *departed_ids;     /* of guint64: ids no longer listed, oldest first */
  GArray *rank_order;       /* of guint16: result of wf_view_rank() */
  GArray *ranked_endpoints; /* of WaEndpoint: result of wf_view_ranked() */
  GPtrArray *batches;       /* of WfRegistrationBatch */
  GByteArray *datagram;     /* the last one encoded */
  gint64 now_us;            /* time of the call in progress */
  gint64 started_us;
  gint64 joined_us;  /* start, or end of the last pause */
  gint64 resumed_us; /* end of the last pause */
  gint64 endpoints_changed_us;
  gint64 flush_due_us;
  gint64 refresh_due_us;
  guint32 refresh_cursor;
  gboolean endpoints_known; /* wf_agent_set_endpoints() was called */
  gboolean draining;
  gboolean evacuated; /* the availability zone of this endpoint is evacuated */
  WfServerState server_state;
  gboolean flows_complete; /* every flow of the server has a row */
  WfSearch *search;
  GHashTable *dropped_flows; /* hashes of flows whose row was removed although the server may hold
                                them */
  gboolean agents_complete;  /* all agents of the service are known */
  gboolean server_withdrawn; /* the announced process has reported its end */
  gint64 server_started_us;  /* earliest start of the announced process, or G_MININT64 */
  guint flows_held;
  guint flows_waiting;
  gsize queued_bytes;
};

/* wf-counter.c */
extern const WbCounterDef wf_counter_definitions[WF_N_COUNTERS];
void wf_count (WfAgent *agent, WfCounter counter);

/* wf-agent.c: the flow table and its queues of packets */
gboolean wf_mechanism_enabled (const WfAgent *agent, WfDisableFlags mechanism);
WfFlow *wf_flow_add (
    WfAgent *agent, const WwFlowKey *key, guint32 entry_zone, WfFlowState state, WbHandle *handle);
void wf_flow_set_state (WfAgent *agent, WfFlow *flow, WfFlowState state);
void wf_flow_remove (WfAgent *agent, WbHandle handle);
gboolean wf_flow_queue_packet (WfAgent *agent, WfFlow *flow, const guint8 *data, gsize length);
gboolean
wf_flow_parse_queued (const WfAgent *agent, const WfFlow *flow, guint index, WwPacket *packet);
void wf_flow_clear_queue (WfAgent *agent, WfFlow *flow);
void wf_flow_classify (WfAgent *agent, WfFlow *flow);
void wf_deliver_to_server (WfAgent *agent, const guint8 *data, gsize length);
void wf_send_to_client (WfAgent *agent, const guint8 *data, gsize length);
gint64 wf_idle_timeout_us (const WfAgent *agent);

/* wf-view.c: the endpoints of the service as this agent sees them */
guint wf_view_rank (
    WfAgent *agent, const WwFlowKey *key, guint32 entry_zone, guint16 **order, guint *self_rank);
guint64 wf_view_home (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone);
gboolean wf_view_contains (const WfAgent *agent, guint64 endpoint_id);
const WaEndpoint *
wf_view_ranked (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone, guint *count);
gboolean wf_view_has_departed (const WfAgent *agent, guint64 endpoint_id);
void wf_view_update_departed (WfAgent *agent, const GArray *previous);
guint64 wf_view_next (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone);
gboolean wf_view_same_endpoints (const GArray *a, const GArray *b);
guint64 wf_view_next_home (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone);

/* wf-route.c: routing of the packets that arrive from the network */
void wf_route_receive (WfAgent *agent, const guint8 *data, gsize length);
gboolean wf_route_is_initial (const WfReceivedPacket *received);
gboolean wf_route_to_home (WfAgent *agent, const WfReceivedPacket *received);
void wf_route_unknown (WfAgent *agent, WfReceivedPacket *received);
void wf_route_forward (WfAgent *agent,
                       const WfReceivedPacket *received,
                       ww_encap_kind kind,
                       guint64 endpoint_id);
void wf_route_send_queue (
    WfAgent *agent, WfFlow *flow, ww_encap_kind kind, guint64 endpoint_id, guint64 home_id);
void wf_route_other_connection (WfAgent *agent, WfReceivedPacket *received);
guint64 wf_route_wrong_entry_owner (WfAgent *agent, const WfReceivedPacket *received);
gboolean wf_route_config_is_outdated (const WfAgent *agent);
gboolean wf_route_is_in_service (const WfAgent *agent, const WwFlowKey *key);
void wf_route_along_chain (WfAgent *agent, WfReceivedPacket *received, gboolean server_probed);

/* wf-moved.c: flows whose destination has moved to another service since they were opened */
guint64 wf_moved_service (const WfAgent *agent, const WwFlowKey *key);
guint64 wf_moved_home (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone);
guint64 wf_moved_endpoint_service (const WfAgent *agent, guint64 endpoint_id);
gboolean wf_moved_accepts (const WfAgent *agent, const WfReceivedPacket *received);
gboolean wf_moved_accepts_outgoing (WfAgent *agent, const WwFlowKey *key);
gboolean wf_moved_route_unknown (WfAgent *agent, WfReceivedPacket *received);
gboolean wf_moved_has_searched (WfAgent *agent, const WfReceivedPacket *received);
gboolean wf_moved_return (WfAgent *agent, const WfReceivedPacket *received);
gboolean wf_moved_return_queue (WfAgent *agent, WfFlow *flow);
gboolean wf_moved_is_recent (const WfAgent *agent, const WwFlowKey *key);
gboolean wf_moved_to_previous (WfAgent *agent, const WfReceivedPacket *received);
void wf_moved_config_changed (WfAgent *agent, guint n_routes);
GHashTable *wf_moved_new_services (void);
GHashTable *wf_moved_refresh (WfAgent *agent);
void wf_moved_tick (WfAgent *agent);
guint64 wf_moved_incarnation (GHashTable *services, guint64 endpoint_id);

/* wf-placement.c: placement and opening of new flows, and the callbacks of admission */
void wf_placement_set_tombstone (WfAgent *agent, WfFlow *flow, WbHandle handle, guint64 peer_id);
void wf_placement_start (WfAgent *agent, WfReceivedPacket *received);
void wf_placement_accept (WfAgent *agent, WfReceivedPacket *received);
void wf_placement_place_cb (gpointer context, WbHandle handle, guint64 endpoint_id);
void wf_placement_admit_cb (gpointer context, WbHandle handle);
void wf_placement_refuse_cb (gpointer context, WbHandle handle, guint retry_after_s);
void wf_placement_grant_cb (gpointer context, WbHandle handle, guint64 endpoint_id);

gboolean wf_placement_refuse_if_no_endpoint (WfAgent *agent, WbHandle handle);
guint64 wf_placement_find_peer (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone);
gboolean wf_placement_is_evacuated (const WfAgent *agent);
void wf_placement_evacuate_queue (WfAgent *agent);
void wf_placement_retransmitted (WfAgent *agent,
                                 WfFlow *flow,
                                 WbHandle handle,
                                 const WfReceivedPacket *received);

/* wf-return.c: packets that the backend server sends back */
void wf_return_receive (WfAgent *agent, const WwPacket *packet, const guint8 *data, gsize length);

/* wf-request.c: requests and responses on held flows */
void wf_request_deliver_queue (WfAgent *agent, WfFlow *flow, WbHandle handle);
void wf_request_from_client (WfAgent *agent,
                             WfFlow *flow,
                             WbHandle handle,
                             const WfReceivedPacket *received);
gboolean
wf_request_confirm_connection (WfAgent *agent, WfFlow *flow, const WfReceivedPacket *received);
void wf_request_from_server (WfAgent *agent,
                             WfFlow *flow,
                             WbHandle handle,
                             const WwPacket *packet,
                             const guint8 *data,
                             gsize length);
void wf_request_deliver_admitted (WfAgent *agent, WbHandle handle);
void wf_request_handle_due (WfAgent *agent, WfFlow *flow, WbHandle handle);
gint64 wf_request_quiet_us (const WfAgent *agent);
void wf_request_schedule (WfAgent *agent, WfFlow *flow, WbHandle handle);

/* wf-answer.c: the end of the server's responses */
void wf_answer_begin (const WfAgent *agent, WfFlow *flow);
void wf_answer_track (WfFlow *flow, const WwPacket *packet);
gboolean wf_answer_has_ended (const WfAgent *agent, const WfFlow *flow);

/* wf-refuse.c: refusals and resets */
void wf_refuse_initial (WfAgent *agent, WbHandle handle, guint retry_after_s);
void wf_refuse_request (WfAgent *agent, WbHandle handle, guint retry_after_s);
gboolean wf_refuse_reset_initial (WfAgent *agent, const WwPacket *initial);
void wf_refuse_reset_lost (WfAgent *agent, const WwFlowKey *key, guint32 sequence);
void wf_refuse_datagram (WfAgent *agent, const WfFlow *flow, guint retry_after_s);
gboolean wf_refuse_from_client (WfAgent *agent,
                                WfFlow *flow,
                                WbHandle handle,
                                const WfReceivedPacket *received);
gboolean wf_refuse_completes_handshake (const WfAgent *agent, const WfReceivedPacket *received);
void
wf_refuse_resume (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfReceivedPacket *received);
void wf_refuse_handle_due (WfAgent *agent, WfFlow *flow, WbHandle handle);

/* wf-probe.c: recovery of flows after a restart, and probes of idle flows */
gboolean wf_probe_in_recovery_period (const WfAgent *agent);
gboolean wf_probe_start (WfAgent *agent, const WfReceivedPacket *received);
void wf_probe_from_server (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *packet);
gboolean wf_probe_recover_from_outgoing (WfAgent *agent,
                                         const WwFlowKey *key,
                                         const WwPacket *packet,
                                         WbHandle *handle);
void
wf_probe_returned (WfAgent *agent, WfFlow *flow, WbHandle handle, const guint8 *data, gsize length);
void wf_probe_handle_due (WfAgent *agent, WfFlow *flow, WbHandle handle);
void wf_probe_idle (WfAgent *agent, WfFlow *flow, WbHandle handle);
gint64 wf_probe_idle_due_us (const WfAgent *agent, const WfFlow *flow);
void wf_probe_reset_server (WfAgent *agent, const WfFlow *flow);

/* wf-registration.c: registrations that this endpoint sends; lookup, provisional entries and expiry
 * of the registry */
void wf_registration_send (WfAgent *agent, WfFlow *flow);
void wf_registration_set_entry_zone (WfAgent *agent, WfFlow *flow, guint32 entry_zone);
void wf_registration_withdraw (WfAgent *agent, const WfFlow *flow);
void wf_registration_flush (WfAgent *agent);
void wf_registration_refresh (WfAgent *agent);
void wf_registration_endpoints_changed (WfAgent *agent,
                                        const GArray *previous,
                                        GHashTable *previous_others);
void wf_registration_repeat_moved (WfAgent *agent);
void wf_registration_add_provisional (WfAgent *agent, const WwFlowKey *key, guint64 holder_id);
WfRegistryEntry *wf_registration_find (WfAgent *agent, const WwFlowKey *key, WbHandle *handle);
gboolean wf_registration_is_new_placement (const WfAgent *agent, const WfRegistryEntry *entry);
void wf_registration_expire (WfAgent *agent);

/* wf-registry.c: registrations and releases that this endpoint receives */
void wf_registry_receive (WfAgent *agent, const ww_peer *message);
void wf_registry_receive_release (WfAgent *agent, const ww_peer *message);
void wf_registry_drop_local_connection (WfAgent *agent, WfFlow *flow, WbHandle handle);
gboolean wf_registry_flow_is_unconfirmed (const WfFlow *flow);
void wf_registry_release_other_holder (WfAgent *agent, const WwFlowKey *key);
void
wf_registry_release_to_holder (WfAgent *agent, WfFlow *flow, WbHandle handle, guint64 holder_id);

/* wf-locate.c: search for the holders of unknown flows, as home and as an agent that is asked */
void wf_locate_init (WfAgent *agent);
void wf_locate_clear (WfAgent *agent);
gboolean wf_locate_packet (WfAgent *agent, const WfReceivedPacket *received);
gboolean wf_locate_has_come_back (const WfReceivedPacket *received);
gboolean wf_locate_ignores_entry (const WfAgent *agent,
                                  const WfReceivedPacket *received,
                                  const WfRegistryEntry *entry);
gboolean wf_locate_queue (WfAgent *agent, WfFlow *flow);
void wf_locate_receive (WfAgent *agent, const ww_peer *message);
void wf_locate_note_dropped (WfAgent *agent, const WwFlowKey *key);

/* wf-udp.c: flows of UDP */
void wf_udp_route_unknown (WfAgent *agent, WfReceivedPacket *received);
void wf_udp_from_client (WfAgent *agent,
                         WfFlow *flow,
                         WbHandle handle,
                         const WfReceivedPacket *received);
void wf_udp_refuse_queue (WfAgent *agent, WfFlow *flow, guint retry_after_s);
void wf_udp_from_server (
    WfAgent *agent, WfFlow *flow, WbHandle handle, const guint8 *data, gsize length);

/* Returns the distance from @b to @a of two TCP sequence numbers, which wrap around. */
static inline gint32
wf_seq_diff (guint32 a, guint32 b)
{
  return (gint32) (a - b);
}
