#pragma once

#include "wm.h"

/** Interval at which every node probes one random member. */
#define WM_PROBE_PERIOD_US WB_US_PER_S
/** Interval at which each endpoint also probes the next endpoint of its service, in the order of
 * ids. */
#define WM_PEER_PROBE_PERIOD_US (500 * WB_US_PER_MS)
/* With the peer probe period and the suspicion timeout, these two bound the time from a failure to
 * the declaration of death to 500 + 150 + 200 + 2000 = 2,850 ms. */
#define WM_DIRECT_PROBE_TIMEOUT_US (150 * WB_US_PER_MS)
#define WM_INDIRECT_PROBE_TIMEOUT_US (200 * WB_US_PER_MS)
#define WM_SUSPICION_TIMEOUT_US (2 * WB_US_PER_S)
/** Members that are asked to ping a target on behalf of this node. */
#define WM_INDIRECT_RELAYS 3
/** Different members whose probes have to fail before a member is declared dead. */
#define WM_SUSPICION_REPORTERS 2

/** Members to which suspicions, departures, zone evidence and new configuration versions are pushed
 * at once. */
#define WM_PUSH_FANOUT 4
/** Fanout for joins, drains and refutations; a delay of these sends no flow to a wrong endpoint. */
#define WM_ROUTINE_PUSH_FANOUT 2
/** Updates that arrive within this time are pushed in one message. */
#define WM_PUSH_BATCH_DELAY_US (10 * WB_US_PER_MS)

/** A timer that fires this late means that the process was paused. */
#define WM_PAUSE_THRESHOLD_US WB_US_PER_S

/** Up to this number of members, gossip carries a digest of the whole member list. */
#define WM_SMALL_FLEET_MEMBERS 1024

/** For this time after its start a node reports no member that does not reply: most of a fleet that
 * starts at once are still starting. */
#define WM_START_PROBE_DELAY_US WB_US_PER_S

/** Interval of removing old tombstones from the table. */
#define WM_CLEANUP_INTERVAL_US (60 * WB_US_PER_S)
/** Time for which dead and departed members stay in the table, as tombstones. */
#define WM_TOMBSTONE_RETENTION_US (3600 * WB_US_PER_S)
#define WM_MAX_MEMBERS WW_MAX_FLEET

/**
 * enum WmSendPriority - order in which messages may use the traffic budget, the most important
 * first
 * @WM_PRIORITY_ACK: acks; a missing one counts as a failure of this node
 * @WM_PRIORITY_PROBE: direct pings
 * @WM_PRIORITY_INDIRECT_PROBE: pings through relays, which multiply when many members fail
 * @WM_PRIORITY_PUSH: gossip pushed at once
 * @WM_PRIORITY_JOIN: replies to joins; the first priority whose messages are queued
 * @WM_PRIORITY_CONFIG: announcements and transfers of configuration versions
 * @WM_PRIORITY_TRANSFER: joins, member lists and parts of configurations
 * @WM_PRIORITY_BACKGROUND: piggybacked items and pushes that are not urgent
 */
typedef enum
{
  WM_PRIORITY_ACK,
  WM_PRIORITY_PROBE,
  WM_PRIORITY_INDIRECT_PROBE,
  WM_PRIORITY_PUSH,
  WM_PRIORITY_JOIN,
  WM_PRIORITY_CONFIG,
  WM_PRIORITY_TRANSFER,
  WM_PRIORITY_BACKGROUND,
  WM_N_PRIORITIES,
} WmSendPriority;

enum
{
  WM_COUNTER_SENT_BYTES,
  WM_COUNTER_SENT_MESSAGES,
  WM_COUNTER_RECEIVED_MESSAGES,
  WM_COUNTER_OVER_BUDGET,
  WM_COUNTER_UNKNOWN_SENDER,
  WM_COUNTER_MALFORMED,
  WM_COUNTER_PROBES,
  WM_COUNTER_PROBES_FAILED,
  WM_COUNTER_SUSPECTED,
  WM_COUNTER_DECLARED_DEAD,
  WM_COUNTER_REFUTED,
  WM_COUNTER_PAUSES,
  WM_COUNTER_ZONE_EVIDENCE,
  WM_COUNTER_CONFIG_OLDER,
  WM_COUNTER_CONFIG_FETCHED,
  WM_COUNTER_CONFIG_BAD_HASH,
  WM_COUNTER_CONFIG_DIGEST_DIFFERS,
  WM_COUNTER_CONFIG_UNAVAILABLE,
  WM_COUNTER_CONFIG_RESTARTED,
  WM_COUNTER_CONFIG_OVERDUE,
  WM_COUNTER_EVACUATION_PUSHED,
  WM_COUNTER_EVACUATION_LEARNED,
  WM_COUNTER_EVACUATION_OLDER,
  WM_N_COUNTERS,
};

/**
 * struct WmMember - one row of the member table
 * @since_us: when the member entered its state
 */
typedef struct
{
  ww_member info;
  gint64 since_us;
} WmMember;

/**
 * struct WmSuspicion - the members that found another member unreachable
 * @reporters: distinct members whose own probes failed; 0 for an unused element
 * @start_us: start of the suspicion timeout
 */
typedef struct
{
  guint64 reporters[WM_SUSPICION_REPORTERS];
  gint64 start_us;
} WmSuspicion;

typedef enum
{
  WM_PROBE_DIRECT,
  WM_PROBE_INDIRECT,
  WM_PROBE_RELAY, /* on behalf of another member (ping-req) */
  WM_PROBE_SWEEP, /* of another member of an availability zone in which a probe failed */
} WmProbeKind;

/** struct WmAddress - IPv4 address and control port, in host byte order */
typedef struct
{
  guint32 address;
  guint16 port;
} WmAddress;

/**
 * struct WmProbe - an outstanding ping
 * @deadline_us: when the probe counts as failed, or, for WM_PROBE_DIRECT, becomes WM_PROBE_INDIRECT
 * @origin_xid, @origin_address, @origin_port: for WM_PROBE_RELAY: id and sender of the ping-req
 * @relays: for WM_PROBE_INDIRECT: members that were sent a ping-req
 */
typedef struct
{
  WmProbeKind kind;
  guint32 xid;
  guint64 target_id;
  gint64 deadline_us;
  guint32 origin_xid;
  guint32 origin_address;
  guint16 origin_port;
  guint n_relays;
  WmAddress relays[WM_INDIRECT_RELAYS];
} WmProbe;

/** struct WmFailedRelay - a ping on behalf of another member that got no ack */
typedef struct
{
  guint64 target_id;
  gint64 failed_us;
} WmFailedRelay;

#define WM_FAILED_RELAYS 16

/** struct WmQueuedDatagram - a datagram that waits for the traffic budget */
typedef struct
{
  GByteArray *bytes;
  guint32 address;
  guint16 port;
  gint64 expires_us;
} WmQueuedDatagram;

/**
 * struct WmUpdate - a gossip item that is still to be piggybacked @remaining_sends times
 * @key: id of the member; for WW_GOSSIP_ZONE, id of the reporter
 * @zone: for WW_GOSSIP_ZONE: the zone that the reporter finds unreachable
 */
typedef struct
{
  guint64 key;
  guint32 zone;
  ww_gossip_kind kind;
  guint remaining_sends;
} WmUpdate;

/** Reporters stored for each availability zone, and how many of them it takes to regard the zone as
 * lost. */
#define WM_ZONE_REPORTERS 8
#define WM_ZONE_MIN_REPORTERS 5
/** Members of a zone whose probes have to fail before this node reports the zone as unreachable. */
#define WM_ZONE_MIN_FAILED 5

/**
 * struct WmZoneReporter - a member that reported an availability zone as unreachable
 * @zone: the zone of the reporter
 * @sequence: number of its last report
 */
typedef struct
{
  guint64 id;
  guint32 zone;
  guint32 sequence;
  gint64 reported_us;
} WmZoneReporter;

/**
 * struct WmZone - reachability of an availability zone
 * @failed_ids: distinct members of the zone whose probes failed since @reachable_us
 * @reachable_us: when a member of the zone was last heard from
 * @sequence: number of the last report of this node
 */
typedef struct
{
  guint32 zone;
  guint n_failed;
  guint64 failed_ids[WM_ZONE_MIN_FAILED];
  gint64 reachable_us;
  gint64 next_sweep_us;
  gint64 next_report_us;
  guint32 sequence;
  guint n_reporters;
  WmZoneReporter reporters[WM_ZONE_REPORTERS];
} WmZone;

#define WM_MAX_BUCKET_REQUESTS 4
/** Members whose configuration version a starting node learns before it is ready. */
#define WM_READY_MIN_MEMBERS 3

/**
 * struct WmMembersRequest - an outstanding join or request for one bucket of the member list
 * @buckets: number of buckets that the list is divided into; 0 for a join
 * @received_parts: bit set of the datagrams of the reply that have arrived
 */
typedef struct
{
  guint32 xid;
  guint bucket;
  guint buckets;
  guint received_parts;
  gint64 deadline_us;
} WmMembersRequest;

/**
 * struct WmJoin - state of bootstrap, and of anti-entropy comparison afterwards
 * @joined: a member has replied to a join
 * @complete: all buckets of the member list have arrived
 * @tries: joins sent to contacts in turn, from the randomly chosen index @first_contact on
 * @n_contacts: number of contacts when @first_contact was chosen
 * @list_source: contact that replied to the join and has not recently started itself; address 0
 *   when there is none or a request timed out
 * @buckets: number of buckets that the list is divided into
 * @pending_buckets: of guint: buckets not yet requested
 * @requests: of WmMembersRequest
 * @version_sources: members that have a configuration in effect
 * @next_contacts_us: when contacts that are not members are sent a join again
 * @contact_rounds: rounds of these joins since the start, counted up to a limit
 * @anti_entropy_rounds: comparisons since the list was complete
 */
typedef struct
{
  gboolean joined;
  gboolean complete;
  gboolean ready;
  guint tries;
  guint first_contact;
  guint n_contacts;
  WmAddress list_source;
  guint buckets;
  GArray *pending_buckets;
  GArray *requests;
  guint64 version_sources[WM_READY_MIN_MEMBERS];
  guint n_version_sources;
  gint64 next_join_us;
  gint64 next_contacts_us;
  guint contact_rounds;
  gint64 next_anti_entropy_us;
  gint64 last_anti_entropy_us;
  guint anti_entropy_rounds;
  gint64 next_reconnect_us;
} WmJoin;

#define WM_HASH_BYTES 32
#define WM_HEX_LENGTH 64
#define WM_HEX_BYTES (WM_HEX_LENGTH + 1)
/** Upper bound on the size of an object of the object API. */
#define WM_OBJECT_MAX_BYTES (1 << 20)
/** Root objects that are kept as bases for differences. */
#define WM_KEPT_ROOTS 4
/** Compressed root objects that are kept to be sent. Each takes a few KB, and those for earlier
 * versions serve members that are several versions behind. */
#define WM_KEPT_STEPS 16
#define WM_MAX_TRANSFERS 32
#define WM_MAX_SOURCES 8

/**
 * struct WmRoot - root object of a configuration
 * @hash: wb_hash64() of @bytes
 */
typedef struct
{
  guint64 version;
  GBytes *bytes;
  guint64 hash;
} WmRoot;

/**
 * struct WmStep - a root object, compressed for members that have a certain earlier one
 * @base_version, @base_hash: of that earlier root object; 0 when it was compressed without one
 * @hash: wb_hash64() of @bytes
 */
typedef struct
{
  guint64 version;
  guint64 base_version;
  guint64 base_hash;
  guint64 hash;
  GBytes *bytes;
} WmStep;

/**
 * struct WmRootTransfer - a root object that is being fetched
 * @version: 0 until the first chunk has arrived
 * @base_version: version of the root object that the difference is to, or 0
 * @hash: of the compressed object
 * @whole: the object is requested without a base, because the base did not fit
 * @source: member that the last request went to
 * @tries: requests since the last chunk
 * @refusals: replies since the last chunk of members that do not have the object
 * @start_us: when the first request is sent; WB_NEVER once it has been
 */
typedef struct
{
  gboolean active;
  guint32 xid;
  guint64 version;
  guint64 base_version;
  guint64 hash;
  gsize total_bytes;
  GByteArray *buffer;
  gboolean whole;
  WmAddress source;
  guint tries;
  guint refusals;
  gint64 start_us;
  gint64 deadline_us;
} WmRootTransfer;

/**
 * struct WmTransfer - a part that is being fetched
 * @hex: its hash
 * @total_bytes: size of the part; 0 until the first chunk has arrived
 */
typedef struct
{
  gboolean active;
  gchar hex[WM_HEX_BYTES];
  guint32 xid;
  gsize total_bytes;
  GByteArray *buffer;
  guint tries;
  gint64 deadline_us;
} WmTransfer;

/**
 * struct WmConfigFetch - the configuration that is being fetched
 * @version: newest one that was announced, newer than those held; 0 when there is none
 * @announced_us: when the first version was announced that is newer than those held
 * @overdue_us: when config_overdue is called next
 * @root: root object that has arrived and lists parts that are missing
 * @queued_parts: of gchar: hashes of missing parts that no transfer fetches yet
 * @bulk: more parts were missing than there are transfers
 * @sources: members that announced a newer version, the latest first
 * @blocked_until_us: no fetch starts before, after a root object that did not parse
 */
typedef struct
{
  guint64 version;
  gint64 announced_us;
  gint64 overdue_us;
  WmRootTransfer root_transfer;
  WmRoot root;
  GPtrArray *queued_parts;
  gboolean bulk;
  WmTransfer transfers[WM_MAX_TRANSFERS];
  WmAddress sources[WM_MAX_SOURCES];
  guint n_sources;
  gint64 blocked_until_us;
} WmConfigFetch;

/**
 * struct WmConfigStore - configurations that this node can serve to other members
 * @version, @digest: of the configuration in effect
 * @roots: the newest first
 * @steps: the oldest is replaced by the next one
 * @parts: hash (hexadecimal string) to GBytes
 * @root_receiver: member that was last sent a chunk of a root object, at @root_served_us
 * @spread_times: microseconds from the announcement of a version until it was held
 */
typedef struct
{
  guint64 version;
  guint64 digest;
  WmRoot roots[WM_KEPT_ROOTS];
  WmStep steps[WM_KEPT_STEPS];
  guint next_step;
  GHashTable *parts;
  WmAddress root_receiver;
  gint64 root_served_us;
  WmConfigFetch fetch;
  WbHistogram *spread_times;
} WmConfigStore;

/**
 * struct WmUsableSnapshot - inputs of the set of usable endpoints at the last call of
 * members_changed
 * @lost_zones: bit set by row of the table of availability zones
 * @recheck_us: when dead endpoints of the last mass failure stop being usable
 */
typedef struct
{
  guint64 lost_zones;
  guint n_dead;
  gint64 recheck_us;
} WmUsableSnapshot;

/**
 * struct WmEvacuation - the evacuated availability zones
 * @view: latest view; its zones are @zones
 * @changed_us: when the set of zones last changed, or the start of the node
 * @next_us: when the view is next sent to a member, or asked for; WB_NEVER when not @enabled
 * @asked: a member that had replied to a join has been asked for its view
 */
typedef struct
{
  gboolean enabled;
  ww_evacuation view;
  guint32 zones[WW_MAX_EVACUATED_ZONES];
  gint64 changed_us;
  gint64 next_us;
  gboolean asked;
} WmEvacuation;

struct WmNode
{
  WmSettings settings;
  WmCallbacks callbacks;
  GRand *random;
  WbCounters *counters;
  gint64 now_us; /* time of the current call */
  gint64 start_us;
  guint required_reporters;
  gboolean leaving;
  guint32 next_xid;

  /* The first row is always the one of this node. */
  GArray *rows;               /* of WmMember */
  GHashTable *rows_by_id;     /* id to row number */
  GHashTable *address_counts; /* IPv4 address to number of rows */
  GHashTable *suspicions;     /* id to WmSuspicion */
  guint state_counts[4];
  guint32 list_digest; /* of the live members */
  gint64 next_suspicion_scan_us;
  gint64 next_cleanup_us;
  gboolean change_pending; /* members_changed has to be called */
  gboolean is_watcher;
  gboolean watcher_stale;

  GArray *peers; /* ids of the other endpoints of the same service, or, with zone_probes, of the
                    other balancers of the zone, in ascending order */
  gboolean zone_probes;
  gboolean peers_stale;

  GArray *probes; /* of WmProbe */
  gint64 next_probe_us;
  gint64 next_peer_probe_us;
  gint64 last_peers_probe_us;
  WmFailedRelay failed_relays[WM_FAILED_RELAYS];
  guint next_failed_relay;
  gint64 last_self_push_us;
  gint64 next_reconnect_us;

  GQueue updates;           /* of WmUpdate */
  GHashTable *update_index; /* id, or for zones reporter id ^ zone, to link in updates */
  GArray *push_ids;         /* of guint64: ids of members to push at next_push_us */
  gint64 next_push_us;

  gint64 tokens;      /* millionths of a byte */
  gint64 credit_owed; /* startup credit not repaid yet, millionths of a byte */
  gint64 tokens_updated_us;
  GQueue send_queues[WM_N_PRIORITIES]; /* of WmQueuedDatagram */

  GArray *zones; /* of WmZone */
  WmUsableSnapshot usable_snapshot;
  GArray *contacts; /* of WmAddress */
  WmJoin join;
  WmConfigStore config;
  WmEvacuation evacuation;
  gint64 next_us;
};

/* wm-node.c */
void wm_end_call (WmNode *node);

/* wm-send.c */
void wm_send_init (WmNode *node);
void wm_send_clear (WmNode *node);
gboolean wm_send (WmNode *node,
                  WmSendPriority priority,
                  const WmAddress *to,
                  const WwCall *call,
                  gpointer encoder,
                  gpointer body);
void wm_send_tick (WmNode *node);
gint64 wm_send_next_us (const WmNode *node);
gsize wm_send_piggyback_bytes (WmNode *node);
gsize wm_send_available_bytes (WmNode *node, WmSendPriority priority);
guint32 wm_next_xid (WmNode *node);

/* wm-table.c */
guint32 wm_member_fingerprint (const ww_member *info);
typedef gboolean (*WmFilter) (const WmNode *node, const WmMember *row, guint64 argument);
void wm_table_init (WmNode *node);
void wm_table_clear (WmNode *node);
WmMember *wm_self (const WmNode *node);
WmMember *wm_find (const WmNode *node, guint64 id);
WmMember *wm_table_add (WmNode *node, const ww_member *info);
void wm_table_update (WmNode *node, WmMember *row, const ww_member *info);
void wm_table_set_state (WmNode *node, WmMember *row, ww_member_state state);
void wm_table_set_incarnation (WmNode *node, WmMember *row, guint64 incarnation);
void wm_table_remove_old (WmNode *node);
gboolean wm_is_live (const WmNode *node, const WmMember *row, guint64 exclude_id);
gboolean wm_is_dead (const WmNode *node, const WmMember *row, guint64 argument);
WmMember *wm_pick_random (WmNode *node, WmFilter filter, guint64 argument);
guint wm_pick_random_many (
    WmNode *node, WmFilter filter, guint64 argument, WmAddress *addresses, guint64 *ids, guint max);
WmAddress wm_control_address (const WmMember *row);
guint wm_live_count (const WmNode *node);
GArray *wm_peers (WmNode *node);
gboolean wm_has_peers (const WmNode *node);

/* wm-state.c */
void wm_apply_member (WmNode *node, const ww_member *info, gboolean disseminate);
void wm_apply_state (WmNode *node, const ww_gossip_state *item, const WmAddress *from);
gboolean wm_is_unreachable (const WmNode *node, const WmMember *row);
void wm_suspect (
    WmNode *node, WmMember *row, guint64 reporter, guint64 second_reporter, gint64 start_us);
void wm_raise_incarnation (WmNode *node, guint64 above, gboolean push);
void wm_relayed_ping_failed (WmNode *node, WmMember *row);
void wm_state_tick (WmNode *node);
void wm_usable_tick (WmNode *node);

/* wm-gossip.c */
void wm_gossip_init (WmNode *node);
void wm_gossip_clear (WmNode *node);
void wm_gossip_push_member (WmNode *node, guint64 id);
void wm_gossip_queue_member (WmNode *node, guint64 id);
void wm_gossip_request_confirmation (WmNode *node,
                                     const WmMember *row,
                                     const WmAddress *relays,
                                     guint count);
void wm_gossip_push_zone (WmNode *node, guint32 zone, guint64 reporter);
void wm_gossip_fill (WmNode *node,
                     ww_gossip *gossip,
                     ww_gossip_item *items,
                     guint64 receiver_id,
                     guint64 incarnation);
void wm_gossip_apply (WmNode *node, const ww_gossip *gossip, const WmAddress *from);
void wm_gossip_send_self (WmNode *node, const WmAddress *to);
void wm_gossip_announce_config (WmNode *node);
void wm_gossip_tick (WmNode *node);

/* wm-probe.c */
void wm_probe_member (WmNode *node, WmMember *row, WmProbeKind kind);
void wm_probe_peers (WmNode *node);
void wm_probe_tick (WmNode *node);
gint64 wm_probe_next_us (const WmNode *node);
void wm_probe_handle_ping (WmNode *node, const WmAddress *from, guint32 xid, const ww_ping *ping);
void wm_probe_handle_unknown_ping (WmNode *node,
                                   const WmAddress *from,
                                   guint32 xid,
                                   const ww_ping *ping);
void
wm_probe_handle_ping_req (WmNode *node, const WmAddress *from, guint32 xid, const ww_ping_req *req);
void wm_probe_handle_ack (WmNode *node, guint index, const WmAddress *from, const ww_ack *ack);
gint wm_probe_find (const WmNode *node, guint32 xid);

/* wm-zone.c */
void wm_zone_mark_reachable (WmNode *node, guint32 zone);
gboolean wm_zone_probe_failed (WmNode *node, const WmMember *row);
void wm_zone_apply_evidence (WmNode *node, const ww_zone_evidence *evidence);
gboolean wm_zone_get_evidence (const WmNode *node,
                               guint32 zone,
                               guint64 reporter,
                               ww_zone_evidence *evidence);
guint wm_zone_fill_gossip (WmNode *node, ww_gossip_item *items, guint max);
gboolean wm_zone_has_enough_evidence (const WmNode *node, guint32 zone);

/* wm-join.c */
void wm_join_init (WmNode *node);
void wm_join_clear (WmNode *node);
void wm_join_list_known (WmNode *node);
void wm_join_tick (WmNode *node);
gint64 wm_join_next_us (const WmNode *node);
void wm_join_version_received (WmNode *node, guint64 id, guint64 config_version);
void wm_join_compare_digest (WmNode *node, guint n_members, guint32 digest);
gboolean wm_join_recently_started (const WmNode *node);
gboolean wm_join_is_pending (const WmNode *node, guint32 xid);
void wm_join_handle_reply (WmNode *node,
                           guint32 xid,
                           const WmAddress *from,
                           const ww_members_reply *reply);

/* wm-serve.c */
guint32 wm_member_list_digest (const WmNode *node);
void wm_serve_join (WmNode *node, const WmAddress *from, guint32 xid, const ww_join *join);
void wm_serve_members (WmNode *node,
                       const WmAddress *from,
                       guint32 xid,
                       const ww_members_request *request);

/* wm-config.c */
void wm_config_init (WmNode *node);
void wm_config_clear (WmNode *node);
void
wm_config_serve (WmNode *node, const WmAddress *from, guint32 xid, const ww_config_fetch *request);
ww_config_id wm_config_id (const WmNode *node);
guint64 wm_config_newest_version (const WmNode *node);
const WmRoot *wm_config_root (const WmNode *node, guint64 version);
void wm_config_install (WmNode *node, guint64 version, GBytes *root, GPtrArray *hashes);
void wm_sha256 (GBytes *bytes, guint8 *hash);
void wm_hash_to_hex (const guint8 *hash, gchar *hex);
gboolean wm_hash_from_hex (const gchar *hex, guint8 *hash);

/* wm-fetch.c */
void wm_fetch_init (WmNode *node);
void wm_fetch_clear (WmNode *node);
void wm_fetch_version_announced (WmNode *node, const ww_config_id *id, const WmAddress *from);
void wm_fetch_version_held (WmNode *node);
void wm_fetch_root_arrived (WmNode *node, guint64 version, GBytes *root);
gboolean wm_fetch_choose_source (WmNode *node, guint tries, WmAddress *source);
void wm_fetch_remove_source (WmNode *node, const WmAddress *source);
void wm_fetch_tick (WmNode *node);
gint64 wm_fetch_next_us (const WmNode *node);

/* wm-parts.c */
void wm_parts_fetch (WmNode *node, GPtrArray *hashes);
void wm_parts_cancel (WmNode *node);
gboolean wm_parts_is_pending (const WmNode *node, guint32 xid);
void wm_parts_handle_chunk (WmNode *node, guint32 xid, const ww_config_chunk *chunk);
void wm_parts_tick (WmNode *node);
gint64 wm_parts_next_us (const WmNode *node);

/* wm-root.c */
void wm_root_start (WmNode *node);
void wm_root_cancel (WmNode *node);
gboolean wm_root_is_pending (const WmNode *node, guint32 xid);
void wm_root_handle_chunk (WmNode *node, const WmAddress *from, const ww_root_chunk *chunk);
void wm_root_tick (WmNode *node);
gint64 wm_root_next_us (const WmNode *node);

/* wm-steps.c */
const WmStep *wm_steps_add (
    WmNode *node, guint64 version, guint64 base_version, guint64 base_hash, GBytes *bytes);
void
wm_steps_serve (WmNode *node, const WmAddress *from, guint32 xid, const ww_root_fetch *request);
void wm_steps_clear (WmNode *node);

/* wm-delta.c */
GBytes *wm_delta_encode (GBytes *base, GBytes *target);
GBytes *wm_delta_apply (GBytes *base, GBytes *delta, gsize max_length);

/* wm-evacuation.c */
void wm_evacuation_init (WmNode *node);
void
wm_evacuation_handle (WmNode *node, const WmAddress *from, const ww_evacuation_message *message);
void wm_evacuation_tick (WmNode *node);
gint64 wm_evacuation_next_us (const WmNode *node);

/* wm-query.c */
void wm_notify_members_changed (WmNode *node);

/* Test-only: number of different reporters that a declaration of death takes. */
void wm_node_set_required_reporters (WmNode *node, guint count);
