/*
 * Messages between the processes. wire/ww-proto.h and wire/ww-proto_xdr.c are generated from this file by
 * scripts/generate-proto and committed.
 */

const WW_ENCAP_MAGIC = 0x57574531;
const WW_ENCAP_MAGIC_ZONE = 0x57574532; /* a header with an entry zone */
const WW_PEER_MAGIC = 0x57575031;
const WW_PROGRAM = 0x20575748;
const WW_VERSION = 1;

/* Maximum number of elements of a list, or of bytes of a string or opaque value, so that each message fits in one
 * datagram. WW_MAX_PARTS and WW_MAX_TEXT are not used. */
const WW_MAX_REGISTER_FLOWS = 48;
const WW_MAX_GOSSIP_ITEMS = 16;
const WW_MAX_PARTS = 4096;
const WW_MAX_CHUNK = 1024;
const WW_MAX_TEXT = 1024;
const WW_MAX_MEMBERS = 21;
const WW_MAX_KNOWN = 160;
const WW_MAX_NAME = 64;
const WW_MAX_FETCH = 7;
const WW_MAX_SEARCH_FLOWS = 32;

/* Maximum number of availability zones that are evacuated at a time. */
const WW_MAX_EVACUATED_ZONES = 16;

/* Maximum number of members of a fleet. */
const WW_MAX_FLEET = 16384;

/* Data plane: header in front of an encapsulated IP packet. */

enum ww_encap_kind {
  WW_ENCAP_FORWARD = 1,   /* to the home of the flow */
  WW_ENCAP_CHAIN = 2,     /* to the next endpoint in rank, as the home has no registry entry for the flow */
  WW_ENCAP_TO_HOLDER = 3, /* to the endpoint that holds the flow */
  WW_ENCAP_PLACE = 4,     /* initial packet, to the endpoint on which the home places the flow */
  WW_ENCAP_GRANT = 5,     /* queued initial packet, to a peer that has pulled it or takes over the queue */
  WW_ENCAP_RETURN = 6     /* UDP packet, back to the home at the end of a chain */
};

struct ww_encap {
  unsigned magic;
  ww_encap_kind kind;
  unsigned hops;
  unsigned hyper service_id;
  unsigned hyper config_version;
  unsigned hyper home_id; /* home of the flow as the sender sees it; in a chain, as the first sender saw it */
  unsigned hyper sender_id;
  unsigned entry_zone; /* zone of the balancer that received the packet; only with WW_ENCAP_MAGIC_ZONE, else 0 */
};

/* Data plane: peer messages between the agents of one service. */

struct ww_flow {
  unsigned client_address;
  unsigned service_address;
  unsigned ports; /* upper 16 bits: client port; lower 16 bits: service port */
  unsigned protocol;
};

struct ww_flow_entry {
  ww_flow flow;
  unsigned flags; /* WF_REGISTRATION_* */
};

struct ww_occupancy {
  unsigned slots;
  unsigned busy;
  unsigned waiting_short;
  unsigned waiting_long;
  unsigned flags; /* WA_OCCUPANCY_*; upper 16 bits: typical service time */
};

struct ww_register {
  unsigned hyper incarnation;
  ww_flow_entry flows<WW_MAX_REGISTER_FLOWS>;
};

/* From the home to an endpoint that still has the flow although holder_id serves it. */
struct ww_release {
  ww_flow flow;
  unsigned hyper holder_id;
};

struct ww_occupancy_request {
  unsigned request_id;
  ww_occupancy occupancy;
};

struct ww_occupancy_reply {
  unsigned request_id;
  ww_occupancy occupancy;
};

struct ww_offer {
  ww_occupancy occupancy;
};

struct ww_pull {
  unsigned pull_id;
  unsigned short_only;
  ww_occupancy occupancy;
};

/* What an agent knows of a flow: HELD: it has a row of the flow; ABSENT: its server does not hold the flow, for certain;
 * UNKNOWN: its server may hold the flow. */
enum ww_search_state {
  WW_SEARCH_HELD = 1,
  WW_SEARCH_ABSENT = 2,
  WW_SEARCH_UNKNOWN = 3
};

/* From the home of flows of which it knows no holder to an agent of the service. */
struct ww_search {
  unsigned search_id;
  ww_flow flows<WW_MAX_SEARCH_FLOWS>;
};

/* agents_digest is the exclusive or of the hashes of all agents of the service that the sender knows, itself included;
 * states are in the order of the flows in the search. */
struct ww_search_reply {
  unsigned search_id;
  unsigned hyper agents_digest;
  ww_search_state states<WW_MAX_SEARCH_FLOWS>;
};

enum ww_peer_kind {
  WW_PEER_REGISTER = 1,
  WW_PEER_RELEASE = 2,
  WW_PEER_OCCUPANCY_REQUEST = 3,
  WW_PEER_OCCUPANCY_REPLY = 4,
  WW_PEER_OFFER = 5,
  WW_PEER_PULL = 6,
  WW_PEER_UNREGISTER = 7,
  WW_PEER_SEARCH = 8,
  WW_PEER_SEARCH_REPLY = 9
};

union ww_peer_body switch (ww_peer_kind kind) {
case WW_PEER_REGISTER:
case WW_PEER_UNREGISTER:
  ww_register registration;
case WW_PEER_RELEASE:
  ww_release release;
case WW_PEER_OCCUPANCY_REQUEST:
  ww_occupancy_request occupancy_request;
case WW_PEER_OCCUPANCY_REPLY:
  ww_occupancy_reply occupancy_reply;
case WW_PEER_OFFER:
  ww_offer offer;
case WW_PEER_PULL:
  ww_pull pull;
case WW_PEER_SEARCH:
  ww_search search;
case WW_PEER_SEARCH_REPLY:
  ww_search_reply search_reply;
};

struct ww_peer {
  unsigned magic;
  unsigned hyper service_id;
  unsigned hyper sender_id;
  ww_peer_body body;
};

/* Control plane: ONC RPC calls of program WW_PROGRAM. */

enum ww_member_state {
  WW_MEMBER_ALIVE = 0,
  WW_MEMBER_SUSPECT = 1,
  WW_MEMBER_DEAD = 2,
  WW_MEMBER_LEFT = 3
};

enum ww_role {
  WW_ROLE_BALANCER = 1,
  WW_ROLE_AGENT = 2
};

struct ww_member {
  unsigned hyper id;
  unsigned hyper incarnation;
  unsigned hyper service_id;
  unsigned address;
  unsigned ports; /* upper 16 bits: control port; lower 16 bits: data port */
  unsigned zone;  /* low 32 bits of wb_name_id() of the name */
  unsigned host;  /* low 32 bits of wb_name_id() of the name */
  ww_role role;
  ww_member_state state;
  unsigned flags; /* WM_MEMBER_* */
};

/* The reporter, which is in another zone, has failed to reach several members of zone. sequence rises with each report
 * of the same reporter. */
struct ww_zone_evidence {
  unsigned zone;
  unsigned hyper reporter_id;
  unsigned reporter_zone;
  unsigned sequence;
};

enum ww_gossip_kind {
  WW_GOSSIP_MEMBER = 1,
  WW_GOSSIP_ZONE = 2,
  WW_GOSSIP_STATE = 3
};

/*
 * A change of a member's state, without the rest of its record. A suspicion names up to two members whose probes of
 * it failed, and its age, so that it expires at about the same time everywhere.
 */
struct ww_gossip_state {
  unsigned hyper id;
  unsigned hyper incarnation;
  unsigned hyper reporter_id;
  unsigned hyper second_id;
  ww_member_state state;
  unsigned age_ms;
};

union ww_gossip_item switch (ww_gossip_kind kind) {
case WW_GOSSIP_MEMBER:
  ww_member member;
case WW_GOSSIP_ZONE:
  ww_zone_evidence zone;
case WW_GOSSIP_STATE:
  ww_gossip_state state;
};

struct ww_config_id {
  unsigned hyper config_version;
  unsigned hyper digest; /* identifies the content; see WcConfig */
};

struct ww_gossip {
  unsigned hyper sender_id;
  unsigned hyper incarnation;
  ww_config_id config;
  unsigned members; /* number of live members in the sender's list */
  unsigned digest; /* of the list of live members; 0 when the list is too long to be compared by one digest */
  ww_gossip_item items<WW_MAX_GOSSIP_ITEMS>;
};

struct ww_ping {
  unsigned hyper target_id;
  ww_gossip gossip;
};

struct ww_ping_req {
  unsigned hyper target_id;
  unsigned address;
  unsigned port;
  ww_gossip gossip;
};

struct ww_ack {
  unsigned hyper target_id;
  unsigned hyper target_incarnation;
  ww_gossip gossip;
};

struct ww_hash {
  opaque bytes[32];
};

/*
 * Requests a part by its hash. more lists further parts; each gets a reply of its own. An all-zero hash requests the
 * root object of config_version; only members of earlier releases send it. base_version is not used.
 */
struct ww_config_fetch {
  unsigned hyper sender_id;
  unsigned hyper config_version;
  unsigned hyper base_version;
  opaque hash[32];
  unsigned offset;
  ww_hash more<WW_MAX_FETCH>;
};

/* total is 0 when the replying member does not have the object. base_version is 0: the data is the object itself. */
struct ww_config_chunk {
  unsigned hyper config_version;
  unsigned hyper base_version;
  opaque hash[32];
  unsigned offset;
  unsigned total;
  opaque data<WW_MAX_CHUNK>;
};

/*
 * Requests the root object of a configuration, compressed. root_version is 0 in the first request, which any newer version
 * than base_version answers; the requests for the following chunks name the version of the first one. base_hash is the
 * wb_hash64() of the requester's root object of base_version; base_version is 0 when it has none.
 */
struct ww_root_fetch {
  unsigned hyper sender_id;
  unsigned hyper root_version;
  unsigned hyper base_version;
  unsigned hyper base_hash;
  unsigned offset;
};

/* base_version is 0 when the object was compressed without a base. hash is the wb_hash64() of the compressed object.
 * total is 0 when no data is sent: then hash is 0 when the replying member does not have the object, and not 0 when it
 * has the object but serves other members first. */
struct ww_root_chunk {
  unsigned hyper root_version;
  unsigned hyper base_version;
  unsigned hyper hash;
  unsigned offset;
  unsigned total;
  opaque data<WW_MAX_CHUNK>;
};

/*
 * The availability zones that are evacuated, as the platform's store had them at a revision of an era. The view with the
 * higher (era, revision) is the later one; era and revision 0 stand for no view. zones holds the low 32 bits of wb_name_id()
 * of the names, in ascending order.
 */
struct ww_evacuation {
  unsigned hyper era;
  unsigned hyper revision;
  unsigned zones<WW_MAX_EVACUATED_ZONES>;
};

/* A member with a later view replies with a message of its own if wants_reply is TRUE. */
struct ww_evacuation_message {
  unsigned hyper sender_id;
  bool wants_reply;
  ww_evacuation view;
};

struct ww_status_reply {
  string name<WW_MAX_NAME>;
  unsigned hyper id;
  ww_role role;
  unsigned hyper config_version;
  unsigned members_alive;
  unsigned members_suspect;
  unsigned members_dead;
  unsigned flows_held;
  unsigned flows_waiting;
  unsigned draining;
  unsigned hyper refusals;
  unsigned hyper uptime_ms;
};

struct ww_metrics_request {
  unsigned offset;
};

struct ww_metrics_reply {
  unsigned offset;
  unsigned total;
  opaque text<WW_MAX_CHUNK>;
};

/*
 * ww_join and ww_members_request are also accepted from an address that belongs to no known member; the address in
 * member must be that of the sender. target_* are what the sender has recorded of the called member, so that a member
 * that is recorded as suspect or dead can refute that.
 */
struct ww_join {
  ww_member member;
  unsigned hyper target_id;
  unsigned hyper target_incarnation;
  ww_member_state target_state;
};

/* Members are divided into buckets by id, so that a starting node can fetch the member list from several members. The
 * reply omits records whose fingerprint is in known. */
struct ww_members_request {
  ww_member member;
  unsigned bucket;
  unsigned buckets;
  unsigned known<WW_MAX_KNOWN>;
};

/* A bucket is sent in one or more parts; total is the number of members in all buckets. settled is FALSE when the
 * sender has started recently, so that its list may be incomplete. */
struct ww_members_reply {
  unsigned hyper sender_id;
  bool settled;
  ww_config_id config;
  unsigned bucket;
  unsigned buckets;
  unsigned part;
  unsigned parts;
  unsigned total;
  ww_member members<WW_MAX_MEMBERS>;
};

/* The member list that starting processes read from the platform's store, before compression. */
struct ww_member_list {
  ww_member members<WW_MAX_FLEET>;
};

/* For operator commands: the member list of the called process, read in pages. */
struct ww_list_request {
  unsigned offset;
};

struct ww_list_reply {
  unsigned offset;
  unsigned total;
  ww_member members<WW_MAX_MEMBERS>;
};

enum ww_procedure {
  WW_PROC_NULL = 0,
  WW_PROC_PING = 1,
  WW_PROC_PING_REQ = 2,
  WW_PROC_GOSSIP = 3,
  WW_PROC_CONFIG_FETCH = 4,
  WW_PROC_STATUS = 5,
  WW_PROC_METRICS = 6,
  WW_PROC_MEMBERS = 7,
  WW_PROC_JOIN = 8,
  WW_PROC_LIST = 9,
  WW_PROC_ROOT_FETCH = 10,
  WW_PROC_EVACUATION = 11
};
