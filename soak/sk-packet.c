#include "sk.h"

#include "wb.h"
#include "ww-bytes.h"

#include <string.h>

/* Unknown to the programs under test, so that they cannot recompute the checksum. */
#define CHECKSUM_SEED 0x736f616bU

enum
{
  OFFSET_DESTINATION_PORT = 0,
  OFFSET_SOURCE_PORT = 2,
  OFFSET_DESTINATION = 4,
  OFFSET_SOURCE = 8,
  OFFSET_SEQUENCE = 12,
  OFFSET_ACKNOWLEDGMENT = 16,
  OFFSET_CHECKSUM = 20,
  OFFSET_FLAGS = SK_FLAGS_OFFSET,
  OFFSET_ECHO = 28,
  OFFSET_LENGTH = 32,
};

/* Leaves out the checksum and the fields that a server may set when it returns a packet. */
static guint32
compute_checksum (const guint8 *bytes, gsize length)
{
  g_autofree guint8 *masked = g_memdup2 (bytes, length);

  ww_write_u32 (masked + OFFSET_CHECKSUM, 0);
  masked[OFFSET_FLAGS] &= (guint8) ~SK_FLAG_RETURNED;
  memset (masked + OFFSET_FLAGS + 1, 0, OFFSET_LENGTH - OFFSET_FLAGS - 1);
  return (guint32) wb_hash64 (masked, length, CHECKSUM_SEED);
}

gsize
sk_packet_write (const SkPacket *packet, guint8 *bytes)
{
  gsize length = SK_HEADER_BYTES + packet->payload_length;

  memset (bytes, 0, SK_HEADER_BYTES);
  ww_write_u16 (bytes + OFFSET_DESTINATION_PORT, packet->destination_port);
  ww_write_u16 (bytes + OFFSET_SOURCE_PORT, packet->source_port);
  ww_write_u32 (bytes + OFFSET_DESTINATION, packet->destination);
  ww_write_u32 (bytes + OFFSET_SOURCE, packet->source);
  ww_write_u32 (bytes + OFFSET_SEQUENCE, packet->sequence);
  ww_write_u32 (bytes + OFFSET_ACKNOWLEDGMENT, packet->acknowledgment);
  bytes[OFFSET_FLAGS] = packet->flags;
  ww_write_u16 (bytes + OFFSET_LENGTH, (guint16) packet->payload_length);
  if (packet->payload_length > 0)
    memcpy (bytes + SK_HEADER_BYTES, packet->payload, packet->payload_length);
  ww_write_u32 (bytes + OFFSET_CHECKSUM, compute_checksum (bytes, length));
  return length;
}

gboolean
sk_packet_read (const guint8 *bytes, gsize length, SkPacket *packet)
{
  if (length < SK_HEADER_BYTES || ww_read_u16 (bytes + OFFSET_LENGTH) != length - SK_HEADER_BYTES)
    return FALSE;
  packet->destination_port = ww_read_u16 (bytes + OFFSET_DESTINATION_PORT);
  packet->source_port = ww_read_u16 (bytes + OFFSET_SOURCE_PORT);
  packet->destination = ww_read_u32 (bytes + OFFSET_DESTINATION);
  packet->source = ww_read_u32 (bytes + OFFSET_SOURCE);
  packet->sequence = ww_read_u32 (bytes + OFFSET_SEQUENCE);
  packet->acknowledgment = ww_read_u32 (bytes + OFFSET_ACKNOWLEDGMENT);
  packet->flags = bytes[OFFSET_FLAGS];
  packet->payload = (const gchar *) bytes + SK_HEADER_BYTES;
  packet->payload_length = length - SK_HEADER_BYTES;
  packet->checksum_valid =
      ww_read_u32 (bytes + OFFSET_CHECKSUM) == compute_checksum (bytes, length);
  return TRUE;
}
