#pragma once

#include "wb-counter.h"
#include "wc.h"
#include "ww-message.h"
#include "ww-packet-format.h"

/**
 * DOC: Forwarding decision of the balancer, used by its daemon.
 *
 * For each packet from the fabric the balancer finds the route of the destination and forwards the
 * packet to the agent of the flow's home, the endpoint of the service that ranks first. It keeps no
 * state of flows; placement and delivery are left to the agents, sockets to the daemon.
 */

/**
 * struct WlEndpoint - one endpoint, as membership reports it
 * @address: IPv4 address of the agent's host
 * @data_port: UDP port on which the agent receives encapsulated packets
 * @zone: its availability zone, as in ww_member; 0 when it is not known
 */
typedef struct
{
  guint64 id;
  guint64 service_id;
  guint32 address;
  guint16 data_port;
  guint32 zone;
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

/** wl_balancer_set_format() - sets the format of the packets; ww_packet_format_ip by default */
void wl_balancer_set_format (WlBalancer *balancer, const WwPacketFormat *format);

/** wl_balancer_set_entry_zone() - sets the availability zone that is named as the entry zone of
 * each packet, which makes an endpoint of that zone the home; 0, the default, for none */
void wl_balancer_set_entry_zone (WlBalancer *balancer, guint32 zone);

/** wl_balancer_set_config() - applies a configuration and holds a reference to it; one with an
 * older version than the one in effect is ignored and counted, whatever its source */
void wl_balancer_set_config (WlBalancer *balancer, WcConfig *config);

/**
 * wl_balancer_set_endpoints_complete() - tells whether wl_balancer_set_endpoints() has had the
 * complete list of endpoints; FALSE by default
 *
 * Until then packets of a service without an endpoint are dropped, so that the client retransmits;
 * afterwards their flows are refused.
 */
void wl_balancer_set_endpoints_complete (WlBalancer *balancer, gboolean complete);

/** wl_balancer_set_endpoints() - replaces the endpoints of all services */
void wl_balancer_set_endpoints (WlBalancer *balancer, const WlEndpoint *endpoints, guint count);

/** wl_balancer_packet() - forwards one packet from the fabric, drops it or refuses its flow; counts
 * each case */
void wl_balancer_packet (WlBalancer *balancer, const guint8 *packet, gsize length);

const WbCounters *wl_balancer_counters (const WlBalancer *balancer);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WlBalancer, wl_balancer_free)
