#include "flow-tcp.h"

#include <string.h>

#define WINDOW_SEGMENTS 8
#define RTO_MIN_US (300 * WB_US_PER_MS)
#define CHALLENGE_ACK_INTERVAL_US (20 * WB_US_PER_MS)
#define RTO_MAX_US (3 * WB_US_PER_S)

FtConnection *
ft_connection_new (const WwFlowKey *key, gboolean is_client, guint32 iss)
{
  FtConnection *connection = g_new0 (FtConnection, 1);

  connection->key = *key;
  connection->is_client = is_client;
  connection->iss = connection->snd_una = connection->snd_nxt = iss;
  connection->send_buffer = g_byte_array_new ();
  connection->receive_buffer = g_byte_array_new ();
  connection->retransmit_us = WB_NEVER;
  connection->rto_us = RTO_MIN_US;
  return connection;
}

void
ft_connection_free (gpointer data)
{
  FtConnection *connection = data;

  g_byte_array_unref (connection->send_buffer);
  g_byte_array_unref (connection->receive_buffer);
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
                      .acknowledgment = connection->rcv_nxt,
                      .window = 8000,
                      .payload = payload,
                      .payload_length = length };
  g_autoptr (GByteArray) bytes = NULL;

  packet.source_address = connection->is_client ? key->client_address : key->service_address;
  packet.destination_address = connection->is_client ? key->service_address : key->client_address;
  packet.source_port = connection->is_client ? key->client_port : key->service_port;
  packet.destination_port = connection->is_client ? key->service_port : key->client_port;
  bytes = ww_packet_build_tcp (&packet);
  connection->send (connection->context, bytes);
}

static void
send_ack (FtConnection *connection)
{
  send_segment (connection, WW_TCP_ACK, connection->snd_nxt, NULL, 0);
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
  connection->snd_nxt = connection->iss + 1;
  connection->retransmit_us = now_us + connection->rto_us;
  send_syn (connection);
}

void
ft_accept (FtConnection *connection, const WwPacket *syn, gint64 now_us)
{
  connection->rcv_nxt = syn->sequence + 1;
  ft_open (connection, now_us);
}

static guint32
last_sequence (const FtConnection *connection)
{
  return connection->iss + 1 + connection->send_buffer->len + (connection->fin_queued ? 1 : 0);
}

/* Sends one segment from @sequence on and returns the sequence number after it. */
static guint32
send_from (FtConnection *connection, guint32 sequence)
{
  guint32 offset = sequence - connection->iss - 1;
  guint32 length =
      offset >= connection->send_buffer->len ? 0 : connection->send_buffer->len - offset;
  guint8 flags = WW_TCP_ACK;

  length = MIN (length, FT_MSS_BYTES);
  if (connection->fin_queued && offset + length == connection->send_buffer->len)
    flags |= WW_TCP_FIN;
  send_segment (connection, flags, sequence,
                connection->send_buffer->data + MIN (offset, connection->send_buffer->len), length);
  return sequence + length + (flags & WW_TCP_FIN ? 1 : 0);
}

void
ft_output (FtConnection *connection, gint64 now_us)
{
  if (!connection->established || connection->reset)
    return;
  while (connection->snd_nxt != last_sequence (connection) &&
         connection->snd_nxt - connection->snd_una < WINDOW_SEGMENTS * FT_MSS_BYTES)
    connection->snd_nxt = send_from (connection, connection->snd_nxt);
  if (connection->snd_una == connection->snd_nxt)
    connection->retransmit_us = WB_NEVER;
  else if (connection->retransmit_us == WB_NEVER)
    connection->retransmit_us = now_us + connection->rto_us;
}

void
ft_run_timer (FtConnection *connection, gint64 now_us)
{
  if (now_us < connection->retransmit_us || connection->reset)
    return;
  connection->rto_us = MIN (connection->rto_us * 2, RTO_MAX_US);
  connection->retransmit_us = now_us + connection->rto_us;
  if (!connection->established)
    send_syn (connection);
  else
    (void) send_from (connection, connection->snd_una);
}

GByteArray *
ft_build_reset (const WwPacket *packet)
{
  WwPacket reset = { .source_address = packet->destination_address,
                     .destination_address = packet->source_address,
                     .source_port = packet->destination_port,
                     .destination_port = packet->source_port,
                     .protocol = WW_PROTOCOL_TCP,
                     .tcp_flags = WW_TCP_RST,
                     .sequence = packet->acknowledgment };

  if ((packet->tcp_flags & WW_TCP_ACK) == 0)
    {
      reset.tcp_flags |= WW_TCP_ACK;
      reset.sequence = 0;
      reset.acknowledgment = packet->sequence + ww_packet_sequence_length (packet);
    }
  return ww_packet_build_tcp (&reset);
}

static void
send_reset (FtConnection *connection, const WwPacket *packet)
{
  g_autoptr (GByteArray) bytes = ft_build_reset (packet);

  connection->send (connection->context, bytes);
}

/* Handles a packet that arrives before the connection is established. Returns FALSE when nothing of
 * it is left to handle. */
static gboolean
input_handshake (FtConnection *connection, const WwPacket *packet)
{
  gboolean acceptable =
      (packet->tcp_flags & WW_TCP_ACK) && packet->acknowledgment == connection->iss + 1;

  if (packet->tcp_flags & WW_TCP_RST)
    {
      if (connection->is_client ? acceptable : packet->sequence == connection->rcv_nxt)
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
        send_reset (connection, packet);
      return FALSE;
    }
  if (connection->is_client && (packet->tcp_flags & WW_TCP_SYN) == 0)
    return FALSE;
  if (connection->is_client)
    connection->rcv_nxt = packet->sequence + 1;
  connection->snd_una = connection->iss + 1;
  connection->established = TRUE;
  connection->retransmit_us = WB_NEVER;
  connection->rto_us = RTO_MIN_US;
  if (connection->is_client)
    send_ack (connection);
  return !connection->is_client;
}

static void
input_ack (FtConnection *connection, const WwPacket *packet)
{
  guint32 acknowledged = packet->acknowledgment - connection->snd_una;

  if ((packet->tcp_flags & WW_TCP_ACK) == 0 || acknowledged == 0 ||
      acknowledged > connection->snd_nxt - connection->snd_una)
    return;
  connection->snd_una = packet->acknowledgment;
  connection->retransmit_us = WB_NEVER;
  connection->rto_us = RTO_MIN_US;
}

void
ft_input (FtConnection *connection, const WwPacket *packet, gint64 now_us)
{
  guint32 already_received;

  if (connection->reset)
    return;
  if (!connection->established && !input_handshake (connection, packet))
    {
      ft_output (connection, now_us);
      return;
    }
  /* Above G_MAXINT32 when an earlier segment is missing. */
  already_received = connection->rcv_nxt - packet->sequence;
  if (packet->tcp_flags & WW_TCP_RST)
    {
      connection->reset = already_received == 0;
      return;
    }
  input_ack (connection, packet);
  if ((packet->tcp_flags & WW_TCP_SYN) || already_received > G_MAXINT32 ||
      (already_received > 0 && already_received >= ww_packet_sequence_length (packet)))
    {
      /* Without the limit two endpoints would acknowledge each other's acknowledgments forever. */
      if (packet->payload_length == 0 &&
          now_us - connection->challenge_ack_us < CHALLENGE_ACK_INTERVAL_US)
        return;
      connection->challenge_ack_us = now_us;
      send_ack (connection);
      ft_output (connection, now_us);
      return;
    }
  if (already_received < packet->payload_length)
    g_byte_array_append (connection->receive_buffer, packet->payload + already_received,
                         (guint) (packet->payload_length - already_received));
  connection->rcv_nxt = packet->sequence + ww_packet_sequence_length (packet);
  if (packet->tcp_flags & WW_TCP_FIN)
    connection->fin_received = TRUE;
  if (ww_packet_sequence_length (packet) > 0)
    send_ack (connection);
  ft_output (connection, now_us);
}
