#include "ws-client.h"

#include <libsoup/soup.h>
#include <string.h>

#define DEFAULT_TIMEOUT_MS 5000
/* Each call that times out doubles the time-out of the next ones, up to this factor. */
#define MAX_TIMEOUT_FACTOR 4
/* A call may take this many times as long as the last one that got a response. */
#define TIMEOUT_LATENCY_FACTOR 2
/* More than one, so that a pending watch does not delay other calls. */
#define MAX_CONNECTIONS 8

enum
{
  COUNTER_READS,
  COUNTER_WRITES,
  COUNTER_WATCHES,
  COUNTER_CONFLICTS,
  COUNTER_UNREACHABLE,
  COUNTER_OUTCOME_UNKNOWN,
  COUNTER_ERA_CHANGES,
  COUNTER_STALE_RESPONSES,
  N_COUNTERS,
};

static const WbCounterDef counter_definitions[N_COUNTERS] = {
  { "platform_reads", "Reads of the object API." },
  { "platform_writes", "Writes of the object API." },
  { "platform_watches", "Watches of the object API." },
  { "platform_conflicts", "Writes rejected because the object had another version." },
  { "platform_unreachable", "Calls without a response and without effect." },
  { "platform_outcome_unknown", "Writes without a response, which may have taken effect." },
  { "platform_era_changes", "Returns of the object store from an older copy of its content." },
  { "platform_stale_responses", "Responses of the object store from before such a return." },
};

struct WsClient
{
  SoupSession *session;
  const WsCodec *codec;
  gchar *base_url;
  guint initial_timeout_ms;
  guint timeout_ms;  /* in use; longer after calls that timed out */
  guint64 era;       /* newest one that a response has named */
  GHashTable *calls; /* set of Call */
  WbCounters *counters;
};

/* @client is NULL once the client has been freed. */
typedef struct
{
  WsClient *client;
  SoupMessage *message;
  GCancellable *cancellable;
  guint timer;
  WsCallKind kind;
  gchar *key;
  gint64 sent_us;
  gint64 watch_end_us; /* when the platform should end a watch */
  guint64 era;         /* of the client when the call was sent */
  WsResponseFunc callback;
  WsZonesFunc zones_callback; /* in place of callback, for the evacuations */
  gpointer context;
} Call;

static SoupSession *
session_new (void)
{
  /* No proxy resolver: the default one reads desktop settings, which a host may not have. */
  return soup_session_new_with_options ("max-conns-per-host", MAX_CONNECTIONS, "max-conns",
                                        MAX_CONNECTIONS, "timeout", 0, "proxy-resolver", NULL,
                                        NULL);
}

/* Closes the idle connections: when one is silent, the others may be too. Calls that are under way
 * hold the session that they were sent with. */
static void
close_idle_connections (WsClient *client)
{
  g_object_unref (client->session);
  client->session = session_new ();
}

WsClient *
ws_client_new (const gchar *base_url, const WsCodec *codec, GError **error)
{
  g_autoptr (GUri) uri = g_uri_parse (base_url, G_URI_FLAGS_NONE, NULL);
  WsClient *client;

  if (uri == NULL || g_uri_get_host (uri) == NULL ||
      (strcmp (g_uri_get_scheme (uri), "http") != 0 &&
       strcmp (g_uri_get_scheme (uri), "https") != 0))
    {
      g_set_error (error, WS_ERROR, WS_ERROR_UNREACHABLE, "\"%s\" is no http or https URL",
                   base_url);
      return NULL;
    }
  client = g_new0 (WsClient, 1);
  client->codec = codec;
  client->session = session_new ();
  client->base_url = g_strdup (base_url);
  if (g_str_has_suffix (base_url, "/"))
    client->base_url[strlen (base_url) - 1] = '\0';
  client->initial_timeout_ms = client->timeout_ms = DEFAULT_TIMEOUT_MS;
  client->calls = g_hash_table_new (NULL, NULL);
  client->counters = wb_counters_new (counter_definitions, N_COUNTERS);
  return client;
}

/* The call frees itself when its cancellation is reported. */
static void
abandon_call (Call *call)
{
  call->client = NULL;
  g_cancellable_cancel (call->cancellable);
}

void
ws_client_cancel (WsClient *client, gpointer context)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, client->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (((const Call *) key)->context == context)
      {
        g_hash_table_iter_remove (&iter);
        abandon_call (key);
      }
}

void
ws_client_free (WsClient *client)
{
  GHashTableIter iter;
  gpointer key;

  if (client == NULL)
    return;
  g_hash_table_iter_init (&iter, client->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    abandon_call (key);
  g_hash_table_unref (client->calls);
  g_object_unref (client->session);
  wb_counters_free (client->counters);
  g_free (client->base_url);
  g_free (client);
}

void
ws_client_set_timeout (WsClient *client, guint timeout_ms)
{
  client->initial_timeout_ms = client->timeout_ms = timeout_ms;
}

const WbCounters *
ws_client_counters (const WsClient *client)
{
  return client->counters;
}

static void
call_free (Call *call)
{
  if (call->timer != 0)
    g_source_remove (call->timer);
  if (call->client != NULL)
    g_hash_table_remove (call->client->calls, call);
  g_clear_object (&call->message);
  g_object_unref (call->cancellable);
  g_free (call->key);
  g_free (call);
}

/* After a refused connection the write has certainly had no effect. After any other failure of the
 * transport it may have had. */
static GError *
transport_error (const Call *call, const GError *cause)
{
  gboolean refused = g_error_matches (cause, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
                     g_error_matches (cause, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
                     g_error_matches (cause, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE) ||
                     cause->domain == G_RESOLVER_ERROR;
  gboolean timed_out = g_error_matches (cause, G_IO_ERROR, G_IO_ERROR_CANCELLED);

  return g_error_new (WS_ERROR,
                      call->kind == WS_CALL_PUT && !refused ? WS_ERROR_OUTCOME_UNKNOWN
                                                            : WS_ERROR_UNREACHABLE,
                      "platform: %s", timed_out ? "no answer in time" : cause->message);
}

static GError *
status_error (const Call *call, guint status)
{
  return g_error_new (WS_ERROR, (gint) call->client->codec->error_for_status (call->kind, status),
                      "platform: HTTP status %u for %s %s", status,
                      soup_message_get_method (call->message),
                      g_uri_get_path (soup_message_get_uri (call->message)));
}

/* A write whose response does not decode may have taken effect. */
static gboolean
read_object (const Call *call, GBytes *body, WsObject *object, GError **error)
{
  g_autoptr (GError) cause = NULL;
  WsError code = WS_ERROR_BAD_RESPONSE;

  if (call->client->codec->decode_response (call->kind, call->key, body, object, &cause))
    return TRUE;
  if (call->kind == WS_CALL_PUT)
    code = WS_ERROR_OUTCOME_UNKNOWN;
  else if (cause->domain == WS_ERROR)
    code = (WsError) cause->code;
  g_set_error (error, WS_ERROR, (gint) code, "platform: %s", cause->message);
  return FALSE;
}

static void
count_error (WsClient *client, const GError *error)
{
  if (error->code == WS_ERROR_CONFLICT)
    wb_counters_add (client->counters, COUNTER_CONFLICTS, 1);
  else if (error->code == WS_ERROR_UNREACHABLE)
    wb_counters_add (client->counters, COUNTER_UNREACHABLE, 1);
  else if (error->code == WS_ERROR_OUTCOME_UNKNOWN)
    wb_counters_add (client->counters, COUNTER_OUTCOME_UNKNOWN, 1);
}

static void
zones_finish (Call *call, const WsZones *zones, const GError *error)
{
  WsZonesFunc callback = call->zones_callback;
  gpointer context = call->context;

  call_free (call);
  callback (context, zones, error);
}

static void
call_finish (Call *call, const WsObject *object, const GError *error)
{
  WsResponseFunc callback = call->callback;
  gpointer context = call->context;

  if (error != NULL)
    count_error (call->client, error);
  if (call->zones_callback != NULL)
    {
      zones_finish (call, NULL, error);
      return;
    }
  call_free (call);
  callback (context, object, error);
}

/* While the store is slow the time-out stays above what it takes. If each response reset it, a read
 * of several objects would never end: every other call would time out. A watch that a change has
 * ended tells only the most that the store can have taken. */
static void
update_timeout (const Call *call)
{
  WsClient *client = call->client;
  gint64 now_us = g_get_monotonic_time ();
  gboolean ended_early = call->kind == WS_CALL_WATCH && now_us < call->watch_end_us;
  gint64 begin_us =
      call->kind == WS_CALL_WATCH && !ended_early ? call->watch_end_us : call->sent_us;
  gint64 wanted_ms = (now_us - begin_us) * TIMEOUT_LATENCY_FACTOR / WB_US_PER_MS;
  gint64 shortest_ms = client->initial_timeout_ms;
  gint64 longest_ms = ended_early ? client->timeout_ms : shortest_ms * MAX_TIMEOUT_FACTOR;

  client->timeout_ms = (guint) CLAMP (wanted_ms, shortest_ms, longest_ms);
}

guint64
ws_client_era (const WsClient *client)
{
  return client->era;
}

/* Reads the era of the response. Return: 0 when the response does not name one */
static guint64
response_era (const Call *call)
{
  const gchar *name = call->client->codec->era_header;
  const gchar *text =
      name != NULL
          ? soup_message_headers_get_one (soup_message_get_response_headers (call->message), name)
          : NULL;
  guint64 era = 0;

  if (text != NULL)
    (void) g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, &era, NULL);
  return era;
}

static GError *
era_error (const Call *call, WsError read_error)
{
  return g_error_new (WS_ERROR,
                      call->kind == WS_CALL_PUT ? WS_ERROR_OUTCOME_UNKNOWN : (gint) read_error,
                      "platform: the store has returned from an older copy");
}

/* Takes note of the response's era. The revisions of an earlier era name other content now: neither
 * a response of that era counts, nor the position of a watch or the condition of a write. The first
 * era that a client learns of is not a change. */
static gboolean
check_era (Call *call, GError **error)
{
  WsClient *client = call->client;
  guint64 era = response_era (call);

  if (era == 0)
    return TRUE;
  if (era < client->era)
    {
      wb_counters_add (client->counters, COUNTER_STALE_RESPONSES, 1);
      *error = era_error (call, WS_ERROR_UNREACHABLE);
      return FALSE;
    }
  if (era > client->era && client->era != 0)
    wb_counters_add (client->counters, COUNTER_ERA_CHANGES, 1);
  client->era = era;
  if (call->kind == WS_CALL_GET || call->era == 0 || call->era == era)
    return TRUE;
  *error = era_error (call, WS_ERROR_HISTORY_COMPACTED);
  return FALSE;
}

/* Return: FALSE when the body does not decode; otherwise the call has been freed */
static gboolean
try_finish_zones (Call *call, GBytes *body, GError **error)
{
  g_autoptr (GError) cause = NULL;
  g_auto (WsZones) zones = { 0 };

  ws_zones_init (&zones);
  if (!call->client->codec->decode_zones (call->kind, body, &zones, &cause))
    {
      g_set_error (error, WS_ERROR, WS_ERROR_BAD_RESPONSE, "platform: %s", cause->message);
      return FALSE;
    }
  zones.era = call->client->era;
  zones_finish (call, &zones, NULL);
  return TRUE;
}

static void
response_received (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autoptr (GError) cause = NULL;
  g_autoptr (GBytes) body =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, &cause);
  g_autoptr (GError) error = NULL;
  WsObject object = { 0 };
  Call *call = data;
  guint status;

  if (call->client == NULL)
    {
      call_free (call);
      return;
    }
  status = soup_message_get_status (call->message);
  if (body != NULL)
    update_timeout (call);
  if (body == NULL)
    error = transport_error (call, cause);
  else if (!check_era (call, &error))
    ;
  else if (status == SOUP_STATUS_NO_CONTENT && call->kind == WS_CALL_GET)
    g_set_error (&error, WS_ERROR, WS_ERROR_BAD_RESPONSE,
                 "platform: response to a read without content");
  else if (status == SOUP_STATUS_NO_CONTENT)
    {
      call_finish (call, NULL, NULL);
      return;
    }
  else if (!SOUP_STATUS_IS_SUCCESSFUL (status))
    error = status_error (call, status);
  else if (call->zones_callback != NULL)
    {
      if (try_finish_zones (call, body, &error))
        return;
    }
  else if (read_object (call, body, &object, &error))
    {
      object.era = call->client->era;
      call_finish (call, &object, NULL);
      g_clear_pointer (&object.value, g_bytes_unref);
      return;
    }
  call_finish (call, NULL, error);
}

static gboolean
call_timed_out (gpointer data)
{
  Call *call = data;

  call->timer = 0;
  call->client->timeout_ms =
      MIN (call->client->timeout_ms * 2, call->client->initial_timeout_ms * MAX_TIMEOUT_FACTOR);
  close_idle_connections (call->client);
  g_cancellable_cancel (call->cancellable);
  return G_SOURCE_REMOVE;
}

/* Clears @request. */
static Call *
call_new (WsClient *client,
          WsCallKind kind,
          const gchar *key,
          WsRequest *request,
          WsResponseFunc callback,
          gpointer context)
{
  g_autofree gchar *url = g_strconcat (client->base_url, request->path, NULL);
  Call *call = g_new0 (Call, 1);

  call->client = client;
  call->era = client->era;
  call->kind = kind;
  call->key = g_strdup (key);
  call->message = soup_message_new (request->method, url);
  call->cancellable = g_cancellable_new ();
  call->callback = callback;
  call->context = context;
  if (request->header != NULL)
    soup_message_headers_replace (soup_message_get_request_headers (call->message), request->header,
                                  request->header_value);
  if (request->body != NULL)
    soup_message_set_request_body_from_bytes (call->message, "application/json", request->body);
  ws_request_clear (request);
  g_hash_table_add (client->calls, call);
  return call;
}

static void
call_send (Call *call, guint timeout_ms)
{
  call->sent_us = g_get_monotonic_time ();
  call->timer = g_timeout_add (timeout_ms, call_timed_out, call);
  soup_session_send_and_read_async (call->client->session, call->message, G_PRIORITY_DEFAULT,
                                    call->cancellable, response_received, call);
}

void
ws_client_get (WsClient *client, const gchar *key, WsResponseFunc callback, gpointer context)
{
  WsRequest request = { 0 };

  wb_counters_add (client->counters, COUNTER_READS, 1);
  client->codec->encode_get (key, &request);
  call_send (call_new (client, WS_CALL_GET, key, &request, callback, context), client->timeout_ms);
}

static gboolean
report_too_large (gpointer data)
{
  g_autoptr (GError) error = g_error_new (WS_ERROR, WS_ERROR_TOO_LARGE,
                                          "platform: value exceeds %d bytes", WS_VALUE_MAX_BYTES);
  Call *call = data;

  call->timer = 0;
  call_finish (call, NULL, error);
  return G_SOURCE_REMOVE;
}

void
ws_client_put (WsClient *client,
               const gchar *key,
               GBytes *value,
               guint64 if_version,
               WsResponseFunc callback,
               gpointer context)
{
  WsRequest request = { 0 };
  gboolean too_large;
  Call *call;

  client->codec->encode_put (key, value, if_version, &request);
  too_large = g_bytes_get_size (request.body) > WS_VALUE_MAX_BYTES;
  call = call_new (client, WS_CALL_PUT, key, &request, callback, context);
  if (too_large)
    {
      call->timer = g_idle_add (report_too_large, call);
      return;
    }
  wb_counters_add (client->counters, COUNTER_WRITES, 1);
  call_send (call, client->timeout_ms);
}

guint
ws_client_watch_limit_ms (const WsClient *client, guint timeout_ms)
{
  return timeout_ms + client->timeout_ms;
}

void
ws_client_watch (WsClient *client,
                 const gchar *key,
                 guint64 position,
                 guint timeout_ms,
                 WsResponseFunc callback,
                 gpointer context)
{
  WsRequest request = { 0 };
  Call *call;

  wb_counters_add (client->counters, COUNTER_WATCHES, 1);
  client->codec->encode_watch (key, position, timeout_ms, &request);
  call = call_new (client, WS_CALL_WATCH, key, &request, callback, context);
  call->watch_end_us = g_get_monotonic_time () + timeout_ms * WB_US_PER_MS;
  call_send (call, ws_client_watch_limit_ms (client, timeout_ms));
}

gboolean
ws_client_lists_zones (const WsClient *client)
{
  return client->codec->encode_list_zones != NULL;
}

void
ws_client_list_zones (WsClient *client, WsZonesFunc callback, gpointer context)
{
  WsRequest request = { 0 };
  Call *call;

  wb_counters_add (client->counters, COUNTER_READS, 1);
  client->codec->encode_list_zones (&request);
  call = call_new (client, WS_CALL_GET, "", &request, NULL, context);
  call->zones_callback = callback;
  call_send (call, client->timeout_ms);
}

void
ws_client_watch_zones (
    WsClient *client, guint64 position, guint timeout_ms, WsZonesFunc callback, gpointer context)
{
  WsRequest request = { 0 };
  Call *call;

  wb_counters_add (client->counters, COUNTER_WATCHES, 1);
  client->codec->encode_watch_zones (position, timeout_ms, &request);
  call = call_new (client, WS_CALL_WATCH, "", &request, NULL, context);
  call->zones_callback = callback;
  call->watch_end_us = g_get_monotonic_time () + timeout_ms * WB_US_PER_MS;
  call_send (call, ws_client_watch_limit_ms (client, timeout_ms));
}

static void
store_get (gpointer context, const gchar *key, WsResponseFunc callback, gpointer callback_context)
{
  ws_client_get (context, key, callback, callback_context);
}

static void
store_put (gpointer context,
           const gchar *key,
           GBytes *value,
           guint64 if_version,
           WsResponseFunc callback,
           gpointer callback_context)
{
  ws_client_put (context, key, value, if_version, callback, callback_context);
}

static void
store_watch (gpointer context,
             const gchar *key,
             guint64 position,
             guint timeout_ms,
             WsResponseFunc callback,
             gpointer callback_context)
{
  ws_client_watch (context, key, position, timeout_ms, callback, callback_context);
}

static guint64
store_era (gpointer context)
{
  return ws_client_era (context);
}

static void
store_free (gpointer context)
{
  ws_client_free (context);
}

WsStore
ws_client_store (WsClient *client)
{
  WsStore store = {
    .context = client,
    .get = store_get,
    .put = store_put,
    .watch = store_watch,
    .era = store_era,
    .free = store_free,
  };

  return store;
}

static void
store_list_zones (gpointer context, WsZonesFunc callback, gpointer callback_context)
{
  ws_client_list_zones (context, callback, callback_context);
}

static void
store_watch_zones (gpointer context,
                   guint64 position,
                   guint timeout_ms,
                   WsZonesFunc callback,
                   gpointer callback_context)
{
  ws_client_watch_zones (context, position, timeout_ms, callback, callback_context);
}

static void
store_cancel (gpointer context, gpointer callback_context)
{
  ws_client_cancel (context, callback_context);
}

WsZoneStore
ws_client_zone_store (WsClient *client)
{
  WsZoneStore store = {
    .context = client,
    .list = store_list_zones,
    .watch = store_watch_zones,
    .era = store_era,
    .cancel = store_cancel,
  };

  return store;
}
