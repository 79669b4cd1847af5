#include "ws-codec.h"

#include "wc-value.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdarg.h>
#include <string.h>

#define STATUS_TOO_MANY_REQUESTS 429

/* Bounds the log lines about a response with many bad entries. */
#define MAX_MESSAGES 32

void
ws_request_clear (WsRequest *request)
{
  g_clear_pointer (&request->path, g_free);
  g_clear_pointer (&request->body, g_bytes_unref);
  g_clear_pointer (&request->header_value, g_free);
}

void
ws_zones_init (WsZones *zones)
{
  *zones = (WsZones){ .entries = g_array_new (FALSE, FALSE, sizeof (WsZoneEntry)),
                      .messages = g_ptr_array_new_with_free_func (g_free) };
}

void
ws_zones_clear (WsZones *zones)
{
  guint i;

  for (i = 0; zones->entries != NULL && i < zones->entries->len; i++)
    g_free (g_array_index (zones->entries, WsZoneEntry, i).name);
  g_clear_pointer (&zones->entries, g_array_unref);
  g_clear_pointer (&zones->messages, g_ptr_array_unref);
}

void
ws_zones_add (WsZones *zones, const gchar *name, gboolean present)
{
  WsZoneEntry entry = { g_strdup (name), present };

  g_array_append_val (zones->entries, entry);
}

void
ws_zones_add_message (WsZones *zones, const gchar *format, ...)
{
  va_list arguments;

  if (zones->messages->len >= MAX_MESSAGES)
    return;
  va_start (arguments, format);
  g_ptr_array_add (zones->messages, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

static void
encode_get (const gchar *key, WsRequest *request)
{
  request->method = "GET";
  request->path = g_strdup_printf ("/objects/%s", key);
}

static void
encode_watch (const gchar *key, guint64 position, guint timeout_ms, WsRequest *request)
{
  request->method = "GET";
  request->path = g_strdup_printf ("/objects/%s?watch=%" G_GUINT64_FORMAT "&timeout_ms=%u", key,
                                   position, timeout_ms);
}

static GBytes *
encode_value (GBytes *value)
{
  g_autoptr (JsonBuilder) builder = json_builder_new_immutable ();
  g_autoptr (JsonGenerator) generator = json_generator_new ();
  g_autoptr (JsonNode) root = NULL;
  gsize length;
  const gchar *data = g_bytes_get_data (value, &length);
  g_autofree gchar *text = g_strndup (data, length);
  gchar *encoded;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "value");
  json_builder_add_string_value (builder, text);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  json_generator_set_root (generator, root);
  encoded = json_generator_to_data (generator, &length);
  return g_bytes_new_take (encoded, length);
}

static void
encode_put (const gchar *key, GBytes *value, guint64 if_version, WsRequest *request)
{
  request->method = "PUT";
  request->path = g_strdup_printf ("/objects/%s", key);
  request->body = encode_value (value);
  request->header = if_version == 0 ? "If-None-Match" : "If-Match";
  request->header_value =
      if_version == 0 ? g_strdup ("*") : g_strdup_printf ("\"%" G_GUINT64_FORMAT "\"", if_version);
}

static gboolean
decode_response (WsCallKind kind, const gchar *key, GBytes *body, WsObject *object, GError **error)
{
  g_autoptr (WcValue) document =
      wc_json_parse_bytes ("response of the object API", body, G_MAXSIZE, error);
  const WcValue *version = document != NULL ? wc_value_find (document, "version") : NULL;
  const WcValue *value = document != NULL ? wc_value_find (document, "value") : NULL;

  if (document == NULL)
    return FALSE;
  if (version == NULL || version->kind != WC_VALUE_INTEGER || version->number < 1 ||
      (kind != WS_CALL_PUT && (value == NULL || value->kind != WC_VALUE_STRING)))
    {
      g_set_error (error, WS_ERROR, WS_ERROR_BAD_RESPONSE, "malformed object %s", key);
      return FALSE;
    }
  object->version = object->position = (guint64) version->number;
  if (kind != WS_CALL_PUT)
    object->value = g_bytes_new (value->text, strlen (value->text));
  return TRUE;
}

static WsError
error_for_status (WsCallKind kind, guint status)
{
  if (status == SOUP_STATUS_NOT_FOUND)
    return WS_ERROR_NOT_FOUND;
  if (status == SOUP_STATUS_PRECONDITION_FAILED)
    return WS_ERROR_CONFLICT;
  if (status == SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE)
    return WS_ERROR_TOO_LARGE;
  /* The rate limit rejected the request, so that it had no effect. */
  if (status == STATUS_TOO_MANY_REQUESTS)
    return WS_ERROR_UNREACHABLE;
  if (status >= SOUP_STATUS_INTERNAL_SERVER_ERROR)
    return kind == WS_CALL_PUT ? WS_ERROR_OUTCOME_UNKNOWN : WS_ERROR_UNREACHABLE;
  return WS_ERROR_BAD_RESPONSE;
}

const WsCodec ws_codec_native = {
  .name = "native",
  .encode_get = encode_get,
  .encode_watch = encode_watch,
  .encode_put = encode_put,
  .decode_response = decode_response,
  .error_for_status = error_for_status,
};
