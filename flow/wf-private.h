#pragma once

#include "wf-options.h"
#include "wf-table.h"
#include "ww-flow-log.h"
#include "ww-request-id.h"

/* Life of a tombstone: longer than the first three retransmissions of an initial packet. */
#define WF_TOMBSTONE_US (10 * WB_US_PER_S)

/* An endpoint that joined or resumed this recently lets the next rank place new flows. */
#define WF_JOIN_DEFERRAL_US (5 * WB_US_PER_S)

/* Age of the view from which an unknown UDP flow is placed without asking the other endpoints. */
#define WF_VIEW_STABLE_US (10 * WB_US_PER_S)

/* After a pause, initial packets placed here may be old datagrams from the socket buffer. */
#define WF_RESUME_SETTLE_US (200 * WB_US_PER_MS)

/* Time after start in which a packet of an unknown flow may belong to a connection that the
 * backend server had before. */
#define WF_RECOVERY_US (3600 * WB_US_PER_S)

/* Bits of ww_flow_entry.flags. */
#define WF_ENTRY_DELIVERED 0x1 /* payload was delivered */
#define WF_ENTRY_WAITING 0x2   /* the initial packet is queued; the server has seen nothing */

typedef enum
{
  WF_COUNTER_RECEIVED,
  WF_COUNTER_MALFORMED,
  WF_COUNTER_DELIVERED,
  WF_COUNTER_TO_CLIENT,
  WF_COUNTER_R1_DOUBLE_DELIVERY,
  WF_COUNTER_R1_RELEASE_SENT,
  WF_COUNTER_R1_RELEASED,
  WF_COUNTER_R1_RELEASE_IGNORED,
  WF_COUNTER_R2_WRONG_SERVICE,
  WF_COUNTER_R2_OUTGOING,
  WF_COUNTER_R3_REFUSED_INITIAL,
  WF_COUNTER_R3_REFUSED_REQUEST,
  WF_COUNTER_R3_PREVENTED,
  WF_COUNTER_R3_RESUMED,
  WF_COUNTER_R4_UNKNOWN_SENDER,
  WF_COUNTER_R4_MALFORMED_MESSAGE,
  WF_COUNTER_R5_CONFIG_OLDER,
  WF_COUNTER_FLOWS_PLACED,
  WF_COUNTER_FLOWS_OPENED,
  WF_COUNTER_FLOWS_CLOSED,
  WF_COUNTER_FORWARDED_HOME,
  WF_COUNTER_FORWARDED_CHAIN,
  WF_COUNTER_FORWARDED_HOLDER,
  WF_COUNTER_DEFERRED,
  WF_COUNTER_GRANTED,
  WF_COUNTER_DRAIN_HANDOVER,
  WF_COUNTER_RETURNED,
  WF_COUNTER_CHAIN_END,
  WF_COUNTER_HOP_LIMIT,
  WF_COUNTER_SYN_PAYLOAD,
  WF_COUNTER_NOT_READY,
  WF_COUNTER_STALE_INITIAL,
  WF_COUNTER_OTHER_HANDSHAKE,
  WF_COUNTER_QUEUE_EXPIRED,
  WF_COUNTER_OUTGOING_NOT_HELD,
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
  WF_N_COUNTERS,
} WfCounter;

typedef enum
{
  WF_FLOW_PLACING,   /* the home chooses an endpoint */
  WF_FLOW_WAITING,   /* the initial packet waits for a slot */
  WF_FLOW_HELD,      /* the backend server has the initial packet */
  WF_FLOW_REFUSING,  /* the agent answers the client itself */
  WF_FLOW_PROBING,   /* the backend server is asked whether it has the flow */
  WF_FLOW_NOT_HELD,  /* the backend server does not have the flow */
  WF_FLOW_TOMBSTONE, /* another endpoint took the flow over */
} WfFlowState;

enum
{
  WF_FLAG_ADMISSION = 1 << 0,       /* admission knows the flow */
  WF_FLAG_REGISTERED = 1 << 1,      /* the home was told */
  WF_FLAG_ANSWERED = 1 << 2,        /* the server has sent something */
  WF_FLAG_DELIVERED = 1 << 3,       /* payload was delivered */
  WF_FLAG_REQUEST = 1 << 4,         /* a request is in progress */
  WF_FLAG_REQUEST_WAITING = 1 << 5, /* a later request is queued */
  WF_FLAG_SERVER_SENT = 1 << 6,     /* data came after the last payload of the request */
  WF_FLAG_UNCERTAIN = 1 << 7,       /* recovered; a request may have been delivered in part */
  WF_FLAG_CLIENT_FIN = 1 << 8,
  WF_FLAG_SERVER_FIN = 1 << 9,
  WF_FLAG_CLOSED = 1 << 10,
  WF_FLAG_TEXT_SENT = 1 << 11,     /* the refusal was sent */
  WF_FLAG_OWN_HANDSHAKE = 1 << 12, /* the agent completed the handshake */
  WF_FLAG_DEFERRED = 1 << 14,      /* tombstone: the peer was asked to place the flow */
  WF_FLAG_CONFIRMED = 1 << 15,     /* the client has acknowledged this server's initial packet */
  WF_FLAG_SAID_HELD = 1 << 13,     /* the home said that the flow is held here */
  /* the handshake is complete as the agent has seen it */
  WF_FLAGS_OPENED = WF_FLAG_CONFIRMED | WF_FLAG_ANSWERED,
};

/* A row of the flow table. */
typedef struct
{
  WwFlowKey key;
  guint64 home_id; /* home told last; while probing, the home named by the packet */
  guint64 peer_id; /* tombstone: the endpoint that took over; held: the one that granted */
  gint64 activity_us;
  gint64 data_us;   /* last data of the server; before any, delivery of the initial packet */
  GPtrArray *queue; /* of GBytes: packets kept, or NULL */
  guint32 client_next;
  guint32 client_ack;
  guint32 server_next;
  guint32 server_ack;
  guint16 flags;
  guint16 tenant;
  guint16 retry_after_s;
  guint8 state;
  guint8 class;
  guint8 hops;
  guint8 probes;
  guint8 server_probes;
  guint8 tries;
} WfFlow;

/* A row of the registry. */
typedef struct
{
  WwFlowKey key;
  guint64 holder_id;
  gint64 expires_us;
  guint32 flags;        /* WF_ENTRY_* */
  gboolean provisional; /* placed there by this home; the holder has not registered yet */
} WfEntry;

/* Messages to one endpoint that are collected before they are sent. */
typedef struct
{
  guint64 endpoint_id;
  ww_peer_kind kind;
  guint count;
  ww_flow_entry flows[WW_MAX_REGISTER_FLOWS];
} WfBatch;

/* A packet from the network under decision. */
typedef struct
{
  ww_encap header;
  const guint8 *data;
  gsize length;
  WwPacket packet;
  WwPacketStatus status;
  WwFlowKey key;
} WfInput;

struct WfAgent
{
  guint64 self_id;
  guint64 service_id;
  WfCallbacks callbacks;
  const WwPacketFormat *format;
  WfOptions options;
  GRand *random;
  WbCounters *counters;
  WaAdmission *admission;
  WcConfig *config;
  guint64 heard_version; /* newest configuration that a packet has named */
  const WcService *service;
  WfTable *flows;
  WfTable *registry;
  GArray *endpoints; /* of WfEndpoint */
  GArray *ids;       /* of guint64, in the same order */
  GArray *lost;      /* of guint64: endpoints that left the view */
  GArray *order;     /* of guint16, scratch */
  GArray *ranked;    /* of WaEndpoint, scratch */
  GPtrArray *batches;
  GByteArray *datagram;
  gint64 now_us;
  gint64 started_us;
  gint64 joined_us;
  gint64 resumed_us;
  gint64 view_us;
  gint64 flush_us;
  gint64 refresh_us;
  guint32 refresh_cursor;
  gboolean view_known; /* wf_agent_set_endpoints() was called */
  gboolean draining;
  WfServerState server;
  gboolean server_known; /* every flow of the server has a row */
  guint held;
  guint waiting;
  gsize queued_bytes;
};

/* wf-counter.c */
extern const WbCounterDef wf_counter_definitions[WF_N_COUNTERS];
void wf_count (WfAgent *agent, WfCounter counter);

/* wf-agent.c */
gboolean wf_enabled (const WfAgent *agent, WfDisabled mechanism);
WfFlow *wf_flow_add (WfAgent *agent, const WwFlowKey *key, WfFlowState state, WbHandle *handle);
void wf_flow_set_state (WfAgent *agent, WfFlow *flow, WfFlowState state);
void wf_flow_remove (WfAgent *agent, WbHandle handle);
gboolean wf_flow_queue (WfAgent *agent, WfFlow *flow, const guint8 *data, gsize length);
gboolean
wf_flow_read_queued (const WfAgent *agent, const WfFlow *flow, guint number, WwPacket *packet);
void wf_flow_clear_queue (WfAgent *agent, WfFlow *flow);
void wf_flow_classify (WfAgent *agent, WfFlow *flow);
void wf_deliver (WfAgent *agent, const guint8 *data, gsize length);
void wf_to_client (WfAgent *agent, const guint8 *data, gsize length);
gint64 wf_idle_timeout (const WfAgent *agent);

/* wf-view.c */
guint wf_view_rank (WfAgent *agent, const WwFlowKey *key, guint16 **order, guint *own);
guint64 wf_view_home (WfAgent *agent, const WwFlowKey *key);
gboolean wf_view_knows (const WfAgent *agent, guint64 endpoint_id);
const WaEndpoint *wf_view_ranked (WfAgent *agent, const WwFlowKey *key, guint *count);
gboolean wf_view_lost (const WfAgent *agent, guint64 endpoint_id);
void wf_view_update_lost (WfAgent *agent, const GArray *previous);
guint64 wf_view_next (WfAgent *agent, const WwFlowKey *key);

/* wf-route.c */
void wf_route_receive (WfAgent *agent, const guint8 *data, gsize length);
gboolean wf_route_to_home (WfAgent *agent, const WfInput *input);
void wf_route_unknown (WfAgent *agent, WfInput *input);
void
wf_route_forward (WfAgent *agent, const WfInput *input, ww_encap_kind kind, guint64 endpoint_id);
void wf_route_send_queue (
    WfAgent *agent, WfFlow *flow, ww_encap_kind kind, guint64 endpoint_id, guint64 home_id);
void wf_route_not_here (WfAgent *agent, WfInput *input);
gboolean wf_route_is_outdated (const WfAgent *agent);
gboolean wf_route_in_service (const WfAgent *agent, const WwFlowKey *key);
void wf_route_chain (WfAgent *agent, WfInput *input, gboolean probed);

/* wf-hold.c */
void wf_hold_tombstone (WfAgent *agent, WfFlow *flow, WbHandle handle, guint64 peer_id);
void wf_hold_place (WfAgent *agent, WfInput *input);
void wf_hold_take (WfAgent *agent, WfInput *input);
void wf_hold_place_cb (gpointer context, WbHandle handle, guint64 endpoint_id);
void wf_hold_admit_cb (gpointer context, WbHandle handle);
void wf_hold_refuse_cb (gpointer context, WbHandle handle, guint retry_after_s);
void wf_hold_grant_cb (gpointer context, WbHandle handle, guint64 endpoint_id);

gboolean wf_hold_refuse_if_closed (WfAgent *agent, WbHandle handle);
guint64 wf_hold_active_endpoint (WfAgent *agent, const WwFlowKey *key);

/* wf-return.c */
void wf_return_received (WfAgent *agent, const WwPacket *packet, const guint8 *data, gsize length);

/* wf-turn.c */
void wf_turn_opened (WfAgent *agent, WfFlow *flow, WbHandle handle);
void wf_turn_from_client (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfInput *input);
gboolean wf_turn_belongs (WfFlow *flow, const WfInput *input);
void wf_turn_from_server (WfAgent *agent,
                          WfFlow *flow,
                          WbHandle handle,
                          const WwPacket *packet,
                          const guint8 *data,
                          gsize length);
void wf_turn_release_queue (WfAgent *agent, WbHandle handle);
void wf_turn_due (WfAgent *agent, WfFlow *flow, WbHandle handle);
gint64 wf_turn_quiet (const WfAgent *agent);
void wf_turn_schedule (WfAgent *agent, WfFlow *flow, WbHandle handle);

/* wf-refuse.c */
void wf_refuse_initial (WfAgent *agent, WbHandle handle, guint retry_after_s);
void wf_refuse_request (WfAgent *agent, WbHandle handle, guint retry_after_s);
gboolean wf_refuse_with_reset (WfAgent *agent, const WwPacket *initial);
void wf_refuse_lost (WfAgent *agent, const WwFlowKey *key, guint32 sequence);
void wf_refuse_datagram (WfAgent *agent, const WfFlow *flow, guint retry_after_s);
gboolean
wf_refuse_from_client (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfInput *input);
gboolean wf_refuse_is_handshake (const WfAgent *agent, const WfInput *input);
void wf_refuse_resume (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfInput *input);
void wf_refuse_due (WfAgent *agent, WfFlow *flow, WbHandle handle);

/* wf-probe.c */
gboolean wf_probe_recovering (const WfAgent *agent);
gboolean wf_probe_start (WfAgent *agent, const WfInput *input);
void wf_probe_from_server (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *packet);
gboolean
wf_probe_restore (WfAgent *agent, const WwFlowKey *key, const WwPacket *packet, WbHandle *handle);
void
wf_probe_returned (WfAgent *agent, WfFlow *flow, WbHandle handle, const guint8 *data, gsize length);
void wf_probe_due (WfAgent *agent, WfFlow *flow, WbHandle handle);
void wf_probe_idle (WfAgent *agent, WfFlow *flow, WbHandle handle);
gint64 wf_probe_idle_due (const WfAgent *agent, const WfFlow *flow);
void wf_probe_reset_server (WfAgent *agent, const WfFlow *flow);

/* wf-register.c */
void wf_register_flow (WfAgent *agent, WfFlow *flow);
void wf_register_gone (WfAgent *agent, const WfFlow *flow);
void wf_register_flush (WfAgent *agent);
void wf_register_refresh (WfAgent *agent);
void wf_register_view_changed (WfAgent *agent, const GArray *previous);
void wf_register_placed (WfAgent *agent, const WwFlowKey *key, guint64 holder_id);
WfEntry *wf_register_find (WfAgent *agent, const WwFlowKey *key, WbHandle *handle);
void wf_register_due (WfAgent *agent);

/* wf-registry.c */
void wf_registry_receive (WfAgent *agent, const ww_peer *message);
void wf_registry_released (WfAgent *agent, const ww_peer *message);
void wf_registry_abandon (WfAgent *agent, WfFlow *flow, WbHandle handle);
gboolean wf_registry_undecided (const WfFlow *flow);
void wf_registry_confirmed (WfAgent *agent, const WwFlowKey *key);
void wf_registry_yield (WfAgent *agent, WfFlow *flow, WbHandle handle, guint64 holder_id);

/* wf-udp.c */
void wf_udp_unknown (WfAgent *agent, WfInput *input);
void wf_udp_from_client (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfInput *input);
void wf_udp_refuse_queue (WfAgent *agent, WfFlow *flow, guint retry_after_s);
void wf_udp_from_server (
    WfAgent *agent, WfFlow *flow, WbHandle handle, const guint8 *data, gsize length);

static inline gint32
wf_seq_diff (guint32 a, guint32 b)
{
  return (gint32) (a - b);
}
