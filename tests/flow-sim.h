#pragma once

#include "flow-tcp.h"
#include "wf-options.h"
#include "wl.h"

/**
 * DOC: Simulation of agents, balancers, backend servers and clients in one process under virtual
 * time.
 *
 * An oracle checks each packet delivered to a server and each response at a client. It appends the
 * violations that it finds to FsSim.violations as text; a correct run leaves that empty.
 */

#define FS_MAX_AGENTS 6
#define FS_N_BALANCERS 2
#define FS_N_ZONES 3 /* with one balancer each, for fs_new_in_zones() */
#define FS_MAX_CLIENTS 64
#define FS_REQUEST_BYTES 16
#define FS_SERVICE_ADDRESS 0xc0000201
#define FS_CLIENT_ADDRESS 0x0a000000 /* plus the number of the client */
#define FS_TCP_PORT 80
#define FS_UDP_PORT 53

/* One connection of a backend server. */
typedef struct
{
  FtConnection *tcp;
  guint consumed_bytes; /* bytes of requests taken from tcp->receive_buffer */
  gint64 response_due_us;
  guint8 request_header[8]; /* start of the request in progress */
} FsConnection;

/* An agent with its backend server. */
typedef struct
{
  WfAgent *wf_agent;
  GHashTable *connections; /* flow key to FsConnection: the connections of the backend server */
  guint64 id;
  guint64 service_id;
  guint32 zone;
  guint64 incarnation;
  gboolean is_member; /* in the published member list */
  gboolean draining;
  gboolean evacuated;          /* in the published member list */
  gboolean knows_evacuated;    /* the agent has a member list with its own evacuation */
  gboolean server_output_lost; /* the server's packets are lost */
  gint64 paused_until_us;
  gint64 disrupted_until_us;  /* end of the latest pause or silence */
  gint64 silent_until_us;     /* the server's announcements stop until then; 0 when they do not */
  guint64 member_list_number; /* event number of the newest member list applied */
  GBytes *members;            /* that list: array of FsAgent, or NULL */
  guint64 config_version;     /* newest version accepted */
  guint64 previous_version;   /* the one before */
  gint64 config_changed_us;
  guint64 requests_received;
  guint64 initial_packets_received; /* by the server */
} FsAgent;

typedef struct
{
  FtConnection *tcp; /* NULL: sends UDP only */
  guint n_requests;  /* to send in all */
  guint requests_sent;
  guint responses_received;
  guint response_length;
  guint service_ms;
  gint64 think_time_us; /* from a response to the next request */
  gint64 next_request_us;
  gint refused_request; /* number of the refused request, or -1 */
  guint zone;           /* entry zone, from 0 */
  gint holder_index;    /* agent whose server received payload, or -1 */
  guint n_strays;       /* packets at servers of another service since the last at its own */
  gint64 first_stray_us;
  gint64 last_stray_us;
  guint32 delivered_end; /* offset after the last payload byte delivered to a server */
  gboolean path_down;    /* its packets are lost in both directions */
  gboolean may_fail;     /* an unplanned failure hit it */
  gboolean finished;
} FsClient;

typedef struct FsSim FsSim;

/* The context of the callbacks of one agent and its server. */
typedef struct
{
  FsSim *sim;
  guint index;
} FsAgentContext;

struct FsSim
{
  GRand *random;
  GSequence *events;
  guint64 next_event;
  gint64 now_us;
  FsAgent agents[FS_MAX_AGENTS];
  FsAgentContext agent_contexts[FS_MAX_AGENTS];
  guint n_agents;
  WlBalancer *balancers[FS_N_ZONES];
  guint n_balancers;
  guint64 balancer_member_list_numbers[FS_N_ZONES];
  FsClient clients[FS_MAX_CLIENTS];
  guint n_clients;
  GPtrArray *configs; /* of WcConfig, by version - 1 */
  WfOptions options;
  gdouble loss_probability;
  gdouble duplicate_probability;
  gint64 jitter_us;
  gboolean in_zones;               /* zone affinity is on */
  gdouble other_zone_probability;  /* that a packet of a client enters through another zone */
  guint max_chain_hops;            /* most hops of a packet that passed along a chain */
  gint64 balancer_config_delay_us; /* additional delay of configurations to balancers */
  GString *violations;
  gint traced_client; /* client whose packets are printed, or -1 */
  guint udp_responses;
};

/** fs_new() - a simulation of @n_agents endpoints of service "a" that started 15 s ago, so that
 * none of them defers the placement of flows any more */
FsSim *fs_new (guint32 seed, guint n_agents, guint n_slots, gint64 deadline_us);

/** fs_new_in_zones() - fs_new() with zone affinity: agents, balancers and clients are in FS_N_ZONES
 * zones by turns */
FsSim *fs_new_in_zones (guint32 seed, guint n_agents, guint n_slots, gint64 deadline_us);
void fs_free (FsSim *sim);
void fs_run (FsSim *sim, gint64 duration_us);

/** fs_publish_members() - sends the member list to every node after a random delay of less than
 * @max_delay_us */
void fs_publish_members (FsSim *sim, gint64 max_delay_us);

/** fs_publish_members_to() - sends the member list to one agent and one balancer; -1 for none */
void fs_publish_members_to (FsSim *sim, gint agent, gint balancer, gint64 delay_us);

/** fs_start_agent() - adds an agent with a new server; returns its index */
guint fs_start_agent (FsSim *sim, const gchar *service);

/** fs_restart_agent() - replaces the agent process; its server keeps running */
void fs_restart_agent (FsSim *sim, guint index);
void fs_set_draining (FsSim *sim, guint index, gboolean draining);

/** fs_set_evacuated() - evacuates the zone of an agent, or ends that. The nodes, the agent itself
 * included, learn of it with the next member list */
void fs_set_evacuated (FsSim *sim, guint index, gboolean evacuated);
void fs_pause_agent (FsSim *sim, guint index, gint64 duration_us);

/** fs_silence_server() - the server goes on working, but its announcements stop */
void fs_silence_server (FsSim *sim, guint index, gint64 duration_us);

/** fs_publish_config() - sends every node a new version in which FS_SERVICE_ADDRESS belongs to the
 * service @owner, "a" or "b", after a random delay of less than @max_delay_us */
void fs_publish_config (
    FsSim *sim, const gchar *owner, guint n_slots, gint64 deadline_us, gint64 max_delay_us);

/** fs_publish_split() - like fs_publish_config(), with a route that leads to both services by
 * weight */
void fs_publish_split (FsSim *sim, guint weight_a, guint weight_b, gint64 max_delay_us);

/** fs_add_client() - opens a flow that sends @n_requests requests; returns its client */
FsClient *fs_add_client (
    FsSim *sim, guint n_requests, gint64 think_time_us, guint response_length, guint service_ms);
void fs_send_udp (FsSim *sim, guint client, const gchar *text);

/** fs_send_to_agent() - delivers a datagram to the agent's data address */
void fs_send_to_agent (FsSim *sim, guint agent, const guint8 *data, gsize length, gint64 delay_us);

/** fs_sum_counter() - returns the sum of a counter over all agents */
guint64 fs_sum_counter (const FsSim *sim, const gchar *name);

/** fs_flows_held() - returns the flows held by all agents */
guint fs_flows_held (const FsSim *sim);

/** fs_find_holder() - returns the agent whose server has the client's connection, or -1 */
gint fs_find_holder (const FsSim *sim, const FsClient *client);

/** fs_syn_ack_in_flight() - whether a SYN-ACK is on its way to the client */
gboolean fs_syn_ack_in_flight (const FsSim *sim, const FsClient *client);

/** fs_check_finished() - adds a violation for each client that should have finished and has not */
void fs_check_finished (FsSim *sim);
