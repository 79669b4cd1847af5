#pragma once

#include "ww-packet.h"

/**
 * DOC: Formats of the packets that clients and backend servers exchange.
 *
 * Balancers and agents read packet headers only through a WwPacketFormat and otherwise treat
 * packets as opaque bytes, so that they work with any platform's packets.
 */

/**
 * struct WwPacketFormat - functions and properties of a packet format
 * @originates_packets: an agent may send packets in a flow: complete a handshake, send a refusal
 *   text, probe client or backend server. Otherwise it only sends resets of flows that no server
 *   holds.
 * @returns_packets: a backend server sends back packets of flows that it does not hold, and initial
 *   packets that it does not accept, with WwPacket.returned set
 * @numbers_retransmissions: WwPacket.retransmission is set from a field of the packet
 * @request_id_header: HTTP header in the payload that names a request, for logs; NULL for none
 * @parse: parses a packet; never reads beyond @length
 * @build: (transfer full): builds a packet; a format without @originates_packets builds only resets
 * @clear_returned: clears the marks of a returned packet, so that another server accepts it; NULL
 *   without @returns_packets
 */
typedef struct
{
  const gchar *name;
  gboolean originates_packets;
  gboolean returns_packets;
  gboolean numbers_retransmissions;
  const gchar *request_id_header;
  WwPacketStatus (*parse) (const guint8 *data, gsize length, WwPacket *packet);
  GByteArray *(*build) (const WwPacket *packet);
  void (*clear_returned) (guint8 *data, gsize length);
} WwPacketFormat;

/** ww_packet_format_ip - plain IPv4 packets */
extern const WwPacketFormat ww_packet_format_ip;
