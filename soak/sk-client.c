#include "sk.h"

#include "wb.h"

#include <string.h>

/* All clients share one address; each flow has a port of its own and carries one request. */
#define FIRST_CLIENT_PORT 2000
#define LAST_CLIENT_PORT 60000
#define REQUEST_INTERVAL_US (8 * WB_US_PER_MS)
#define REQUEST_DEADLINE_US (3 * WB_US_PER_S)
#define OPEN_TIMEOUT_US (1400 * WB_US_PER_MS)

/* As the platform's clients send an initial packet and its retransmissions. */
static const gint64 initial_send_times_us[] = { 0, 200 * WB_US_PER_MS, 600 * WB_US_PER_MS };

typedef struct
{
  guint16 port;
  guint number;
  gint64 started_us;
  gint64 request_sent_us; /* last transmission of the request */
  guint initial_sends;
  guint32 sequence;
  guint32 server_sequence;
  gboolean established;
  gboolean refused; /* reset or timed out before the handshake, so the client may try again */
  gboolean ended;
  gboolean completed;
  guint runs;
  guint parts_received; /* bit mask of response packets */
} Request;

static WwSocket *client_socket;
static GHashTable *requests_by_port; /* port to Request */
static gboolean balancer_ready[SK_BALANCER_COUNT];
static guint next_client_port = FIRST_CLIENT_PORT;
static guint next_number;
static gint64 next_request_us;
static guint started_count, completed_count;
static guint64 request_total;

void
sk_client_send_to_balancer (guint balancer, const SkPacket *packet)
{
  guint8 bytes[SK_HEADER_BYTES + 64];
  gsize length = sk_packet_write (packet, bytes);

  ww_socket_send (client_socket, SK_BALANCER_ADDRESS + balancer, sk_port_number (SK_PORT_NETWORK),
                  bytes, length);
}

void
sk_client_send (const SkPacket *packet)
{
  guint choices[SK_BALANCER_COUNT];
  guint count = 0, i;

  for (i = 0; i < SK_BALANCER_COUNT; i++)
    if (balancer_ready[i])
      choices[count++] = i;
  i = count > 0 ? choices[g_random_int_range (0, (gint32) count)]
                : (guint) g_random_int_range (0, SK_BALANCER_COUNT);
  sk_client_send_to_balancer (i, packet);
}

static void
send_packet (const Request *request,
             guint8 flags,
             guint32 sequence,
             guint32 acknowledgment,
             const gchar *text)
{
  SkPacket packet = { .source = SK_CLIENT_ADDRESS,
                      .destination = SK_ROUTE_ADDRESS,
                      .source_port = request->port,
                      .destination_port =
                          (guint16) (SK_FIRST_SERVICE_PORT + request->number % SK_SERVICE_COUNT),
                      .flags = flags,
                      .sequence = sequence,
                      .acknowledgment = acknowledgment,
                      .payload = text,
                      .payload_length = text != NULL ? strlen (text) : 0 };

  sk_client_send (&packet);
}

static void
send_request (Request *request, gint64 now_us)
{
  g_autofree gchar *text = g_strdup_printf ("GET /%u HTTP/1.1\r\nRequest-Id: q-%u\r\n\r\n",
                                            request->number, request->number);

  request->request_sent_us = now_us;
  send_packet (request, SK_FLAG_ACK, request->sequence + 1, request->server_sequence + 1, text);
}

/* A reset before the handshake is a refusal, so the request must not have run. After the handshake
 * the request may have run; the reset is a violation only if a server still holds the flow and
 * neither the sender nor that server's agent had a recent fault. */
static void
handle_reset (Request *request, guint32 address)
{
  guint holder = sk_server_holder (request->port);

  request->ended = TRUE;
  if (request->established)
    {
      if (holder < SK_SERVER_COUNT && sk_host_is_stable (address) &&
          sk_host_is_stable (SK_AGENT_ADDRESS + holder))
        sk_report_violation ("request %u (port %u): %x reset an open flow that server %u holds",
                             request->number, request->port, address, holder);
      return;
    }
  request->refused = TRUE;
  if (request->runs > 0)
    sk_report_violation ("request %u: refused although it has run", request->number);
}

static void
handle_response_part (Request *request, const SkPacket *packet)
{
  g_autofree gchar *expected = NULL;
  guint part;

  for (part = 0; part < SK_RESPONSE_PACKETS; part++)
    {
      g_clear_pointer (&expected, g_free);
      expected = g_strdup_printf ("%08u part %u", request->number, part);
      if (packet->payload_length == strlen (expected) &&
          memcmp (packet->payload, expected, packet->payload_length) == 0)
        break;
    }
  if (part == SK_RESPONSE_PACKETS)
    {
      sk_report_violation ("request %u: response bytes that do not belong to it", request->number);
      return;
    }
  request->parts_received |= 1U << part;
  if (request->parts_received != (1U << SK_RESPONSE_PACKETS) - 1 || request->completed)
    return;
  request->completed = TRUE;
  completed_count++;
  send_packet (request, SK_FLAG_ACK, request->sequence + 1,
               packet->sequence + (guint32) packet->payload_length, NULL);
}

static void
packet_received (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  SkPacket packet;
  Request *request;

  if (!sk_packet_read (data, length, &packet) || sk_moved_packet (address, &packet) ||
      sk_probe_packet (address, &packet))
    return;
  request = g_hash_table_lookup (requests_by_port, GUINT_TO_POINTER (packet.destination_port));
  if (request == NULL)
    return;
  if (packet.flags & SK_FLAG_RST)
    {
      handle_reset (request, address);
      return;
    }
  if (!packet.checksum_valid)
    sk_report_violation ("request %u: packet with a wrong checksum", request->number);
  if (request->ended)
    return;
  if (packet.flags & SK_FLAG_SYN)
    {
      if (request->established)
        return;
      request->established = TRUE;
      request->server_sequence = packet.sequence;
      send_request (request, g_get_monotonic_time ());
    }
  else if (packet.payload_length > 0)
    handle_response_part (request, &packet);
}

void
sk_client_open (void)
{
  requests_by_port = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  client_socket = ww_socket_new (SK_CLIENT_ADDRESS, sk_port_number (SK_PORT_NETWORK),
                                 packet_received, NULL, NULL);
  if (client_socket == NULL)
    g_error ("soak: cannot open the socket of the clients");
}

void
sk_client_close (void)
{
  ww_socket_free (client_socket);
  g_hash_table_unref (requests_by_port);
}

void
sk_client_set_balancer_ready (guint balancer, gboolean ready)
{
  balancer_ready[balancer] = ready;
}

void
sk_client_take_counts (guint *started, guint *completed)
{
  *started = started_count;
  *completed = completed_count;
  started_count = completed_count = 0;
}

guint64
sk_client_request_total (void)
{
  return request_total;
}

void
sk_client_check_run (guint16 client_port, guint number, guint service)
{
  Request *request = g_hash_table_lookup (requests_by_port, GUINT_TO_POINTER (client_port));

  if (number % SK_SERVICE_COUNT != service)
    sk_report_violation ("request %u ran at service %u", number, service);
  if (request == NULL || request->number != number)
    return;
  if (++request->runs > 1)
    sk_report_violation ("request %u ran %u times", number, request->runs);
  if (request->refused)
    sk_report_violation ("request %u ran after it was refused", number);
}

static void
start_request (gint64 now_us)
{
  Request *request = g_new0 (Request, 1);

  request->port = (guint16) next_client_port;
  next_client_port =
      next_client_port == LAST_CLIENT_PORT ? FIRST_CLIENT_PORT : next_client_port + 1;
  request->number = next_number++;
  request->started_us = now_us;
  request->sequence = g_random_int ();
  g_hash_table_replace (requests_by_port, GUINT_TO_POINTER (request->port), request);
  started_count++;
  request_total++;
}

/* Sends what is due. Returns TRUE when the request can be freed: at twice its deadline, so that
 * late packets of the flow are still checked. */
static gboolean
advance_request (Request *request, gint64 now_us)
{
  gint64 age_us = now_us - request->started_us;
  gint64 retry_interval_us = 200 * WB_US_PER_MS;

  if (age_us > 2 * REQUEST_DEADLINE_US)
    return TRUE;
  if (request->ended || request->completed || age_us > REQUEST_DEADLINE_US)
    return FALSE;
  if (request->established)
    {
      if (now_us - request->request_sent_us >= retry_interval_us)
        send_request (request, now_us);
      return FALSE;
    }
  if (request->initial_sends < G_N_ELEMENTS (initial_send_times_us) &&
      age_us >= initial_send_times_us[request->initial_sends])
    {
      /* The acknowledgment field of an initial packet has the number of the retransmission. */
      send_packet (request, SK_FLAG_SYN, request->sequence, request->initial_sends, NULL);
      request->initial_sends++;
    }
  request->ended = request->refused = age_us > OPEN_TIMEOUT_US;
  return FALSE;
}

void
sk_client_tick (gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (next_request_us == 0)
    next_request_us = now_us;
  for (; next_request_us <= now_us; next_request_us += REQUEST_INTERVAL_US)
    start_request (now_us);
  g_hash_table_iter_init (&iter, requests_by_port);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (advance_request (value, now_us))
      g_hash_table_iter_remove (&iter);
}
