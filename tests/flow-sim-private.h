#pragma once

#include "flow-sim.h"

/* Shared by the event loop (flow-sim.c), the clients and backend servers (flow-sim-traffic.c) and
 * the oracle (flow-sim-oracle.c). */

/* What an event carries to its target: a packet, a member list or a configuration version. The
 * packets come first, so that a comparison with FS_EVENT_AGENT_MEMBERS selects them. */
typedef enum
{
  FS_EVENT_TO_AGENT,
  FS_EVENT_TO_BALANCER,
  FS_EVENT_TO_SERVER,
  FS_EVENT_FROM_SERVER,
  FS_EVENT_TO_CLIENT,
  FS_EVENT_AGENT_MEMBERS,
  FS_EVENT_BALANCER_MEMBERS,
  FS_EVENT_AGENT_CONFIG,
  FS_EVENT_BALANCER_CONFIG,
} FsEventKind;

#define FS_FABRIC_LATENCY_US 500 /* between agents and balancers */
#define FS_CLIENT_LATENCY_US 3000
#define FS_SERVER_LATENCY_US 50

/** fs_post_event() - schedules an event after @delay_us; takes ownership of @data */
void fs_post_event (FsSim *sim, FsEventKind kind, guint target, GBytes *data, gint64 delay_us);

/** fs_transmit() - sends a packet over the network, which may lose, duplicate or reorder it */
void fs_transmit (FsSim *sim,
                  FsEventKind kind,
                  guint target,
                  const guint8 *data,
                  gsize length,
                  gint64 latency_us);

/** fs_check_delivery() - checks a packet that an agent delivers to its server */
void fs_check_delivery (FsSim *sim, guint index, const WwPacket *packet);
void fs_add_violation (FsSim *sim, const gchar *format, ...);
void fs_connection_free (gpointer data);

/** fs_run_server() - reads the next request of a connection and sends the response that is due */
void fs_run_server (FsSim *sim, guint index, FsConnection *connection);
void fs_server_receive (FsSim *sim, guint index, const guint8 *data, gsize length);

/** fs_run_client() - checks the response that has arrived, sends the next request when it is due,
 * and closes the connection after the last response or a refusal */
void fs_run_client (FsSim *sim, guint number);
void fs_client_receive (FsSim *sim, const guint8 *data, gsize length);
