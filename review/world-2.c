/*
 * Plays one script case of the second review: starts balancers and agents of the project as
 * separate processes on loopback addresses, is their platform (store, routers), their clients and
 * their endpoints, brings the disruption of the case about and checks the rule as RULES.md words
 * it.
 *
 * Usage: world-2 CASE BALANCER-COMMAND AGENT-COMMAND FOLDER RECORD, with CASE "moved-route" or
 * "cut-seeds". TROUBLE=0 in the environment leaves the disruption out; TROUBLE=move and
 * TROUBLE=restart (moved-route) or TROUBLE=cut and TROUBLE=store (cut-seeds) leave out a part of
 * it.
 *
 * Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
 */
#include "net.h"
#include "store.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib-unix.h>

#define MS G_GINT64_CONSTANT (1000)
#define S G_GINT64_CONSTANT (1000000)

/* A deployment of the size of sites/sticla-bv.toml: 6 balancers and 10 endpoints. */
#define BALANCERS 6
#define ENDPOINTS 10
#define SLOTS 4
#define FLOWS 150
#define PROBES 400 /* flows of the case of the cut seeds */
#define ROUTE_PORT 8443
#define PROBE_PORT 50000

/* Bounds of the small site files. */
#define HEARTBEAT_US (1200 * MS)
#define LEAD_US (10 * S)
#define STABILITY_WINDOW_US (4000 * MS)
#define FLOW_REORDER_US (2000 * MS)
#define CONFIG_PROPAGATION_US (3000 * MS)
#define DEADLINE_US (8 * S)
#define WORK_US (30 * MS)
#define IDLE_TIMEOUT_MS 15000
#define BODY_BYTES 5000
/* A reset counts when its seq is this close to the last acknowledgment of the client. */
#define RESET_WINDOW 76800
/* A process that has ended is started again after this time. */
#define RESTART_DELAY_US (100 * MS)

/* The case of the moved route; times after the begin of the traffic. */
#define MOVE_US (3 * S)
#define REQUEST_INTERVAL_US (6 * S)
#define FIRST_REQUEST_US (MOVE_US + CONFIG_PROPAGATION_US + 500 * MS)
#define ROLL_US (25 * S)         /* the first agent is stopped */
#define ROLL_GAP_US (1200 * MS)  /* until the next one */
#define LAST_REQUEST_US (34 * S) /* all agents are back */
#define END_US (LAST_REQUEST_US + DEADLINE_US + 1 * S)

/* The case of the cut seeds. The store is down for long enough that the process that is started
 * again takes the configuration from the members. */
#define CUT_AT_US (2 * S)
#define CUT_US (12 * S)
#define STORE_DOWN_AT_US (CUT_AT_US + 100 * MS)
#define STORE_DOWN_US (3 * S)
#define STORE_UP_AT_US (STORE_DOWN_AT_US + STORE_DOWN_US)
#define KILL_AT_US (STORE_DOWN_AT_US + 100 * MS)
#define CONFIG_AT_US (STORE_UP_AT_US + 200 * MS)
#define PROBE_AT_US (STORE_UP_AT_US + STABILITY_WINDOW_US + 100 * MS)
#define PROBE_INTERVAL_US (200 * MS)
#define PROBE_END_US (CUT_AT_US + CUT_US - 100 * MS)

enum
{
  PORT_CONTROL,
  PORT_DATA,
  PORT_DATAGRAM,
  PORT_READINESS,
  PORT_CONTROL_PLANE,
  PORT_OUTBOUND,
  PORT_APP,
  PORT_STORE,
  PORT_METRICS,
  N_PORTS,
};

/* A service and its route, which leads from an address of its own. */
typedef struct
{
  const gchar *name;
  guint endpoints;
} Service;

static const Service two_services[] = { { "desk", 7 }, { "sheets", 3 }, { NULL, 0 } };
static const Service four_services[] = {
  { "desk", 4 }, { "sheets", 2 }, { "orders", 2 }, { "proofs", 2 }, { NULL, 0 }
};

typedef struct
{
  gchar *name; /* of its machine */
  gchar *identifier;
  const gchar *service;
  gchar *ip;
  guint32 address;
  int fd;
  gint64 born_ms; /* 0: not started */
  guint64 sequence;
  gint64 next_heartbeat_us;
  GHashTable *flows; /* client port to Held */
} Endpoint;

/* A flow at an endpoint. */
typedef struct
{
  Endpoint *endpoint;
  guint32 first; /* sequence number of the SYN+ACK */
  guint32 client_first;
  gboolean open;
  End end;
  gint64 respond_us; /* 0: no request is being worked on */
  gchar request[64];
} Held;

/* A flow at the client. */
typedef struct
{
  guint16 port; /* 0: not opened */
  guint service;
  gint via; /* index of the balancer that it is sent to; -1: the routers choose */
  guint32 first;
  gint64 opened_us; /* first SYN */
  guint syns;
  gboolean open; /* SYN+ACK received */
  End end;
  guint requests, answers;
  gint64 sent_us;
  gboolean reset;   /* by the system, while open */
  gboolean refused; /* by the system, before it was open */
  /* What the endpoints see, for the check of FLOW. */
  Endpoint *holder;
  guint elsewhere; /* packets at other endpoints since the last one at its own */
  guint distinct;  /* of them */
  guint32 sequences[64];
  gint64 first_elsewhere_us;
  gboolean misrouted;
} Flow;

/* A process under test. */
typedef struct
{
  const gchar *command;
  gchar *name;
  GString *settings;
  GPid pid;
  gboolean stopping;
  gint64 restart_us; /* 0: no restart is due */
} Process;

static GMainLoop *loop;
static SoupSession *session;
static FILE *record;
static gint64 begin_us;
static guint16 base_port;
static guint net_b, net_c;
static const Service *services;
static Endpoint endpoints[ENDPOINTS];
static Flow flows[FLOWS];
static Flow probes[PROBES];
static guint probe_count, probes_refused, probes_open;
static gint64 next_probe_us, next_request_us;
static gchar *balancer_ips[BALANCERS];
static gboolean balancer_ready[BALANCERS];
static Process processes[BALANCERS + ENDPOINTS];
static gboolean ended_by_itself;
static int client_fd;
static guint32 client_address, first_route_address;
static gboolean cut_seeds; /* the case */
static gboolean moves_route, restarts_agents, cuts_seeds, disturbs_store;
static gboolean troubled;
static gchar *folder;
static const gchar *balancer_command, *agent_command;
static guint step, rolled;
static gboolean broken;
static gboolean could_not_run;
static gboolean finished;

G_GNUC_PRINTF (1, 2)
static void
note (const gchar *format, ...)
{
  va_list arguments;

  fprintf (record, "%8.3f  ", (gdouble) (g_get_monotonic_time () - begin_us) / S);
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fputc ('\n', record);
  fflush (record);
}

static guint
port_of (guint purpose)
{
  return base_port + purpose;
}

static guint32
parse_ip (const gchar *ip)
{
  struct in_addr address;

  inet_pton (AF_INET, ip, &address);
  return ntohl (address.s_addr);
}

static int
udp_socket (guint32 address, guint port)
{
  struct sockaddr_in local = { .sin_family = AF_INET,
                               .sin_port = htons ((guint16) port),
                               .sin_addr.s_addr = htonl (address) };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd >= 0 && bind (fd, (struct sockaddr *) &local, sizeof local) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void
send_udp (int fd, guint32 address, guint port, const guint8 *bytes, gsize length)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons ((guint16) port),
                            .sin_addr.s_addr = htonl (address) };

  (void) !sendto (fd, bytes, length, 0, (struct sockaddr *) &to, sizeof to);
}

static gint64
traffic_us (void)
{
  return g_get_monotonic_time () - begin_us - LEAD_US;
}

/* Endpoints. */

static void
endpoint_send (gpointer context, const guint8 *bytes, gsize length)
{
  Endpoint *endpoint = context;

  send_udp (endpoint->fd, endpoint->address, port_of (PORT_OUTBOUND), bytes, length);
}

static Flow *
flow_of (guint16 port)
{
  guint i;

  if (port >= PROBE_PORT && port < PROBE_PORT + probe_count)
    return &probes[port - PROBE_PORT];
  for (i = 0; i < FLOWS; i++)
    if (flows[i].port == port)
      return &flows[i];
  return NULL;
}

/* A packet of a client reaches an endpoint: what the rule FLOW counts. */
static void
count_arrival (Endpoint *endpoint, const Packet *packet)
{
  Flow *flow = flow_of (packet->source_port);
  guint i;

  if (flow == NULL || flow->holder == NULL)
    return;
  if (flow->holder == endpoint)
    {
      flow->elsewhere = flow->distinct = 0;
      return;
    }
  note ("flow %u: packet %u (%u bytes) reaches %s, but %s holds the flow", flow->port,
        packet->sequence - flow->first, (guint) packet->length, endpoint->name, flow->holder->name);
  if (flow->elsewhere++ == 0)
    flow->first_elsewhere_us = g_get_monotonic_time ();
  for (i = 0; i < flow->distinct && flow->sequences[i] != packet->sequence; i++)
    ;
  if (i == flow->distinct && flow->distinct < G_N_ELEMENTS (flow->sequences))
    flow->sequences[flow->distinct++] = packet->sequence;
}

static void
bounce (Endpoint *endpoint, const guint8 *bytes, gsize length)
{
  g_autofree guint8 *copy = g_memdup2 (bytes, length);

  copy[24] |= FLAG_BOUNCED;
  memset (copy + 25, 0, 3);
  endpoint_send (endpoint, copy, length);
}

static void
take_syn (Endpoint *endpoint, const Packet *packet)
{
  Held *held = g_hash_table_lookup (endpoint->flows, GUINT_TO_POINTER (packet->source_port));

  if (held == NULL)
    {
      held = g_new0 (Held, 1);
      held->endpoint = endpoint;
      held->first = g_random_int ();
      held->client_first = packet->sequence;
      held->end = (End){ .local = packet->destination,
                         .local_port = packet->destination_port,
                         .remote = packet->source,
                         .remote_port = packet->source_port,
                         .send = endpoint_send,
                         .context = endpoint };
      end_open (&held->end, held->first + 1, packet->sequence + 1);
      g_hash_table_replace (endpoint->flows, GUINT_TO_POINTER (packet->source_port), held);
    }
  end_send_flags (&held->end, FLAG_SYN | FLAG_ACK, held->first, held->client_first + 1);
}

/* Begins to work on a request when it is there as a whole. */
static void
take_request (Held *held)
{
  const gchar *text = (const gchar *) held->end.in->data;
  const gchar *header_end, *length_at, *id_at;
  gsize total;

  if (held->end.in->len == 0 || held->respond_us != 0)
    return;
  header_end = g_strstr_len (text, held->end.in->len, "\r\n\r\n");
  length_at = g_strstr_len (text, held->end.in->len, "Content-Length: ");
  id_at = g_strstr_len (text, held->end.in->len, "Request-Id: ");
  if (header_end == NULL || length_at == NULL || id_at == NULL)
    return;
  total = (gsize) (header_end + 4 - text) + g_ascii_strtoull (length_at + 16, NULL, 10);
  if (held->end.in->len < total)
    return;
  g_strlcpy (held->request, id_at + 12, sizeof held->request);
  held->request[strcspn (held->request, "\r")] = '\0';
  g_byte_array_remove_range (held->end.in, 0, (guint) total);
  held->respond_us = g_get_monotonic_time () + WORK_US;
  note ("%s runs request %s", held->endpoint->name, held->request);
}

static void
open_at_endpoint (Endpoint *endpoint, Held *held, guint16 port)
{
  Flow *flow = flow_of (port);

  held->open = TRUE;
  if (flow == NULL)
    return;
  flow->holder = endpoint;
  note ("flow %u is open at %s", port, endpoint->name);
}

static void
endpoint_take (Endpoint *endpoint, const guint8 *bytes, gsize length)
{
  Packet packet;
  Held *held;

  if (!packet_read (bytes, length, &packet))
    return;
  if (!packet_is_intact (bytes, length))
    note ("%s gets a packet that its sender didn't write so", endpoint->name);
  count_arrival (endpoint, &packet);
  if (packet.flags == FLAG_SYN)
    {
      take_syn (endpoint, &packet);
      return;
    }
  held = g_hash_table_lookup (endpoint->flows, GUINT_TO_POINTER (packet.source_port));
  if (held == NULL || (!held->open && packet.acknowledgment != held->first + 1))
    {
      bounce (endpoint, bytes, length);
      return;
    }
  if (!held->open)
    open_at_endpoint (endpoint, held, packet.source_port);
  end_receive (&held->end, &packet, g_get_monotonic_time ());
  take_request (held);
}

static gboolean
endpoint_readable (gint fd, GIOCondition condition, gpointer data)
{
  guint8 bytes[2048];
  gssize length;

  while ((length = recv (fd, bytes, sizeof bytes, 0)) > 0)
    endpoint_take (data, bytes, (gsize) length);
  return G_SOURCE_CONTINUE;
}

static void
heartbeat_done (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
}

static guint
endpoint_index (const Endpoint *endpoint)
{
  return (guint) (endpoint - endpoints);
}

static void
send_heartbeat (Endpoint *endpoint)
{
  g_autofree gchar *text = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"z%u\","
      "\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
      "\"cold_remaining_ms\":0,\"sequence\":%" G_GUINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT "}",
      endpoint->service, endpoint->ip, port_of (PORT_APP), endpoint_index (endpoint) % 3, SLOTS,
      ++endpoint->sequence, endpoint->born_ms);
  g_autofree gchar *url = g_strdup_printf ("http://%s:%u/v1/instances/%s", endpoint->ip,
                                           port_of (PORT_CONTROL_PLANE), endpoint->identifier);
  g_autoptr (SoupMessage) message = soup_message_new ("PUT", url);
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));

  soup_message_set_request_body_from_bytes (message, "application/json", body);
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL, heartbeat_done,
                                    NULL);
}

static void
respond (Endpoint *endpoint, Held *held, gint64 now_us)
{
  g_autofree gchar *body = g_strdup_printf ("done %s by %s", held->request, endpoint->name);
  g_autofree gchar *text =
      g_strdup_printf ("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nContent-Length: %u\r\n\r\n%s",
                       endpoint->identifier, (guint) strlen (body), body);

  held->respond_us = 0;
  end_write (&held->end, text, strlen (text), now_us);
}

static void
endpoint_tick (Endpoint *endpoint, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (endpoint->born_ms == 0)
    return;
  if (now_us >= endpoint->next_heartbeat_us)
    {
      endpoint->next_heartbeat_us = now_us + HEARTBEAT_US;
      send_heartbeat (endpoint);
    }
  g_hash_table_iter_init (&iter, endpoint->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Held *held = value;

      if (!held->open)
        continue;
      end_tick (&held->end, now_us);
      if (held->respond_us != 0 && now_us >= held->respond_us)
        respond (endpoint, held, now_us);
    }
}

/* Clients and routers. */

/* The routers hash the four addresses and ports over the balancers in rotation. */
static void
client_send (gpointer context, const guint8 *bytes, gsize length)
{
  const Flow *flow = context;
  guint choices[BALANCERS];
  guint count = 0, balancer, i;

  for (i = 0; i < BALANCERS; i++)
    if (balancer_ready[i])
      choices[count++] = i;
  if (flow->via >= 0)
    balancer = (guint) flow->via;
  else
    balancer = count > 0 ? choices[flow->port * 2654435761U % count] : flow->port % BALANCERS;
  send_udp (client_fd, parse_ip (balancer_ips[balancer]), port_of (PORT_DATAGRAM), bytes, length);
}

static void
flow_open (Flow *flow, guint16 port, guint service, gint via)
{
  *flow = (Flow){ .port = port, .service = service, .via = via, .first = g_random_int () };
  flow->opened_us = g_get_monotonic_time ();
  flow->end = (End){ .local = client_address,
                     .local_port = port,
                     .remote = first_route_address + service,
                     .remote_port = ROUTE_PORT,
                     .send = client_send,
                     .context = flow };
  flow->syns = 1;
  end_send_flags (&flow->end, FLAG_SYN, flow->first, 0);
}

static void
flow_request (Flow *flow)
{
  g_autofree gchar *body = g_strnfill (BODY_BYTES, 'x');
  g_autofree gchar *text =
      g_strdup_printf ("POST /work HTTP/1.1\r\nRequest-Id: q-%u-%u\r\nContent-Length: %u\r\n\r\n%s",
                       flow->port, flow->requests, BODY_BYTES, body);

  note ("flow %u: client sends request q-%u-%u", flow->port, flow->port, flow->requests);
  flow->requests++;
  flow->sent_us = g_get_monotonic_time ();
  end_write (&flow->end, text, strlen (text), flow->sent_us);
}

static void
take_answer (Flow *flow)
{
  const gchar *text = (const gchar *) flow->end.in->data;
  const gchar *header_end, *length_at;
  gsize total;

  if (flow->end.in->len == 0)
    return;
  header_end = g_strstr_len (text, flow->end.in->len, "\r\n\r\n");
  length_at = g_strstr_len (text, flow->end.in->len, "Content-Length: ");
  if (header_end == NULL || length_at == NULL)
    return;
  total = (gsize) (header_end + 4 - text) + g_ascii_strtoull (length_at + 16, NULL, 10);
  if (flow->end.in->len < total)
    return;
  note ("flow %u: client gets \"%.*s\"", flow->port,
        (gint) (total - (gsize) (header_end + 4 - text)), header_end + 4);
  g_byte_array_remove_range (flow->end.in, 0, (guint) total);
  flow->answers++;
}

/* A reset of the system's own: a refusal, or on an open flow whose endpoint lives and has sent none
 * a broken promise. */
static void
take_reset (Flow *flow, const Packet *packet, guint32 from)
{
  gint32 distance = flow->open ? (gint32) (packet->sequence - flow->end.receive_next) : 0;
  gboolean valid = packet->sum == 0 && packet->length == 0 && ABS (distance) <= RESET_WINDOW;

  note ("flow %u to %s: client gets a %s reset from 127.%u.%u.%u%s", flow->port,
        services[flow->service].name, valid ? "valid" : "meaningless", (from >> 16) & 255,
        (from >> 8) & 255, from & 255, flow->open ? " on the open flow" : "");
  if (!valid)
    return;
  if (flow->open)
    flow->reset = TRUE;
  else
    flow->refused = TRUE;
}

static void
client_take (const guint8 *bytes, gsize length, guint32 from)
{
  Packet packet;
  Flow *flow;

  if (!packet_read (bytes, length, &packet) || (flow = flow_of (packet.destination_port)) == NULL ||
      flow->reset || flow->refused)
    return;
  if (packet.flags & FLAG_RST)
    {
      take_reset (flow, &packet, from);
      return;
    }
  if (!packet_is_intact (bytes, length))
    note ("flow %u: client gets a packet that its sender didn't write so", flow->port);
  if ((packet.flags & FLAG_SYN) && !flow->open)
    {
      flow->open = TRUE;
      end_open (&flow->end, flow->first + 1, packet.sequence + 1);
      flow_request (flow);
      return;
    }
  if ((packet.flags & FLAG_SYN) || !flow->open)
    return;
  end_receive (&flow->end, &packet, g_get_monotonic_time ());
  take_answer (flow);
}

static gboolean
client_readable (gint fd, GIOCondition condition, gpointer data)
{
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  guint8 bytes[2048];
  gssize length;

  while ((length = recvfrom (fd, bytes, sizeof bytes, 0, (struct sockaddr *) &from, &size)) > 0)
    client_take (bytes, (gsize) length, ntohl (from.sin_addr.s_addr));
  return G_SOURCE_CONTINUE;
}

static void
flow_tick (Flow *flow, gint64 now_us)
{
  static const gint64 copies_us[] = { 0, 200 * MS, 600 * MS };

  if (flow->port == 0 || flow->reset || flow->refused)
    return;
  if (!flow->open)
    {
      if (flow->syns < G_N_ELEMENTS (copies_us) &&
          now_us - flow->opened_us >= copies_us[flow->syns])
        {
          end_send_flags (&flow->end, FLAG_SYN, flow->first, flow->syns);
          flow->syns++;
        }
      return;
    }
  if (flow->answers == flow->requests || now_us - flow->sent_us < DEADLINE_US)
    end_tick (&flow->end, now_us);
  if (flow->elsewhere >= 3 && flow->distinct >= 3 && !flow->misrouted &&
      now_us - flow->first_elsewhere_us >= FLOW_REORDER_US)
    {
      flow->misrouted = TRUE;
      note ("FLOW (b): for %d ms %u packets of flow %u (%u different ones) reached other endpoints "
            "and none its own, %s",
            (gint) ((now_us - flow->first_elsewhere_us) / MS), flow->elsewhere, flow->port,
            flow->distinct, flow->holder->name);
    }
}

static void
readiness_done (GObject *source, GAsyncResult *result, gpointer data)
{
  guint index = GPOINTER_TO_UINT (data);
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  gboolean ready = body != NULL && soup_message_get_status (message) == 200;

  if (ready != balancer_ready[index])
    note ("frontend-%u is %s", index + 1, ready ? "ready" : "not ready");
  balancer_ready[index] = ready;
}

static gboolean
check_readiness (gpointer data)
{
  guint i;

  for (i = 0; i < BALANCERS; i++)
    {
      g_autofree gchar *url =
          g_strdup_printf ("http://%s:%u/v1/readiness", balancer_ips[i], port_of (PORT_READINESS));
      g_autoptr (SoupMessage) message = soup_message_new ("GET", url);

      soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL, readiness_done,
                                        GUINT_TO_POINTER (i));
    }
  return G_SOURCE_CONTINUE;
}

/* The operator. */

static guint
count_services (void)
{
  guint count = 0;

  while (services[count].name != NULL)
    count++;
  return count;
}

/* Writes a configuration with a route for each service. @moved_to is where the route of the service
 * "sheets" leads, or NULL. The first @routes routes are in it. */
static void
write_config (guint version, guint routes, const gchar *moved_to, guint idle_ms)
{
  g_autoptr (GString) text = g_string_new (NULL);
  guint i;

  g_string_append_printf (text, "{\"version\":%u,\"routes\":[", version);
  for (i = 0; i < routes; i++)
    {
      const gchar *name = services[i].name;
      const gchar *target = moved_to != NULL && strcmp (name, "sheets") == 0 ? moved_to : name;

      g_string_append_printf (
          text,
          "%s{\"name\":\"r-%s\",\"host\":\"127.%u.%u.%u\",\"path_prefix\":\"/%u/\","
          "\"kind\":\"unsafe\",\"timeout_ms\":%u,\"target_latency_ms\":500,\"priority\":1,"
          "\"service\":\"%s\",\"max_attempts\":2}",
          i > 0 ? "," : "", name, net_b, net_c, (first_route_address & 255) + i, ROUTE_PORT,
          (guint) (DEADLINE_US / MS), target);
    }
  g_string_append (text, "],\"services\":[");
  for (i = 0; services[i].name != NULL; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"%s\",\"health_check_path\":\"/health\","
                            "\"flow_limit\":2000,\"protocol\":\"h1\",\"tls\":false,"
                            "\"cold_start_s\":2.0,\"cold_per_s\":0.0}",
                            i > 0 ? "," : "", services[i].name);
  g_string_append_printf (text,
                          "],\"limits\":{\"header_bytes\":16384,\"body_bytes\":262144,"
                          "\"header_timeout_ms\":3000,\"idle_timeout_ms\":%u}}",
                          idle_ms);
  (void) store_put ("config", "main", text->str);
  note ("operator: version %u acknowledged: %u routes%s%s", version, routes,
        moved_to != NULL ? ", r-sheets leads new flows to " : "", moved_to != NULL ? moved_to : "");
}

/* The processes under test. */

static GString *
common_settings (const gchar *name, const gchar *zone, const gchar *ip)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (
      text,
      "name = \"%s\"\nhost = \"%s\"\navailability_zone = \"%s\"\ncontrol_address = \"%s:%u\"\n"
      "data_address = \"%s:%u\"\ncontrol_limit = 8192\nplatform = \"http://127.%u.%u.1:%u\"\n"
      "platform_protocol = \"objects-v1\"\ncontacts = [\"%s:%u\",\"%s:%u\",\"%s:%u\"]\n"
      "contacts_control_port = %u\nreadiness_address = \"%s:%u\"\nmetrics_address = \"%s:%u\"\n",
      name, name, zone, ip, port_of (PORT_CONTROL), ip, port_of (PORT_DATA), net_b, net_c,
      port_of (PORT_STORE), balancer_ips[0], port_of (PORT_CONTROL_PLANE), balancer_ips[1],
      port_of (PORT_CONTROL_PLANE), balancer_ips[2], port_of (PORT_CONTROL_PLANE),
      port_of (PORT_CONTROL), ip, port_of (PORT_READINESS), ip, port_of (PORT_METRICS));
  return text;
}

static void spawn (Process *process);

static void
process_ended (GPid pid, gint status, gpointer data)
{
  Process *process = data;

  process->pid = 0;
  if (finished)
    return;
  note ("%s has ended%s", process->name, process->stopping ? "" : " by itself");
  if (!process->stopping)
    ended_by_itself = TRUE;
  process->stopping = FALSE;
  process->restart_us = g_get_monotonic_time () + RESTART_DELAY_US;
}

static void
spawn (Process *process)
{
  g_autofree gchar *file = g_strdup_printf ("%s/%s.toml", folder, process->name);
  g_autofree gchar *log = g_strdup_printf ("%s/%s.log", folder, process->name);
  g_autofree gchar *line = g_strdup_printf ("%s --settings %s", process->command, file);
  g_auto (GStrv) words = g_strsplit (line, " ", -1);

  process->restart_us = 0;
  if (!g_file_set_contents (file, process->settings->str, -1, NULL))
    {
      could_not_run = TRUE;
      return;
    }
  process->pid = fork ();
  if (process->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

      dup2 (fd, 1);
      dup2 (fd, 2);
      execv (words[0], words);
      _exit (127);
    }
  g_child_watch_add (process->pid, process_ended, process);
}

static void
start_balancer (guint index)
{
  Process *process = &processes[index];
  g_autofree gchar *zone = g_strdup_printf ("z%u", index % 3);
  const gchar *ip = balancer_ips[index];

  process->command = balancer_command;
  process->name = g_strdup_printf ("frontend-%u", index + 1);
  process->settings = common_settings (process->name, zone, ip);
  g_string_append_printf (process->settings,
                          "link_capacity = \"1000.0Mbit/s\"\nservers_address = \"%s:%u\"\n"
                          "[network]\nkind = \"direct\"\naddress = \"%s:%u\"\n",
                          ip, port_of (PORT_CONTROL_PLANE), ip, port_of (PORT_DATAGRAM));
  spawn (process);
}

static void
start_agent (guint index)
{
  const Endpoint *endpoint = &endpoints[index];
  Process *process = &processes[BALANCERS + index];
  g_autofree gchar *zone = g_strdup_printf ("z%u", index % 3);

  process->command = agent_command;
  process->name = g_strdup (endpoint->name);
  process->settings = common_settings (process->name, zone, endpoint->ip);
  g_string_append_printf (
      process->settings,
      "service = \"%s\"\nservers_address = \"%s:%u\"\nserver_interval = \"1200ms\"\n"
      "stop_limit = \"2s\"\nleave_linger = \"1500ms\"\n[network]\nkind = \"direct\"\n"
      "address = \"%s:%u\"\n[server]\nkind = \"udp\"\naddress = \"%s:%u\"\npeer = \"%s:%u\"\n",
      endpoint->service, endpoint->ip, port_of (PORT_CONTROL_PLANE), endpoint->ip,
      port_of (PORT_DATAGRAM), endpoint->ip, port_of (PORT_OUTBOUND), endpoint->ip,
      port_of (PORT_APP));
  spawn (process);
}

static void
stop_process (Process *process, int signal_number)
{
  if (process->pid == 0)
    return;
  note ("%s gets %s", process->name, signal_number == SIGTERM ? "SIGTERM" : "SIGKILL");
  process->stopping = TRUE;
  kill (process->pid, signal_number);
}

static void
held_free (gpointer data)
{
  Held *held = data;

  end_clear (&held->end);
  g_free (held);
}

/* Binds the stand-ins' sockets. Return: FALSE when the ports are in use */
static gboolean
open_sockets (void)
{
  g_autofree gchar *store_ip = g_strdup_printf ("127.%u.%u.1", net_b, net_c);
  guint i;

  client_fd = udp_socket (client_address, port_of (PORT_DATAGRAM));
  if (client_fd < 0 || !store_open (store_ip, port_of (PORT_STORE), NULL))
    return FALSE;
  g_unix_fd_add (client_fd, G_IO_IN, client_readable, NULL);
  for (i = 0; i < ENDPOINTS; i++)
    {
      endpoints[i].fd = udp_socket (endpoints[i].address, port_of (PORT_APP));
      if (endpoints[i].fd < 0)
        return FALSE;
      g_unix_fd_add (endpoints[i].fd, G_IO_IN, endpoint_readable, &endpoints[i]);
    }
  return TRUE;
}

static void
prepare (void)
{
  guint i, service = 0, number = 0;

  net_b = 1 + (guint) getpid () / 250 % 250;
  net_c = 1 + (guint) getpid () % 250;
  base_port = (guint16) (20000 + (guint) getpid () % 800 * 10);
  client_address = (127U << 24) | (net_b << 16) | (net_c << 8) | 240;
  first_route_address = client_address + 10;
  for (i = 0; i < BALANCERS; i++)
    balancer_ips[i] = g_strdup_printf ("127.%u.%u.%u", net_b, net_c, 11 + i);
  for (i = 0; i < ENDPOINTS; i++)
    {
      Endpoint *endpoint = &endpoints[i];

      if (number == services[service].endpoints)
        {
          service++;
          number = 0;
        }
      endpoint->service = services[service].name;
      endpoint->name = g_strdup_printf ("side-%s-%u", endpoint->service, ++number);
      endpoint->identifier = g_strdup_printf ("i-%08x", g_random_int ());
      endpoint->ip = g_strdup_printf ("127.%u.%u.%u", net_b, net_c, 101 + i);
      endpoint->address = parse_ip (endpoint->ip);
      endpoint->flows = g_hash_table_new_full (NULL, NULL, NULL, held_free);
    }
}

/* Starts the machines; the endpoints follow their nodes within 0.3 s. */
static void
start_machines (gint64 now_us)
{
  guint i;

  for (i = 0; i < BALANCERS; i++)
    start_balancer (i);
  for (i = 0; i < ENDPOINTS; i++)
    start_agent (i);
  for (i = 0; i < ENDPOINTS; i++)
    {
      endpoints[i].born_ms = g_get_real_time () / MS + 200;
      endpoints[i].next_heartbeat_us = now_us + 200 * MS + i * HEARTBEAT_US / ENDPOINTS;
    }
  note ("%u balancers and %u agents started", BALANCERS, ENDPOINTS);
}

static void
check_all_ready (void)
{
  guint i;

  for (i = 0; i < BALANCERS; i++)
    if (!balancer_ready[i])
      could_not_run = TRUE;
}

static void
end_case (void)
{
  step = 100;
  g_main_loop_quit (loop);
}

/* The case of the moved route. */

static void
send_requests (void)
{
  guint i;

  for (i = 0; i < FLOWS; i++)
    if (flows[i].open && !flows[i].reset)
      flow_request (&flows[i]);
}

/* Stops three of ten agents in turn: one of a holder, then two that are homes of its flows. */
static void
roll_agents (void)
{
  static const guint order[] = { 7, 0, 1 };

  if (!restarts_agents || rolled == G_N_ELEMENTS (order) ||
      traffic_us () < ROLL_US + rolled * ROLL_GAP_US)
    return;
  stop_process (&processes[BALANCERS + order[rolled++]], SIGTERM);
}

static void
finish_moved_route (void)
{
  guint misrouted = 0, reset = 0, unanswered = 0;
  guint i;

  for (i = 0; i < FLOWS; i++)
    {
      misrouted += flows[i].misrouted;
      reset += flows[i].reset;
      unanswered += flows[i].answers < flows[i].requests;
      if (flows[i].holder == NULL || flows[i].answers == 0)
        could_not_run = TRUE;
    }
  broken = misrouted > 0 || reset > 0 || (!troubled && unanswered > 0);
  note ("flows: %u, open flows reset by the system: %u, misrouted as FLOW (b) says: %u, flows with "
        "a request that was never answered: %u",
        FLOWS, reset, misrouted, unanswered);
  end_case ();
}

static void
play_moved_route (gint64 now_us)
{
  guint i;

  roll_agents ();
  switch (step)
    {
    case 2:
      for (i = 0; i < FLOWS; i++)
        flow_open (&flows[i], (guint16) (40000 + i), 1, -1);
      step++;
      break;
    case 3:
      if (traffic_us () < MOVE_US)
        break;
      write_config (9, 2, moves_route ? "desk" : NULL, IDLE_TIMEOUT_MS);
      next_request_us = begin_us + LEAD_US + FIRST_REQUEST_US;
      step++;
      break;
    case 4:
      if (now_us < next_request_us)
        break;
      if (traffic_us () >= LAST_REQUEST_US)
        step++;
      else if (traffic_us () >= ROLL_US - REQUEST_INTERVAL_US)
        next_request_us = begin_us + LEAD_US + LAST_REQUEST_US;
      else
        next_request_us += REQUEST_INTERVAL_US;
      send_requests ();
      break;
    case 5:
      if (traffic_us () >= END_US)
        finish_moved_route ();
      break;
    default:
      break;
    }
}

/* The case of the cut seeds. */

/* Cuts two of the three seeds off, or ends that: a stopped process neither answers nor sends. */
static void
signal_cut_seeds (int signal_number)
{
  guint i;

  for (i = 1; i <= 2; i++)
    if (processes[i].pid != 0)
      kill (processes[i].pid, signal_number);
  note ("frontend-2 and frontend-3 are %s", signal_number == SIGSTOP ? "cut off" : "back");
}

static void
send_probes (gint64 now_us)
{
  guint service;

  if (now_us < next_probe_us || probe_count + count_services () > PROBES)
    return;
  next_probe_us = now_us + PROBE_INTERVAL_US;
  if (!balancer_ready[0])
    return;
  for (service = 0; services[service].name != NULL; service++)
    {
      Flow *flow = &probes[probe_count++];

      flow_open (flow, (guint16) (PROBE_PORT + probe_count - 1), service, 0);
    }
}

static void
finish_cut_seeds (void)
{
  guint i;

  for (i = 0; i < probe_count; i++)
    {
      probes_refused += probes[i].refused;
      probes_open += probes[i].open;
    }
  note ("flows sent to frontend-1: %u, opened: %u, refused by a reset: %u", probe_count,
        probes_open, probes_refused);
  broken = probes_refused > 0;
  if (probe_count == 0 || probes_open == 0)
    could_not_run = TRUE;
  end_case ();
}

static void
play_cut_seeds (gint64 now_us)
{
  switch (step)
    {
    case 2:
      if (traffic_us () < CUT_AT_US)
        break;
      if (cuts_seeds)
        signal_cut_seeds (SIGSTOP);
      step++;
      break;
    case 3:
      if (traffic_us () < STORE_DOWN_AT_US)
        break;
      store_set_silent (disturbs_store);
      if (disturbs_store)
        note ("the store is down (silent)");
      step++;
      break;
    case 4:
      if (traffic_us () < KILL_AT_US)
        break;
      if (troubled)
        stop_process (&processes[0], SIGKILL);
      step++;
      break;
    case 5:
      if (traffic_us () < STORE_UP_AT_US)
        break;
      store_set_silent (FALSE);
      if (disturbs_store)
        note ("the store is back");
      step++;
      break;
    case 6:
      if (traffic_us () < CONFIG_AT_US)
        break;
      write_config (9, count_services (), NULL, IDLE_TIMEOUT_MS);
      step++;
      break;
    case 7:
      if (traffic_us () < PROBE_AT_US)
        break;
      send_probes (now_us);
      if (traffic_us () >= PROBE_END_US)
        step++;
      break;
    case 8:
      if (traffic_us () < CUT_AT_US + CUT_US)
        break;
      if (cuts_seeds)
        signal_cut_seeds (SIGCONT);
      step++;
      break;
    case 9:
      if (traffic_us () >= CUT_AT_US + CUT_US + 2 * S)
        finish_cut_seeds ();
      break;
    default:
      break;
    }
}

static gboolean
tick (gpointer data)
{
  gint64 now_us = g_get_monotonic_time ();
  guint i;

  for (i = 0; i < ENDPOINTS; i++)
    endpoint_tick (&endpoints[i], now_us);
  for (i = 0; i < FLOWS; i++)
    flow_tick (&flows[i], now_us);
  for (i = 0; i < probe_count; i++)
    flow_tick (&probes[i], now_us);
  for (i = 0; i < G_N_ELEMENTS (processes); i++)
    if (processes[i].restart_us != 0 && now_us >= processes[i].restart_us)
      {
        note ("%s is started again", processes[i].name);
        spawn (&processes[i]);
      }
  if (step == 0)
    {
      start_machines (now_us);
      step++;
    }
  else if (step == 1 && traffic_us () >= 0)
    {
      check_all_ready ();
      note ("traffic starts");
      step++;
    }
  else if (step > 1 && cut_seeds)
    play_cut_seeds (now_us);
  else if (step > 1)
    play_moved_route (now_us);
  if (ended_by_itself)
    {
      broken = TRUE;
      end_case ();
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
interrupted (gpointer data)
{
  could_not_run = TRUE;
  g_main_loop_quit (loop);
  return G_SOURCE_CONTINUE;
}

static void
end_processes (void)
{
  guint i;

  finished = TRUE;
  for (i = 0; i < G_N_ELEMENTS (processes); i++)
    if (processes[i].pid > 0)
      kill (processes[i].pid, SIGKILL);
  for (i = 0; i < G_N_ELEMENTS (processes); i++)
    if (processes[i].pid > 0)
      (void) waitpid (processes[i].pid, NULL, 0);
}

static void
read_trouble (void)
{
  const gchar *option = g_getenv ("TROUBLE");
  gboolean all = option == NULL || strcmp (option, "1") == 0;

  moves_route = all || strcmp (option, "move") == 0;
  restarts_agents = all || strcmp (option, "restart") == 0;
  cuts_seeds = all || strcmp (option, "cut") == 0;
  disturbs_store = all || strcmp (option, "store") == 0;
  troubled = option == NULL || strcmp (option, "0") != 0;
}

int
main (int argc, char **argv)
{
  if (argc != 6)
    return 2;
  cut_seeds = strcmp (argv[1], "cut-seeds") == 0;
  services = cut_seeds ? four_services : two_services;
  balancer_command = argv[2];
  agent_command = argv[3];
  folder = argv[4];
  record = fopen (argv[5], "w");
  if (record == NULL)
    return 2;
  read_trouble ();
  loop = g_main_loop_new (NULL, FALSE);
  session = soup_session_new_with_options ("timeout", 1, "proxy-resolver", NULL, "max-conns", 200,
                                           "max-conns-per-host", 8, NULL);
  begin_us = g_get_monotonic_time ();
  prepare ();
  note ("case %s, %s the disruption", argv[1], troubled ? "with" : "without");
  if (!open_sockets ())
    {
      note ("the ports are in use");
      return 2;
    }
  /* The route of the last service is added later. */
  write_config (4, cut_seeds ? count_services () - 1 : count_services (), NULL, IDLE_TIMEOUT_MS);
  g_timeout_add (2, tick, NULL);
  g_timeout_add (500, check_readiness, NULL);
  g_unix_signal_add (SIGTERM, interrupted, NULL);
  g_unix_signal_add (SIGINT, interrupted, NULL);
  g_main_loop_run (loop);
  end_processes ();
  note ("result: %s", could_not_run ? "could not run" : broken ? "broken" : "held");
  return could_not_run ? 2 : broken ? 1 : 0;
}
