#pragma once

#include "ww-flow-key.h"

/**
 * DOC: Parsing and building of IPv4 packets with TCP, UDP or ICMP errors.
 */

#define WW_PROTOCOL_ICMP 1
#define WW_PROTOCOL_TCP 6
#define WW_PROTOCOL_UDP 17

#define WW_TCP_FIN 0x01
#define WW_TCP_SYN 0x02
#define WW_TCP_RST 0x04
#define WW_TCP_PSH 0x08
#define WW_TCP_ACK 0x10

/** Largest supported IP packet in bytes. */
#define WW_PACKET_MAX_BYTES 9000

/**
 * enum WwPacketStatus - result of parsing a packet
 * @WW_PACKET_ICMP_ERROR: an ICMP error; the fields describe the flow of the quoted packet, in the
 *   direction from the client
 */
typedef enum
{
  WW_PACKET_OK,
  WW_PACKET_ICMP_ERROR,
  WW_PACKET_MALFORMED,
  WW_PACKET_FRAGMENT,
  WW_PACKET_UNSUPPORTED,
} WwPacketStatus;

/**
 * struct WwPacket - parsed fields of a packet, in host byte order
 * @tcp_flags: WW_TCP_*; 0 for other protocols
 * @payload: points into the parsed packet
 * @retransmission: for an initial packet, how many times the client has sent it before; 0 when the
 *   format does not number retransmissions
 * @waited_us: for an initial packet, time since the client first sent it; 0 when the format does
 *   not number retransmissions
 * @returned: a client's packet that the backend server has sent back because it does not hold the
 *   flow
 */
typedef struct
{
  guint32 source_address;
  guint32 destination_address;
  guint16 source_port;
  guint16 destination_port;
  guint32 protocol;
  guint8 tcp_flags;
  guint32 sequence;
  guint32 acknowledgment;
  guint16 window;
  const guint8 *payload;
  gsize payload_length;
  guint retransmission;
  gint64 waited_us;
  gboolean returned;
} WwPacket;

/** ww_packet_parse() - parses an IPv4 packet; never reads beyond @length */
WwPacketStatus ww_packet_parse (const guint8 *data, gsize length, WwPacket *packet);

/** ww_packet_key_from_client() - flow key of a packet sent by the client */
WwFlowKey ww_packet_key_from_client (const WwPacket *packet);

/** ww_packet_key_from_server() - flow key of a packet sent by the backend server */
WwFlowKey ww_packet_key_from_server (const WwPacket *packet);

/** ww_packet_to_client() - a WwPacket from the service to the client, with only addresses, ports
 * and protocol set */
WwPacket ww_packet_to_client (const WwFlowKey *key);

/** ww_packet_to_service() - a WwPacket from the client to the service, with only addresses, ports
 * and protocol set */
WwPacket ww_packet_to_service (const WwFlowKey *key);

/**
 * ww_packet_sequence_length() - number of sequence numbers that a TCP segment uses: one for each
 * payload byte, SYN and FIN
 */
guint32 ww_packet_sequence_length (const WwPacket *packet);

/**
 * ww_packet_build_tcp() - builds an IPv4 packet with one TCP segment and valid checksums
 * @packet: addresses, ports, flags, sequence numbers, window and payload
 *
 * Return: (transfer full): the packet
 */
GByteArray *ww_packet_build_tcp (const WwPacket *packet);

/** ww_packet_build_udp() - builds an IPv4 packet with one UDP datagram and valid checksums */
GByteArray *ww_packet_build_udp (const WwPacket *packet);
