#include "wl.h"

typedef struct
{
  guint sent;
  guint32 address;
  ww_encap header;
} Capture;

static void
capture (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  Capture *self = context;
  const guint8 *packet;
  gsize packet_length;

  self->sent++;
  self->address = address;
  g_assert_true (ww_encap_parse (data, length, &self->header, &packet, &packet_length));
}

static WcConfig *
make_config (guint64 version, guint16 port)
{
  WcConfig *config = wc_config_new ();
  WcService *service = wc_service_new ("order-desk", 0xc6336401);

  wc_service_add_port (service, port, WW_PROTOCOL_TCP, WC_CLASS_SHORT);
  wc_config_add_service (config, service);
  config->version = version;
  return config;
}

static void
send_packet (WlBalancer *balancer, guint16 client_port, guint16 service_port)
{
  WwPacket packet = {
    .source_address = 0xcb007101,
    .destination_address = 0xc6336401,
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
      endpoints[i].service_id = wb_name_id ("order-desk");
      endpoints[i].address = 0x7f000001 + i;
    }
  wl_balancer_set_endpoints (balancer, endpoints, count);
}

/* Guards against two balancers with the same view that choose different homes for one flow. */
static void
test_balancers_agree (void)
{
  Capture first = { 0 }, second = { 0 };
  WlCallbacks first_callbacks = { &first, capture }, second_callbacks = { &second, capture };
  g_autoptr (WlBalancer) a = wl_balancer_new (1, &first_callbacks);
  g_autoptr (WlBalancer) b = wl_balancer_new (2, &second_callbacks);
  g_autoptr (WcConfig) config = make_config (3, 80);
  guint16 port;

  wl_balancer_set_config (a, config);
  wl_balancer_set_config (b, config);
  set_endpoints (a, 7);
  set_endpoints (b, 7);
  for (port = 1000; port < 1200; port++)
    {
      send_packet (a, port, 80);
      send_packet (b, port, 80);
      g_assert_cmpuint (first.address, ==, second.address);
      g_assert_cmpuint (first.header.home_id, ==, second.header.home_id);
    }
  g_assert_cmpuint (first.sent, ==, 200);
}

/* Guards against packets for an unknown port that reach an endpoint of the address's service. */
static void
test_unknown_port (void)
{
  Capture captured = { 0 };
  WlCallbacks callbacks = { &captured, capture };
  g_autoptr (WlBalancer) balancer = wl_balancer_new (1, &callbacks);
  g_autoptr (WcConfig) config = make_config (1, 80);

  wl_balancer_set_config (balancer, config);
  set_endpoints (balancer, 2);
  send_packet (balancer, 1000, 81);
  g_assert_cmpuint (captured.sent, ==, 0);
  g_assert_cmpuint (
      wb_counters_get_by_name (wl_balancer_counters (balancer), "balancer_no_service"), ==, 1);
}

/* Guards against a configuration that reverts when an older one arrives late (R5). */
static void
test_older_config_ignored (void)
{
  Capture captured = { 0 };
  WlCallbacks callbacks = { &captured, capture };
  g_autoptr (WlBalancer) balancer = wl_balancer_new (1, &callbacks);
  g_autoptr (WcConfig) newer = make_config (5, 81);
  g_autoptr (WcConfig) older = make_config (4, 80);

  wl_balancer_set_config (balancer, newer);
  wl_balancer_set_config (balancer, older);
  set_endpoints (balancer, 2);
  send_packet (balancer, 1000, 81);
  g_assert_cmpuint (captured.sent, ==, 1);
  g_assert_cmpuint (captured.header.config_version, ==, 5);
}

static guint resets;

static void
count_reset (gpointer context, const guint8 *packet, gsize length)
{
  resets++;
}

/* IPv4, but the system may send nothing except a reset. */
static const WwPacketFormat reset_only = {
  .name = "reset-only",
  .numbers_retransmissions = TRUE,
  .parse = ww_packet_parse,
  .build = ww_packet_build_tcp,
};

static void
send_initial (WlBalancer *balancer, guint16 service_port)
{
  WwPacket packet = { .source_address = 0xcb007101,
                      .destination_address = 0xc6336401,
                      .source_port = 1000,
                      .destination_port = service_port,
                      .protocol = WW_PROTOCOL_TCP,
                      .tcp_flags = WW_TCP_SYN };
  g_autoptr (GByteArray) bytes = ww_packet_build_tcp (&packet);

  wl_balancer_packet (balancer, bytes->data, bytes->len);
}

/* Guards against a client that waits for its own timeout because its destination has no service,
 * and against clients that a balancer sends away before it knows the endpoints. */
static void
test_refusal (void)
{
  Capture captured = { 0 };
  WlCallbacks callbacks = { &captured, capture, count_reset };
  g_autoptr (WlBalancer) balancer = wl_balancer_new (1, &callbacks);
  g_autoptr (WcConfig) config = make_config (1, 80);

  wl_balancer_set_format (balancer, &reset_only);
  wl_balancer_set_config (balancer, config);
  send_initial (balancer, 81);
  g_assert_cmpuint (resets, ==, 1);
  send_initial (balancer, 80);
  g_assert_cmpuint (resets, ==, 1);
  wl_balancer_set_endpoints_complete (balancer, TRUE);
  send_initial (balancer, 80);
  g_assert_cmpuint (resets, ==, 2);
  send_packet (balancer, 1000, 81);
  g_assert_cmpuint (resets, ==, 2);
  g_assert_cmpuint (captured.sent, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/balance/agree", test_balancers_agree);
  g_test_add_func ("/balance/unknown-port", test_unknown_port);
  g_test_add_func ("/balance/older-config-ignored", test_older_config_ignored);
  g_test_add_func ("/balance/refusal", test_refusal);
  return g_test_run ();
}
