#include "net.h"

#include <string.h>

#define SUM_KEY 0x9e3779b97f4a7c15ULL
#define FIRST_INTERVAL_US 200000
#define LONGEST_INTERVAL_US 1600000

static void
put16 (guint8 *at, guint32 value)
{
  at[0] = (guint8) (value >> 8);
  at[1] = (guint8) value;
}

static void
put32 (guint8 *at, guint32 value)
{
  put16 (at, value >> 16);
  put16 (at + 2, value & 0xffff);
}

static guint32
get16 (const guint8 *at)
{
  return (guint32) at[0] << 8 | at[1];
}

static guint32
get32 (const guint8 *at)
{
  return get16 (at) << 16 | get16 (at + 2);
}

/* Over all fields but echo, pad, the sum itself and the mark of a bounced packet. */
static guint32
keyed_sum (const guint8 *bytes, gsize length)
{
  guint64 sum = SUM_KEY;
  gsize i;

  for (i = 0; i < length; i++)
    {
      guint8 byte = bytes[i];

      if ((i >= 20 && i < 24) || (i >= 25 && i < 32))
        continue;
      if (i == 24)
        byte &= (guint8) ~FLAG_BOUNCED;
      sum = (sum ^ byte) * 0x100000001b3ULL;
    }
  return (guint32) (sum >> 24);
}

gsize
packet_write (const Packet *packet, guint8 *bytes)
{
  memset (bytes, 0, HEADER_BYTES);
  put16 (bytes, packet->destination_port);
  put16 (bytes + 2, packet->source_port);
  put32 (bytes + 4, packet->destination);
  put32 (bytes + 8, packet->source);
  put32 (bytes + 12, packet->sequence);
  put32 (bytes + 16, packet->acknowledgment);
  bytes[24] = packet->flags;
  put16 (bytes + 32, (guint32) packet->length);
  if (packet->length > 0)
    memcpy (bytes + HEADER_BYTES, packet->data, packet->length);
  put32 (bytes + 20, keyed_sum (bytes, HEADER_BYTES + packet->length));
  return HEADER_BYTES + packet->length;
}

gboolean
packet_read (const guint8 *bytes, gsize length, Packet *packet)
{
  if (length < HEADER_BYTES || get16 (bytes + 32) != length - HEADER_BYTES)
    return FALSE;
  packet->destination_port = (guint16) get16 (bytes);
  packet->source_port = (guint16) get16 (bytes + 2);
  packet->destination = get32 (bytes + 4);
  packet->source = get32 (bytes + 8);
  packet->sequence = get32 (bytes + 12);
  packet->acknowledgment = get32 (bytes + 16);
  packet->sum = get32 (bytes + 20);
  packet->flags = bytes[24];
  packet->data = bytes + HEADER_BYTES;
  packet->length = length - HEADER_BYTES;
  return TRUE;
}

gboolean
packet_is_intact (const guint8 *bytes, gsize length)
{
  return get32 (bytes + 20) == keyed_sum (bytes, length);
}

void
end_open (End *end, guint32 send_first, guint32 receive_next)
{
  end->send_first = end->send_next = end->acknowledged = send_first;
  end->receive_next = receive_next;
  end->out = g_byte_array_new ();
  end->in = g_byte_array_new ();
  end->early = g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify) g_bytes_unref);
  end->interval_us = FIRST_INTERVAL_US;
}

void
end_clear (End *end)
{
  g_clear_pointer (&end->out, g_byte_array_unref);
  g_clear_pointer (&end->in, g_byte_array_unref);
  g_clear_pointer (&end->early, g_hash_table_unref);
}

static void
send_packet (End *end,
             guint8 flags,
             guint32 sequence,
             guint32 acknowledgment,
             const guint8 *data,
             gsize length)
{
  Packet packet = { .source = end->local,
                    .destination = end->remote,
                    .source_port = end->local_port,
                    .destination_port = end->remote_port,
                    .flags = flags,
                    .sequence = sequence,
                    .acknowledgment = acknowledgment,
                    .data = data,
                    .length = length };
  guint8 bytes[HEADER_BYTES + PAYLOAD_MAX];

  end->send (end->context, bytes, packet_write (&packet, bytes));
}

void
end_send_flags (End *end, guint8 flags, guint32 sequence, guint32 acknowledgment)
{
  send_packet (end, flags, sequence, acknowledgment, NULL, 0);
}

static guint32
out_end (const End *end)
{
  return end->send_first + end->out->len;
}

/* Sends the packet that begins at @sequence. Return: its length */
static guint32
send_data (End *end, guint32 sequence)
{
  guint32 length = MIN (out_end (end) - sequence, PAYLOAD_MAX);

  send_packet (end, FLAG_ACK, sequence, end->receive_next,
               end->out->data + (sequence - end->send_first), length);
  end->unacknowledged_packets = 0;
  return length;
}

static void
send_window (End *end, gint64 now_us)
{
  while (end->send_next != out_end (end) &&
         end->send_next - end->acknowledged < WINDOW_PACKETS * PAYLOAD_MAX)
    end->send_next += send_data (end, end->send_next);
  if (end->send_next != end->acknowledged && end->retransmit_us == 0)
    end->retransmit_us = now_us + end->interval_us;
}

void
end_write (End *end, const gchar *bytes, gsize length, gint64 now_us)
{
  g_byte_array_append (end->out, (const guint8 *) bytes, (guint) length);
  send_window (end, now_us);
}

static void
take_data (End *end, const Packet *packet)
{
  GBytes *next;

  if ((gint32) (packet->sequence - end->receive_next) < 0)
    return;
  if (packet->sequence != end->receive_next)
    {
      g_hash_table_replace (end->early, GUINT_TO_POINTER (packet->sequence),
                            g_bytes_new (packet->data, packet->length));
      return;
    }
  g_byte_array_append (end->in, packet->data, (guint) packet->length);
  end->receive_next += (guint32) packet->length;
  while ((next = g_hash_table_lookup (end->early, GUINT_TO_POINTER (end->receive_next))) != NULL)
    {
      gsize length;
      const guint8 *data = g_bytes_get_data (next, &length);
      guint32 sequence = end->receive_next;

      g_byte_array_append (end->in, data, (guint) length);
      end->receive_next += (guint32) length;
      g_hash_table_remove (end->early, GUINT_TO_POINTER (sequence));
    }
}

void
end_receive (End *end, const Packet *packet, gint64 now_us)
{
  gboolean short_packet = packet->length < PAYLOAD_MAX;
  gboolean in_order = packet->sequence == end->receive_next;

  if ((packet->flags & FLAG_ACK) && (gint32) (packet->acknowledgment - end->acknowledged) > 0 &&
      (gint32) (packet->acknowledgment - end->send_next) <= 0)
    {
      end->acknowledged = packet->acknowledgment;
      end->interval_us = FIRST_INTERVAL_US;
      end->retransmissions = 0;
      end->retransmit_us = end->acknowledged == end->send_next ? 0 : now_us + end->interval_us;
      send_window (end, now_us);
    }
  if (packet->length == 0)
    return;
  take_data (end, packet);
  end->unacknowledged_packets++;
  if (end->unacknowledged_packets >= 2 || short_packet || !in_order)
    {
      end->unacknowledged_packets = 0;
      end_send_flags (end, FLAG_ACK, end->send_next, end->receive_next);
    }
}

void
end_tick (End *end, gint64 now_us)
{
  if (end->retransmit_us == 0 || now_us < end->retransmit_us)
    return;
  (void) send_data (end, end->acknowledged);
  end->retransmissions++;
  end->interval_us = MIN (end->interval_us * 2, LONGEST_INTERVAL_US);
  end->retransmit_us = now_us + end->interval_us;
}
