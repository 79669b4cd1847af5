#include "wp.h"

#include <string.h>

/* The example of an initial packet in the documentation of the platform, and the reset that belongs
 * to it. */
static const guint8 example_initial[] = {
  0x01, 0xbb, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07,
  0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5,
  0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
};
static const guint8 example_reset[] = {
  0x9c, 0x41, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01,
  0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
  0x10, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
};

#define FLAGS_OFFSET 24
#define FLAG_RETURNED 32
#define ACKNOWLEDGMENT_LAST_BYTE 19

/* Guards against fields that are read at a wrong offset or in a wrong byte order. */
static void
test_parse_packet (void)
{
  WwPacket packet;

  g_assert_cmpint (wp_packet_format.parse (example_initial, sizeof example_initial, &packet), ==,
                   WW_PACKET_OK);
  g_assert_cmphex (packet.source_address, ==, 0x64400007);
  g_assert_cmphex (packet.destination_address, ==, 0xc6120001);
  g_assert_cmpuint (packet.source_port, ==, 40001);
  g_assert_cmpuint (packet.destination_port, ==, 443);
  g_assert_cmphex (packet.sequence, ==, 0x11223344);
  g_assert_cmpint (packet.tcp_flags, ==, WW_TCP_SYN);
  g_assert_cmpuint (packet.payload_length, ==, 0);
  g_assert_false (packet.returned);
  g_assert_cmpint (wp_packet_format.parse (example_initial, sizeof example_initial - 1, &packet),
                   ==, WW_PACKET_MALFORMED);
}

/* Guards against a client that waits past the time-out of its attempt because a retransmission of
 * its initial packet is taken for the first transmission. The acknowledgment field of an initial
 * packet has the number of the retransmission; the second one is sent after 600 ms. */
static void
test_retransmission (void)
{
  g_autofree guint8 *copy = g_memdup2 (example_initial, sizeof example_initial);
  WwPacket packet;

  g_assert_cmpint (wp_packet_format.parse (copy, sizeof example_initial, &packet), ==,
                   WW_PACKET_OK);
  g_assert_cmpint (packet.waited_us, ==, 0);
  copy[ACKNOWLEDGMENT_LAST_BYTE] = 2;
  g_assert_cmpint (wp_packet_format.parse (copy, sizeof example_initial, &packet), ==,
                   WW_PACKET_OK);
  g_assert_cmpint (packet.waited_us, ==, 600 * WB_US_PER_MS);
}

/* Guards against a reset that clients do not accept because it differs from the form that the
 * platform defines: without data and without a checksum. */
static void
test_build_reset (void)
{
  WwPacket reset = { .source_address = 0xc6120001,
                     .destination_address = 0x64400007,
                     .source_port = 443,
                     .destination_port = 40001,
                     .tcp_flags = WW_TCP_RST };
  g_autoptr (GByteArray) bytes = wp_packet_format.build (&reset);

  g_assert_cmpmem (bytes->data, bytes->len, example_reset, sizeof example_reset);
}

/* Guards against a returned packet that still has the returned flag when it is sent to another
 * backend server, which would not accept it. */
static void
test_returned (void)
{
  g_autofree guint8 *copy = g_memdup2 (example_initial, sizeof example_initial);
  WwPacket packet;

  copy[FLAGS_OFFSET] |= FLAG_RETURNED;
  g_assert_cmpint (wp_packet_format.parse (copy, sizeof example_initial, &packet), ==,
                   WW_PACKET_OK);
  g_assert_true (packet.returned);
  wp_packet_format.clear_returned (copy, sizeof example_initial);
  g_assert_cmpmem (copy, sizeof example_initial, example_initial, sizeof example_initial);
}

static gboolean
read_response (WsCallKind kind, const gchar *text, WsObject *object, GError **error)
{
  g_autoptr (GBytes) body = g_bytes_new_static (text, strlen (text));

  memset (object, 0, sizeof *object);
  return wp_object_codec.decode_response (kind, WS_KEY_ROOT, body, object, error);
}

/* Guards against a watch that resumes at a wrong position, and against a response for another
 * object or without the expected members that is taken for the configuration. */
static void
test_object_responses (void)
{
  g_autoptr (GError) error = NULL;
  const gchar *value;
  WsObject object;
  gsize length;

  g_assert_true (read_response (WS_CALL_GET,
                                "{\"items\":[{\"meta\":{\"name\":\"main\",\"revision\":7},"
                                "\"spec\":{\"version\":3},\"status\":null}],"
                                "\"more\":false,\"store_revision\":12}",
                                &object, NULL));
  g_assert_cmpuint (object.version, ==, 7);
  g_assert_cmpuint (object.position, ==, 12);
  value = g_bytes_get_data (object.value, &length);
  g_assert_cmpmem (value, length, "{\"version\":3}", strlen ("{\"version\":3}"));
  g_bytes_unref (object.value);
  g_assert_true (
      read_response (WS_CALL_WATCH, "{\"events\":[],\"store_revision\":15}", &object, NULL));
  g_assert_cmpuint (object.version, ==, 0);
  g_assert_cmpuint (object.position, ==, 15);
  g_assert_false (
      read_response (WS_CALL_GET, "{\"items\":[],\"store_revision\":2}", &object, &error));
  g_assert_error (error, WS_ERROR, WS_ERROR_NOT_FOUND);
  g_clear_error (&error);
  g_assert_false (
      read_response (WS_CALL_GET, "{\"items\":[{\"meta\":{\"name\":1}}, 5]}", &object, &error));
  g_assert_error (error, WS_ERROR, WS_ERROR_NOT_FOUND);
  g_clear_error (&error);
  g_assert_false (read_response (WS_CALL_GET, "[]", &object, &error));
  g_assert_error (error, WS_ERROR, WS_ERROR_BAD_RESPONSE);
}

/* Guards against HTTP status codes, such as those of compacted history and of refused writes, that
 * are mapped to a wrong error. */
static void
test_http_status (void)
{
  g_assert_cmpint (wp_object_codec.error_for_status (WS_CALL_WATCH, 410), ==,
                   WS_ERROR_HISTORY_COMPACTED);
  g_assert_cmpint (wp_object_codec.error_for_status (WS_CALL_PUT, 503), ==, WS_ERROR_UNREACHABLE);
  g_assert_cmpint (wp_object_codec.error_for_status (WS_CALL_PUT, 429), ==, WS_ERROR_UNREACHABLE);
  g_assert_cmpint (wp_object_codec.error_for_status (WS_CALL_PUT, 500), ==,
                   WS_ERROR_OUTCOME_UNKNOWN);
  g_assert_cmpint (wp_object_codec.error_for_status (WS_CALL_PUT, 409), ==, WS_ERROR_CONFLICT);
}

/* Guards against an unconditional write, and against a contact list that is stored under the kind
 * of object that belongs to the operator. */
static void
test_put_request (void)
{
  g_autoptr (GBytes) value = g_bytes_new_static ("{\"contacts\":[]}", 15);
  WsRequest request = { 0 };

  wp_object_codec.encode_put (WS_KEY_START, value, 0, &request);
  g_assert_cmpstr (request.method, ==, "POST");
  g_assert_cmpstr (request.path, ==, "/v1/objects/waxwinghitch-members");
  ws_request_clear (&request);
  wp_object_codec.encode_put (WS_KEY_START, value, 9, &request);
  g_assert_cmpstr (request.method, ==, "PUT");
  g_assert_cmpstr (request.path, ==, "/v1/objects/waxwinghitch-members/contacts");
  g_assert_nonnull (strstr (g_bytes_get_data (request.body, NULL), "\"revision\":9"));
  ws_request_clear (&request);
}

#define CONFIG_JSON                                                                                \
  "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"198.18.0.1\",\"path_prefix\":\"/8443/\"," \
  "\"kind\":\"safe\",\"timeout_ms\":2500,\"target_latency_ms\":150,\"priority\":2,\"split\":["     \
  "{\"service\":\"a\",\"weight\":90},{\"service\":\"b\",\"weight\":10}]},{\"name\":\"d\","         \
  "\"host\":\"198.18.0.2\",\"path_prefix\":\"/80/\",\"kind\":\"download\",\"service\":\"b\"}],"    \
  "\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}],\"limits\":{\"idle_timeout_ms\":15000}}"

/* Guards against routes with other targets, classes or limits than the operator has configured. */
static void
test_decode_config (void)
{
  g_autoptr (GBytes) bytes = g_bytes_new_static (CONFIG_JSON, strlen (CONFIG_JSON));
  g_autoptr (WcConfig) config = wp_config_format.decode (NULL, bytes, NULL, NULL);
  g_autoptr (WcRoot) root = wp_config_format.parse_root (bytes, NULL);
  const WcRoute *route;
  guint chosen_a = 0, i;

  g_assert_nonnull (config);
  g_assert_cmpuint (config->version, ==, 7);
  g_assert_cmpuint (root->last_apply.version, ==, 7);
  g_assert_cmpuint (root->hashes->len, ==, 0);
  route = wc_config_find_route (config, 0xc6120001, 8443, WW_PROTOCOL_TCP);
  g_assert_nonnull (route);
  g_assert_cmpint (route->class, ==, WC_CLASS_SHORT);
  g_assert_cmpint (route->objective_us, ==, 150 * WB_US_PER_MS);
  for (i = 0; i < 1000; i++)
    {
      WwFlowKey key = { .client_address = i, .service_port = 8443 };

      chosen_a += wc_route_choose (route, &key) == wb_name_id ("a");
    }
  g_assert_cmpuint (chosen_a, >=, 860);
  g_assert_cmpuint (chosen_a, <=, 940);
  route = wc_config_find_route (config, 0xc6120002, 80, WW_PROTOCOL_TCP);
  g_assert_cmpint (route->class, ==, WC_CLASS_LONG);
  g_assert_true (wc_route_has_target (route, wb_name_id ("b")));
  g_assert_cmpint (wc_config_service_by_id (config, wb_name_id ("a"))->idle_timeout_us, ==,
                   15 * WB_US_PER_S);
}

static GBytes *
make_config (guint version, guint changed_objective)
{
  GString *text = g_string_new (NULL);
  guint i;

  g_string_append_printf (text, "{\"version\":%u,\"services\":[{\"name\":\"a\"}],\"routes\":[",
                          version);
  for (i = 1; i <= 50; i++)
    g_string_append_printf (
        text,
        "%s{\"host\":\"198.18.0.%u\",\"path_prefix\":\"/80/\",\"kind\":\"safe\","
        "\"target_latency_ms\":%u,\"service\":\"a\"}",
        i > 1 ? "," : "", i, i == 30 ? changed_objective : 100);
  g_string_append (text, "]}");
  return g_string_free_to_bytes (text);
}

/* Guards against a large configuration of which more is decoded than what has changed, which delays
 * the packets of a balancer with little processor time, and against a route of an earlier version
 * that stays in effect. */
static void
test_config_changes_decoded (void)
{
  static const guint objectives[] = { 100, 200, 300, 300, 100 };
  static const guint64 decoded[] = { 50, 51, 52, 52, 53 };
  g_autoptr (WcDecoder) decoder = wc_decoder_new ();
  g_autoptr (WcConfig) previous = NULL;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (objectives); i++)
    {
      g_autoptr (GBytes) bytes = make_config (i + 1, objectives[i]);
      g_autoptr (WcRoot) root = wp_config_format.parse_root (bytes, NULL);
      WcConfig *config = wp_config_format.decode (decoder, bytes, NULL, NULL);
      const WcRoute *changed, *same;

      g_assert_nonnull (config);
      g_assert_cmpuint (root->last_apply.version, ==, i + 1);
      g_assert_cmpuint (config->version, ==, i + 1);
      g_assert_cmpuint (wc_decoder_routes_decoded (decoder), ==, decoded[i]);
      g_assert_cmpuint (g_hash_table_size (config->routes), ==, 50);
      changed = wc_config_find_route (config, 0xc612001e, 80, WW_PROTOCOL_TCP);
      g_assert_cmpint (changed->objective_us, ==, objectives[i] * WB_US_PER_MS);
      same = wc_config_find_route (config, 0xc6120001, 80, WW_PROTOCOL_TCP);
      if (previous != NULL)
        g_assert_true (same == wc_config_find_route (previous, 0xc6120001, 80, WW_PROTOCOL_TCP));
      g_clear_pointer (&previous, wc_config_unref);
      previous = config;
    }
}

/* Guards against an invalid configuration, written by another program, that ends the process or
 * takes effect in part. */
static void
test_config_invalid (void)
{
  static const gchar *const texts[] = {
    "",
    "{}",
    "[]",
    "{\"version\":\"7\"}",
    "{\"version\":1,\"routes\":[],\"services\":5}",
    "{\"version\":1,\"routes\":[],\"services\":[]",
    "{\"version\":1,\"routes\":[],\"services\":[] x}",
    "{\"version\":1,\"routes\":[,],\"services\":[]}",
    "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"\\x\"}]}",
    "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"\xff\"}]}",
  };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autoptr (GBytes) bytes = g_bytes_new_static (texts[i], strlen (texts[i]));
      g_autoptr (GError) error = NULL;

      g_assert_null (wp_config_format.decode (NULL, bytes, NULL, &error));
      g_assert_nonnull (error);
    }
}

#define USABLE_ROUTE                                                                               \
  "{\"host\":\"198.18.0.1\",\"path_prefix\":\"/80/\",\"kind\":\"safe\",\"service\":\"a\"}"

/* Guards against one entry that a later release of the operator's tools writes, or that is damaged,
 * which makes a process reject all routes: it would serve nobody after its next start. */
static void
test_config_entries (void)
{
  static const struct
  {
    const gchar *services;
    const gchar *route;
    gboolean route_is_used;
  } cases[] = {
    { "", "{}", FALSE },
    { "", "5", FALSE },
    { "", "{\"host\":\"x\",\"path_prefix\":\"/1/\"}", FALSE },
    { "", "{\"host\":\"1.2.3.4\",\"path_prefix\":\"\"}", FALSE },
    { "", "{\"host\":\"1.2.3.4\",\"path_prefix\":\"/1/\",\"kind\":\"safe\"}", FALSE },
    { "", "{\"host\":\"1.2.3.4\",\"path_prefix\":\"/1/\",\"kind\":\"odd\",\"service\":\"a\"}",
      TRUE },
    { "", "{\"host\":\"1.2.3.4\",\"path_prefix\":\"/1/\",\"service\":\"a\"}", TRUE },
    { "",
      "{\"host\":\"1.2.3.4\",\"path_prefix\":\"/1/\",\"kind\":\"safe\",\"service\":\"a\","
      "\"priority\":\"high\"}",
      TRUE },
    { ",{\"name\":7}",
      "{\"host\":\"1.2.3.4\",\"path_prefix\":\"/1/\",\"kind\":\"upload\",\"service\":\"a\"}",
      TRUE },
  };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree gchar *text =
          g_strdup_printf ("{\"version\":1,\"services\":[{\"name\":\"a\"}%s],\"routes\":[%s,%s]}",
                           cases[i].services, cases[i].route, USABLE_ROUTE);
      g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
      g_autoptr (WcConfig) config = wp_config_format.decode (NULL, bytes, NULL, NULL);
      const WcRoute *route;

      g_assert_nonnull (config);
      g_assert_nonnull (wc_config_find_route (config, 0xc6120001, 80, WW_PROTOCOL_TCP));
      g_assert_cmpuint (config->services->len, ==, 1);
      g_assert_cmpuint (config->entry_errors, >=, 1);
      g_assert_cmpuint (config->entry_messages->len, >=, 1);
      route = wc_config_find_route (config, 0x01020304, 1, WW_PROTOCOL_TCP);
      g_assert_cmpint (route != NULL, ==, cases[i].route_is_used);
      if (route != NULL)
        g_assert_cmpint (route->class, ==, WC_CLASS_SHORT);
    }
}

/* Guards against an upload route that is left out or takes the slots of long work. */
static void
test_config_upload (void)
{
  static const gchar text[] =
      "{\"version\":1,\"services\":[{\"name\":\"a\"}],\"routes\":[{\"host\":\"1.2.3.4\","
      "\"path_prefix\":\"/1/\",\"kind\":\"upload\",\"service\":\"a\"}]}";
  g_autoptr (GBytes) bytes = g_bytes_new_static (text, strlen (text));
  g_autoptr (WcConfig) config = wp_config_format.decode (NULL, bytes, NULL, NULL);

  g_assert_cmpuint (config->entry_errors, ==, 0);
  g_assert_cmpint (wc_config_find_route (config, 0x01020304, 1, WW_PROTOCOL_TCP)->class, ==,
                   WC_CLASS_SHORT);
}

/* Guards against a rate of cold servers that is misread, and against one that cannot be used and
 * costs its service, limits it to nothing, or goes unnoticed. */
static void
test_config_cold_rate (void)
{
  static const struct
  {
    const gchar *member;
    gdouble per_s;
    guint errors;
  } cases[] = {
    { "", 0, 0 },
    { ",\"cold_per_s\":0", 0, 0 },
    { ",\"cold_per_s\":0.0", 0, 0 },
    { ",\"cold_per_s\":20", 20, 0 },
    { ",\"cold_per_s\":12.5", 12.5, 0 },
    { ",\"cold_per_s\":2e1", 20, 0 },
    { ",\"cold_per_s\":-3", 0, 1 },
    { ",\"cold_per_s\":-0.5", 0, 1 },
    { ",\"cold_per_s\":1e400", 0, 1 },
    { ",\"cold_per_s\":\"20\"", 0, 1 },
    { ",\"cold_per_s\":null", 0, 1 },
    { ",\"cold_per_s\":true", 0, 1 },
    { ",\"cold_per_s\":[20]", 0, 1 },
    { ",\"cold_per_s\":{\"value\":20}", 0, 1 },
  };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree gchar *text = g_strdup_printf (
          "{\"version\":1,\"services\":[{\"name\":\"a\"%s},{\"name\":\"b\",\"cold_per_s\":7}],"
          "\"routes\":[]}",
          cases[i].member);
      g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
      g_autoptr (WcConfig) config = wp_config_format.decode (NULL, bytes, NULL, NULL);

      g_assert_nonnull (config);
      g_assert_cmpfloat (wc_config_service_by_id (config, wb_name_id ("a"))->cold_per_s, ==,
                         cases[i].per_s);
      g_assert_cmpfloat (wc_config_service_by_id (config, wb_name_id ("b"))->cold_per_s, ==, 7);
      g_assert_cmpuint (config->entry_errors, ==, cases[i].errors);
      g_assert_cmpuint (config->entry_messages->len, ==, cases[i].errors);
    }
}

/* Pieces that random configurations consist of; some of them are unusable or unknown. */
static const gchar *const route_pieces[] = {
  "{\"host\":\"198.18.0.1\",\"path_prefix\":\"/80/\",\"kind\":\"safe\",\"service\":\"a\"}",
  "{\"host\":\"198.18.0.2\",\"path_prefix\":\"/80/\",\"kind\":\"upload\",\"service\":\"a\"}",
  "{\"host\":\"198.18.0.3\",\"path_prefix\":\"/80/\",\"kind\":\"odd\",\"service\":\"a\"}",
  "{\"host\":\"198.18.0.4\",\"path_prefix\":\"/80/"
  "\",\"kind\":\"safe\",\"priority\":-1,\"service\":\"a\"}",
  "{\"host\":\"198.18.0.5\",\"path_prefix\":\"\",\"kind\":\"safe\",\"service\":\"a\"}",
  "{\"host\":\"198.18.0.6\",\"path_prefix\":\"/80/\",\"kind\":\"download\",\"split\":["
  "{\"service\":\"a\",\"weight\":1},{\"weight\":2}]}",
  "7",
  "{\"host\":\"\\x\"}",
};

static GBytes *
random_config (GRand *random, guint version)
{
  GString *text = g_string_new (NULL);
  guint i;
  guint count = (guint) g_rand_int_range (random, 0, 5);

  g_string_append_printf (text, "{\"version\":%u,\"services\":[{\"name\":\"a\"}],\"routes\":[",
                          version);
  for (i = 0; i < count; i++)
    g_string_append_printf (
        text, "%s%s", i > 0 ? "," : "",
        route_pieces[g_rand_int_range (random, 0, G_N_ELEMENTS (route_pieces))]);
  g_string_append (text, "]}");
  return g_string_free_to_bytes (text);
}

static void
assert_same_routes (const WcConfig *left, const WcConfig *right)
{
  guint i;

  g_assert_cmpuint (g_hash_table_size (left->routes), ==, g_hash_table_size (right->routes));
  for (i = 1; i <= G_N_ELEMENTS (route_pieces); i++)
    {
      const WcRoute *a = wc_config_find_route (left, 0xc6120000 + i, 80, WW_PROTOCOL_TCP);
      const WcRoute *b = wc_config_find_route (right, 0xc6120000 + i, 80, WW_PROTOCOL_TCP);

      g_assert_cmpint (a != NULL, ==, b != NULL);
      if (a == NULL)
        continue;
      g_assert_cmpint (a->class, ==, b->class);
      g_assert_cmpuint (a->priority, ==, b->priority);
      g_assert_cmpuint (a->targets->len, ==, b->targets->len);
    }
}

/* Guards against a running process that accepts a configuration which a starting one rejects: with
 * the routes of a rejected version kept, the next version passed without a check of them. */
static void
test_config_history (void)
{
  guint seed, version;

  for (seed = 1; seed <= 50; seed++)
    {
      g_autoptr (GRand) random = g_rand_new_with_seed (seed);
      g_autoptr (WcDecoder) decoder = wc_decoder_new ();

      for (version = 1; version <= 20; version++)
        {
          g_autoptr (GBytes) bytes = random_config (random, version);
          g_autoptr (WcConfig) fresh = wp_config_format.decode (NULL, bytes, NULL, NULL);
          g_autoptr (WcConfig) next = wp_config_format.decode (decoder, bytes, NULL, NULL);

          g_assert_cmpint (fresh != NULL, ==, next != NULL);
          if (fresh == NULL)
            continue;
          g_assert_cmpuint (fresh->entry_errors, ==, next->entry_errors);
          assert_same_routes (fresh, next);
        }
    }
}

static gboolean
decode_request (const gchar *method, const gchar *path, const gchar *text, WdRequest *request)
{
  g_autoptr (GBytes) body = g_bytes_new_static (text, strlen (text));

  return wd_request_decode (wp_platform.request_schema, method, path, body, request, NULL);
}

#define ANNOUNCEMENT_JSON                                                                          \
  "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"nb-a\",\"version\":\"v1\"," \
  "\"slots\":7,\"state\":\"draining\",\"cold_remaining_ms\":250,\"sequence\":4,\"born\":1700}"

/* Guards against requests that are decoded wrongly, and against invalid ones that are accepted. */
static void
test_daemon_requests (void)
{
  g_auto (WdRequest) request = { 0 };

  g_assert_true (decode_request ("PUT", "/v1/instances/i-7f", ANNOUNCEMENT_JSON, &request));
  g_assert_cmpint (request.kind, ==, WD_REQUEST_ANNOUNCE);
  g_assert_cmpstr (request.announcement.name, ==, "i-7f");
  g_assert_cmpuint (request.announcement.service_id, ==, wb_name_id ("huvo11a"));
  g_assert_true (request.announcement.draining);
  g_assert_cmpuint (request.announcement.slots, ==, 7);
  g_assert_cmpint (request.announcement.cold_us, ==, 250 * WB_US_PER_MS);
  g_assert_cmpint (request.announcement.started_ms, ==, 1700);
  wd_request_clear (&request);
  g_assert_true (decode_request ("DELETE", "/v1/instances/i-7f", "", &request));
  g_assert_cmpint (request.kind, ==, WD_REQUEST_WITHDRAW);
  wd_request_clear (&request);
  g_assert_true (decode_request ("GET", "/v1/readiness", "", &request));
  g_assert_cmpint (request.kind, ==, WD_REQUEST_READINESS);
  g_assert_false (decode_request ("PUT", "/v1/instances/i-7f", "{\"state\":\"odd\"}", &request));
  wd_request_clear (&request);
  g_assert_false (decode_request ("PUT", "/v1/instances/i-7f", "\xff\xfe", &request));
}

/* Guards against an announcement of another writer that counts as one of the backend server: a
 * field is missing, of another type or out of range, or the body cannot be read. */
static void
test_incomplete_announcements (void)
{
  static const struct
  {
    const gchar *name;
    const gchar *value;
  } fields[] = {
    { "service", "\"huvo11a\"" },
    { "address", "\"10.128.0.9:8080\"" },
    { "zone", "\"nb-a\"" },
    { "version", "\"v1\"" },
    { "slots", "7" },
    { "state", "\"ready\"" },
    { "cold_remaining_ms", "0" },
    { "sequence", "4" },
    { "born", "1700" },
  };
  static const gchar *const wrong_values[] = { NULL, "null", "true", "-1", "1.5",
                                               "[]", "[7]",  "{}",   "1e9" };
  static const gchar *const bodies[] = { "", "[]", "7", "null", "{", "{}", "\xff\xfe" };
  guint field, wrong, i;

  for (field = 0; field < G_N_ELEMENTS (fields); field++)
    for (wrong = 0; wrong <= G_N_ELEMENTS (wrong_values); wrong++)
      {
        gboolean is_string = fields[field].value[0] == '"';
        const gchar *other_type = is_string ? "17" : "\"17\"";
        const gchar *value = wrong < G_N_ELEMENTS (wrong_values) ? wrong_values[wrong] : other_type;
        g_autoptr (GString) text = g_string_new ("{\"later_field\":1");
        g_auto (WdRequest) request = { 0 };

        for (i = 0; i < G_N_ELEMENTS (fields); i++)
          if (i != field || value != NULL)
            g_string_append_printf (text, ",\"%s\":%s", fields[i].name,
                                    i == field ? value : fields[i].value);
        g_string_append_c (text, '}');
        g_test_message ("%s", text->str);
        g_assert_false (decode_request ("PUT", "/v1/instances/i-0f", text->str, &request));
      }
  for (i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      g_auto (WdRequest) request = { 0 };

      g_assert_false (decode_request ("PUT", "/v1/instances/i-0f", bodies[i], &request));
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/packet", test_parse_packet);
  g_test_add_func ("/platform/copies", test_retransmission);
  g_test_add_func ("/platform/reset", test_build_reset);
  g_test_add_func ("/platform/returned", test_returned);
  g_test_add_func ("/platform/objects", test_object_responses);
  g_test_add_func ("/platform/status", test_http_status);
  g_test_add_func ("/platform/put", test_put_request);
  g_test_add_func ("/platform/config-changes-decoded", test_config_changes_decoded);
  g_test_add_func ("/platform/config", test_decode_config);
  g_test_add_func ("/platform/config-invalid", test_config_invalid);
  g_test_add_func ("/platform/config-entries", test_config_entries);
  g_test_add_func ("/platform/config-upload", test_config_upload);
  g_test_add_func ("/platform/config-cold-rate", test_config_cold_rate);
  g_test_add_func ("/platform/config-history", test_config_history);
  g_test_add_func ("/platform/requests", test_daemon_requests);
  g_test_add_func ("/platform/announcements-incomplete", test_incomplete_announcements);
  return g_test_run ();
}
