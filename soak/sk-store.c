#include "sk.h"

#include <libsoup/soup.h>
#include <string.h>

/* Object store of the platform, as far as the programs use it: lists, watches and conditional
 * writes. */

/* Data of a connection's socket: 1 more than silence_count at its first request. */
#define SILENCE_COUNT_KEY "silence-count"

#define STATUS_GONE 410
#define STATUS_UNAVAILABLE 503

typedef struct
{
  gchar *name;
  gchar *spec;
  guint64 revision;
} Object;

/* A deletion that a watch reports. */
typedef struct
{
  gchar *kind;
  gchar *name;
  guint64 revision;
} Deletion;

/* A request without a response so far: a watch, or one that never gets a response. */
typedef struct
{
  SoupServerMessage *message;
  gchar *kind; /* NULL: never gets a response */
  guint64 position;
  gint64 deadline_us;
  guint64 era;     /* when the request was received */
  gboolean silent; /* its connection never gets a response any more */
} PendingRequest;

/* Content of the store at an earlier time. */
typedef struct
{
  GHashTable *kinds; /* as the one below; NULL for no copy */
  guint64 revision;
} Copy;

/* Copies are this old when the store returns from one. */
#define COPY_INTERVAL_US (2 * WB_US_PER_S)

static SoupServer *server;
static GHashTable *kinds; /* kind to GHashTable of name to Object */
static GPtrArray *pending;
static GPtrArray *deletions; /* of Deletion, oldest first */
static guint64 revision = 10;
static guint64 oldest_revision = 1; /* watches from positions before it get status 410 */
static guint64 config_version;
static gchar *config_text; /* as the operator wrote it last */
static guint64 era = 1;
static Copy copies[2]; /* the latest one, and the one before */
static gint64 next_copy_us;
static SkStoreFault fault;
static guint silence_count; /* times that the open connections have become silent */
static guint pending_timer;

static void
object_free (gpointer data)
{
  Object *object = data;

  g_free (object->name);
  g_free (object->spec);
  g_free (object);
}

static void
deletion_free (gpointer data)
{
  Deletion *deletion = data;

  g_free (deletion->kind);
  g_free (deletion->name);
  g_free (deletion);
}

static void
pending_request_free (gpointer data)
{
  PendingRequest *entry = data;

  g_object_unref (entry->message);
  g_free (entry->kind);
  g_free (entry);
}

static GHashTable *
objects_of_kind (const gchar *kind)
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
                          "},\"spec\":%s,\"status\":null}",
                          object->name, object->revision, object->spec);
}

static void
respond_in_era (SoupServerMessage *message, guint64 response_era, guint status, const gchar *text)
{
  g_autofree gchar *era_text = g_strdup_printf ("%" G_GUINT64_FORMAT, response_era);

  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Store-Era",
                                era_text);
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY, text,
                                    strlen (text));
}

static void
respond (SoupServerMessage *message, guint status, const gchar *text)
{
  respond_in_era (message, era, status, text);
}

/* Appends the deletions of a kind after @position as events. Returns their number. */
static guint
append_deletions (GString *text, const gchar *kind, guint64 position)
{
  guint count = 0;
  guint i;

  for (i = 0; i < deletions->len; i++)
    {
      const Deletion *deletion = g_ptr_array_index (deletions, i);

      if (deletion->revision <= position || strcmp (deletion->kind, kind) != 0)
        continue;
      g_string_append_printf (text,
                              "%s{\"deleted\":true,\"object\":{\"meta\":{\"name\":\"%s\","
                              "\"revision\":%" G_GUINT64_FORMAT "},\"spec\":{}}}",
                              count++ > 0 ? "," : "", deletion->name, deletion->revision);
    }
  return count;
}

/* Appends the objects of a kind that changed after @position, as list items or as events. Returns
 * their number. */
static guint
append_changed (GString *text, const gchar *kind, guint64 position, gboolean events)
{
  /* An object that was written again after its deletion follows that. */
  guint count = events ? append_deletions (text, kind, position) : 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, objects_of_kind (kind));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Object *object = value;

      if (object->revision <= position)
        continue;
      g_string_append (text, count++ > 0 ? "," : "");
      g_string_append (text, events ? "{\"deleted\":false,\"object\":" : "");
      append_object (text, object);
      g_string_append (text, events ? "}" : "");
    }
  return count;
}

static void
respond_list (SoupServerMessage *message, const gchar *kind)
{
  g_autoptr (GString) text = g_string_new ("{\"items\":[");

  append_changed (text, kind, 0, FALSE);
  g_string_append_printf (text, "],\"more\":false,\"store_revision\":%" G_GUINT64_FORMAT "}",
                          revision);
  respond (message, SOUP_STATUS_OK, text->str);
}

/* Returns FALSE if the watch stays pending: nothing has changed and it has not timed out. */
static gboolean
try_respond_watch (SoupServerMessage *message,
                   const gchar *kind,
                   guint64 position,
                   gboolean timed_out)
{
  g_autoptr (GString) text = g_string_new ("{\"events\":[");

  if (position < oldest_revision || position > revision)
    {
      respond (message, STATUS_GONE, "{}");
      return TRUE;
    }
  if (append_changed (text, kind, position, TRUE) == 0 && !timed_out)
    return FALSE;
  g_string_append_printf (text, "],\"store_revision\":%" G_GUINT64_FORMAT "}", revision);
  respond (message, SOUP_STATUS_OK, text->str);
  return TRUE;
}

static void
hold_request (SoupServerMessage *message, const gchar *kind, guint64 position, gint64 deadline_us)
{
  PendingRequest *entry = g_new0 (PendingRequest, 1);

  entry->message = g_object_ref (message);
  entry->kind = g_strdup (kind);
  entry->position = position;
  entry->deadline_us = deadline_us;
  entry->era = era;
  soup_server_message_pause (message);
  g_ptr_array_add (pending, entry);
}

static void
copy_clear (Copy *copy)
{
  g_clear_pointer (&copy->kinds, g_hash_table_unref);
}

static GHashTable *
copy_kinds (GHashTable *original)
{
  GHashTable *copy =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_hash_table_unref);
  GHashTableIter iter, object_iter;
  gpointer kind, objects, value;

  g_hash_table_iter_init (&iter, original);
  while (g_hash_table_iter_next (&iter, &kind, &objects))
    {
      GHashTable *copied = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, object_free);

      g_hash_table_insert (copy, g_strdup (kind), copied);
      g_hash_table_iter_init (&object_iter, objects);
      while (g_hash_table_iter_next (&object_iter, NULL, &value))
        {
          const Object *object = value;
          Object *duplicate = g_new0 (Object, 1);

          duplicate->name = g_strdup (object->name);
          duplicate->spec = g_strdup (object->spec);
          duplicate->revision = object->revision;
          g_hash_table_insert (copied, duplicate->name, duplicate);
        }
    }
  return copy;
}

static void
make_copy_if_due (gint64 now_us)
{
  if (now_us < next_copy_us)
    return;
  next_copy_us = now_us + COPY_INTERVAL_US;
  copy_clear (&copies[1]);
  copies[1] = copies[0];
  copies[0] = (Copy){ copy_kinds (kinds), revision };
}

/* A watch of an earlier era ends late, as if the store had not returned. */
static gboolean
try_respond_stale_watch (const PendingRequest *entry, gint64 now_us)
{
  g_autofree gchar *text = NULL;

  if (entry->era == era || now_us < entry->deadline_us)
    return FALSE;
  text =
      g_strdup_printf ("{\"events\":[],\"store_revision\":%" G_GUINT64_FORMAT "}", entry->position);
  respond_in_era (entry->message, entry->era, SOUP_STATUS_OK, text);
  return TRUE;
}

static gboolean
try_respond (const PendingRequest *entry, gint64 now_us)
{
  if (entry->era != era)
    return try_respond_stale_watch (entry, now_us);
  return try_respond_watch (entry->message, entry->kind, entry->position,
                            now_us >= entry->deadline_us);
}

static gboolean
respond_pending (gpointer data)
{
  gint64 now_us = g_get_monotonic_time ();
  guint i = 0;

  make_copy_if_due (now_us);
  while (i < pending->len)
    {
      PendingRequest *entry = g_ptr_array_index (pending, i);

      if (fault != SK_STORE_FAULT_NONE || entry->kind == NULL || entry->silent ||
          !try_respond (entry, now_us))
        {
          i++;
          continue;
        }
      soup_server_message_unpause (entry->message);
      g_ptr_array_remove_index_fast (pending, i);
    }
  return G_SOURCE_CONTINUE;
}

static void
put_object (const gchar *kind, const gchar *name, const gchar *spec)
{
  Object *object = g_new0 (Object, 1);

  object->name = g_strdup (name);
  object->spec = g_strdup (spec);
  object->revision = ++revision;
  g_hash_table_replace (objects_of_kind (kind), object->name, object);
}

void
sk_store_put (const gchar *kind, const gchar *name, const gchar *spec)
{
  put_object (kind, name, spec);
}

void
sk_store_delete (const gchar *kind, const gchar *name)
{
  Deletion *deletion;

  if (!g_hash_table_remove (objects_of_kind (kind), name))
    return;
  deletion = g_new0 (Deletion, 1);
  deletion->kind = g_strdup (kind);
  deletion->name = g_strdup (name);
  deletion->revision = ++revision;
  g_ptr_array_add (deletions, deletion);
}

/* Returns the rest of @body after @key, or NULL. No JSON parser is needed: the bodies come from the
 * programs under test, whose layout is known. */
static gchar *
find_member (const gchar *body, const gchar *key)
{
  const gchar *found = strstr (body, key);

  return found == NULL ? NULL : g_strdup (found + strlen (key));
}

static void
write_object (SoupServerMessage *message, const gchar *kind, const gchar *body)
{
  g_autofree gchar *name = find_member (body, "\"name\":\"");
  g_autofree gchar *spec = find_member (body, "\"spec\":");
  g_autofree gchar *condition = find_member (body, "\"revision\":");
  const Object *object;

  if (name == NULL || spec == NULL)
    {
      respond (message, SOUP_STATUS_BAD_REQUEST, "{}");
      return;
    }
  name[strcspn (name, "\"")] = '\0';
  spec[strlen (spec) - 1] = '\0';
  object = g_hash_table_lookup (objects_of_kind (kind), name);
  if ((condition == NULL) != (object == NULL) ||
      (object != NULL && g_ascii_strtoull (condition, NULL, 10) != object->revision))
    {
      respond (message, SOUP_STATUS_CONFLICT, "{}");
      return;
    }
  put_object (kind, name, spec);
  if (fault == SK_STORE_FAULT_LOST_WRITE_RESPONSE)
    hold_request (message, NULL, 0, 0);
  else
    {
      g_autoptr (GString) text = g_string_new (NULL);

      append_object (text, g_hash_table_lookup (objects_of_kind (kind), name));
      respond (message, SOUP_STATUS_OK, text->str);
    }
}

static void
read_object (SoupServerMessage *message, const gchar *kind, const gchar *name)
{
  const Object *object = g_hash_table_lookup (objects_of_kind (kind), name);
  g_autoptr (GString) text = g_string_new (NULL);

  if (object != NULL)
    append_object (text, object);
  respond (message, object != NULL ? SOUP_STATUS_OK : SOUP_STATUS_NOT_FOUND,
           object != NULL ? text->str : "{}");
}

static void
handle_request (SoupServerMessage *message, const gchar *path, GHashTable *query)
{
  g_auto (GStrv) path_parts = g_strsplit (path, "/", 5);
  const gchar *method = soup_server_message_get_method (message);
  const gchar *watch = query != NULL ? g_hash_table_lookup (query, "watch") : NULL;
  const gchar *wait_ms = query != NULL ? g_hash_table_lookup (query, "wait_ms") : NULL;
  guint64 position = watch != NULL ? g_ascii_strtoull (watch, NULL, 10) : 0;

  if (g_strv_length (path_parts) < 4)
    respond (message, SOUP_STATUS_NOT_FOUND, "{}");
  else if (strcmp (method, "DELETE") == 0 && path_parts[4] != NULL)
    {
      sk_store_delete (path_parts[3], path_parts[4]);
      respond (message, SOUP_STATUS_OK, "{}");
    }
  else if (strcmp (method, "GET") != 0)
    {
      g_autoptr (GBytes) body =
          soup_message_body_flatten (soup_server_message_get_request_body (message));
      g_autofree gchar *text = g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body));

      write_object (message, path_parts[3], text);
    }
  else if (watch == NULL && path_parts[4] != NULL)
    read_object (message, path_parts[3], path_parts[4]);
  else if (watch == NULL)
    respond_list (message, path_parts[3]);
  else if (!try_respond_watch (message, path_parts[3], position, FALSE))
    hold_request (message, path_parts[3], position,
                  g_get_monotonic_time () +
                      (wait_ms != NULL ? g_ascii_strtoll (wait_ms, NULL, 10) : 0) * WB_US_PER_MS);
}

/* Whether the connection had carried a request when the open connections became silent. */
static gboolean
is_silent (SoupServerMessage *message)
{
  GObject *connection = G_OBJECT (soup_server_message_get_socket (message));
  guint opened = GPOINTER_TO_UINT (g_object_get_data (connection, SILENCE_COUNT_KEY));

  if (opened == 0)
    {
      opened = silence_count + 1;
      g_object_set_data (connection, SILENCE_COUNT_KEY, GUINT_TO_POINTER (opened));
    }
  return opened <= silence_count;
}

void
sk_store_silence_connections (void)
{
  guint i;

  silence_count++;
  for (i = 0; i < pending->len; i++)
    {
      PendingRequest *entry = g_ptr_array_index (pending, i);

      entry->silent = TRUE;
    }
}

static void
request_received (SoupServer *soup,
                  SoupServerMessage *message,
                  const char *path,
                  GHashTable *query,
                  gpointer data)
{
  if (is_silent (message))
    {
      hold_request (message, NULL, 0, 0);
      return;
    }
  switch (fault)
    {
    case SK_STORE_FAULT_UNAVAILABLE:
      respond (message, STATUS_UNAVAILABLE, "{}");
      break;
    case SK_STORE_FAULT_NO_RESPONSE:
      hold_request (message, NULL, 0, 0);
      break;
    case SK_STORE_FAULT_NONE:
    case SK_STORE_FAULT_LOST_WRITE_RESPONSE:
    default:
      handle_request (message, path, query);
      break;
    }
}

void
sk_store_open (void)
{
  g_autofree gchar *host = ww_ipv4_format (SK_STORE_ADDRESS);
  g_autoptr (GSocketAddress) address =
      g_inet_socket_address_new_from_string (host, sk_port_number (SK_PORT_STORE));

  kinds =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_hash_table_unref);
  pending = g_ptr_array_new_with_free_func (pending_request_free);
  deletions = g_ptr_array_new_with_free_func (deletion_free);
  server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, NULL, request_received, NULL, NULL);
  if (!soup_server_listen (server, address, 0, NULL))
    g_error ("soak: the store cannot listen on its port");
  pending_timer = g_timeout_add (20, respond_pending, NULL);
}

void
sk_store_close (void)
{
  g_source_remove (pending_timer);
  g_ptr_array_unref (pending);
  g_ptr_array_unref (deletions);
  soup_server_disconnect (server);
  g_object_unref (server);
  g_hash_table_unref (kinds);
  copy_clear (&copies[0]);
  copy_clear (&copies[1]);
  g_clear_pointer (&config_text, g_free);
}

void
sk_store_return_from_copy (void)
{
  Copy *copy = copies[1].kinds != NULL ? &copies[1] : &copies[0];

  if (copy->kinds == NULL)
    return;
  g_hash_table_unref (kinds);
  kinds = copy_kinds (copy->kinds);
  revision = copy->revision;
  oldest_revision = MIN (oldest_revision, revision);
  while (deletions->len > 0 &&
         ((const Deletion *) g_ptr_array_index (deletions, deletions->len - 1))->revision >
             revision)
    g_ptr_array_set_size (deletions, (gint) deletions->len - 1);
  era++;
}

void
sk_store_rewrite_config (void)
{
  put_object ("config", "main", config_text);
}

void
sk_store_set_fault (SkStoreFault new_fault)
{
  fault = new_fault;
}

void
sk_store_compact (void)
{
  oldest_revision = revision + 1;
  revision++;
}

guint64
sk_store_set_config (guint route_count)
{
  g_autofree gchar *host = ww_ipv4_format (SK_ROUTE_ADDRESS);
  g_autoptr (GString) text = g_string_new (NULL);
  guint moved_service = sk_moved_is_on () ? sk_moved_draw_service () : 0;
  guint i;

  config_version += 3;
  g_string_printf (text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[", config_version);
  /* In the platform's routes, "host" is the service address and "path_prefix" has the port. */
  for (i = 0; i < route_count; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"r%u\",\"host\":\"%s\",\"path_prefix\":\"/%u/\","
                            "\"kind\":\"%s\",\"timeout_ms\":3000,\"target_latency_ms\":200,"
                            "\"priority\":%u,\"service\":\"service-%u\"}",
                            i > 0 ? "," : "", i, host, SK_FIRST_SERVICE_PORT + i,
                            i % 2 == 0 ? "unsafe" : "safe", i % 3, i % SK_SERVICE_COUNT);
  if (sk_moved_is_on ())
    g_string_append_printf (text,
                            ",{\"name\":\"moved\",\"host\":\"%s\",\"path_prefix\":\"/%u/\","
                            "\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":200,"
                            "\"priority\":0,\"service\":\"service-%u\"}",
                            host, SK_MOVED_PORT, moved_service);
  g_string_append (text, "],\"services\":[");
  for (i = 0; i < SK_SERVICE_COUNT; i++)
    g_string_append_printf (text, "%s{\"name\":\"service-%u\"}", i > 0 ? "," : "", i);
  g_string_append (text, "],\"limits\":{\"idle_timeout_ms\":15000}}");
  g_free (config_text);
  config_text = g_strdup (text->str);
  sk_store_rewrite_config ();
  if (sk_moved_is_on ())
    sk_moved_written (moved_service);
  return config_version;
}
