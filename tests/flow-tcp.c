#include "flow-tcp.h"

#include <string.h>

#define WINDOW_SEGMENTS 8
#define INTERVAL_MIN_US (300 * WB_US_PER_MS)
#define CHALLENGE_INTERVAL_US (20 * WB_US_PER_MS)
#define INTERVAL_MAX_US (3 * WB_US_PER_S)

FtConnection *
ft_connection_new (const WwFlowKey *key, gboolean is_client, guint32 iss)
{
  FtConnection *connection = g_new0 (FtConnection, 1);

  connection->key = *key;
  connection->is_client = is_client;
  connection->iss = connection->una = connection->next = iss;
  connection->out = g_byte_array_new ();
  connection->in = g_byte_array_new ();
  connection->due_us = WB_NEVER;
  connection->interval_us = INTERVAL_MIN_US;
  return connection;
}

void
ft_connection_free (gpointer data)
{
  FtConnection *connection = data;

  g_byte_array_unref (connection->out);
  g_byte_array_unref (connection->in);
  g_free (connection);
}

static void
send_segment (
    FtConnection *connection, guint8 flags, guint32 sequence, const guint8 *payload, gsize length)
{
  const WwFlowKey *key = &connection->key;
  WwPacket packet = { .protocol = WW_PROTOCOL_TCP,
                      .tcp_flags = flags,
                      .sequence = sequence,
                      .acknowledgment = connection->received_next,
                      .window = 8000,
                      .payload = payload,
                      .payload_length = length };
  g_autoptr (GByteArray) bytes = NULL;

  packet.source_address = connection->is_client ? key->client_address : key->service_address;
  packet.destination_address = connection->is_client ? key->service_address : key->client_address;
  packet.source_port = connection->is_client ? key->client_port : key->service_port;
  packet.destination_port = connection->is_client ? key->service_port : key->client_port;
  bytes = ww_packet_build_tcp (&packet);
  connection->emit (connection->context, bytes);
}

static void
send_ack (FtConnection *connection)
{
  send_segment (connection, WW_TCP_ACK, connection->next, NULL, 0);
}

static void
send_syn (FtConnection *connection)
{
  send_segment (connection, connection->is_client ? WW_TCP_SYN : WW_TCP_SYN | WW_TCP_ACK,
                connection->iss, NULL, 0);
}

void
ft_open (FtConnection *connection, gint64 now_us)
{
  connection->next = connection->iss + 1;
  connection->due_us = now_us + connection->interval_us;
  send_syn (connection);
}

void
ft_accept (FtConnection *connection, const WwPacket *syn, gint64 now_us)
{
  connection->received_next = syn->sequence + 1;
  ft_open (connection, now_us);
}

static guint32
last_sequence (const FtConnection *connection)
{
  return connection->iss + 1 + connection->out->len + (connection->fin ? 1 : 0);
}

/* Sends one segment from @sequence on and returns the sequence number after it. */
static guint32
send_from (FtConnection *connection, guint32 sequence)
{
  guint32 offset = sequence - connection->iss - 1;
  guint32 length = offset >= connection->out->len ? 0 : connection->out->len - offset;
  guint8 flags = WW_TCP_ACK;

  length = MIN (length, FT_MSS);
  if (connection->fin && offset + length == connection->out->len)
    flags |= WW_TCP_FIN;
  send_segment (connection, flags, sequence,
                connection->out->data + MIN (offset, connection->out->len), length);
  return sequence + length + (flags & WW_TCP_FIN ? 1 : 0);
}

void
ft_output (FtConnection *connection, gint64 now_us)
{
  if (!connection->established || connection->reset)
    return;
  while (connection->next != last_sequence (connection) &&
         connection->next - connection->una < WINDOW_SEGMENTS * FT_MSS)
    connection->next = send_from (connection, connection->next);
  if (connection->una == connection->next)
    connection->due_us = WB_NEVER;
  else if (connection->due_us == WB_NEVER)
    connection->due_us = now_us + connection->interval_us;
}

void
ft_timer (FtConnection *connection, gint64 now_us)
{
  if (now_us < connection->due_us || connection->reset)
    return;
  connection->interval_us = MIN (connection->interval_us * 2, INTERVAL_MAX_US);
  connection->due_us = now_us + connection->interval_us;
  if (!connection->established)
    send_syn (connection);
  else
    (void) send_from (connection, connection->una);
}

GByteArray *
ft_reset_reply (const WwPacket *packet)
{
  WwPacket reply = { .source_address = packet->destination_address,
                     .destination_address = packet->source_address,
                     .source_port = packet->destination_port,
                     .destination_port = packet->source_port,
                     .protocol = WW_PROTOCOL_TCP,
                     .tcp_flags = WW_TCP_RST,
                     .sequence = packet->acknowledgment };

  if ((packet->tcp_flags & WW_TCP_ACK) == 0)
    {
      reply.tcp_flags |= WW_TCP_ACK;
      reply.sequence = 0;
      reply.acknowledgment = packet->sequence + ww_packet_sequence_length (packet);
    }
  return ww_packet_build_tcp (&reply);
}

static void
reply_reset (FtConnection *connection, const WwPacket *packet)
{
  g_autoptr (GByteArray) bytes = ft_reset_reply (packet);

  connection->emit (connection->context, bytes);
}

/* Handles what comes before the connection is established. Returns FALSE when that is all. */
static gboolean
input_handshake (FtConnection *connection, const WwPacket *packet)
{
  gboolean acceptable =
      (packet->tcp_flags & WW_TCP_ACK) && packet->acknowledgment == connection->iss + 1;

  if (packet->tcp_flags & WW_TCP_RST)
    {
      if (connection->is_client ? acceptable : packet->sequence == connection->received_next)
        connection->reset = TRUE;
      return FALSE;
    }
  if (!connection->is_client && (packet->tcp_flags & WW_TCP_SYN))
    {
      send_syn (connection);
      return FALSE;
    }
  if (!acceptable)
    {
      if (packet->tcp_flags & WW_TCP_ACK)
        reply_reset (connection, packet);
      return FALSE;
    }
  if (connection->is_client && (packet->tcp_flags & WW_TCP_SYN) == 0)
    return FALSE;
  if (connection->is_client)
    connection->received_next = packet->sequence + 1;
  connection->una = connection->iss + 1;
  connection->established = TRUE;
  connection->due_us = WB_NEVER;
  connection->interval_us = INTERVAL_MIN_US;
  if (connection->is_client)
    send_ack (connection);
  return !connection->is_client;
}

static void
input_ack (FtConnection *connection, const WwPacket *packet)
{
  guint32 acknowledged = packet->acknowledgment - connection->una;

  if ((packet->tcp_flags & WW_TCP_ACK) == 0 || acknowledged == 0 ||
      acknowledged > connection->next - connection->una)
    return;
  connection->una = packet->acknowledgment;
  connection->due_us = WB_NEVER;
  connection->interval_us = INTERVAL_MIN_US;
}

void
ft_input (FtConnection *connection, const WwPacket *packet, gint64 now_us)
{
  guint32 skip;

  if (connection->reset)
    return;
  if (!connection->established && !input_handshake (connection, packet))
    {
      ft_output (connection, now_us);
      return;
    }
  skip = connection->received_next - packet->sequence;
  if (packet->tcp_flags & WW_TCP_RST)
    {
      connection->reset = skip == 0;
      return;
    }
  input_ack (connection, packet);
  if ((packet->tcp_flags & WW_TCP_SYN) || skip > G_MAXINT32 ||
      (skip > 0 && skip >= ww_packet_sequence_length (packet)))
    {
      /* The limit keeps two ends from answering each other's acknowledgements without end. */
      if (packet->payload_length == 0 && now_us - connection->challenged_us < CHALLENGE_INTERVAL_US)
        return;
      connection->challenged_us = now_us;
      send_ack (connection);
      ft_output (connection, now_us);
      return;
    }
  if (skip < packet->payload_length)
    g_byte_array_append (connection->in, packet->payload + skip,
                         (guint) (packet->payload_length - skip));
  connection->received_next = packet->sequence + ww_packet_sequence_length (packet);
  if (packet->tcp_flags & WW_TCP_FIN)
    connection->peer_fin = TRUE;
  if (ww_packet_sequence_length (packet) > 0)
    send_ack (connection);
  ft_output (connection, now_us);
}
