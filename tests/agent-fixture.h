#pragma once

#include "wf-options.h"
#include "wf-server.h"

/**
 * DOC: One agent whose packets to its server, its clients and a peer are captured.
 *
 * Two packet formats are used: plain IPv4, and the returning format, in which a server returns the
 * packets of flows that it does not hold and in which an agent may send no packets of its own
 * except resets. The latter is IPv4 too: a type-of-service byte that is not 0 marks a returned
 * packet, and the TCP window of an initial packet counts its retransmissions.
 */

#define AF_SELF_ID 1
#define AF_PEER_ID 2
#define AF_SERVICE_ID 7
#define AF_CLIENT_ADDRESS 0x0a000001
#define AF_CLIENT_PORT 4000
#define AF_SERVICE_ADDRESS 0xc0000201
#define AF_SERVICE_PORT 80
#define AF_CLIENT_SEQUENCE 5000
#define AF_SERVER_SEQUENCE 9000
#define AF_CONFIG_VERSION 5
#define AF_BALANCER_ID 99

typedef struct
{
  guint count;
  GBytes *last;
  guint64 endpoint_id; /* to which @last went; only of packets to the peer */
  ww_encap header;
} AfCaptured;

typedef struct
{
  WfAgent *agent;
  AfCaptured server, client, peer;
  guint16 client_port; /* to which the server's packets go */
  guint64 sender_id;   /* in the header of the next packets that it receives */
  guint64 home_id;     /* likewise */
  guint hops;          /* likewise */
  guint64 config_version;
  gint64 now_us;
} AfFixture;

/** af_returning_format - the returning format */
extern const WwPacketFormat af_returning_format;

/** af_new() - an agent with the returning format and 4 announced slots */
AfFixture *af_new (gboolean with_config, gboolean with_peer);

/** af_new_with_others() - af_new() with a configuration and without a peer, but with endpoints
 * of other services; see struct WfCallbacks */
AfFixture *af_new_with_others (void (*list_endpoints) (gpointer context,
                                                       guint64 service_id,
                                                       GArray *endpoints),
                               guint64 (*endpoint_service) (gpointer context, guint64 endpoint_id));

/** af_set_route() - a new configuration, in which the clients' destination leads to a service; 0
 * for one without the route */
void af_set_route (AfFixture *fixture, guint64 service_id);

/** af_new_ip() - an agent with IPv4 packets, without a peer */
AfFixture *af_new_ip (guint slots, gint64 deadline_us, const gchar *refusal_text);
void af_free (AfFixture *fixture);
void af_set_peer (AfFixture *fixture, gboolean present, gboolean draining);
void af_advance (AfFixture *fixture, gint64 duration_us);

/** af_client_packet() - a packet from AF_CLIENT_PORT without payload */
WwPacket
af_client_packet (guint8 flags, guint32 sequence, guint32 acknowledgment, guint retransmission);

/** af_receive_packet() - the agent receives a packet of a client from a balancer */
void af_receive_packet (AfFixture *fixture, const WwPacket *packet, ww_encap_kind kind);

/** af_return_from_server() - the server returns the last packet that was delivered to it */
void af_return_from_server (AfFixture *fixture);
void
af_send_from_server (AfFixture *fixture, guint8 flags, guint32 sequence, guint32 acknowledgment);
void af_send_from_server_with_payload (AfFixture *fixture,
                                       guint8 flags,
                                       guint32 sequence,
                                       guint32 acknowledgment,
                                       const gchar *payload);

/** af_establish_flow() - a client at @client_port opens a flow with the server */
void af_establish_flow (AfFixture *fixture);

/** af_last_to_client() - the last packet sent to a client */
WwPacket af_last_to_client (const AfFixture *fixture);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (AfFixture, af_free)
