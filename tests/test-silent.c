#include "wc-settings.h"
#include "wp.h"
#include "ws-client.h"
#include "ws-watch.h"

#include <gio/gio.h>
#include <string.h>

/*
 * Load: all open connections to the store become silent at the same moment, without a reset, while
 * new connections work, and the configuration changes right after.
 */

#define CALL_TIMEOUT_MS 200
#define WATCH_TIMEOUT_MS 200
#define REQUEST_BYTES 4096
/* The users' bound for a configuration, and the longest first delay after a failure. */
#define BOUND_MS 3000
#define RETRY_MS 200

typedef struct
{
  GSocketService *service;
  GPtrArray *connections; /* of Connection */
  guint64 version;        /* of the configuration; also its revision */
  guint late_requests;    /* that arrived on a connection after it had become silent */
  WsClient *client;
  WsWatcher *watcher;
  GMainLoop *loop;
  guint64 reported_version;
  guint calls_failed;
} Fixture;

typedef struct
{
  Fixture *fixture;
  GSocketConnection *stream;
  GString *received;
  gchar chunk[REQUEST_BYTES];
  gboolean silent;
  gboolean watching; /* a watch waits for the next version */
} Connection;

static void read_more (Connection *connection);

static void
connection_free (gpointer data)
{
  Connection *connection = data;

  g_io_stream_close (G_IO_STREAM (connection->stream), NULL, NULL);
  g_object_unref (connection->stream);
  g_string_free (connection->received, TRUE);
  g_free (connection);
}

static void
respond (Connection *connection, guint status, const gchar *body)
{
  g_autofree gchar *text = g_strdup_printf ("HTTP/1.1 %u Status\r\nContent-Length: %" G_GSIZE_FORMAT
                                            "\r\nContent-Type: application/json\r\n\r\n%s",
                                            status, strlen (body), body);
  GOutputStream *output = g_io_stream_get_output_stream (G_IO_STREAM (connection->stream));

  g_assert_true (g_output_stream_write_all (output, text, strlen (text), NULL, NULL, NULL));
}

static gchar *
config_object (const Fixture *fixture)
{
  return g_strdup_printf ("{\"meta\":{\"name\":\"main\",\"revision\":%" G_GUINT64_FORMAT
                          "},\"spec\":{\"version\":%" G_GUINT64_FORMAT
                          ",\"routes\":[],\"services\":[]},\"status\":null}",
                          fixture->version, fixture->version);
}

static void
respond_list (Connection *connection, const gchar *format)
{
  g_autofree gchar *object = config_object (connection->fixture);
  g_autoptr (GString) body = g_string_new (NULL);

  g_string_append_printf (body, "%s%s],\"store_revision\":%" G_GUINT64_FORMAT "}", format, object,
                          connection->fixture->version);
  if (strstr (format, "events") != NULL)
    g_string_insert (body, (gssize) (strlen (format) + strlen (object)), "}");
  respond (connection, 200, body->str);
}

#define LIST_BEGIN "{\"items\":["
#define EVENTS_BEGIN "{\"events\":[{\"deleted\":false,\"object\":"

/* Handles a read: of the configuration, or of another object, which is absent. */
static void
handle_request (Connection *connection, const gchar *request)
{
  const gchar *watch = strstr (request, "watch=");
  guint64 position = watch != NULL ? g_ascii_strtoull (watch + strlen ("watch="), NULL, 10) : 0;

  if (connection->silent)
    connection->fixture->late_requests++;
  else if (strstr (request, "/v1/objects/config") == NULL)
    respond (connection, 404, "{}");
  else if (watch == NULL)
    respond_list (connection, LIST_BEGIN);
  else if (position < connection->fixture->version)
    respond_list (connection, EVENTS_BEGIN);
  else
    connection->watching = TRUE;
}

static void
data_read (GObject *source, GAsyncResult *result, gpointer data)
{
  Connection *connection = data;
  gssize length = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);
  gchar *end;

  if (length <= 0)
    return;
  g_string_append_len (connection->received, connection->chunk, length);
  while ((end = strstr (connection->received->str, "\r\n\r\n")) != NULL)
    {
      *end = '\0';
      handle_request (connection, connection->received->str);
      g_string_erase (connection->received, 0, end + 4 - connection->received->str);
    }
  read_more (connection);
}

static void
read_more (Connection *connection)
{
  GInputStream *input = g_io_stream_get_input_stream (G_IO_STREAM (connection->stream));

  g_input_stream_read_async (input, connection->chunk, sizeof connection->chunk, G_PRIORITY_DEFAULT,
                             NULL, data_read, connection);
}

static gboolean
connection_accepted (GSocketService *service,
                     GSocketConnection *stream,
                     GObject *source,
                     gpointer data)
{
  Connection *connection = g_new0 (Connection, 1);
  Fixture *fixture = data;

  connection->fixture = fixture;
  connection->stream = g_object_ref (stream);
  connection->received = g_string_new (NULL);
  g_ptr_array_add (fixture->connections, connection);
  read_more (connection);
  return TRUE;
}

static void
on_config (gpointer context, guint64 version, GBytes *root, GHashTable *parts)
{
  Fixture *fixture = context;

  fixture->reported_version = version;
  g_main_loop_quit (fixture->loop);
}

static void
on_call_failed (gpointer context, const WsCallFailure *failure)
{
  Fixture *fixture = context;

  fixture->calls_failed++;
  g_test_message ("%s failed: %s", failure->call, failure->error->message);
}

static void
on_read_finished (gpointer context, gboolean reached)
{
}

static void
on_response (gpointer context, const WsObject *object, const GError *error)
{
  Fixture *fixture = context;

  g_main_loop_quit (fixture->loop);
}

static void
fixture_init (Fixture *fixture)
{
  WsWatcherCallbacks callbacks = { .context = fixture,
                                   .config = on_config,
                                   .read_finished = on_read_finished,
                                   .call_failed = on_call_failed };
  g_autofree gchar *url = NULL;
  WsStore store;
  guint16 port;

  *fixture = (Fixture){ .version = 5 };
  fixture->loop = g_main_loop_new (NULL, FALSE);
  fixture->connections = g_ptr_array_new_with_free_func (connection_free);
  fixture->service = g_socket_service_new ();
  port = g_socket_listener_add_any_inet_port (G_SOCKET_LISTENER (fixture->service), NULL, NULL);
  g_signal_connect (fixture->service, "incoming", G_CALLBACK (connection_accepted), fixture);
  url = g_strdup_printf ("http://127.0.0.1:%u", port);
  fixture->client = ws_client_new (url, &wp_object_codec, NULL);
  ws_client_set_timeout (fixture->client, CALL_TIMEOUT_MS);
  store = ws_client_store (fixture->client);
  fixture->watcher = ws_watcher_new (&store, &wp_config_format, &callbacks, 1);
  ws_watcher_set_timeout (fixture->watcher, WATCH_TIMEOUT_MS);
}

static void
fixture_clear (Fixture *fixture)
{
  ws_watcher_free (fixture->watcher);
  g_socket_service_stop (fixture->service);
  g_object_unref (fixture->service);
  g_ptr_array_unref (fixture->connections);
  g_main_loop_unref (fixture->loop);
}

static void
silence_connection (Fixture *fixture, guint index)
{
  Connection *connection = g_ptr_array_index (fixture->connections, index);

  connection->silent = TRUE;
}

static void
silence_connections (Fixture *fixture)
{
  guint i;

  for (i = 0; i < fixture->connections->len; i++)
    silence_connection (fixture, i);
}

/* Guards against a configuration in effect too late: after the watch has timed out on a silent
 * connection, the next call is sent on an idle connection that is silent too, and the change comes
 * another time-out later. */
static void
test_idle_connections (void)
{
  Fixture fixture;

  fixture_init (&fixture);
  ws_watcher_set_active (fixture.watcher, TRUE);
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (fixture.reported_version, ==, 5);
  /* The watch is outstanding, so this call opens a connection, which is idle afterwards. */
  ws_client_get (fixture.client, WS_KEY_START, on_response, &fixture);
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (fixture.connections->len, ==, 2);
  silence_connections (&fixture);
  fixture.version = 8;
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (fixture.reported_version, ==, 8);
  g_assert_cmpuint (fixture.late_requests, ==, 0);
  g_assert_cmpuint (fixture.calls_failed, ==, 1);
  fixture_clear (&fixture);
}

/* The outstanding watches report the next version. */
static void
change_config (Fixture *fixture)
{
  guint i;

  fixture->version += 3;
  for (i = 0; i < fixture->connections->len; i++)
    {
      Connection *connection = g_ptr_array_index (fixture->connections, i);

      if (connection->watching && !connection->silent)
        respond_list (connection, EVENTS_BEGIN);
      connection->watching = FALSE;
    }
}

/* Guards against a watch that is lost when the idle connections are closed because another call has
 * timed out. */
static void
test_outstanding_watch (void)
{
  Fixture fixture;

  fixture_init (&fixture);
  ws_watcher_set_timeout (fixture.watcher, 10 * CALL_TIMEOUT_MS);
  ws_watcher_set_active (fixture.watcher, TRUE);
  g_main_loop_run (fixture.loop);
  ws_client_get (fixture.client, WS_KEY_START, on_response, &fixture);
  g_main_loop_run (fixture.loop);
  silence_connection (&fixture, 1);
  ws_client_get (fixture.client, WS_KEY_START, on_response, &fixture);
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (fixture.late_requests, ==, 1);
  change_config (&fixture);
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (fixture.reported_version, ==, 8);
  g_assert_cmpuint (fixture.calls_failed, ==, 0);
  fixture_clear (&fixture);
}

/* Guards against a configuration in effect too late: silence has to be noticed within the users'
 * bound. Only what the store takes for calls may lengthen the time, not an earlier silence. */
static void
test_watch_limit (void)
{
  const guint watch_ms = WC_DEFAULT_WATCH_TIMEOUT_US / WB_US_PER_MS;
  Fixture fixture;

  fixture_init (&fixture);
  ws_client_set_timeout (fixture.client, WS_DAEMON_CALL_TIMEOUT_MS);
  g_assert_cmpuint (ws_client_watch_limit_ms (fixture.client, watch_ms) + RETRY_MS, <, BOUND_MS);
  ws_client_set_timeout (fixture.client, CALL_TIMEOUT_MS);
  ws_watcher_set_active (fixture.watcher, TRUE);
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (ws_client_watch_limit_ms (fixture.client, watch_ms), ==,
                    watch_ms + CALL_TIMEOUT_MS);
  silence_connections (&fixture);
  fixture.version = 8;
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (fixture.calls_failed, ==, 1);
  g_assert_cmpuint (ws_client_watch_limit_ms (fixture.client, watch_ms), ==,
                    watch_ms + CALL_TIMEOUT_MS);
  fixture_clear (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/silent/idle-connections", test_idle_connections);
  g_test_add_func ("/silent/outstanding-watch", test_outstanding_watch);
  g_test_add_func ("/silent/watch-limit", test_watch_limit);
  return g_test_run ();
}
