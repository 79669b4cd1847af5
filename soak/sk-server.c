#include "sk.h"

#include "wb.h"

#include <libsoup/soup.h>
#include <string.h>

#define SLOTS 4
#define ANNOUNCEMENT_INTERVAL_US (300 * WB_US_PER_MS)

/* Announcements of a server between two that are not from it. */
#define FOREIGN_INTERVAL 5

#define SERVICE_TIME_US (15 * WB_US_PER_MS)

/* The users require that a server gets no new flow later than this after the acknowledgment of its
 * drain. */
#define DRAIN_BOUND_US (3 * WB_US_PER_S)

typedef struct
{
  guint16 port;
  guint16 service_port;
  guint32 sequence;          /* initial sequence number of the server */
  guint32 response_sequence; /* of the last response */
  gboolean established;
  gint64 response_due_us; /* 0: no response due */
  guint request_number;
  guint32 client_next_sequence;
  guint32 next_sequence; /* after the last response */
} Flow;

typedef struct
{
  guint index;
  gboolean running;
  gboolean draining;
  gint64 drain_acknowledged_us; /* 0: not acknowledged by the agent */
  guint generation;
  gint64 started_ms;
  guint64 announcement_sequence;
  gint64 last_announcement_us;
  WwSocket *socket;
  GHashTable *flows; /* client port to Flow */
} Server;

static Server servers[SK_SERVER_COUNT];
static SoupSession *session;

static void
send_packet (const Server *server, const SkPacket *packet)
{
  guint8 bytes[SK_HEADER_BYTES + 64];
  gsize length = sk_packet_write (packet, bytes);

  ww_socket_send (server->socket, SK_AGENT_ADDRESS + server->index,
                  sk_port_number (SK_PORT_FROM_SERVER), bytes, length);
}

static void
send_to_client (const Server *server,
                const SkPacket *request,
                guint8 flags,
                guint32 sequence,
                guint32 acknowledgment,
                const gchar *text)
{
  SkPacket packet = { .source = request->destination,
                      .destination = request->source,
                      .source_port = request->destination_port,
                      .destination_port = request->source_port,
                      .flags = flags,
                      .sequence = sequence,
                      .acknowledgment = acknowledgment,
                      .payload = text,
                      .payload_length = text != NULL ? strlen (text) : 0 };

  send_packet (server, &packet);
}

static void
return_packet (const Server *server, const guint8 *data, gsize length)
{
  g_autofree guint8 *returned = g_memdup2 (data, length);

  returned[SK_FLAGS_OFFSET] |= SK_FLAG_RETURNED;
  ww_socket_send (server->socket, SK_AGENT_ADDRESS + server->index,
                  sk_port_number (SK_PORT_FROM_SERVER), returned, length);
}

static void
handle_initial (Server *server, const SkPacket *packet)
{
  Flow *flow = g_hash_table_lookup (server->flows, GUINT_TO_POINTER (packet->source_port));

  if (server->drain_acknowledged_us != 0 && flow == NULL &&
      g_get_monotonic_time () - server->drain_acknowledged_us > DRAIN_BOUND_US)
    sk_report_violation (
        "server %u received a new flow %d ms after its drain was acknowledged", server->index,
        (gint) ((g_get_monotonic_time () - server->drain_acknowledged_us) / WB_US_PER_MS));
  if (flow == NULL)
    {
      sk_evacuation_check_initial (server->index);
      sk_moved_check_initial (packet->source_port, server->index);
      flow = g_new0 (Flow, 1);
      flow->port = packet->source_port;
      flow->service_port = packet->destination_port;
      flow->sequence = g_random_int ();
      flow->next_sequence = flow->sequence + 1;
      flow->client_next_sequence = packet->sequence + 1;
      g_hash_table_insert (server->flows, GUINT_TO_POINTER (packet->source_port), flow);
    }
  send_to_client (server, packet, SK_FLAG_SYN | SK_FLAG_ACK, flow->sequence,
                  flow->client_next_sequence, NULL);
}

/* A request is "GET /NUMBER" in one packet. It runs on first arrival; a retransmission of the last
 * one gets the same response again. */
static void
handle_request (Server *server, Flow *flow, const SkPacket *packet)
{
  if (packet->sequence == flow->client_next_sequence)
    {
      flow->request_number =
          (guint) g_ascii_strtoull (packet->payload + strlen ("GET /"), NULL, 10);
      flow->client_next_sequence = packet->sequence + (guint32) packet->payload_length;
      flow->response_due_us = g_get_monotonic_time () + SERVICE_TIME_US;
      flow->response_sequence = flow->next_sequence;
      if (flow->service_port == SK_MOVED_PORT)
        sk_moved_check_run (flow->port, flow->request_number);
      else
        sk_client_check_run (flow->port, flow->request_number, server->index % SK_SERVICE_COUNT);
    }
  else if (flow->response_due_us == 0)
    flow->response_due_us = g_get_monotonic_time ();
}

static void
packet_received (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  Server *server = context;
  SkPacket packet;
  Flow *flow;

  if (!server->running || !sk_packet_read (data, length, &packet))
    return;
  if (!packet.checksum_valid)
    sk_report_violation ("server %u received a packet with a wrong checksum", server->index);
  if (packet.flags == SK_FLAG_SYN)
    {
      handle_initial (server, &packet);
      return;
    }
  flow = g_hash_table_lookup (server->flows, GUINT_TO_POINTER (packet.source_port));
  sk_moved_check_packet (packet.source_port, server->index);
  if (flow == NULL || (!flow->established && packet.acknowledgment != flow->sequence + 1))
    {
      return_packet (server, data, length);
      return;
    }
  flow->established = TRUE;
  if (packet.flags & SK_FLAG_RST)
    g_hash_table_remove (server->flows, GUINT_TO_POINTER (packet.source_port));
  else if (packet.payload_length > 0)
    handle_request (server, flow, &packet);
}

static void
send_response (const Server *server, Flow *flow)
{
  SkPacket request = { .source = SK_CLIENT_ADDRESS,
                       .destination = SK_ROUTE_ADDRESS,
                       .source_port = flow->port,
                       .destination_port = flow->service_port };
  guint32 sequence = flow->response_sequence;
  guint i;

  flow->response_due_us = 0;
  for (i = 0; i < SK_RESPONSE_PACKETS; i++)
    {
      g_autofree gchar *text = g_strdup_printf ("%08u part %u", flow->request_number, i);

      send_to_client (server, &request, SK_FLAG_ACK, sequence, flow->client_next_sequence, text);
      sequence += (guint32) strlen (text);
    }
  flow->next_sequence = sequence;
}

static void
announcement_finished (GObject *source, GAsyncResult *result, gpointer data)
{
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  Server *server = data;

  if (body != NULL && soup_message_get_status (message) == SOUP_STATUS_OK && server->draining &&
      server->drain_acknowledged_us == 0)
    server->drain_acknowledged_us = g_get_monotonic_time ();
}

/* Response to an announcement that is not from the server; the status does not matter. */
static void
foreign_announcement_finished (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
}

static void
put_announcement (Server *server,
                  const gchar *name,
                  const gchar *text,
                  GAsyncReadyCallback finished)
{
  g_autofree gchar *host = ww_ipv4_format (SK_AGENT_ADDRESS + server->index);
  g_autofree gchar *url = g_strdup_printf ("http://%s:%u/v1/instances/%s", host,
                                           sk_port_number (SK_PORT_ANNOUNCEMENTS), name);
  g_autoptr (SoupMessage) message = soup_message_new ("PUT", url);
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));

  soup_message_set_request_body_from_bytes (message, "application/json", body);
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL, finished, server);
}

static void
send_announcement (Server *server)
{
  g_autofree gchar *name = g_strdup_printf ("server-%u-%u", server->index, server->generation);
  g_autofree gchar *text = g_strdup_printf (
      "{\"service\":\"service-%u\",\"address\":\"server-%u\",\"zone\":\"z\",\"version\":\"v1\","
      "\"slots\":%u,\"state\":\"%s\",\"cold_remaining_ms\":0,"
      "\"sequence\":%" G_GUINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT "}",
      server->index % SK_SERVICE_COUNT, server->index, SLOTS,
      server->draining ? "draining" : "ready", ++server->announcement_sequence, server->started_ms);

  put_announcement (server, name, text, announcement_finished);
}

/* Sends an announcement of another writer, with members missing or of another type, under the name
 * of the server's process or another one. */
static void
send_foreign_announcement (Server *server)
{
  static const gchar *const members[] = {
    "\"address\":17,\"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":900000",
    "\"address\":\"server\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,\"state\":\"draining\","
    "\"cold_remaining_ms\":0,\"sequence\":900000",
    "\"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":900000,"
    "\"born\":4000000000000",
  };
  guint64 number = server->announcement_sequence / FOREIGN_INTERVAL;
  g_autofree gchar *text =
      g_strdup_printf ("{\"service\":\"service-%u\",%s}", server->index % SK_SERVICE_COUNT,
                       members[number % G_N_ELEMENTS (members)]);
  g_autofree gchar *name = number % 2 == 0
                               ? g_strdup_printf ("server-%u-%u", server->index, server->generation)
                               : g_strdup ("other");

  put_announcement (server, name, text, foreign_announcement_finished);
}

void
sk_server_start (guint index)
{
  Server *server = &servers[index];

  if (session == NULL)
    session = soup_session_new_with_options ("timeout", 1, "proxy-resolver", NULL, NULL);
  server->index = index;
  if (server->socket == NULL)
    server->socket = ww_socket_new (SK_AGENT_ADDRESS + index, sk_port_number (SK_PORT_TO_SERVER),
                                    packet_received, server, NULL);
  if (server->socket == NULL)
    g_error ("soak: cannot open the socket of server %u", index);
  g_clear_pointer (&server->flows, g_hash_table_unref);
  server->flows = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  server->running = TRUE;
  server->draining = FALSE;
  server->drain_acknowledged_us = 0;
  server->generation++;
  server->started_ms = g_get_real_time () / WB_US_PER_MS;
  server->announcement_sequence = 0;
  server->last_announcement_us = 0;
}

void
sk_server_crash (guint index)
{
  servers[index].running = FALSE;
  g_hash_table_remove_all (servers[index].flows);
}

void
sk_server_close (guint index)
{
  g_clear_pointer (&servers[index].socket, ww_socket_free);
  g_clear_pointer (&servers[index].flows, g_hash_table_unref);
}

void
sk_server_drain (guint index)
{
  servers[index].draining = TRUE;
  servers[index].last_announcement_us = 0;
}

gboolean
sk_server_is_running (guint index)
{
  return servers[index].running;
}

guint
sk_server_holder (guint16 client_port)
{
  guint i;

  for (i = 0; i < SK_SERVER_COUNT; i++)
    {
      const Flow *flow = g_hash_table_lookup (servers[i].flows, GUINT_TO_POINTER (client_port));

      if (servers[i].running && flow != NULL && flow->established)
        return i;
    }
  return SK_SERVER_COUNT;
}

void
sk_server_tick (gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  guint i;

  for (i = 0; i < SK_SERVER_COUNT; i++)
    {
      Server *server = &servers[i];

      if (!server->running)
        continue;
      if (now_us - server->last_announcement_us >= ANNOUNCEMENT_INTERVAL_US)
        {
          server->last_announcement_us = now_us;
          send_announcement (server);
          if (server->announcement_sequence % FOREIGN_INTERVAL == 0)
            send_foreign_announcement (server);
        }
      g_hash_table_iter_init (&iter, server->flows);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          Flow *flow = value;

          if (flow->response_due_us != 0 && flow->response_due_us <= now_us)
            send_response (server, flow);
        }
    }
}
