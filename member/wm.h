#pragma once

#include "wb-counter.h"
#include "wb-histogram.h"
#include "wc.h"
#include "ww-message.h"

/**
 * DOC: Gossip membership in the manner of SWIM, and dissemination of configuration versions.
 *
 * A WmNode probes other members, spreads what it learns by gossip, keeps the member lists of all
 * nodes equal by anti-entropy comparison, and fetches newer configurations from other members. It
 * is used by balancers and agents. The caller does the input and output of datagrams, calls the
 * timer, and parses and applies configurations.
 */

/** Flags of struct ww_member. */
#define WM_MEMBER_DRAINING 0x1
#define WM_MEMBER_NO_SERVER 0x2
/** Bits of the flags that hold the link capacity of a balancer, as wm_capacity_encode() returns it.
 */
#define WM_MEMBER_CAPACITY_SHIFT 8
#define WM_MEMBER_CAPACITY_MASK 0xff

/** wm_capacity_encode() - logarithm of a link capacity in kbit/s, in steps of which 8 are a factor
 * of 2; 0 when the capacity is 0, which means unknown */
guint wm_capacity_encode (guint64 kbps);

/** wm_member_capacity_kbps() - link capacity of a balancer, rounded to the steps; 0 when unknown */
guint64 wm_member_capacity_kbps (const ww_member *member);

/**
 * wm_incarnation_epoch() - the part of an incarnation that changes when a process starts
 *
 * The low 32 bits rise on refutations, resumes after a pause, and changes of the flags.
 */
static inline guint64
wm_incarnation_epoch (guint64 incarnation)
{
  return incarnation >> 32;
}

/** wm_member_control_port() - the control port, in the high half of struct ww_member.ports */
static inline guint16
wm_member_control_port (const ww_member *member)
{
  return (guint16) (member->ports >> 16);
}

/** wm_member_data_port() - the data port, in the low half of struct ww_member.ports */
static inline guint16
wm_member_data_port (const ww_member *member)
{
  return (guint16) (member->ports & 0xffff);
}

/**
 * struct WmSettings - identity and addresses of this node, and its traffic limit
 * @service_id: 0 for a balancer
 * @control_limit: bytes a second of control traffic, datagram headers included; 0 for 2,048
 * @link_kbps: capacity of a balancer's network link in kbit/s; 0 when unknown
 * @zone, @host: low 32 bits of the wb_name_id() of the names
 */
typedef struct
{
  guint64 id;
  guint64 service_id;
  guint32 address;
  guint16 control_port;
  guint16 data_port;
  guint control_limit;
  guint64 link_kbps;
  guint32 zone;
  guint32 host;
  ww_role role;
} WmSettings;

/**
 * struct WmCallbacks - output of the node
 * @send: sends a control datagram
 * @members_changed: a member joined, left, was suspected, was declared dead, refuted a suspicion,
 *   or changed its flags, or other availability zones are evacuated
 * @config_complete: all parts of a newer configuration are present, from other members or from
 *   wm_node_offer_config(); the callee parses it and calls wm_node_set_config() when it puts it
 *   into effect
 * @config_overdue: (optional): another member announced a newer version some time ago and it has
 * not arrived from members; the callee reads the configuration from the platform, if it can, and
 *   passes it to wm_node_offer_config()
 * @root_hashes: (transfer full): hashes, as hexadecimal strings, of the parts that a root object
 *   lists, or NULL when the bytes are not a root object; the array frees its elements
 */
typedef struct
{
  gpointer context;
  void (*send) (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length);
  void (*members_changed) (gpointer context);
  void (*config_complete) (gpointer context, guint64 version, GBytes *root, GHashTable *parts);
  void (*config_overdue) (gpointer context, guint64 version);
  GPtrArray *(*root_hashes) (gpointer context, GBytes *root);
} WmCallbacks;

typedef struct WmNode WmNode;

/**
 * wm_node_new() - (transfer full): a node that starts to join
 * @settings, @callbacks: copied
 * @seed: of the random choices of the node
 *
 * All times are in microseconds of one monotonic clock.
 */
WmNode *
wm_node_new (const WmSettings *settings, const WmCallbacks *callbacks, guint32 seed, gint64 now_us);
void wm_node_free (WmNode *node);

/** wm_node_add_contact() - adds the control address of a node to join through */
void wm_node_add_contact (WmNode *node, guint32 address, guint16 port);

/**
 * wm_node_receive() - handles a control datagram
 *
 * Return: FALSE when the message does not concern membership or configuration and the caller has to
 * handle it
 */
gboolean wm_node_receive (
    WmNode *node, guint32 address, guint16 port, const guint8 *data, gsize length, gint64 now_us);

/** wm_node_tick() - does the work that is due */
void wm_node_tick (WmNode *node, gint64 now_us);

/** wm_node_next_us() - when wm_node_tick() has to be called next; changes with each call into the
 * node */
gint64 wm_node_next_us (const WmNode *node);

/** wm_node_set_draining() - announces that this endpoint takes no new flows */
void wm_node_set_draining (WmNode *node, gboolean draining, gint64 now_us);

/** wm_node_set_server_present() - announces whether this endpoint has a backend server; without one
 * the other members do not send packets to it */
void wm_node_set_server_present (WmNode *node, gboolean present, gint64 now_us);

/** wm_node_resumed() - tells the node that the process was paused: raises the incarnation and pings
 * the peers */
void wm_node_resumed (WmNode *node, gint64 now_us);

/** wm_node_leave() - announces a planned stop, to some members at once */
void wm_node_leave (WmNode *node, gint64 now_us);

/** wm_node_members() - (transfer container): array of struct ww_member of the alive and suspected
 * members, this node included */
GArray *wm_node_members (const WmNode *node);

/** wm_node_find() - (transfer none) (nullable): the member with this id, if it is alive or
 * suspected; valid until the next call into the node */
const ww_member *wm_node_find (const WmNode *node, guint64 id);

/**
 * wm_node_usable_endpoints() - (transfer container): endpoints that packets may be sent to
 * @service_id: 0 for the endpoints of all services
 *
 * Endpoints without a backend server are left out, and so are those in a lost availability zone
 * while the service has others. An endpoint that two members could not reach, or that is dead, is
 * left out as well, except that it stays for 10 s when most endpoints of its service failed at
 * once.
 */
GArray *wm_node_usable_endpoints (const WmNode *node, guint64 service_id);

/**
 * wm_node_encode_members() - (transfer full): the alive and suspected members, compressed
 *
 * Nodes with the same member list return the same bytes.
 */
GBytes *wm_node_encode_members (const WmNode *node);

/**
 * wm_node_add_members() - passes in a member list that was read from the platform
 * @encoded: result of wm_node_encode_members() in another process, some seconds ago perhaps
 *
 * Ignored by a node that has not just started.
 *
 * Return: FALSE when the bytes are not a member list
 */
gboolean wm_node_add_members (WmNode *node, GBytes *encoded, gint64 now_us);

/** wm_config_compress() - (transfer full): a root object, compressed for the platform's store */
GBytes *wm_config_compress (GBytes *root);

/** wm_config_expand() - (transfer full): the root object, or NULL when @compressed is damaged */
GBytes *wm_config_expand (GBytes *compressed);

/** wm_node_list_digest() - identifies the content of the list of alive and suspected members */
guint32 wm_node_list_digest (const WmNode *node);

/** wm_node_writes_members() - whether this node is the one that keeps the member list in the
 * platform's store up to date */
gboolean wm_node_writes_members (const WmNode *node);

/** wm_node_is_member() - whether a known member uses this address; control messages and
 * encapsulated packets are accepted only from such addresses, but for joins */
gboolean wm_node_is_member (const WmNode *node, guint32 address);

/** wm_node_zone_lost() - whether enough members of other zones report the whole availability zone
 * as unreachable */
gboolean wm_node_zone_lost (const WmNode *node, guint32 zone);

/** wm_node_is_watcher() - whether this node is one of the balancers that watch the platform */
gboolean wm_node_is_watcher (const WmNode *node);

/** wm_node_zone_balancers() - (transfer container): array of struct ww_member of the balancers of
 * this node's availability zone, this node included; also of those that have failed or left within
 * @recent_us */
GArray *wm_node_zone_balancers (const WmNode *node, gint64 recent_us);

/**
 * wm_node_set_zone_probes() - lets a balancer probe the next balancer of its availability zone
 * every 500 ms, and notify them when it leaves
 *
 * Used where the balancers of a zone depend on each other's state.
 */
void wm_node_set_zone_probes (WmNode *node, gboolean enabled);

/** wm_node_watches_zones() - whether this node is one of the first watchers, which also watch the
 * evacuations */
gboolean wm_node_watches_zones (const WmNode *node);

/** wm_node_count() - number of members in a state */
guint wm_node_count (const WmNode *node, ww_member_state state);

/**
 * wm_node_offer_config() - passes in a complete configuration read from the platform
 * @root: the root object as stored
 * @parts: hash (hexadecimal string) to GBytes
 *
 * Ignored unless the version is newer than all versions known to this node.
 */
void wm_node_offer_config (
    WmNode *node, guint64 version, GBytes *root, GHashTable *parts, gint64 now_us);

/** wm_node_set_config() - sets the version in effect, which every message announces */
void wm_node_set_config (WmNode *node, guint64 version, guint64 digest);
guint64 wm_node_config_version (const WmNode *node);

/**
 * struct WmConfigProgress - a version that is being fetched from members
 * @waited_us: time since a newer version was first announced; 0 when none is being fetched
 * @received_bytes, @total_bytes: of the object under way; 0 before its first chunk
 * @tries: requests since the last chunk
 */
typedef struct
{
  gint64 waited_us;
  gsize received_bytes;
  gsize total_bytes;
  guint tries;
} WmConfigProgress;

void wm_node_config_progress (const WmNode *node, WmConfigProgress *progress);

/** wm_node_config_spread() - (transfer none): microseconds from the first announcement of a newer
 * version until it was held */
const WbHistogram *wm_node_config_spread (const WmNode *node);

/**
 * wm_node_ready() - whether a starting node may begin to serve
 *
 * It has the complete member list, has learned the configuration version of 3 members, or of all
 * that it reached within 2 s, and has fetched the newest of these versions. A node that could not
 * join at all is ready after 2 s.
 */
gboolean wm_node_ready (const WmNode *node);

/** wm_node_members_complete() - whether the node has joined and its member list is complete */
gboolean wm_node_members_complete (const WmNode *node);

/**
 * wm_node_enable_evacuations() - takes part in the dissemination of evacuations
 *
 * Without it the node sends no view of the evacuations and ignores those of other members. It is
 * called once, before the first wm_node_tick().
 */
void wm_node_enable_evacuations (WmNode *node);

/**
 * wm_node_offer_evacuation() - passes in a view that was read from the platform's store
 * @view: copied; the order of the zones does not matter
 *
 * Ignored when the node holds the same view or a later one, and when evacuations are not enabled.
 * A change of the evacuated zones calls members_changed, and other members are told at once.
 */
void wm_node_offer_evacuation (WmNode *node, const ww_evacuation *view, gint64 now_us);

/** wm_node_evacuation() - (transfer none): the latest view; era and revision are 0 when there is
 * none. Valid until the next call into the node */
const ww_evacuation *wm_node_evacuation (const WmNode *node);

/** wm_node_zone_evacuated() - whether the zone, the low 32 bits of wb_name_id() of its name, is
 * evacuated in the latest view */
gboolean wm_node_zone_evacuated (const WmNode *node, guint32 zone);

/** wm_node_has_evacuation_view() - whether a view has come from the store or from a member */
gboolean wm_node_has_evacuation_view (const WmNode *node);

const WbCounters *wm_node_counters (const WmNode *node);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WmNode, wm_node_free)
