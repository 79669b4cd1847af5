#include "store.h"

#include <libsoup/soup.h>
#include <string.h>

typedef struct
{
  gchar *name;
  gchar *spec; /* NULL: deleted; only watches tell of it */
  guint64 revision;
} Object;

typedef struct
{
  SoupServerMessage *message;
  gchar *kind;
  guint64 position;
  gint64 deadline_us;
} Watch;

static SoupServer *server;
static GHashTable *kinds; /* kind to GHashTable of name to Object */
static GPtrArray *watches;
static guint64 revision = 10;
static guint timer;
static gboolean silent; /* requests are accepted and never answered */

static void
object_free (gpointer data)
{
  Object *object = data;

  g_free (object->name);
  g_free (object->spec);
  g_free (object);
}

static GHashTable *
objects_of (const gchar *kind)
{
  GHashTable *objects = g_hash_table_lookup (kinds, kind);

  if (objects == NULL)
    {
      objects = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, object_free);
      g_hash_table_insert (kinds, g_strdup (kind), objects);
    }
  return objects;
}

static void
append_object (GString *text, const Object *object)
{
  g_string_append_printf (text,
                          "{\"meta\":{\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
                          ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":%s,"
                          "\"status\":null}",
                          object->name, object->revision,
                          object->spec != NULL ? object->spec : "{}");
}

static void
respond (SoupServerMessage *message, guint status, const gchar *text)
{
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Store-Era",
                                "1");
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY, text,
                                    strlen (text));
}

static guint
append_since (GString *text, const gchar *kind, guint64 position, gboolean events)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, objects_of (kind));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Object *object = value;

      if (object->revision <= position || (object->spec == NULL && !events))
        continue;
      g_string_append (text, count++ > 0 ? "," : "");
      if (events)
        g_string_append_printf (
            text, "{\"deleted\":%s,\"object\":", object->spec == NULL ? "true" : "false");
      append_object (text, object);
      g_string_append (text, events ? "}" : "");
    }
  return count;
}

static gboolean
try_watch (SoupServerMessage *message, const gchar *kind, guint64 position, gboolean ended)
{
  g_autoptr (GString) text = g_string_new ("{\"events\":[");

  if (append_since (text, kind, position, TRUE) == 0 && !ended)
    return FALSE;
  g_string_append_printf (text, "],\"store_revision\":%" G_GUINT64_FORMAT "}", revision);
  respond (message, 200, text->str);
  return TRUE;
}

static void
hold (SoupServerMessage *message, const gchar *kind, guint64 position, gint64 deadline_us)
{
  Watch *watch = g_new0 (Watch, 1);

  watch->message = g_object_ref (message);
  watch->kind = g_strdup (kind);
  watch->position = position;
  watch->deadline_us = deadline_us;
  soup_server_message_pause (message);
  g_ptr_array_add (watches, watch);
}

static gboolean
answer_watches (gpointer data)
{
  gint64 now_us = g_get_monotonic_time ();
  guint i = 0;

  while (!silent && i < watches->len)
    {
      Watch *watch = g_ptr_array_index (watches, i);

      if (watch->kind == NULL ||
          !try_watch (watch->message, watch->kind, watch->position, now_us >= watch->deadline_us))
        {
          i++;
          continue;
        }
      soup_server_message_unpause (watch->message);
      g_ptr_array_remove_index_fast (watches, i);
    }
  return G_SOURCE_CONTINUE;
}

static void
watch_free (gpointer data)
{
  Watch *watch = data;

  g_object_unref (watch->message);
  g_free (watch->kind);
  g_free (watch);
}

guint64
store_put (const gchar *kind, const gchar *name, const gchar *spec)
{
  Object *object = g_new0 (Object, 1);

  object->name = g_strdup (name);
  object->spec = g_strdup (spec);
  object->revision = ++revision;
  g_hash_table_replace (objects_of (kind), object->name, object);
  return object->revision;
}

void
store_delete (const gchar *kind, const gchar *name)
{
  Object *object;

  (void) store_put (kind, name, "{}");
  object = g_hash_table_lookup (objects_of (kind), name);
  g_clear_pointer (&object->spec, g_free);
}

/* The bodies come from the programs under test, whose layout is known:
 * {"meta":{"name":"N","revision":R},"spec":S} */
static void
write_object (SoupServerMessage *message, const gchar *kind, const gchar *body)
{
  const gchar *name_at = strstr (body, "\"name\":\"");
  const gchar *spec_at = strstr (body, "\"spec\":");
  const gchar *condition = strstr (body, "\"revision\":");
  g_autofree gchar *name = NULL;
  g_autofree gchar *spec = NULL;
  const Object *object;
  g_autoptr (GString) text = g_string_new (NULL);

  if (name_at == NULL || spec_at == NULL)
    {
      respond (message, 400, "{}");
      return;
    }
  if (condition > spec_at)
    condition = NULL;
  name = g_strdup (name_at + strlen ("\"name\":\""));
  name[strcspn (name, "\"")] = '\0';
  spec = g_strndup (spec_at + strlen ("\"spec\":"), strlen (spec_at) - strlen ("\"spec\":") - 1);
  object = g_hash_table_lookup (objects_of (kind), name);
  if ((condition == NULL) != (object == NULL) ||
      (object != NULL &&
       g_ascii_strtoull (condition + strlen ("\"revision\":"), NULL, 10) != object->revision))
    {
      if (object != NULL)
        append_object (text, object);
      respond (message, 409, object != NULL ? text->str : "{}");
      return;
    }
  (void) store_put (kind, name, spec);
  append_object (text, g_hash_table_lookup (objects_of (kind), name));
  respond (message, 200, text->str);
}

static void
request_received (SoupServer *soup,
                  SoupServerMessage *message,
                  const char *path,
                  GHashTable *query,
                  gpointer data)
{
  g_auto (GStrv) parts = g_strsplit (path, "/", 6);
  const gchar *method = soup_server_message_get_method (message);
  const gchar *watch_text = query != NULL ? g_hash_table_lookup (query, "watch") : NULL;
  const gchar *wait_text = query != NULL ? g_hash_table_lookup (query, "wait_ms") : NULL;
  g_autoptr (GString) text = g_string_new (NULL);

  if (silent)
    {
      hold (message, NULL, 0, 0);
      return;
    }
  if (g_strv_length (parts) < 4)
    {
      respond (message, 404, "{}");
      return;
    }
  if (strcmp (method, "GET") != 0)
    {
      g_autoptr (GBytes) body =
          soup_message_body_flatten (soup_server_message_get_request_body (message));
      g_autofree gchar *copy = g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body));

      write_object (message, parts[3], copy);
      return;
    }
  if (watch_text != NULL)
    {
      guint64 position = g_ascii_strtoull (watch_text, NULL, 10);

      if (!try_watch (message, parts[3], position, FALSE))
        hold (message, parts[3], position,
              g_get_monotonic_time () +
                  (wait_text != NULL ? g_ascii_strtoll (wait_text, NULL, 10) : 0) * 1000);
      return;
    }
  if (parts[4] != NULL)
    {
      const Object *object = g_hash_table_lookup (objects_of (parts[3]), parts[4]);

      if (object != NULL)
        append_object (text, object);
      respond (message, object != NULL ? 200 : 404, object != NULL ? text->str : "{}");
      return;
    }
  g_string_append (text, "{\"items\":[");
  (void) append_since (text, parts[3], 0, FALSE);
  g_string_append_printf (text, "],\"more\":false,\"store_revision\":%" G_GUINT64_FORMAT "}",
                          revision);
  respond (message, 200, text->str);
}

void
store_set_silent (gboolean now_silent)
{
  silent = now_silent;
}

gboolean
store_open (const gchar *host, guint port, GError **error)
{
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string (host, port);

  kinds =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_hash_table_unref);
  watches = g_ptr_array_new_with_free_func (watch_free);
  server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, NULL, request_received, NULL, NULL);
  timer = g_timeout_add (4, answer_watches, NULL);
  return soup_server_listen (server, address, 0, error);
}

void
store_close (void)
{
  g_source_remove (timer);
  soup_server_disconnect (server);
}
