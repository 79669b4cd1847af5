/*
 * Plays one case of the review: starts balancers and agents of the project as separate processes on
 * loopback addresses, is their platform (store, routers), their clients and their endpoints, brings
 * the disruption of the case about and checks the rules FLOW and FAILBACK as RULES.md words them.
 *
 * Usage: world CASE BALANCER-COMMAND AGENT-COMMAND FOLDER RECORD, with CASE "move-route",
 * "foreign-heartbeat", "cold-endpoint" or "returning-zone"; TROUBLE=0 in the environment leaves the
 * disruption out.
 *
 * Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
 */
#include "net.h"
#include "store.h"

#include <arpa/inet.h>
#include <errno.h>
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

/* A small deployment: two services, three zones. */
#define BALANCERS 3
#define DESKS 5  /* endpoints of the service "desk" */
#define SHEETS 3 /* endpoints of the service "sheets" */
#define ENDPOINTS (DESKS + SHEETS)
#define SLOTS 4
#define FLOWS 24
#define ROUTE_PORT 8443

/* Bounds of the small site files. */
#define HEARTBEAT_US (1200 * MS)
#define LEAD_US (10 * S)
#define FLOW_REORDER_US (2000 * MS)
#define CONFIG_PROPAGATION_US (3000 * MS)
#define DEADLINE_US (8 * S)
#define WORK_US (30 * MS)
#define LONG_WORK_US (300 * MS) /* less than the longest work of the small sites, 350 ms */
#define IDLE_TIMEOUT_MS 15000

/* The case of the cold endpoint: bounds and times of the sites that have cold endpoints. */
#define COLD_ENDPOINT 4 /* index of the endpoint that is added */
#define COLD_START_MS 2000
#define COLD_PER_S 4
#define COLD_OVERAGE 1.5
#define COLD_SLACK 5
#define LOAD_PER_S 240
#define LOAD_END_US (6 * S)
#define ADDED_US (2 * S)          /* after the begin of the traffic */
#define STORE_DOWN_US (4500 * MS) /* from half a second before */
#define LOAD_PORT 10000

/* The case of the returning zone. */
#define ZONE 1                    /* index of the zone that is evacuated */
#define EVACUATED_US (1 * S)      /* after the begin of the traffic */
#define EVACUATION_US (8 * S)     /* until it is taken back */
#define COLD_BEFORE_US (300 * MS) /* its endpoints become cold this long before that */
#define RETURN_LOAD_END_US (12 * S)
#define BODY_BYTES 12000
/* A reset counts when its seq is this close to the last acknowledgment of the client. */
#define RESET_WINDOW 76800

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

typedef struct Flow Flow;

typedef struct
{
  gchar *name; /* of its machine */
  gchar *identifier;
  const gchar *service;
  gchar *ip;
  guint32 address;
  int fd;
  gint64 born_ms;
  guint64 sequence;
  gint64 next_heartbeat_us;
  GHashTable *flows; /* client port to Held */
  guint busy;
} Endpoint;

/* A flow at an endpoint. */
typedef struct
{
  Endpoint *endpoint;
  guint16 port;
  guint32 first; /* sequence number of the SYN+ACK */
  guint32 client_first;
  gboolean open;
  gboolean ended;
  End end;
  gint64 respond_us; /* 0: no request is being worked on */
  gchar request[64];
} Held;

/* A flow at the client. */
struct Flow
{
  guint16 port;
  guint32 first;
  gint64 opened_us; /* first SYN */
  guint syns;
  gboolean open; /* SYN+ACK received */
  gboolean has_end;
  End end;
  guint requests, answers;
  gint64 sent_us;
  gboolean reset; /* by the system, while open */
  /* What the endpoints see, for the check. */
  Endpoint *holder;
  guint elsewhere; /* packets at other endpoints since the last one at its own */
  guint distinct;
  guint32 sequences[64];
  gint64 first_elsewhere_us;
  gboolean misrouted;
  gint64 syn_us; /* last copy of the SYN */
  guint16 route_port;
};

/* An opening packet that the cold endpoint took. */
typedef struct
{
  const Endpoint *endpoint;
  gint64 sent_us, arrived_us;
} Opening;

static GMainLoop *loop;
static SoupSession *session;
static FILE *record;
static gint64 begin_us;
static guint16 base_port;
static guint net_b, net_c;
static Endpoint endpoints[ENDPOINTS];
static Flow flows[FLOWS];
static gchar *balancer_ips[BALANCERS];
static gboolean balancer_ready[BALANCERS];
static GPid pids[BALANCERS + ENDPOINTS];
static gboolean ended_by_itself;
static int client_fd;
static guint32 client_address, route_address;
static gchar *client_ip;
static gboolean trouble;
static gboolean move_route, cold_case, return_case;
static gint64 cold_since_us; /* 0: the endpoints of the zone are not cold */
static GHashTable *load;     /* port to Flow */
static guint load_started, load_answered, load_ended;
static gint64 next_load_us;
static GArray *openings; /* of Opening */
static guint cold_most;
static gchar *folder;
static gchar *balancer_command, *agent_command;
static guint step;
static gboolean broken;
static gboolean could_not_run;

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

  if (port >= LOAD_PORT && port < 40000)
    return load != NULL ? g_hash_table_lookup (load, GUINT_TO_POINTER (port)) : NULL;

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
  gint64 now_us = g_get_monotonic_time ();
  guint i;

  if (flow == NULL || flow->holder == NULL || cold_case)
    return;
  if (flow->holder == endpoint)
    {
      flow->elsewhere = flow->distinct = 0;
      return;
    }
  note ("flow %u: packet %u (%u bytes) reaches %s, but %s holds the flow", flow->port,
        packet->sequence - flow->first, (guint) packet->length, endpoint->name, flow->holder->name);
  if (flow->elsewhere++ == 0)
    flow->first_elsewhere_us = now_us;
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

static gint64
cold_left_ms (const Endpoint *endpoint)
{
  if (return_case)
    return cold_since_us != 0 && strcmp (endpoint->service, "desk") == 0 &&
                   (endpoint - endpoints) % 3 == ZONE
               ? MAX (0, cold_since_us / MS + COLD_START_MS - g_get_monotonic_time () / MS)
               : 0;
  return cold_case && endpoint == &endpoints[COLD_ENDPOINT]
             ? MAX (0, endpoint->born_ms + COLD_START_MS - g_get_real_time () / MS)
             : 0;
}

/* The cold endpoint takes a flow. */
static void
count_opening (const Endpoint *endpoint, guint16 port)
{
  const Flow *flow = flow_of (port);
  Opening opening = { .endpoint = endpoint, .arrived_us = g_get_monotonic_time () };

  if (cold_left_ms (endpoint) == 0 || flow == NULL)
    return;
  opening.sent_us = flow->syn_us;
  g_array_append_val (openings, opening);
  note ("%s takes flow %u, sent %d ms ago; cold for %d ms more", endpoint->name, port,
        (gint) ((opening.arrived_us - opening.sent_us) / MS), (gint) cold_left_ms (endpoint));
}

/* The most requests for one endpoint that were sent and arrived inside one second. */
static guint
most_in_a_second (void)
{
  guint most = 0, i, j;

  for (i = 0; i < openings->len; i++)
    {
      const Endpoint *endpoint = g_array_index (openings, Opening, i).endpoint;
      gint64 begin = g_array_index (openings, Opening, i).sent_us;
      guint count = 0;

      for (j = 0; j < openings->len; j++)
        {
          const Opening *opening = &g_array_index (openings, Opening, j);

          count += opening->endpoint == endpoint && opening->sent_us >= begin &&
                   opening->arrived_us < begin + S;
        }
      most = MAX (most, count);
    }
  return most;
}

static void
take_syn (Endpoint *endpoint, const Packet *packet)
{
  Held *held = g_hash_table_lookup (endpoint->flows, GUINT_TO_POINTER (packet->source_port));

  if (held == NULL)
    {
      held = g_new0 (Held, 1);
      held->endpoint = endpoint;
      held->port = packet->source_port;
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
      count_opening (endpoint, packet->source_port);
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
  held->respond_us = g_get_monotonic_time () + (move_route || cold_case ? WORK_US : LONG_WORK_US);
  if (!cold_case)
    note ("%s runs request %s", held->endpoint->name, held->request);
}

static gboolean
endpoint_readable (gint fd, GIOCondition condition, gpointer data)
{
  Endpoint *endpoint = data;
  guint8 bytes[2048];
  gssize length;

  while ((length = recv (fd, bytes, sizeof bytes, 0)) > 0)
    {
      Packet packet;
      Held *held;

      if (!packet_read (bytes, (gsize) length, &packet))
        continue;
      if (!packet_is_intact (bytes, (gsize) length))
        note ("%s gets a packet that its sender didn't write so", endpoint->name);
      count_arrival (endpoint, &packet);
      if (packet.flags == FLAG_SYN)
        {
          take_syn (endpoint, &packet);
          continue;
        }
      held = g_hash_table_lookup (endpoint->flows, GUINT_TO_POINTER (packet.source_port));
      if (held == NULL || (!held->open && packet.acknowledgment != held->first + 1))
        {
          bounce (endpoint, bytes, (gsize) length);
          continue;
        }
      if (packet.flags & FLAG_FIN)
        {
          if (!held->ended)
            end_send_flags (&held->end, FLAG_FIN | FLAG_ACK, held->end.send_next,
                            packet.sequence + 1);
          held->ended = TRUE;
          continue;
        }
      if (held->ended)
        continue;
      if (!held->open)
        {
          Flow *flow = flow_of (packet.source_port);

          held->open = TRUE;
          if (flow != NULL)
            {
              flow->holder = endpoint;
              if (!cold_case)
                note ("flow %u is open at %s", flow->port, endpoint->name);
            }
        }
      end_receive (&held->end, &packet, g_get_monotonic_time ());
      take_request (held);
    }
  return G_SOURCE_CONTINUE;
}

static void
heartbeat_done (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autofree gchar *what = data;
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  if (what != NULL)
    note ("%s: answer %u", what, body != NULL ? soup_message_get_status (message) : 0);
}

static void
put_heartbeat (const Endpoint *endpoint,
               const gchar *identifier,
               const gchar *text,
               const gchar *what)
{
  g_autofree gchar *url = g_strdup_printf ("http://%s:%u/v1/instances/%s", endpoint->ip,
                                           port_of (PORT_CONTROL_PLANE), identifier);
  g_autoptr (SoupMessage) message = soup_message_new ("PUT", url);
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));

  soup_message_set_request_body_from_bytes (message, "application/json", body);
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL, heartbeat_done,
                                    g_strdup (what));
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
      g_autofree gchar *text = g_strdup_printf (
          "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"z%u\",\"version\":\"v1\","
          "\"slots\":%u,\"state\":\"ready\",\"cold_remaining_ms\":%" G_GINT64_FORMAT
          ",\"sequence\":%" G_GUINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT "}",
          endpoint->service, endpoint->ip, port_of (PORT_APP), (guint) (endpoint - endpoints) % 3,
          SLOTS, cold_left_ms (endpoint), ++endpoint->sequence, endpoint->born_ms);

      endpoint->next_heartbeat_us = now_us + HEARTBEAT_US;
      if (return_case && cold_since_us != 0 && (endpoint - endpoints) % 3 == ZONE)
        note ("%s sends a heartbeat, cold for %d ms more", endpoint->name,
              (gint) cold_left_ms (endpoint));
      put_heartbeat (endpoint, endpoint->identifier, text, NULL);
    }
  g_hash_table_iter_init (&iter, endpoint->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Held *held = value;

      if (!held->open || held->ended)
        continue;
      end_tick (&held->end, now_us);
      if (held->respond_us != 0 && now_us >= held->respond_us)
        {
          g_autofree gchar *body = g_strdup_printf ("done %s by %s", held->request, endpoint->name);
          g_autofree gchar *text = g_strdup_printf (
              "HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nContent-Length: %u\r\n\r\n%s",
              endpoint->identifier, (guint) strlen (body), body);

          held->respond_us = 0;
          end_write (&held->end, text, strlen (text), now_us);
        }
    }
}

/* Clients and routers. */

/* The routers hash the four addresses and ports over the balancers in rotation. */
static void
client_send (gpointer context, const guint8 *bytes, gsize length)
{
  const Flow *flow = context;
  guint choices[BALANCERS];
  guint count = 0, i;

  for (i = 0; i < BALANCERS; i++)
    if (balancer_ready[i])
      choices[count++] = i;
  i = count > 0 ? choices[flow->port * 2654435761U % count] : flow->port % BALANCERS;
  send_udp (client_fd, parse_ip (balancer_ips[i]), port_of (PORT_DATAGRAM), bytes, length);
}

static void
flow_open (Flow *flow, guint index)
{
  *flow = (Flow){ .port = (guint16) (40000 + index), .first = g_random_int () };
  flow->opened_us = g_get_monotonic_time ();
  flow->end = (End){ .local = client_address,
                     .local_port = flow->port,
                     .remote = route_address,
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
  g_autofree gchar *text = g_strdup_printf (
      "POST /sheets HTTP/1.1\r\nRequest-Id: q-%u-%u\r\nContent-Length: %u\r\n\r\n%s", flow->port,
      flow->requests, BODY_BYTES, body);

  note ("flow %u: client sends request q-%u-%u", flow->port, flow->port, flow->requests);
  flow->requests++;
  flow->sent_us = g_get_monotonic_time ();
  end_write (&flow->end, text, strlen (text), flow->sent_us);
}

static void load_request (Flow *flow);

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
  if (cold_case)
    {
      flow->answers++;
      load_answered++;
      end_send_flags (&flow->end, FLAG_FIN | FLAG_ACK, flow->end.send_next, flow->end.receive_next);
      return;
    }
  note ("flow %u: client gets \"%.*s\"", flow->port,
        (gint) (total - (gsize) (header_end + 4 - text)), header_end + 4);
  g_byte_array_remove_range (flow->end.in, 0, (guint) total);
  flow->answers++;
}

/* A reset of the system's own on an open flow whose endpoint lives and has sent none. */
static void
take_reset (Flow *flow, const Packet *packet, guint32 from)
{
  gint32 distance = flow->has_end ? (gint32) (packet->sequence - flow->end.receive_next) : 0;
  gboolean valid = packet->sum == 0 && packet->length == 0 && ABS (distance) <= RESET_WINDOW;

  if (cold_case && flow->holder == NULL)
    {
      flow->reset = TRUE; /* refused; this client doesn't try again */
      return;
    }
  note ("flow %u: client gets a %s reset from 127.%u.%u.%u%s", flow->port,
        valid ? "valid" : "meaningless", (from >> 16) & 255, (from >> 8) & 255, from & 255,
        flow->holder != NULL ? "; the flow is open and its endpoint has sent none" : "");
  if (valid && flow->holder != NULL)
    flow->reset = TRUE;
}

static gboolean
client_readable (gint fd, GIOCondition condition, gpointer data)
{
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  guint8 bytes[2048];
  gssize length;

  while ((length = recvfrom (fd, bytes, sizeof bytes, 0, (struct sockaddr *) &from, &size)) > 0)
    {
      Packet packet;
      Flow *flow;

      if (!packet_read (bytes, (gsize) length, &packet) ||
          (flow = flow_of (packet.destination_port)) == NULL || flow->reset)
        continue;
      if (packet.flags & FLAG_RST)
        {
          take_reset (flow, &packet, ntohl (from.sin_addr.s_addr));
          continue;
        }
      if (!packet_is_intact (bytes, (gsize) length))
        note ("flow %u: client gets a packet that its sender didn't write so", flow->port);
      if (packet.flags & FLAG_SYN)
        {
          if (flow->open)
            continue;
          flow->open = TRUE;
          end_open (&flow->end, flow->first + 1, packet.sequence + 1);
          flow->has_end = TRUE;
          if (cold_case)
            load_request (flow);
          else
            flow_request (flow);
          continue;
        }
      if (!flow->open || (cold_case && flow->answers > 0))
        continue;
      end_receive (&flow->end, &packet, g_get_monotonic_time ());
      take_answer (flow);
    }
  return G_SOURCE_CONTINUE;
}

static void
flow_tick (Flow *flow, gint64 now_us)
{
  static const gint64 copies_us[] = { 0, 200 * MS, 600 * MS };

  if (flow->port == 0 || flow->reset || (cold_case && (flow->answers > 0 || load_ended)))
    return;
  if (!flow->open)
    {
      if (flow->syns < G_N_ELEMENTS (copies_us) &&
          now_us - flow->opened_us >= copies_us[flow->syns])
        {
          flow->syn_us = now_us;
          end_send_flags (&flow->end, FLAG_SYN, flow->first, flow->syns++);
        }
      return;
    }
  if (flow->answers == flow->requests || now_us - flow->sent_us < DEADLINE_US)
    end_tick (&flow->end, now_us);
  if (flow->elsewhere >= 3 && !flow->misrouted &&
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
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  balancer_ready[GPOINTER_TO_UINT (data)] =
      body != NULL && soup_message_get_status (message) == 200;
}

static gboolean
probe_readiness (gpointer data)
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

/* Load of one request a flow. */

static void
load_begin (void)
{
  Flow *flow = g_new0 (Flow, 1);

  flow->port = (guint16) (LOAD_PORT + load_started++);
  flow->first = g_random_int ();
  flow->opened_us = flow->syn_us = g_get_monotonic_time ();
  flow->end = (End){ .local = client_address,
                     .local_port = flow->port,
                     .remote = route_address + 1,
                     .remote_port = ROUTE_PORT,
                     .send = client_send,
                     .context = flow };
  flow->syns = 1;
  g_hash_table_insert (load, GUINT_TO_POINTER (flow->port), flow);
  end_send_flags (&flow->end, FLAG_SYN, flow->first, 0);
}

static void
load_request (Flow *flow)
{
  g_autofree gchar *text = g_strdup_printf (
      "GET /status HTTP/1.1\r\nRequest-Id: s-%u\r\nContent-Length: 0\r\n\r\n", flow->port);

  flow->requests++;
  flow->sent_us = g_get_monotonic_time ();
  end_write (&flow->end, text, strlen (text), flow->sent_us);
}

static void
load_tick (gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (next_load_us == 0)
    next_load_us = now_us;
  for (; next_load_us <= now_us &&
         now_us < begin_us + LEAD_US + (return_case ? RETURN_LOAD_END_US : LOAD_END_US);
       next_load_us += S / LOAD_PER_S)
    load_begin ();
  g_hash_table_iter_init (&iter, load);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    flow_tick (value, now_us);
}

/* The operator. */

static void
write_config (guint version, const gchar *service, guint idle_ms)
{
  g_autofree gchar *cold_limit = g_strdup_printf (",\"cold_start_s\":%.1f,\"cold_per_s\":%.1f",
                                                  COLD_START_MS / 1000.0, (gdouble) COLD_PER_S);
  g_autofree gchar *text = g_strdup_printf (
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"r-sheets\",\"host\":\"127.%u.%u.250\",\"path_prefix\":\"/%u/"
      "\",\"kind\":\"unsafe\","
      "\"timeout_ms\":%u,\"target_latency_ms\":500,\"priority\":1,\"service\":\"%s\","
      "\"max_attempts\":2},"
      "{\"name\":\"r-desk\",\"host\":\"127.%u.%u.251\",\"path_prefix\":\"/%u/\",\"kind\":\"safe\","
      "\"timeout_ms\":2500,\"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\","
      "\"max_attempts\":2}],\"services\":["
      "{\"name\":\"desk\",\"health_check_path\":\"/"
      "health\",\"flow_limit\":2000,\"protocol\":\"h1\","
      "\"tls\":false%s},"
      "{\"name\":\"sheets\",\"health_check_path\":\"/"
      "health\",\"flow_limit\":2000,\"protocol\":\"h1\","
      "\"tls\":false%s}],\"limits\":{\"header_bytes\":16384,\"body_bytes\":262144,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":%u}}",
      version, net_b, net_c, ROUTE_PORT, (guint) (DEADLINE_US / MS), service, net_b, net_c,
      ROUTE_PORT, cold_case ? cold_limit : "", cold_case ? cold_limit : "", idle_ms);

  (void) store_put ("config", "main", text);
  note ("operator: version %u acknowledged; route r-sheets leads new flows to %s", version,
        service);
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
  /* As the templates have them where the deployment has bounds for cold endpoints. */
  if (cold_case)
    g_string_append (text, "evacuations = true\nzone_affinity = true\n");
  return text;
}

static void
process_ended (GPid pid, gint status, gpointer data)
{
  if (step < 100)
    {
      note ("process %d ended by itself with status %d", (int) pid, status);
      ended_by_itself = TRUE;
    }
}

static void
start_process (guint slot, const gchar *command, const gchar *name, const GString *settings)
{
  g_autofree gchar *file = g_strdup_printf ("%s/%s.toml", folder, name);
  g_autofree gchar *log = g_strdup_printf ("%s/%s.log", folder, name);
  g_autofree gchar *line = g_strdup_printf ("%s --settings %s", command, file);
  g_auto (GStrv) words = g_strsplit (line, " ", -1);
  GPid pid;

  if (!g_file_set_contents (file, settings->str, -1, NULL))
    {
      could_not_run = TRUE;
      return;
    }
  pid = fork ();
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      dup2 (fd, 1);
      dup2 (fd, 2);
      execv (words[0], words);
      _exit (127);
    }
  pids[slot] = pid;
  g_child_watch_add (pid, process_ended, NULL);
}

static void
start_balancer (guint index)
{
  g_autofree gchar *name = g_strdup_printf ("frontend-%u", index + 1);
  g_autofree gchar *zone = g_strdup_printf ("z%u", index % 3);
  const gchar *ip = balancer_ips[index];
  GString *text = common_settings (name, zone, ip);

  g_string_append_printf (text,
                          "link_capacity = \"1000.0Mbit/s\"\nservers_address = \"%s:%u\"\n"
                          "[network]\nkind = \"direct\"\naddress = \"%s:%u\"\n",
                          ip, port_of (PORT_CONTROL_PLANE), ip, port_of (PORT_DATAGRAM));
  start_process (index, balancer_command, name, text);
  g_string_free (text, TRUE);
}

static void
start_agent (guint index)
{
  const Endpoint *endpoint = &endpoints[index];
  g_autofree gchar *zone = g_strdup_printf ("z%u", index % 3);
  GString *text = common_settings (endpoint->name, zone, endpoint->ip);

  if (cold_case)
    g_string_append_printf (text, "cold_overage = %g\ncold_slack = %d\n", COLD_OVERAGE, COLD_SLACK);
  g_string_append_printf (
      text,
      "service = \"%s\"\nservers_address = \"%s:%u\"\nserver_interval = \"1200ms\"\n"
      "stop_limit = \"2s\"\nleave_linger = \"1500ms\"\n[network]\nkind = \"direct\"\n"
      "address = \"%s:%u\"\n[server]\nkind = \"udp\"\naddress = \"%s:%u\"\npeer = \"%s:%u\"\n",
      endpoint->service, endpoint->ip, port_of (PORT_CONTROL_PLANE), endpoint->ip,
      port_of (PORT_DATAGRAM), endpoint->ip, port_of (PORT_OUTBOUND), endpoint->ip,
      port_of (PORT_APP));
  start_process (BALANCERS + index, agent_command, endpoint->name, text);
  g_string_free (text, TRUE);
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
  guint i, port;

  for (port = 0; port < N_PORTS; port++)
    {
      int probe = udp_socket (INADDR_LOOPBACK, port_of (port));

      if (probe < 0)
        return FALSE;
      close (probe);
    }
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
  guint i;

  net_b = 1 + (guint) getpid () / 250 % 250;
  net_c = 1 + (guint) getpid () % 250;
  base_port = (guint16) (20000 + (guint) getpid () % 800 * 10);
  client_ip = g_strdup_printf ("127.%u.%u.240", net_b, net_c);
  client_address = parse_ip (client_ip);
  route_address = (127U << 24) | (net_b << 16) | (net_c << 8) | 250;
  for (i = 0; i < BALANCERS; i++)
    balancer_ips[i] = g_strdup_printf ("127.%u.%u.%u", net_b, net_c, 11 + i);
  for (i = 0; i < ENDPOINTS; i++)
    {
      Endpoint *endpoint = &endpoints[i];

      endpoint->service = i < DESKS ? "desk" : "sheets";
      endpoint->name =
          g_strdup_printf ("side-%s-%u", endpoint->service, i < DESKS ? i + 1 : i - DESKS + 1);
      endpoint->identifier = g_strdup_printf ("i-%08x", g_random_int ());
      endpoint->ip = g_strdup_printf ("127.%u.%u.%u", net_b, net_c, 101 + i);
      endpoint->address = parse_ip (endpoint->ip);
      endpoint->flows = g_hash_table_new_full (NULL, NULL, NULL, held_free);
    }
}

static gint64
elapsed_us (void)
{
  return g_get_monotonic_time () - begin_us;
}

/* Another writer's heartbeat: no zone, no version, no "born", and an address that is no text. */
static void
send_foreign_heartbeat (void)
{
  static const gchar text[] = "{\"service\":\"sheets\",\"address\":17,\"slots\":4,"
                              "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}";
  guint i;

  for (i = DESKS; i < ENDPOINTS; i++)
    {
      g_autofree gchar *what =
          g_strdup_printf ("heartbeat of another writer to %s: %s", endpoints[i].name, text);

      put_heartbeat (&endpoints[i], "i-0000000f", text, what);
    }
}

static void
bring_trouble (void)
{
  if (move_route)
    write_config (9, trouble ? "desk" : "sheets",
                  trouble ? IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS - 1000);
  else if (trouble)
    send_foreign_heartbeat ();
}

static void
send_next_requests (void)
{
  guint i;

  note ("the clients send their next requests on the open flows");
  for (i = 0; i < FLOWS; i++)
    if (flows[i].open && !flows[i].reset)
      flow_request (&flows[i]);
}

static void
finish (void)
{
  guint i, misrouted = 0, reset = 0, unanswered = 0;

  for (i = 0; i < FLOWS; i++)
    {
      misrouted += flows[i].misrouted;
      reset += flows[i].reset;
      unanswered += flows[i].answers < flows[i].requests;
      if (flows[i].holder == NULL || flows[i].answers == 0)
        could_not_run = TRUE;
    }
  broken = misrouted > 0 || reset > 0;
  note ("flows: %u, open flows reset by the system: %u, misrouted as FLOW (b) says: %u, flows with "
        "a request that was never answered: %u",
        FLOWS, reset, misrouted, unanswered);
  /* Without the disruption everything has to be answered. */
  if (!trouble && unanswered > 0)
    broken = TRUE;
  g_main_loop_quit (loop);
}

static gboolean
tick (gpointer data)
{
  gint64 now_us = g_get_monotonic_time ();
  guint i;

  if (step >= 1)
    for (i = 0; i < ENDPOINTS; i++)
      endpoint_tick (&endpoints[i], now_us);
  for (i = 0; i < FLOWS; i++)
    flow_tick (&flows[i], now_us);
  if (step >= 10 && step < 100)
    load_tick (now_us);
  switch (step)
    {
    case 0: /* the endpoints start, and the nodes within 0.3 s */
      for (i = 0; i < ENDPOINTS; i++)
        {
          if (cold_case && !return_case && i == COLD_ENDPOINT)
            continue;
          endpoints[i].born_ms = g_get_real_time () / MS;
          endpoints[i].next_heartbeat_us = now_us + 250 * MS + i * HEARTBEAT_US / ENDPOINTS;
        }
      step++;
      break;
    case 1:
      if (elapsed_us () < 200 * MS)
        break;
      for (i = 0; i < BALANCERS; i++)
        start_balancer (i);
      for (i = 0; i < ENDPOINTS; i++)
        if (!cold_case || return_case || i != COLD_ENDPOINT)
          start_agent (i);
      note ("%u balancers and %u agents started", BALANCERS, ENDPOINTS);
      step++;
      break;
    case 2:
      if (elapsed_us () < LEAD_US)
        break;
      for (i = 0; i < BALANCERS; i++)
        if (!balancer_ready[i])
          could_not_run = TRUE;
      note ("traffic starts");
      if (cold_case)
        {
          step = return_case ? 20 : 10;
          break;
        }
      for (i = 0; i < FLOWS; i++)
        flow_open (&flows[i], i);
      step++;
      break;
    case 3: /* the flows are idle for some seconds, less than idle_timeout_ms */
      if (elapsed_us () < LEAD_US + 3 * S)
        break;
      if (move_route)
        bring_trouble ();
      step = move_route ? 5 : 4;
      if (!move_route)
        send_next_requests ();
      break;
    case 4: /* the endpoints are at work */
      if (elapsed_us () < LEAD_US + 3 * S + 100 * MS)
        break;
      bring_trouble ();
      step = 6;
      break;
    case 5:
      if (elapsed_us () < LEAD_US + 3 * S + CONFIG_PROPAGATION_US + 500 * MS)
        break;
      send_next_requests ();
      step++;
      break;
    case 6:
      if (elapsed_us () < LEAD_US + 7 * S + DEADLINE_US)
        break;
      step = 100;
      finish ();
      break;
    case 10: /* the platform's store is down while an endpoint is added */
      if (elapsed_us () < LEAD_US + ADDED_US - 500 * MS)
        break;
      if (trouble)
        note ("the store is down (silent) for %d ms", (gint) (STORE_DOWN_US / MS));
      store_set_silent (trouble);
      step++;
      break;
    case 11:
      if (elapsed_us () < LEAD_US + ADDED_US)
        break;
      note ("%s and its node are added; it is cold for %d ms", endpoints[COLD_ENDPOINT].name,
            COLD_START_MS);
      endpoints[COLD_ENDPOINT].born_ms = g_get_real_time () / MS;
      endpoints[COLD_ENDPOINT].next_heartbeat_us = now_us + 250 * MS;
      start_agent (COLD_ENDPOINT);
      step++;
      break;
    case 12:
      if (elapsed_us () < LEAD_US + ADDED_US - 500 * MS + STORE_DOWN_US)
        break;
      store_set_silent (FALSE);
      if (trouble)
        note ("the store is back");
      step++;
      break;
    case 20: /* the operator evacuates a zone and takes it back */
      if (elapsed_us () < LEAD_US + EVACUATED_US)
        break;
      if (trouble)
        {
          g_autofree gchar *zone = g_strdup_printf ("z%u", ZONE);

          (void) store_put ("evacuations", zone, "{}");
          note ("operator: evacuation of %s acknowledged", zone);
        }
      step++;
      break;
    case 21:
      if (elapsed_us () < LEAD_US + EVACUATED_US + EVACUATION_US - COLD_BEFORE_US)
        break;
      if (trouble)
        {
          cold_since_us = now_us;
          note ("the endpoints of the zone become cold for %d ms", COLD_START_MS);
        }
      step++;
      break;
    case 22:
      if (elapsed_us () < LEAD_US + EVACUATED_US + EVACUATION_US)
        break;
      if (trouble)
        {
          g_autofree gchar *zone = g_strdup_printf ("z%u", ZONE);

          store_delete ("evacuations", zone);
          note ("operator: evacuation of %s taken back", zone);
        }
      step++;
      break;
    case 13:
    case 23:
      if (elapsed_us () < LEAD_US + (return_case ? RETURN_LOAD_END_US : LOAD_END_US) + 2 * S)
        break;
      load_ended = TRUE;
      cold_most = most_in_a_second ();
      note ("load: %u flows, %u answered; cold endpoints took %u flows, one of them %u at most in "
            "one "
            "second (FAILBACK allows %.0f)",
            load_started, load_answered, openings->len, cold_most,
            COLD_PER_S * COLD_OVERAGE + COLD_SLACK);
      broken = cold_most > COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
      if (load_answered < load_started / 2)
        could_not_run = TRUE;
      step = 100;
      g_main_loop_quit (loop);
      break;
    default:
      break;
    }
  if (ended_by_itself)
    {
      broken = TRUE;
      step = 100;
      g_main_loop_quit (loop);
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

  step = 100;
  for (i = 0; i < G_N_ELEMENTS (pids); i++)
    if (pids[i] > 0)
      kill (pids[i], SIGKILL);
  for (i = 0; i < G_N_ELEMENTS (pids); i++)
    if (pids[i] > 0)
      (void) waitpid (pids[i], NULL, 0);
}

int
main (int argc, char **argv)
{
  const gchar *option = g_getenv ("TROUBLE");

  if (argc != 6)
    return 2;
  move_route = strcmp (argv[1], "move-route") == 0;
  return_case = strcmp (argv[1], "returning-zone") == 0;
  cold_case = return_case || strcmp (argv[1], "cold-endpoint") == 0;
  load = g_hash_table_new (NULL, NULL);
  openings = g_array_new (FALSE, FALSE, sizeof (Opening));
  balancer_command = argv[2];
  agent_command = argv[3];
  folder = argv[4];
  record = fopen (argv[5], "w");
  if (record == NULL)
    return 2;
  trouble = option == NULL || strcmp (option, "0") != 0;
  loop = g_main_loop_new (NULL, FALSE);
  session = soup_session_new_with_options ("timeout", 1, "proxy-resolver", NULL, "max-conns", 200,
                                           "max-conns-per-host", 8, NULL);
  begin_us = g_get_monotonic_time ();
  prepare ();
  note ("case %s, %s the disruption", argv[1], trouble ? "with" : "without");
  if (!open_sockets ())
    {
      note ("the ports are in use");
      return 2;
    }
  write_config (4, "sheets", IDLE_TIMEOUT_MS);
  g_timeout_add (2, tick, NULL);
  g_timeout_add (500, probe_readiness, NULL);
  g_unix_signal_add (SIGTERM, interrupted, NULL);
  g_unix_signal_add (SIGINT, interrupted, NULL);
  g_main_loop_run (loop);
  end_processes ();
  note ("result: %s", could_not_run ? "could not run" : broken ? "broken" : "held");
  return could_not_run ? 2 : broken ? 1 : 0;
}
