#include "sk.h"

#include "wb.h"
#include "ww-bytes.h"

#include <string.h>

/* Key of the sum, which the system does not know. */
#define SUM_KEY 0x736f616bU

enum
{
  AT_DPORT = 0,
  AT_SPORT = 2,
  AT_DST = 4,
  AT_SRC = 8,
  AT_SEQ = 12,
  AT_ACK = 16,
  AT_SUM = 20,
  AT_FLAGS = 24,
  AT_ECHO = 28,
  AT_LEN = 32,
};

/* Over everything but the fields that a server may set when it returns a packet. */
static guint32
sum_of (const guint8 *bytes, gsize length)
{
  g_autofree guint8 *copy = g_memdup2 (bytes, length);

  ww_write_u32 (copy + AT_SUM, 0);
  copy[AT_FLAGS] &= (guint8) ~SK_BOUNCED;
  memset (copy + AT_FLAGS + 1, 0, AT_LEN - AT_FLAGS - 1);
  return (guint32) wb_hash64 (copy, length, SUM_KEY);
}

gsize
sk_packet_write (const SkPacket *packet, guint8 *bytes)
{
  gsize length = SK_HEAD + packet->length;

  memset (bytes, 0, SK_HEAD);
  ww_write_u16 (bytes + AT_DPORT, packet->destination_port);
  ww_write_u16 (bytes + AT_SPORT, packet->source_port);
  ww_write_u32 (bytes + AT_DST, packet->destination);
  ww_write_u32 (bytes + AT_SRC, packet->source);
  ww_write_u32 (bytes + AT_SEQ, packet->sequence);
  ww_write_u32 (bytes + AT_ACK, packet->acknowledgment);
  bytes[AT_FLAGS] = packet->flags;
  ww_write_u16 (bytes + AT_LEN, (guint16) packet->length);
  if (packet->length > 0)
    memcpy (bytes + SK_HEAD, packet->text, packet->length);
  ww_write_u32 (bytes + AT_SUM, sum_of (bytes, length));
  return length;
}

gboolean
sk_packet_read (const guint8 *bytes, gsize length, SkPacket *packet)
{
  if (length < SK_HEAD || ww_read_u16 (bytes + AT_LEN) != length - SK_HEAD)
    return FALSE;
  packet->destination_port = ww_read_u16 (bytes + AT_DPORT);
  packet->source_port = ww_read_u16 (bytes + AT_SPORT);
  packet->destination = ww_read_u32 (bytes + AT_DST);
  packet->source = ww_read_u32 (bytes + AT_SRC);
  packet->sequence = ww_read_u32 (bytes + AT_SEQ);
  packet->acknowledgment = ww_read_u32 (bytes + AT_ACK);
  packet->flags = bytes[AT_FLAGS];
  packet->text = (const gchar *) bytes + SK_HEAD;
  packet->length = length - SK_HEAD;
  packet->intact = ww_read_u32 (bytes + AT_SUM) == sum_of (bytes, length);
  return TRUE;
}
