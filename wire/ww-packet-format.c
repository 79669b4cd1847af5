#include "ww-packet-format.h"

static GByteArray *
build (const WwPacket *packet)
{
  return packet->protocol == WW_PROTOCOL_UDP ? ww_packet_build_udp (packet)
                                             : ww_packet_build_tcp (packet);
}

const WwPacketFormat ww_packet_format_ip = {
  .name = "ip",
  .originates_packets = TRUE,
  .parse = ww_packet_parse,
  .build = build,
};
