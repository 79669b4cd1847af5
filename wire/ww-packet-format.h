#pragma once

#include "ww-packet.h"

/**
 * DOC: Packet formats. The cores read packets through a format and otherwise carry them as bytes.
 */

/**
 * struct WwPacketFormat - how packets of the network and of the backend servers look
 * @originates_packets: the system may send packets of its own in a flow: complete a handshake,
 *   answer with a refusal text, probe either end. Without it the only packet of its own is a reset
 *   of a flow that no server holds.
 * @returns_packets: a backend server sends back a packet of a flow that it does not hold, or an
 *   initial packet that it does not accept, with WwPacket.returned set
 * @numbers_retransmissions: WwPacket.retransmission tells the first copy of an initial packet from
 *   later ones
 * @request_id_header: HTTP header in the payload that names a request, for logs; NULL for none
 * @parse: reads a packet; never reads beyond @length
 * @build: (transfer full): a packet with the fields given. A format without @originates_packets
 *   builds resets only.
 * @clear_returned: makes a returned packet one that another backend server accepts
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

/** ww_packet_format_ip - IPv4 packets */
extern const WwPacketFormat ww_packet_format_ip;
