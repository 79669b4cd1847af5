/*
 * Stand-in for the object API of the platform: versioned objects, conditional writes and watches as
 * the protocol defines them. Tests inject faults by POST /faults and read call counters by
 * GET /counters.
 */
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <string.h>

#define MAX_BODY_BYTES 1100000
#define MAX_WATCH_MS 60000

/* Data of a connection's socket: 1 more than silence_count at its first request. */
#define SILENCE_COUNT_KEY "silence-count"

typedef struct
{
  guint64 version;
  JsonNode *value;
} Object;

typedef struct
{
  gchar *key;
  guint64 version;
  SoupServerMessage *message;
  guint timer;
} Watch;

static struct
{
  GHashTable *objects; /* key to Object */
  GPtrArray *watches;  /* of Watch */
  guint reads, writes, conflicts, watch_calls;
  gboolean down;           /* connections are closed without a response */
  guint slow_ms;           /* delay of each response */
  guint lose_writes;       /* number of next writes that are carried out without a response */
  guint down_after_writes; /* start an outage after this many writes; 0: never */
  guint silence_count;     /* times that the open connections have become silent */
} state;

static void
object_free (gpointer data)
{
  Object *object = data;

  json_node_unref (object->value);
  g_free (object);
}

/* @text: (transfer full) */
static void
respond_json (SoupServerMessage *message, gchar *text)
{
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_TAKE, text,
                                    strlen (text));
}

/* Closes the connection without a response. */
static void
close_connection (SoupServerMessage *message)
{
  g_autoptr (GIOStream) stream = soup_server_message_steal_connection (message);

  g_io_stream_close (stream, NULL, NULL);
}

static void
respond_object (SoupServerMessage *message, const gchar *key, const Object *object)
{
  g_autofree gchar *value = json_to_string (object->value, FALSE);

  respond_json (message,
                g_strdup_printf ("{\"key\":\"%s\",\"version\":%" G_GUINT64_FORMAT ",\"value\":%s}",
                                 key, object->version, value));
}

/* Removes and frees a watch. Its message is not resumed. */
static void
end_watch (Watch *watch)
{
  g_ptr_array_remove_fast (state.watches, watch);
  if (watch->timer != 0)
    g_source_remove (watch->timer);
  g_signal_handlers_disconnect_by_data (watch->message, watch);
  g_object_unref (watch->message);
  g_free (watch->key);
  g_free (watch);
}

/* Closes the connections of pending watches too. */
static void
start_outage (void)
{
  state.down = TRUE;
  while (state.watches->len > 0)
    {
      Watch *watch = g_ptr_array_index (state.watches, 0);
      g_autoptr (SoupServerMessage) message = g_object_ref (watch->message);

      end_watch (watch);
      close_connection (message);
    }
}

static gboolean
watch_timed_out (gpointer data)
{
  Watch *watch = data;

  watch->timer = 0;
  soup_server_message_set_status (watch->message, SOUP_STATUS_NO_CONTENT, NULL);
  soup_server_message_unpause (watch->message);
  end_watch (watch);
  return G_SOURCE_REMOVE;
}

static void
watch_disconnected (SoupServerMessage *message, gpointer data)
{
  end_watch (data);
}

static void
add_watch (SoupServerMessage *message, const gchar *key, guint64 version, guint timeout_ms)
{
  Watch *watch = g_new0 (Watch, 1);

  watch->key = g_strdup (key);
  watch->version = version;
  watch->message = g_object_ref (message);
  watch->timer = g_timeout_add (MIN (timeout_ms, MAX_WATCH_MS), watch_timed_out, watch);
  g_ptr_array_add (state.watches, watch);
  g_signal_connect (message, "disconnected", G_CALLBACK (watch_disconnected), watch);
  soup_server_message_pause (message);
}

static void
notify_watches (const gchar *key, const Object *object)
{
  guint i = 0;

  while (i < state.watches->len)
    {
      Watch *watch = g_ptr_array_index (state.watches, i);

      if (strcmp (watch->key, key) != 0 || object->version <= watch->version)
        {
          i++;
          continue;
        }
      respond_object (watch->message, key, object);
      soup_server_message_unpause (watch->message);
      end_watch (watch);
    }
}

static void
handle_get (SoupServerMessage *message, const gchar *key, GHashTable *query)
{
  const Object *object = g_hash_table_lookup (state.objects, key);
  const gchar *watch = query != NULL ? g_hash_table_lookup (query, "watch") : NULL;
  const gchar *timeout = query != NULL ? g_hash_table_lookup (query, "timeout_ms") : NULL;
  guint64 version = watch != NULL ? g_ascii_strtoull (watch, NULL, 10) : 0;

  if (watch == NULL)
    state.reads++;
  else
    state.watch_calls++;
  if (watch != NULL && (object == NULL || object->version <= version))
    add_watch (message, key, version,
               timeout != NULL ? (guint) g_ascii_strtoull (timeout, NULL, 10) : MAX_WATCH_MS);
  else if (object == NULL)
    soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
  else
    respond_object (message, key, object);
}

/* Returns (transfer full) the member "value" of the request body, or NULL. */
static JsonNode *
read_value (SoupServerMessage *message)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *root;

  if (!json_parser_load_from_data (parser, body->data, body->length, NULL))
    return NULL;
  root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root) ||
      !json_object_has_member (json_node_get_object (root), "value"))
    return NULL;
  return json_object_dup_member (json_node_get_object (root), "value");
}

/* Returns whether the condition of the write holds. A write without a condition fails, too. */
static gboolean
write_condition_holds (SoupServerMessage *message, const Object *object)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  const gchar *if_match = soup_message_headers_get_one (headers, "If-Match");
  const gchar *if_none_match = soup_message_headers_get_one (headers, "If-None-Match");

  if (if_none_match != NULL)
    return strcmp (if_none_match, "*") == 0 && object == NULL;
  return if_match != NULL && if_match[0] == '"' && object != NULL &&
         g_ascii_strtoull (if_match + 1, NULL, 10) == object->version;
}

static void
complete_write (SoupServerMessage *message, const gchar *key, Object *object)
{
  state.writes++;
  notify_watches (key, object);
  if (state.down_after_writes > 0 && --state.down_after_writes == 0)
    start_outage ();
  if (state.lose_writes > 0)
    {
      state.lose_writes--;
      close_connection (message);
    }
  else
    respond_json (message,
                  g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT "}", object->version));
}

static void
handle_put (SoupServerMessage *message, const gchar *key)
{
  Object *object = g_hash_table_lookup (state.objects, key);
  JsonNode *value;

  if (soup_server_message_get_request_body (message)->length > MAX_BODY_BYTES)
    {
      soup_server_message_set_status (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, NULL);
      return;
    }
  if (!write_condition_holds (message, object))
    {
      state.conflicts++;
      soup_server_message_set_status (message, SOUP_STATUS_PRECONDITION_FAILED, NULL);
      return;
    }
  value = read_value (message);
  if (value == NULL)
    {
      soup_server_message_set_status (message, SOUP_STATUS_BAD_REQUEST, NULL);
      return;
    }
  if (object == NULL)
    {
      object = g_new0 (Object, 1);
      g_hash_table_insert (state.objects, g_strdup (key), object);
    }
  else
    json_node_unref (object->value);
  object->value = value;
  object->version++;
  complete_write (message, key, object);
}

static gboolean
delay_expired (gpointer message)
{
  soup_server_message_unpause (message);
  g_object_unref (message);
  return G_SOURCE_REMOVE;
}

/* Whether the connection had carried a request when the open connections became silent. */
static gboolean
is_silent (SoupServerMessage *message)
{
  GObject *connection = G_OBJECT (soup_server_message_get_socket (message));
  guint opened = GPOINTER_TO_UINT (g_object_get_data (connection, SILENCE_COUNT_KEY));

  if (opened == 0)
    {
      opened = state.silence_count + 1;
      g_object_set_data (connection, SILENCE_COUNT_KEY, GUINT_TO_POINTER (opened));
    }
  return opened <= state.silence_count;
}

/* Lets the open connections get no response any more, and stay open. */
static void
silence_connections (void)
{
  state.silence_count++;
  while (state.watches->len > 0)
    end_watch (g_ptr_array_index (state.watches, 0));
}

static void
handle_object (SoupServerMessage *message, const gchar *key, GHashTable *query)
{
  const gchar *method = soup_server_message_get_method (message);

  if (is_silent (message))
    {
      soup_server_message_pause (message);
      return;
    }
  if (state.down)
    {
      close_connection (message);
      return;
    }
  if (strcmp (method, SOUP_METHOD_GET) == 0)
    handle_get (message, key, query);
  else if (strcmp (method, SOUP_METHOD_PUT) == 0)
    handle_put (message, key);
  else
    soup_server_message_set_status (message, SOUP_STATUS_METHOD_NOT_ALLOWED, NULL);
  if (state.slow_ms == 0 || soup_server_message_get_status (message) == 0)
    return;
  soup_server_message_pause (message);
  g_timeout_add (state.slow_ms, delay_expired, g_object_ref (message));
}

static guint
read_uint_member (JsonObject *object, const gchar *name)
{
  return (guint) json_object_get_int_member_with_default (object, name, 0);
}

static void
handle_faults (SoupServerMessage *message)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *root;
  JsonObject *faults;

  if (!json_parser_load_from_data (parser, body->data, body->length, NULL) ||
      (root = json_parser_get_root (parser)) == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      soup_server_message_set_status (message, SOUP_STATUS_BAD_REQUEST, NULL);
      return;
    }
  faults = json_node_get_object (root);
  state.down = FALSE;
  state.slow_ms = read_uint_member (faults, "slow_ms");
  state.lose_writes = read_uint_member (faults, "lose_writes");
  state.down_after_writes = read_uint_member (faults, "down_after_writes");
  if (json_object_get_boolean_member_with_default (faults, "down", FALSE))
    start_outage ();
  if (json_object_get_boolean_member_with_default (faults, "silence", FALSE))
    silence_connections ();
  soup_server_message_set_status (message, SOUP_STATUS_NO_CONTENT, NULL);
}

static void
handle_request (SoupServer *server,
                SoupServerMessage *message,
                const char *path,
                GHashTable *query,
                gpointer data)
{
  if (g_str_has_prefix (path, "/objects/"))
    handle_object (message, path + strlen ("/objects/"), query);
  else if (strcmp (path, "/faults") == 0)
    handle_faults (message);
  else if (strcmp (path, "/counters") == 0)
    respond_json (message, g_strdup_printf ("{\"reads\":%u,\"writes\":%u,\"conflicts\":%u,"
                                            "\"watches\":%u,\"objects\":%u}",
                                            state.reads, state.writes, state.conflicts,
                                            state.watch_calls, g_hash_table_size (state.objects)));
  else
    soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
}

int
main (int argc, char **argv)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  g_autoptr (GError) error = NULL;
  gint64 port = argc == 2 ? g_ascii_strtoll (argv[1], NULL, 10) : -1;
  GSList *uris;

  if (port < 0 || port > G_MAXUINT16)
    {
      g_printerr ("usage: platform PORT (0 for any free port)\n");
      return 2;
    }
  state.objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  state.watches = g_ptr_array_new ();
  soup_server_add_handler (server, NULL, handle_request, NULL, NULL);
  if (!soup_server_listen_local (server, (guint) port, SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
    {
      g_printerr ("platform: %s\n", error->message);
      return 1;
    }
  uris = soup_server_get_uris (server);
  g_print ("http://127.0.0.1:%d\n", g_uri_get_port (uris->data));
  g_slist_free_full (uris, (GDestroyNotify) g_uri_unref);
  g_main_loop_run (loop);
  return 0;
}
