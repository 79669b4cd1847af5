#pragma once

#include "flow-tcp.h"
#include "wf-options.h"
#include "wl.h"

/**
 * DOC: Agents, balancers, backend servers and clients in one process under virtual time.
 *
 * Faults that the oracle sees are appended to FwWorld.faults as text; a correct run leaves it
 * empty.
 */

#define FW_AGENTS 6
#define FW_BALANCERS 2
#define FW_CLIENTS 64
#define FW_REQUEST_LENGTH 16
#define FW_ADDRESS 0xc0000201
#define FW_PORT 80
#define FW_UDP_PORT 53

typedef struct
{
  FtConnection *tcp;
  guint consumed; /* bytes of requests taken from tcp->in */
  gint64 answer_us;
  guint8 answer[8]; /* client, request and response length of the request in progress */
} FwServed;

typedef struct
{
  WfAgent *agent;     /* NULL while the process is down */
  GHashTable *served; /* flow key to FwServed: the connections of the backend server */
  guint64 id;
  guint64 service_id;
  guint64 incarnation;
  gboolean member; /* in the published view */
  gboolean draining;
  gboolean server_silent; /* the server's packets are lost */
  gint64 paused_until_us;
  guint64 view_number;    /* of the newest view applied */
  guint64 config_version; /* newest version accepted */
  guint64 requests;
  guint64 initials; /* initial packets that reached the server */
} FwAgent;

typedef struct
{
  FtConnection *tcp;
  guint requests; /* to send */
  guint sent;
  guint done;
  guint response_length;
  guint service_ms;
  gint64 gap_us;
  gint64 next_request_us;
  gint refused;         /* number of the refused request, or -1 */
  gint holder;          /* agent whose server got payload, or -1 */
  guint32 delivered;    /* end of the payload delivered, as an offset */
  gboolean unreachable; /* its packets are lost on the path */
  gboolean excused;     /* an unplanned failure hit it */
  gboolean finished;
} FwClient;

typedef struct FwWorld FwWorld;

/* The context of one agent's and server's callbacks. */
typedef struct
{
  FwWorld *world;
  guint index;
} FwSlot;

struct FwWorld
{
  GRand *random;
  GSequence *events;
  guint64 next_event;
  gint64 now_us;
  FwAgent agents[FW_AGENTS];
  FwSlot slots[FW_AGENTS];
  guint n_agents;
  WlBalancer *balancers[FW_BALANCERS];
  guint64 balancer_views[FW_BALANCERS];
  FwClient clients[FW_CLIENTS];
  guint n_clients;
  GPtrArray *configs; /* of WcConfig, by version - 1 */
  WfOptions options;
  gdouble loss;
  gdouble duplicate;
  gint64 jitter_us;
  gint64 balancer_config_delay_us; /* balancers learn of configurations later */
  GString *faults;
  gint trace; /* client whose packets are printed, or -1 */
  guint udp_answers;
};

/** fw_new() - @agents endpoints of service "a", which all know each other for a long time */
FwWorld *fw_new (guint32 seed, guint agents, guint slots, gint64 deadline_us);
void fw_free (FwWorld *world);
void fw_run (FwWorld *world, gint64 duration_us);

/** fw_publish() - every node learns the members after a random delay of at most @delay_us */
void fw_publish (FwWorld *world, gint64 delay_us);
void fw_publish_to (FwWorld *world, gint agent, gint balancer, gint64 delay_us);
guint fw_start_agent (FwWorld *world, const gchar *service);
void fw_restart_agent (FwWorld *world, guint index);
void fw_drain (FwWorld *world, guint index, gboolean draining);
void fw_pause (FwWorld *world, guint index, gint64 duration_us);

/** fw_config() - a new version, with the address of "a" given to @owner, sent to every node */
void
fw_config (FwWorld *world, const gchar *owner, guint slots, gint64 deadline_us, gint64 delay_us);
FwClient *fw_client (FwWorld *world, guint requests, gint64 gap_us, guint length, guint service_ms);
void fw_send_udp (FwWorld *world, guint client, const gchar *text);
void fw_to_agent (FwWorld *world, guint agent, const guint8 *data, gsize length, gint64 delay_us);
guint64 fw_counter (const FwWorld *world, const gchar *name);
guint fw_held (const FwWorld *world);
gint fw_find_held (const FwWorld *world, const FwClient *client);
gboolean fw_handshake_in_flight (const FwWorld *world, const FwClient *client);

/** fw_check_finished() - notes a fault for each client that has not finished */
void fw_check_finished (FwWorld *world);
