#pragma once

#include "ww-packet-format.h"
#include "ww-sock.h"

/**
 * DOC: Randomized fault-injection soak test. The shipped programs run as separate processes on
 * loopback and speak the platform's protocol; object store, routers, clients and backend servers
 * are stand-ins in this process. Faults are injected from outside, by signals and by a misbehaving
 * store. What clients and servers observe is checked during the whole run.
 */

#define SK_BALANCER_COUNT 3
#define SK_SERVER_COUNT 6
#define SK_SERVICE_COUNT 2
/* Host N is in zone N % SK_ZONE_COUNT. */
#define SK_ZONE_COUNT 3

/** sk_zone_names - names of the availability zones */
extern const gchar *const sk_zone_names[SK_ZONE_COUNT];

/* Loopback addresses in host byte order; all of them use the same ports. */
#define SK_STORE_ADDRESS 0x7f4c0001    /* 127.76.0.1 */
#define SK_CLIENT_ADDRESS 0x7f4d0001   /* 127.77.0.1 */
#define SK_BALANCER_ADDRESS 0x7f4e0001 /* 127.78.0.1 and following */
#define SK_AGENT_ADDRESS 0x7f4f0001    /* 127.79.0.1 and following */
#define SK_ROUTE_ADDRESS 0xc6120001    /* 198.18.0.1; only inside packets, as destination */

/* Port of service 0 at SK_ROUTE_ADDRESS; service 1 has the next one. */
#define SK_FIRST_SERVICE_PORT 1000

/* Port of the route that moves between the services, and the first port of its clients. */
#define SK_MOVED_PORT 900
#define SK_FIRST_MOVED_CLIENT_PORT 65001

/* Several packets, so that a client notices when part of a response is missing. */
#define SK_RESPONSE_PACKETS 3

/**
 * enum SkPortPurpose - what a port is used for; the value is the offset from the first port
 * @SK_PORT_CONTROL: calls between the processes under test
 * @SK_PORT_DATA: encapsulated packets between the processes under test
 * @SK_PORT_NETWORK: packets between routers and balancers, and from agents to clients
 * @SK_PORT_READINESS: HTTP, readiness probes of balancers
 * @SK_PORT_ANNOUNCEMENTS: HTTP, backend server to agent
 * @SK_PORT_FROM_SERVER: packets, backend server to agent
 * @SK_PORT_TO_SERVER: packets, agent to backend server
 * @SK_PORT_STORE: HTTP, object store of the platform
 */
typedef enum
{
  SK_PORT_CONTROL,
  SK_PORT_DATA,
  SK_PORT_NETWORK,
  SK_PORT_READINESS,
  SK_PORT_ANNOUNCEMENTS,
  SK_PORT_FROM_SERVER,
  SK_PORT_TO_SERVER,
  SK_PORT_STORE,
} SkPortPurpose;

/** sk_port_number() - port number for a purpose */
guint16 sk_port_number (SkPortPurpose purpose);
void sk_set_first_port (guint16 first_port);

/**
 * sk_host_is_stable() - whether the host at the address had no unplanned fault within the users'
 * stability window
 */
gboolean sk_host_is_stable (guint32 address);

/**
 * sk_balancer_is_stable() - whether a balancer has run, and the store has worked, for the users'
 * stability window, so that the bound of configurations holds for it
 */
gboolean sk_balancer_is_stable (guint balancer, gint64 now_us);

/** sk_host_paused_until_us() - when the last pause of the host at the address ended, or of the
 * whole machine; 0 for none */
gint64 sk_host_paused_until_us (guint32 address);

/** sk_report_violation() - prints and counts a broken guarantee; the run continues */
void sk_report_violation (const gchar *format, ...) G_GNUC_PRINTF (1, 2);

/** sk_violation_count() - violations reported so far */
guint sk_violation_count (void);

/* sk-packet.c: an encoder and decoder of the platform's packets that shares no code with the
 * adapter in platform/, so that an error of the adapter is not repeated here. */
#define SK_FLAG_SYN 1
#define SK_FLAG_ACK 4
#define SK_FLAG_RST 16
#define SK_FLAG_RETURNED 32
#define SK_FLAG_FIN 64
#define SK_FLAGS_OFFSET 24
#define SK_HEADER_BYTES 34

/**
 * struct SkPacket - a packet of the platform, in host byte order
 * @payload: not terminated
 * @checksum_valid: the packet is as its sender wrote it
 */
typedef struct
{
  guint32 source, destination;
  guint16 source_port, destination_port;
  guint32 sequence, acknowledgment;
  guint8 flags;
  const gchar *payload;
  gsize payload_length;
  gboolean checksum_valid;
} SkPacket;

/**
 * sk_packet_write() - encodes a packet
 * @bytes: has room for SK_HEADER_BYTES and the payload
 *
 * Return: length of the packet
 */
gsize sk_packet_write (const SkPacket *packet, guint8 *bytes);

/**
 * sk_packet_read() - decodes a packet; @packet refers to @bytes
 *
 * Return: FALSE if the length is wrong; a wrong checksum is only marked in @packet
 */
gboolean sk_packet_read (const guint8 *bytes, gsize length, SkPacket *packet);

/* sk-store.c: the object store */

/**
 * enum SkStoreFault - how the object store misbehaves
 * @SK_STORE_FAULT_UNAVAILABLE: responds with status 503 to every request
 * @SK_STORE_FAULT_NO_RESPONSE: accepts requests and never responds
 * @SK_STORE_FAULT_LOST_WRITE_RESPONSE: carries writes out and never responds to them
 */
typedef enum
{
  SK_STORE_FAULT_NONE,
  SK_STORE_FAULT_UNAVAILABLE,
  SK_STORE_FAULT_NO_RESPONSE,
  SK_STORE_FAULT_LOST_WRITE_RESPONSE,
} SkStoreFault;

void sk_store_open (void);
void sk_store_close (void);
void sk_store_set_fault (SkStoreFault new_fault);

/** sk_store_silence_connections() - lets all connections that are open become silent: requests on
 * them get no response. New connections work. */
void sk_store_silence_connections (void);

/** sk_store_compact() - discards the history: watches from earlier positions get status 410 */
void sk_store_compact (void);

/** sk_store_return_from_copy() - replaces the content by a copy that is 2 to 4 s old, and starts
 * the next era: revisions are given out again, and waiting watches end late with the earlier era */
void sk_store_return_from_copy (void);

/** sk_store_put() - writes an object as the operator does; @spec is JSON */
void sk_store_put (const gchar *kind, const gchar *name, const gchar *spec);

/** sk_store_delete() - deletes an object, if there is one, as the operator does */
void sk_store_delete (const gchar *kind, const gchar *name);

/** sk_store_rewrite_config() - writes the operator's last configuration again */
void sk_store_rewrite_config (void);

/**
 * sk_store_set_config() - writes a configuration as the operator does
 *
 * Return: its version
 */
guint64 sk_store_set_config (guint route_count);

/* sk-server.c: the backend servers. A draining server goes on serving the flows that it has. */
void sk_server_start (guint index);
void sk_server_close (guint index);
void sk_server_crash (guint index);
void sk_server_drain (guint index);
gboolean sk_server_is_running (guint index);

/**
 * sk_server_holder() - finds the running server that has established the flow since its start
 *
 * Return: index of the server; SK_SERVER_COUNT if none has
 */
guint sk_server_holder (guint16 client_port);
void sk_server_tick (gint64 now_us);

/* sk-client.c: the clients, and the routers between them and the balancers */
void sk_client_open (void);
void sk_client_close (void);
void sk_client_tick (gint64 now_us);
void sk_client_set_balancer_ready (guint balancer, gboolean ready);

/** sk_client_send_to_balancer() - sends a packet to one balancer, without a router */
void sk_client_send_to_balancer (guint balancer, const SkPacket *packet);

/** sk_client_send() - sends a packet as the routers do: to a random balancer of those that were
 * ready at their last probe, or of all if none was */
void sk_client_send (const SkPacket *packet);

/** sk_client_take_counts() - requests started and completed since the last call */
void sk_client_take_counts (guint *started, guint *completed);

/** sk_client_request_total() - requests started since the begin of the run */
guint64 sk_client_request_total (void);

/**
 * sk_client_check_run() - called when a server runs a request; reports a violation if the request
 * ran before, was refused, or belongs to another service
 */
void sk_client_check_run (guint16 client_port, guint number, guint service);

/* sk-moved.c: open flows of a route that moves between the services */

/** sk_moved_open() - lets the route exist and move; without it the other functions do nothing */
void sk_moved_open (guint32 seed);
void sk_moved_close (void);
void sk_moved_tick (gint64 now_us);
gboolean sk_moved_is_on (void);

/** sk_moved_draw_service() - service that gets the route in the next configuration */
guint sk_moved_draw_service (void);

/** sk_moved_written() - called when the store has acknowledged that service */
void sk_moved_written (guint service);

/**
 * sk_moved_packet() - handles a packet to a client
 * @address: of its sender
 *
 * Return: FALSE if it does not belong to a flow of the moving route
 */
gboolean sk_moved_packet (guint32 address, const SkPacket *packet);

/** sk_moved_check_initial() - called when a server gets the initial packet of a new flow */
void sk_moved_check_initial (guint16 client_port, guint server);

/** sk_moved_check_packet() - called when a server gets a packet of a flow, also one that it returns
 */
void sk_moved_check_packet (guint16 client_port, guint server);

/** sk_moved_check_run() - called when a server runs a request; each may run once */
void sk_moved_check_run (guint16 client_port, guint number);

/** sk_moved_take_counts() - requests started and completed since the last call */
void sk_moved_take_counts (guint *started, guint *completed);

/** sk_moved_request_total() - requests started since the begin of the run */
guint64 sk_moved_request_total (void);

/* sk-probe.c: flows that test whether a configuration is in effect in time */
void sk_probe_open (void);
void sk_probe_close (void);
void sk_probe_tick (gint64 now_us);

/** sk_probe_config_written() - called when the store has acknowledged a configuration */
void sk_probe_config_written (guint64 version, guint route_count);

/**
 * sk_probe_packet() - handles a packet to a client
 * @address: of its sender
 *
 * Return: FALSE if it does not belong to a probe
 */
gboolean sk_probe_packet (guint32 address, const SkPacket *packet);

/** sk_probe_total() - probes sent since the begin of the run */
guint64 sk_probe_total (void);

/* sk-evacuation.c: evacuations of availability zones */

/** sk_evacuation_open() - lets evacuations take place, from @first_us on */
void sk_evacuation_open (guint32 seed, gint64 first_us);
void sk_evacuation_close (void);

/**
 * sk_evacuation_tick() - orders and withdraws evacuations
 * @store_works: otherwise the operator waits, and a new order may come into force later
 * @end: withdraw the last one
 */
void sk_evacuation_tick (gint64 now_us, gboolean store_works, gboolean end);

/** sk_evacuation_rewrite() - writes the operator's last order or withdrawal again */
void sk_evacuation_rewrite (void);

/** sk_evacuation_all_killed() - called when all processes under test have been killed */
void sk_evacuation_all_killed (gint64 now_us);

/** sk_evacuation_check_initial() - called when a server gets the initial packet of a new flow */
void sk_evacuation_check_initial (guint server);

/** sk_evacuation_total() - evacuations ordered since the begin of the run */
guint sk_evacuation_total (void);
