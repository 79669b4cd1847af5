#include "wl.h"

#define SERVICE_NAME "order-desk"
#define SERVICE_ADDRESS 0xc6336401
#define CLIENT_ADDRESS 0xcb007101

typedef struct
{
  guint count;
  guint32 address; /* to which the last packet went */
  ww_encap header; /* of the last packet */
} CapturedPackets;

static void
capture_packet (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  CapturedPackets *captured = context;
  const guint8 *packet;
  gsize packet_length;

  captured->count++;
  captured->address = address;
  g_assert_true (ww_encap_parse (data, length, &captured->header, &packet, &packet_length));
}

static WcConfig *
config_new (guint64 version, guint16 port)
{
  WcConfig *config = wc_config_new ();
  WcService *service = wc_service_new (SERVICE_NAME, SERVICE_ADDRESS);

  wc_service_add_port (service, port, WW_PROTOCOL_TCP, WC_CLASS_SHORT);
  wc_config_add_service (config, service);
  config->version = version;
  return config;
}

static void
send_ack (WlBalancer *balancer, guint16 client_port, guint16 service_port)
{
  WwPacket packet = {
    .source_address = CLIENT_ADDRESS,
    .destination_address = SERVICE_ADDRESS,
    .source_port = client_port,
    .destination_port = service_port,
    .protocol = WW_PROTOCOL_TCP,
    .tcp_flags = WW_TCP_ACK,
  };
  g_autoptr (GByteArray) bytes = ww_packet_build_tcp (&packet);

  wl_balancer_packet (balancer, bytes->data, bytes->len);
}

static void
set_endpoints (WlBalancer *balancer, guint count)
{
  WlEndpoint endpoints[8] = { 0 };
  guint i;

  for (i = 0; i < count; i++)
    {
      endpoints[i].id = wb_hash64 (&i, sizeof i, 1);
      endpoints[i].service_id = wb_name_id (SERVICE_NAME);
      endpoints[i].address = 0x7f000001 + i;
    }
  wl_balancer_set_endpoints (balancer, endpoints, count);
}

/* Guards against two balancers with the same endpoints that choose different homes for one flow. */
static void
test_balancers_agree (void)
{
  CapturedPackets first = { 0 }, second = { 0 };
  WlCallbacks first_callbacks = { &first, capture_packet },
              second_callbacks = { &second, capture_packet };
  g_autoptr (WlBalancer) a = wl_balancer_new (1, &first_callbacks);
  g_autoptr (WlBalancer) b = wl_balancer_new (2, &second_callbacks);
  g_autoptr (WcConfig) config = config_new (3, 80);
  guint16 port;

  wl_balancer_set_config (a, config);
  wl_balancer_set_config (b, config);
  set_endpoints (a, 7);
  set_endpoints (b, 7);
  for (port = 1000; port < 1200; port++)
    {
      send_ack (a, port, 80);
      send_ack (b, port, 80);
      g_assert_cmpuint (first.address, ==, second.address);
      g_assert_cmpuint (first.header.home_id, ==, second.header.home_id);
    }
  g_assert_cmpuint (first.count, ==, 200);
}

/* Guards against packets to a port of no service that reach an endpoint of the service with that
 * address. */
static void
test_unknown_port (void)
{
  CapturedPackets captured = { 0 };
  WlCallbacks callbacks = { &captured, capture_packet };
  g_autoptr (WlBalancer) balancer = wl_balancer_new (1, &callbacks);
  g_autoptr (WcConfig) config = config_new (1, 80);

  wl_balancer_set_config (balancer, config);
  set_endpoints (balancer, 2);
  send_ack (balancer, 1000, 81);
  g_assert_cmpuint (captured.count, ==, 0);
  g_assert_cmpuint (
      wb_counters_get_by_name (wl_balancer_counters (balancer), "balancer_no_service"), ==, 1);
}

/* Guards against a balancer that returns to an older configuration when that arrives late. */
static void
test_older_config_ignored (void)
{
  CapturedPackets captured = { 0 };
  WlCallbacks callbacks = { &captured, capture_packet };
  g_autoptr (WlBalancer) balancer = wl_balancer_new (1, &callbacks);
  g_autoptr (WcConfig) newer = config_new (5, 81);
  g_autoptr (WcConfig) older = config_new (4, 80);

  wl_balancer_set_config (balancer, newer);
  wl_balancer_set_config (balancer, older);
  set_endpoints (balancer, 2);
  send_ack (balancer, 1000, 81);
  g_assert_cmpuint (captured.count, ==, 1);
  g_assert_cmpuint (captured.header.config_version, ==, 5);
}

static guint reset_count;

static void
count_reset (gpointer context, const guint8 *packet, gsize length)
{
  reset_count++;
}

/* IPv4 packets, of which the balancer may send none of its own except resets. */
static const WwPacketFormat reset_only_format = {
  .name = "reset-only",
  .numbers_retransmissions = TRUE,
  .parse = ww_packet_parse,
  .build = ww_packet_build_tcp,
};

static void
send_syn (WlBalancer *balancer, guint16 service_port)
{
  WwPacket packet = { .source_address = CLIENT_ADDRESS,
                      .destination_address = SERVICE_ADDRESS,
                      .source_port = 1000,
                      .destination_port = service_port,
                      .protocol = WW_PROTOCOL_TCP,
                      .tcp_flags = WW_TCP_SYN };
  g_autoptr (GByteArray) bytes = ww_packet_build_tcp (&packet);

  wl_balancer_packet (balancer, bytes->data, bytes->len);
}

/* Guards against a client that waits for its own timeout because its destination has no service or
 * the service no endpoint, and against a balancer that resets flows before it has the complete list
 * of endpoints. */
static void
test_refusal (void)
{
  CapturedPackets captured = { 0 };
  WlCallbacks callbacks = { &captured, capture_packet, count_reset };
  g_autoptr (WlBalancer) balancer = wl_balancer_new (1, &callbacks);
  g_autoptr (WcConfig) config = config_new (1, 80);

  wl_balancer_set_format (balancer, &reset_only_format);
  wl_balancer_set_config (balancer, config);
  send_syn (balancer, 81);
  g_assert_cmpuint (reset_count, ==, 1);
  send_syn (balancer, 80);
  g_assert_cmpuint (reset_count, ==, 1);
  wl_balancer_set_endpoints_complete (balancer, TRUE);
  send_syn (balancer, 80);
  g_assert_cmpuint (reset_count, ==, 2);
  send_ack (balancer, 1000, 81);
  g_assert_cmpuint (reset_count, ==, 2);
  g_assert_cmpuint (captured.count, ==, 0);
}

/* Guards against packets of open flows that are dropped because their route has moved to a service
 * that has no endpoint, and against new flows for the service that had the route before. */
static void
test_moved_to_empty_service (void)
{
  CapturedPackets captured = { 0 };
  WlCallbacks callbacks = { &captured, capture_packet };
  g_autoptr (WlBalancer) balancer = wl_balancer_new (1, &callbacks);
  g_autoptr (WcConfig) before = config_new (1, 80);
  g_autoptr (WcConfig) after = config_new (2, 80);
  WcRoute *route = wc_route_new (SERVICE_ADDRESS, 80, WW_PROTOCOL_TCP, WC_CLASS_SHORT);

  wc_route_add_target (route, wb_name_id ("empty"), 1);
  wc_config_add_route (after, route);
  wl_balancer_set_config (balancer, before);
  wl_balancer_set_config (balancer, after);
  set_endpoints (balancer, 2);
  send_ack (balancer, 1000, 80);
  g_assert_cmpuint (captured.count, ==, 1);
  g_assert_cmpuint (captured.header.service_id, ==, wb_name_id (SERVICE_NAME));
  send_syn (balancer, 80);
  g_assert_cmpuint (captured.count, ==, 1);
  g_assert_cmpuint (
      wb_counters_get_by_name (wl_balancer_counters (balancer), "balancer_no_endpoint"), ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/balance/agree", test_balancers_agree);
  g_test_add_func ("/balance/unknown-port", test_unknown_port);
  g_test_add_func ("/balance/older-config-ignored", test_older_config_ignored);
  g_test_add_func ("/balance/refusal", test_refusal);
  g_test_add_func ("/balance/moved-to-empty-service", test_moved_to_empty_service);
  return g_test_run ();
}
