#pragma once

#include "ww-packet-format.h"
#include "ww-sock.h"

/**
 * DOC: A randomized soak. The shipped programs run as separate processes on loopback, on the users'
 * platform's protocol; store, routers, clients and backend servers are stand-ins in this process.
 * Faults come from outside: signals, and a store that misbehaves. What clients and servers see is
 * checked while it runs.
 */

#define SK_BALANCERS 3
#define SK_SERVERS 6
#define SK_SERVICES 2

/* Addresses of loopback; the ports are the same on all of them. */
#define SK_STORE_ADDRESS 0x7f4c0001    /* 127.76.0.1 */
#define SK_CLIENT_ADDRESS 0x7f4d0001   /* 127.77.0.1 */
#define SK_BALANCER_ADDRESS 0x7f4e0001 /* 127.78.0.1 and on */
#define SK_AGENT_ADDRESS 0x7f4f0001    /* 127.79.0.1 and on */
#define SK_ROUTE_ADDRESS 0xc6120001    /* 198.18.0.1; only inside packets */

typedef enum
{
  SK_PORT_CONTROL,
  SK_PORT_DATA,
  SK_PORT_PACKETS,
  SK_PORT_READINESS,
  SK_PORT_SERVERS,
  SK_PORT_OUTBOUND,
  SK_PORT_APP,
  SK_PORT_STORE,
} SkPort;

/** sk_port() - number of a port */
guint16 sk_port (SkPort port);
void sk_set_first_port (guint16 first);

/** sk_host_calm() - whether the host at the address had no unplanned fault within the users'
 * stability window */
gboolean sk_host_calm (guint32 address);

/** sk_fault() - notes that a promise was broken; the soak goes on */
void sk_fault (const gchar *format, ...) G_GNUC_PRINTF (1, 2);
guint sk_faults (void);

/* sk-packet.c: the platform's packets, written here a second time, so that a fault of the adapter's
 * decoder is not shared. */
#define SK_SYN 1
#define SK_ACK 4
#define SK_RST 16
#define SK_BOUNCED 32
#define SK_FIN 64
#define SK_HEAD 34

typedef struct
{
  guint32 source, destination;
  guint16 source_port, destination_port;
  guint32 sequence, acknowledgment;
  guint8 flags;
  const gchar *text;
  gsize length;
  gboolean intact; /* the sum is that of its writer */
} SkPacket;

/** sk_packet_write() - Return: length; @bytes has room for SK_HEAD and the text */
gsize sk_packet_write (const SkPacket *packet, guint8 *bytes);
gboolean sk_packet_read (const guint8 *bytes, gsize length, SkPacket *packet);

/* sk-store.c */
typedef enum
{
  SK_STORE_WELL,
  SK_STORE_BUSY,
  SK_STORE_SILENT,
  SK_STORE_LOSES_ANSWERS,
} SkStoreMood;

void sk_store_open (void);
void sk_store_close (void);
void sk_store_set_mood (SkStoreMood value);
void sk_store_forget_history (void);

/** sk_store_set_config() - the operator writes a configuration. Return: its version */
guint64 sk_store_set_config (guint routes);

/* sk-server.c */
void sk_server_open (guint index);
void sk_server_close (guint index);
void sk_server_crash (guint index);
void sk_server_drain (guint index);
gboolean sk_server_alive (guint index);

/** sk_server_holder() - Return: the server that has the flow open since its start, SK_SERVERS
 * without one */
guint sk_server_holder (guint16 client_port);
void sk_server_tick (gint64 now_us);

/* sk-client.c */
void sk_client_open (void);
void sk_client_close (void);
void sk_client_tick (gint64 now_us);
void sk_client_set_ready (guint balancer, gboolean value);

/** sk_client_served() - requests asked and answered since the last call */
void sk_client_served (guint *asked, guint *answered);
guint64 sk_client_total (void);

/** sk_client_check_run() - a server runs a request; notes a second run or a wrong service */
void sk_client_check_run (guint16 client_port, guint number, guint service);
