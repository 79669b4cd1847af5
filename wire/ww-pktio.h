#pragma once

#include "ww-packet-format.h"
#include "ww-sock.h"

/**
 * WwPktioReceived - called for each IP packet received
 */
typedef void (*WwPktioReceived) (gpointer context, const guint8 *packet, gsize length);

/**
 * struct WwPktio - input and output of IP packets
 *
 * Two implementations: one carries each IP packet in a UDP datagram, one uses a TUN device.
 */
typedef struct WwPktio WwPktio;

/**
 * ww_pktio_new_udp() - IP packets in UDP datagrams
 * @address: local address in host byte order
 * @peer_address: where packets are sent; packets from elsewhere are dropped unless it is 0
 * @error: WW_ERROR_SOCKET
 */
WwPktio *ww_pktio_new_udp (guint32 address,
                           guint16 port,
                           guint32 peer_address,
                           guint16 peer_port,
                           WwPktioReceived received,
                           gpointer context,
                           GError **error);

/**
 * ww_pktio_new_direct() - packets in UDP datagrams to the destination address that they carry, at
 * the port number of the local address
 * @address: local address in host byte order
 * @format: of the packets
 * @error: WW_ERROR_SOCKET
 */
WwPktio *ww_pktio_new_direct (guint32 address,
                              guint16 port,
                              const WwPacketFormat *format,
                              WwPktioReceived received,
                              gpointer context,
                              GError **error);

/**
 * ww_pktio_new_tun() - attaches to a persistent TUN device that the host's administrator has made
 * @device: name of the device
 * @error: WW_ERROR_DEVICE
 */
WwPktio *
ww_pktio_new_tun (const gchar *device, WwPktioReceived received, gpointer context, GError **error);

void ww_pktio_free (WwPktio *pktio);

/** ww_pktio_send() - sends one IP packet */
void ww_pktio_send (WwPktio *pktio, const guint8 *packet, gsize length);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WwPktio, ww_pktio_free)
