#pragma once

#include "wb-counter.h"
#include "wc.h"
#include "ww-message.h"
#include "ww-packet-format.h"

/**
 * DOC: The balancer's forwarding decision. It keeps no state of flows.
 */

/**
 * struct WlEndpoint - one endpoint, as membership reports it
 */
typedef struct
{
  guint64 id;
  guint64 service_id;
  guint32 address;
  guint16 data_port;
} WlEndpoint;

/**
 * struct WlCallbacks - output of the balancer
 * @to_agent: sends a datagram to the data address of an endpoint's agent
 * @to_client: (optional): sends a packet to a client
 */
typedef struct
{
  gpointer context;
  void (*to_agent) (
      gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length);
  void (*to_client) (gpointer context, const guint8 *packet, gsize length);
} WlCallbacks;

typedef struct WlBalancer WlBalancer;

WlBalancer *wl_balancer_new (guint64 self_id, const WlCallbacks *callbacks);
void wl_balancer_free (WlBalancer *balancer);

/** wl_balancer_set_format() - format of the packets; ww_packet_format_ip by default */
void wl_balancer_set_format (WlBalancer *balancer, const WwPacketFormat *format);

/** wl_balancer_set_config() - takes over a configuration; an older version is ignored and counted
 * (R5) */
void wl_balancer_set_config (WlBalancer *balancer, WcConfig *config);

/**
 * wl_balancer_set_endpoints_complete() - whether the endpoints known are all there are
 *
 * Until then a flow without an endpoint is dropped, so that the client tries again, instead of
 * refused.
 */
void wl_balancer_set_endpoints_complete (WlBalancer *balancer, gboolean settled);

/** wl_balancer_set_endpoints() - replaces the endpoints of all services */
void wl_balancer_set_endpoints (WlBalancer *balancer, const WlEndpoint *endpoints, guint count);

/** wl_balancer_packet() - forwards one packet from the fabric, or drops or refuses and counts it */
void wl_balancer_packet (WlBalancer *balancer, const guint8 *packet, gsize length);

const WbCounters *wl_balancer_counters (const WlBalancer *balancer);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WlBalancer, wl_balancer_free)
