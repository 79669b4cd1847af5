#include "wc-history.h"
#include "ww-packet.h"

#define ADDRESS 0xc0000201
#define PORT 443
#define S WB_US_PER_S

/* Adds a route to the services @first and @second by weight; a weight of 0 leaves the service out.
 */
static void
add_route (WcConfig *config, guint16 port, guint first_weight, guint second_weight)
{
  WcRoute *route = wc_route_new (ADDRESS, port, WW_PROTOCOL_TCP, WC_CLASS_SHORT);

  wc_route_add_target (route, 1, first_weight);
  wc_route_add_target (route, 2, second_weight);
  wc_config_add_route (config, route);
}

static WwFlowKey
key_for (guint16 client_port, guint16 port)
{
  WwFlowKey key = { .client_address = 0x0a000001,
                    .service_address = ADDRESS,
                    .client_port = client_port,
                    .service_port = port,
                    .protocol = WW_PROTOCOL_TCP };

  return key;
}

/* Guards against a flow that is looked for in the wrong service after its route has moved, once or
 * several times, and against one that is looked for elsewhere although its route has not moved. */
static void
test_moves (void)
{
  g_autoptr (WcHistory) history = wc_history_new ();
  g_autoptr (WcConfig) first = wc_config_new ();
  g_autoptr (WcConfig) second = wc_config_new ();
  WwFlowKey moved = key_for (4000, PORT), kept = key_for (4000, PORT + 1);

  add_route (first, PORT, 1, 0);
  add_route (first, PORT + 1, 1, 0);
  add_route (second, PORT, 0, 1);
  add_route (second, PORT + 1, 1, 0);
  g_assert_cmpuint (wc_history_service (history, first, &moved, 0), ==, 0);
  g_assert_cmpuint (wc_history_record (history, first, second, 10 * S), ==, 1);
  g_assert_cmpuint (wc_history_service (history, second, &moved, 0), ==, 1);
  g_assert_cmpuint (wc_history_service (history, second, &kept, 0), ==, 0);
  g_assert_cmpuint (wc_history_service (history, second, &moved, 11 * S), ==, 0);

  g_assert_cmpuint (wc_history_record (history, second, first, 20 * S), ==, 1);
  g_assert_cmpuint (wc_history_service (history, first, &moved, 0), ==, 2);
  g_assert_cmpuint (wc_history_service (history, first, &moved, 15 * S), ==, 2);
}

/* Guards against flows that are kept although a configuration has dropped their route. */
static void
test_dropped_route (void)
{
  g_autoptr (WcHistory) history = wc_history_new ();
  g_autoptr (WcConfig) first = wc_config_new ();
  g_autoptr (WcConfig) second = wc_config_new ();
  g_autoptr (WcConfig) empty = wc_config_new ();
  WwFlowKey key = key_for (4000, PORT);

  add_route (first, PORT, 1, 0);
  add_route (second, PORT, 0, 1);
  (void) wc_history_record (history, first, second, 0);
  g_assert_cmpuint (wc_history_record (history, second, empty, 0), ==, 0);
  g_assert_cmpuint (wc_history_service (history, empty, &key, 0), ==, 0);
  g_assert_cmpuint (wc_history_record (history, empty, second, 0), ==, 0);
  g_assert_cmpuint (wc_history_service (history, second, &key, 0), ==, 0);
}

/* Guards against weights that move the flows of the other service too. */
static void
test_weights (void)
{
  g_autoptr (WcHistory) history = wc_history_new ();
  g_autoptr (WcConfig) first = wc_config_new ();
  g_autoptr (WcConfig) second = wc_config_new ();
  guint16 port;
  guint n_moved = 0;

  add_route (first, PORT, 9, 1);
  add_route (second, PORT, 1, 9);
  g_assert_cmpuint (wc_history_record (history, first, second, 0), ==, 1);
  for (port = 1000; port < 2000; port++)
    {
      WwFlowKey key = key_for (port, PORT);
      guint64 before =
          wc_route_choose (wc_config_find_route (first, ADDRESS, PORT, WW_PROTOCOL_TCP), &key);
      guint64 after =
          wc_route_choose (wc_config_find_route (second, ADDRESS, PORT, WW_PROTOCOL_TCP), &key);

      g_assert_cmpuint (wc_history_service (history, second, &key, 0), ==,
                        before != after ? before : 0);
      if (before != after)
        n_moved++;
    }
  g_assert_cmpuint (n_moved, >, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/history/moves", test_moves);
  g_test_add_func ("/history/dropped-route", test_dropped_route);
  g_test_add_func ("/history/weights", test_weights);
  return g_test_run ();
}
