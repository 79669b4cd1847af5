#include "ww-packet.h"

#include "ww-bytes.h"

#include <string.h>

#define IPV4_HEADER_MIN_BYTES 20
#define TCP_HEADER_MIN_BYTES 20
#define UDP_HEADER_BYTES 8
#define ICMP_HEADER_BYTES 8
#define DEFAULT_TTL 64

static WwPacketStatus
parse_tcp (const guint8 *data, gsize length, WwPacket *packet)
{
  gsize header;

  if (length < TCP_HEADER_MIN_BYTES)
    return WW_PACKET_MALFORMED;
  header = (gsize) (data[12] >> 4) * 4;
  if (header < TCP_HEADER_MIN_BYTES || header > length)
    return WW_PACKET_MALFORMED;
  packet->source_port = ww_read_u16 (data);
  packet->destination_port = ww_read_u16 (data + 2);
  packet->sequence = ww_read_u32 (data + 4);
  packet->acknowledgment = ww_read_u32 (data + 8);
  packet->tcp_flags = data[13] & 0x3f;
  packet->window = ww_read_u16 (data + 14);
  packet->payload = data + header;
  packet->payload_length = length - header;
  return WW_PACKET_OK;
}

static WwPacketStatus
parse_udp (const guint8 *data, gsize length, WwPacket *packet)
{
  gsize total;

  if (length < UDP_HEADER_BYTES)
    return WW_PACKET_MALFORMED;
  total = ww_read_u16 (data + 4);
  if (total < UDP_HEADER_BYTES || total > length)
    return WW_PACKET_MALFORMED;
  packet->source_port = ww_read_u16 (data);
  packet->destination_port = ww_read_u16 (data + 2);
  packet->payload = data + UDP_HEADER_BYTES;
  packet->payload_length = total - UDP_HEADER_BYTES;
  return WW_PACKET_OK;
}

/* The ICMP errors destination unreachable (3), time exceeded (11) and parameter problem (12) quote
 * the packet that caused them. */
static WwPacketStatus
parse_icmp (const guint8 *data, gsize length, WwPacket *packet)
{
  const guint8 *quoted = data + ICMP_HEADER_BYTES;
  gsize header;

  if (length < ICMP_HEADER_BYTES + IPV4_HEADER_MIN_BYTES + 8)
    return WW_PACKET_UNSUPPORTED;
  if (data[0] != 3 && data[0] != 11 && data[0] != 12)
    return WW_PACKET_UNSUPPORTED;
  header = (gsize) (quoted[0] & 0x0f) * 4;
  if (quoted[0] >> 4 != 4 || header < IPV4_HEADER_MIN_BYTES ||
      ICMP_HEADER_BYTES + header + 4 > length)
    return WW_PACKET_MALFORMED;
  /* The service sent the quoted packet, so its source and destination are swapped in the result. */
  packet->protocol = quoted[9];
  if (packet->protocol != WW_PROTOCOL_TCP && packet->protocol != WW_PROTOCOL_UDP)
    return WW_PACKET_UNSUPPORTED;
  packet->destination_address = ww_read_u32 (quoted + 12);
  packet->source_address = ww_read_u32 (quoted + 16);
  packet->destination_port = ww_read_u16 (quoted + header);
  packet->source_port = ww_read_u16 (quoted + header + 2);
  return WW_PACKET_ICMP_ERROR;
}

WwPacketStatus
ww_packet_parse (const guint8 *data, gsize length, WwPacket *packet)
{
  gsize header;
  gsize total;

  memset (packet, 0, sizeof *packet);
  if (length < IPV4_HEADER_MIN_BYTES || data[0] >> 4 != 4)
    return WW_PACKET_MALFORMED;
  header = (gsize) (data[0] & 0x0f) * 4;
  total = ww_read_u16 (data + 2);
  if (header < IPV4_HEADER_MIN_BYTES || total < header || total > length)
    return WW_PACKET_MALFORMED;
  if ((ww_read_u16 (data + 6) & 0x3fff) != 0)
    return WW_PACKET_FRAGMENT;
  packet->protocol = data[9];
  packet->source_address = ww_read_u32 (data + 12);
  packet->destination_address = ww_read_u32 (data + 16);
  switch (packet->protocol)
    {
    case WW_PROTOCOL_TCP:
      return parse_tcp (data + header, total - header, packet);
    case WW_PROTOCOL_UDP:
      return parse_udp (data + header, total - header, packet);
    case WW_PROTOCOL_ICMP:
      return parse_icmp (data + header, total - header, packet);
    default:
      return WW_PACKET_UNSUPPORTED;
    }
}

WwFlowKey
ww_packet_key_from_client (const WwPacket *packet)
{
  WwFlowKey key = {
    .client_address = packet->source_address,
    .service_address = packet->destination_address,
    .client_port = packet->source_port,
    .service_port = packet->destination_port,
    .protocol = packet->protocol,
  };

  return key;
}

WwFlowKey
ww_packet_key_from_server (const WwPacket *packet)
{
  WwFlowKey key = {
    .client_address = packet->destination_address,
    .service_address = packet->source_address,
    .client_port = packet->destination_port,
    .service_port = packet->source_port,
    .protocol = packet->protocol,
  };

  return key;
}

WwPacket
ww_packet_to_client (const WwFlowKey *key)
{
  WwPacket packet = {
    .source_address = key->service_address,
    .destination_address = key->client_address,
    .source_port = key->service_port,
    .destination_port = key->client_port,
    .protocol = key->protocol,
  };

  return packet;
}

WwPacket
ww_packet_to_service (const WwFlowKey *key)
{
  WwPacket packet = {
    .source_address = key->client_address,
    .destination_address = key->service_address,
    .source_port = key->client_port,
    .destination_port = key->service_port,
    .protocol = key->protocol,
  };

  return packet;
}

guint32
ww_packet_sequence_length (const WwPacket *packet)
{
  guint32 length = (guint32) packet->payload_length;

  if (packet->tcp_flags & WW_TCP_SYN)
    length++;
  if (packet->tcp_flags & WW_TCP_FIN)
    length++;
  return length;
}

static guint32
sum_words (const guint8 *data, gsize length, guint32 sum)
{
  gsize i;

  for (i = 0; i + 1 < length; i += 2)
    sum += ww_read_u16 (data + i);
  if (length % 2 != 0)
    sum += (guint32) data[length - 1] << 8;
  return sum;
}

static guint16
fold_checksum (guint32 sum)
{
  while (sum >> 16 != 0)
    sum = (sum & 0xffff) + (sum >> 16);
  return (guint16) ~sum;
}

static guint16
transport_checksum (const WwPacket *packet, const guint8 *segment, gsize length)
{
  guint8 pseudo[12];

  ww_write_u32 (pseudo, packet->source_address);
  ww_write_u32 (pseudo + 4, packet->destination_address);
  pseudo[8] = 0;
  pseudo[9] = (guint8) packet->protocol;
  ww_write_u16 (pseudo + 10, (guint16) length);
  return fold_checksum (sum_words (segment, length, sum_words (pseudo, sizeof pseudo, 0)));
}

static GByteArray *
build_ipv4 (const WwPacket *packet, gsize segment_length)
{
  GByteArray *bytes = g_byte_array_sized_new ((guint) (IPV4_HEADER_MIN_BYTES + segment_length));
  guint8 *ip;

  g_byte_array_set_size (bytes, (guint) (IPV4_HEADER_MIN_BYTES + segment_length));
  memset (bytes->data, 0, bytes->len);
  ip = bytes->data;
  ip[0] = 0x45;
  ww_write_u16 (ip + 2, (guint16) bytes->len);
  ww_write_u16 (ip + 6, 0x4000);
  ip[8] = DEFAULT_TTL;
  ip[9] = (guint8) packet->protocol;
  ww_write_u32 (ip + 12, packet->source_address);
  ww_write_u32 (ip + 16, packet->destination_address);
  ww_write_u16 (ip + 10, fold_checksum (sum_words (ip, IPV4_HEADER_MIN_BYTES, 0)));
  return bytes;
}

GByteArray *
ww_packet_build_tcp (const WwPacket *packet)
{
  gsize length = TCP_HEADER_MIN_BYTES + packet->payload_length;
  GByteArray *bytes = build_ipv4 (packet, length);
  guint8 *tcp = bytes->data + IPV4_HEADER_MIN_BYTES;

  ww_write_u16 (tcp, packet->source_port);
  ww_write_u16 (tcp + 2, packet->destination_port);
  ww_write_u32 (tcp + 4, packet->sequence);
  ww_write_u32 (tcp + 8, packet->acknowledgment);
  tcp[12] = (TCP_HEADER_MIN_BYTES / 4) << 4;
  tcp[13] = packet->tcp_flags;
  ww_write_u16 (tcp + 14, packet->window);
  if (packet->payload_length > 0)
    memcpy (tcp + TCP_HEADER_MIN_BYTES, packet->payload, packet->payload_length);
  ww_write_u16 (tcp + 16, transport_checksum (packet, tcp, length));
  return bytes;
}

GByteArray *
ww_packet_build_udp (const WwPacket *packet)
{
  gsize length = UDP_HEADER_BYTES + packet->payload_length;
  GByteArray *bytes = build_ipv4 (packet, length);
  guint8 *udp = bytes->data + IPV4_HEADER_MIN_BYTES;
  guint16 checksum;

  ww_write_u16 (udp, packet->source_port);
  ww_write_u16 (udp + 2, packet->destination_port);
  ww_write_u16 (udp + 4, (guint16) length);
  if (packet->payload_length > 0)
    memcpy (udp + UDP_HEADER_BYTES, packet->payload, packet->payload_length);
  checksum = transport_checksum (packet, udp, length);
  ww_write_u16 (udp + 6, checksum == 0 ? 0xffff : checksum);
  return bytes;
}
