#include "agent-fixture.h"

#include <string.h>

#define TOS_OFFSET 1

static WwPacketStatus
parse_packet (const guint8 *data, gsize length, WwPacket *packet)
{
  WwPacketStatus status = ww_packet_parse (data, length, packet);

  if (status != WW_PACKET_OK)
    return status;
  packet->returned = data[TOS_OFFSET] != 0;
  if (packet->tcp_flags == WW_TCP_SYN)
    packet->retransmission = packet->window;
  return status;
}

static void
clear_returned (guint8 *data, gsize length)
{
  data[TOS_OFFSET] = 0;
}

const WwPacketFormat af_returning_format = {
  .name = "test",
  .returns_packets = TRUE,
  .numbers_retransmissions = TRUE,
  .parse = parse_packet,
  .build = ww_packet_build_tcp,
  .clear_returned = clear_returned,
};

static void
capture_packet (AfCaptured *captured, const guint8 *data, gsize length)
{
  captured->count++;
  g_clear_pointer (&captured->last, g_bytes_unref);
  captured->last = g_bytes_new (data, length);
}

static void
to_server (gpointer context, const guint8 *data, gsize length)
{
  capture_packet (&((AfFixture *) context)->server, data, length);
}

static void
to_client (gpointer context, const guint8 *data, gsize length)
{
  capture_packet (&((AfFixture *) context)->client, data, length);
}

/* Records packets forwarded to the peer; messages between agents are not recorded. */
static void
to_endpoint (gpointer context, guint64 endpoint_id, const guint8 *data, gsize length)
{
  AfFixture *fixture = context;
  const guint8 *packet;
  gsize packet_length;

  if (!ww_encap_parse (data, length, &fixture->peer.header, &packet, &packet_length))
    return;
  fixture->peer.endpoint_id = endpoint_id;
  capture_packet (&fixture->peer, packet, packet_length);
}

void
af_set_peer (AfFixture *fixture, gboolean present, gboolean draining)
{
  const WfEndpoint endpoints[] = { { .id = AF_SELF_ID },
                                   { .id = AF_PEER_ID, .incarnation = 1, .draining = draining } };

  wf_agent_set_endpoints (fixture->agent, endpoints, present ? 2 : 1, fixture->now_us);
}

static WcService *
add_service (WcConfig *config)
{
  WcService *service = wc_service_new ("s", AF_SERVICE_ADDRESS);
  WcRoute *route =
      wc_route_new (AF_SERVICE_ADDRESS, AF_SERVICE_PORT, WW_PROTOCOL_TCP, WC_CLASS_SHORT);

  service->id = AF_SERVICE_ID;
  wc_route_add_target (route, AF_SERVICE_ID, 1);
  wc_config_add_service (config, service);
  wc_config_add_route (config, route);
  config->version = AF_CONFIG_VERSION;
  return service;
}

static AfFixture *
fixture_new (void (*list_endpoints) (gpointer, guint64, GArray *),
             guint64 (*endpoint_service) (gpointer, guint64))
{
  AfFixture *fixture = g_new0 (AfFixture, 1);
  WfCallbacks callbacks = { fixture,     to_server,      to_client,
                            to_endpoint, list_endpoints, endpoint_service };

  fixture->now_us = 1000 * WB_US_PER_S;
  fixture->client_port = AF_CLIENT_PORT;
  fixture->sender_id = AF_BALANCER_ID;
  fixture->home_id = AF_SELF_ID;
  fixture->hops = 1;
  fixture->config_version = AF_CONFIG_VERSION;
  fixture->agent = wf_agent_new (AF_SELF_ID, AF_SERVICE_ID, &callbacks, 1, fixture->now_us);
  return fixture;
}

static void
set_peer_and_settle (AfFixture *fixture, gboolean with_peer)
{
  af_set_peer (fixture, with_peer, FALSE);
  fixture->now_us += 60 * WB_US_PER_S;
  wf_agent_tick (fixture->agent, fixture->now_us);
}

static AfFixture *
new_returning (AfFixture *fixture, gboolean with_config, gboolean with_peer)
{
  wf_agent_set_format (fixture->agent, &af_returning_format);
  wf_agent_set_capacity (fixture->agent, 4, 0, fixture->now_us);
  if (with_config)
    {
      g_autoptr (WcConfig) config = wc_config_new ();

      (void) add_service (config);
      wf_agent_set_config (fixture->agent, config, fixture->now_us);
    }
  set_peer_and_settle (fixture, with_peer);
  return fixture;
}

AfFixture *
af_new (gboolean with_config, gboolean with_peer)
{
  return new_returning (fixture_new (NULL, NULL), with_config, with_peer);
}

AfFixture *
af_new_with_others (void (*list_endpoints) (gpointer, guint64, GArray *),
                    guint64 (*endpoint_service) (gpointer, guint64))
{
  return new_returning (fixture_new (list_endpoints, endpoint_service), TRUE, FALSE);
}

void
af_set_route (AfFixture *fixture, guint64 service_id)
{
  g_autoptr (WcConfig) config = wc_config_new ();
  WcRoute *route =
      wc_route_new (AF_SERVICE_ADDRESS, AF_SERVICE_PORT, WW_PROTOCOL_TCP, WC_CLASS_SHORT);

  (void) add_service (config);
  config->version = ++fixture->config_version;
  if (service_id != 0)
    {
      wc_route_add_target (route, service_id, 1);
      wc_config_add_route (config, route);
    }
  else
    {
      (void) g_hash_table_remove (config->routes, route);
      wc_route_unref (route);
    }
  wf_agent_set_config (fixture->agent, config, fixture->now_us);
}

AfFixture *
af_new_ip (guint slots, gint64 deadline_us, const gchar *refusal_text)
{
  AfFixture *fixture = fixture_new (NULL, NULL);
  g_autoptr (WcConfig) config = wc_config_new ();
  WcService *service = add_service (config);

  service->slots = slots;
  service->reserve_short = 0;
  service->deadline_us = deadline_us;
  g_free (service->refusal_text);
  service->refusal_text = g_strdup (refusal_text);
  wf_agent_set_config (fixture->agent, config, fixture->now_us);
  set_peer_and_settle (fixture, FALSE);
  return fixture;
}

void
af_free (AfFixture *fixture)
{
  AfCaptured *captures[] = { &fixture->server, &fixture->client, &fixture->peer };
  guint i;

  wf_agent_free (fixture->agent);
  for (i = 0; i < G_N_ELEMENTS (captures); i++)
    g_clear_pointer (&captures[i]->last, g_bytes_unref);
  g_free (fixture);
}

void
af_advance (AfFixture *fixture, gint64 duration_us)
{
  gint64 end_us = fixture->now_us + duration_us;

  while (fixture->now_us < end_us)
    {
      fixture->now_us += WB_US_PER_MS;
      wf_agent_tick (fixture->agent, fixture->now_us);
    }
}

WwPacket
af_client_packet (guint8 flags, guint32 sequence, guint32 acknowledgment, guint retransmission)
{
  WwPacket packet = { .source_address = AF_CLIENT_ADDRESS,
                      .destination_address = AF_SERVICE_ADDRESS,
                      .source_port = AF_CLIENT_PORT,
                      .destination_port = AF_SERVICE_PORT,
                      .protocol = WW_PROTOCOL_TCP,
                      .tcp_flags = flags,
                      .sequence = sequence,
                      .acknowledgment = acknowledgment,
                      .window = (guint16) retransmission };

  return packet;
}

void
af_receive_packet (AfFixture *fixture, const WwPacket *packet, ww_encap_kind kind)
{
  ww_encap header = { .kind = kind,
                      .hops = fixture->hops,
                      .service_id = AF_SERVICE_ID,
                      .config_version = fixture->config_version,
                      .home_id = fixture->home_id,
                      .sender_id = fixture->sender_id };
  g_autoptr (GByteArray) bytes = ww_packet_build_tcp (packet);
  g_autoptr (GByteArray) datagram = g_byte_array_new ();

  ww_encap_append (datagram, &header, bytes->data, bytes->len);
  wf_agent_receive (fixture->agent, datagram->data, datagram->len, fixture->now_us);
}

/* The server returns the last packet that was delivered to it. */
void
af_return_from_server (AfFixture *fixture)
{
  gsize length;
  const guint8 *data = g_bytes_get_data (fixture->server.last, &length);
  g_autofree guint8 *returned = g_memdup2 (data, length);

  returned[TOS_OFFSET] = 1;
  wf_agent_from_server (fixture->agent, returned, length, fixture->now_us);
}

void
af_send_from_server_with_payload (AfFixture *fixture,
                                  guint8 flags,
                                  guint32 sequence,
                                  guint32 acknowledgment,
                                  const gchar *payload)
{
  WwPacket packet = { .source_address = AF_SERVICE_ADDRESS,
                      .destination_address = AF_CLIENT_ADDRESS,
                      .source_port = AF_SERVICE_PORT,
                      .destination_port = fixture->client_port,
                      .protocol = WW_PROTOCOL_TCP,
                      .tcp_flags = flags,
                      .sequence = sequence,
                      .acknowledgment = acknowledgment,
                      .payload = (const guint8 *) payload,
                      .payload_length = strlen (payload) };
  g_autoptr (GByteArray) bytes = ww_packet_build_tcp (&packet);

  wf_agent_from_server (fixture->agent, bytes->data, bytes->len, fixture->now_us);
}

void
af_send_from_server (AfFixture *fixture, guint8 flags, guint32 sequence, guint32 acknowledgment)
{
  af_send_from_server_with_payload (fixture, flags, sequence, acknowledgment, "");
}

void
af_establish_flow (AfFixture *fixture)
{
  WwPacket initial = af_client_packet (WW_TCP_SYN, AF_CLIENT_SEQUENCE, 0, 0);
  WwPacket ack = af_client_packet (WW_TCP_ACK, AF_CLIENT_SEQUENCE + 1, AF_SERVER_SEQUENCE + 1, 0);

  af_receive_packet (fixture, &initial, WW_ENCAP_PLACE);
  af_send_from_server (fixture, WW_TCP_SYN | WW_TCP_ACK, AF_SERVER_SEQUENCE,
                       AF_CLIENT_SEQUENCE + 1);
  af_receive_packet (fixture, &ack, WW_ENCAP_FORWARD);
}

WwPacket
af_last_to_client (const AfFixture *fixture)
{
  WwPacket packet;
  gsize length;
  const guint8 *data = g_bytes_get_data (fixture->client.last, &length);

  g_assert_cmpint (ww_packet_parse (data, length, &packet), ==, WW_PACKET_OK);
  return packet;
}
