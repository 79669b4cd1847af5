#pragma once

#include "ww-packet-format.h"
#include "ww-sock.h"

/**
 * DOC: Input and output of IP packets on the side of the clients or of the backend server.
 */

/**
 * WwPktioReceiveFunc - called for each packet received
 */
typedef void (*WwPktioReceiveFunc) (gpointer context, const guint8 *packet, gsize length);

/**
 * struct WwPktio - sends and receives IP packets in the default main context
 *
 * A packet is the payload of a UDP datagram, or is exchanged with the kernel through a TUN device.
 */
typedef struct WwPktio WwPktio;

/**
 * ww_pktio_new_udp() - exchanges packets in UDP datagrams with one peer
 * @address: local address in host byte order
 * @peer_address: destination of all packets; datagrams from other addresses are dropped. 0 when
 *   datagrams from any address are accepted and none are sent
 * @error: WW_ERROR_SOCKET
 */
WwPktio *ww_pktio_new_udp (guint32 address,
                           guint16 port,
                           guint32 peer_address,
                           guint16 peer_port,
                           WwPktioReceiveFunc received,
                           gpointer context,
                           GError **error);

/**
 * ww_pktio_new_direct() - exchanges packets in UDP datagrams without a fixed peer
 * @address: local address in host byte order
 * @port: local port, and port that all datagrams are sent to
 * @format: used to read the packets' destination addresses
 * @error: WW_ERROR_SOCKET
 *
 * Each packet is sent to the destination address in its header.
 */
WwPktio *ww_pktio_new_direct (guint32 address,
                              guint16 port,
                              const WwPacketFormat *format,
                              WwPktioReceiveFunc received,
                              gpointer context,
                              GError **error);

/**
 * ww_pktio_new_tun() - attaches to a persistent TUN device, which the host's administrator creates
 * @device: name of the device
 * @error: WW_ERROR_DEVICE
 */
WwPktio *ww_pktio_new_tun (const gchar *device,
                           WwPktioReceiveFunc received,
                           gpointer context,
                           GError **error);

void ww_pktio_free (WwPktio *pktio);

/** ww_pktio_send() - sends one IP packet; a packet that cannot be sent is dropped */
void ww_pktio_send (WwPktio *pktio, const guint8 *packet, gsize length);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WwPktio, ww_pktio_free)
