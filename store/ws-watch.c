#include "ws-watch.h"

#include "wc-parts.h"
#include "wc-value.h"
#include "ww-sock.h"

#include <string.h>

/* A change has to be in effect within 5 s, also when the connection of the watch has gone silent or
 * an outage has just ended. Three watchers then make 1.5 calls a second for the whole fleet. */
#define DEFAULT_WATCH_MS 2000
#define FIRST_RETRY_US (200 * WB_US_PER_MS)
#define MAX_RETRY_US (1 * WB_US_PER_S)
/* The platform sustains about 2,000 reads a second for the whole fleet. */
#define MAX_FETCHES 4
#define MAX_CONTACTS 64

struct WsWatcher
{
  WsStore store;
  WsWatcherCallbacks callbacks;
  WsBackoff backoff;
  gboolean active;
  gboolean asking;   /* ws_watcher_read() has not ended */
  gboolean busy;     /* a read, a watch or a fetch is under way */
  gboolean watching; /* the call under way is a watch */
  guint timer;       /* pause after a failure */
  const WcConfigFormat *format;
  WcDecoder *decoder;
  guint watch_ms;
  guint64 object_version;
  guint64 position; /* where the next watch continues; 0 reads the object */
  guint64 known_version;
  GHashTable *known_parts;
  GBytes *root; /* of the configuration being fetched */
  WcRoot *parsed;
  GPtrArray *missing;
  guint next_part;
  GHashTable *fetches; /* set of Fetch */
  gboolean fetch_failed;
  GBytes *new_contacts; /* being written */
};

typedef struct
{
  WsWatcher *watcher;
  gchar *hash;
} Fetch;

static void proceed (WsWatcher *watcher);

static void
fetch_free (gpointer data)
{
  Fetch *fetch = data;

  g_free (fetch->hash);
  g_free (fetch);
}

WsWatcher *
ws_watcher_new (const WsStore *store,
                const WcConfigFormat *format,
                WcDecoder *decoder,
                const WsWatcherCallbacks *callbacks,
                guint32 seed)
{
  WsWatcher *watcher = g_new0 (WsWatcher, 1);

  watcher->format = format;
  watcher->decoder = decoder;
  watcher->watch_ms = DEFAULT_WATCH_MS;

  watcher->store = *store;
  watcher->callbacks = *callbacks;
  watcher->known_parts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  watcher->fetches = g_hash_table_new_full (NULL, NULL, fetch_free, NULL);
  ws_backoff_init (&watcher->backoff, FIRST_RETRY_US, MAX_RETRY_US, seed);
  return watcher;
}

static void
clear_fetch (WsWatcher *watcher)
{
  g_clear_pointer (&watcher->root, g_bytes_unref);
  g_clear_pointer (&watcher->missing, g_ptr_array_unref);
  g_clear_pointer (&watcher->parsed, wc_root_free);
  watcher->next_part = 0;
  watcher->fetch_failed = FALSE;
}

void
ws_watcher_free (WsWatcher *watcher)
{
  if (watcher == NULL)
    return;
  if (watcher->timer != 0)
    g_source_remove (watcher->timer);
  watcher->store.free (watcher->store.context);
  clear_fetch (watcher);
  g_clear_pointer (&watcher->new_contacts, g_bytes_unref);
  g_hash_table_unref (watcher->known_parts);
  g_hash_table_unref (watcher->fetches);
  ws_backoff_clear (&watcher->backoff);
  g_free (watcher);
}

static gboolean
pause_over (gpointer data)
{
  WsWatcher *watcher = data;

  watcher->timer = 0;
  proceed (watcher);
  return G_SOURCE_REMOVE;
}

static void
end_asking (WsWatcher *watcher, gboolean answered)
{
  if (!watcher->asking)
    return;
  watcher->asking = FALSE;
  watcher->callbacks.read_finished (watcher->callbacks.context, answered);
}

static void
pause_after_failure (WsWatcher *watcher)
{
  gint64 delay_us = ws_backoff_next_us (&watcher->backoff);

  watcher->busy = FALSE;
  if (watcher->timer == 0)
    watcher->timer = g_timeout_add ((guint) (delay_us / WB_US_PER_MS), pause_over, watcher);
  end_asking (watcher, FALSE);
}

static gboolean
read_contact (const WcValue *node, WcAddress *contact)
{
  return node->kind == WC_VALUE_STRING &&
         ww_address_parse (node->text, &contact->address, &contact->port);
}

static void
report_contacts (WsWatcher *watcher, GBytes *value)
{
  gsize length;
  const gchar *text = g_bytes_get_data (value, &length);
  gchar *file = g_ref_string_new (WS_KEY_CONTACTS);
  g_autoptr (WcValue) document = wc_json_parse (file, text, length, NULL);
  const WcValue *array = document != NULL ? wc_value_find (document, "contacts") : NULL;
  WcAddress contacts[MAX_CONTACTS];
  guint count = 0;
  guint i;

  g_ref_string_release (file);
  if (array == NULL || array->kind != WC_VALUE_ARRAY)
    return;
  for (i = 0; i < array->children->len && count < MAX_CONTACTS; i++)
    if (read_contact (g_ptr_array_index (array->children, i), &contacts[count]))
      count++;
  watcher->callbacks.contacts (watcher->callbacks.context, contacts, count);
}

static void
contacts_read (gpointer context, const WsObject *object, const GError *error)
{
  WsWatcher *watcher = context;

  watcher->busy = FALSE;
  if (object != NULL)
    report_contacts (watcher, object->value);
  end_asking (watcher, TRUE);
  proceed (watcher);
}

/* The root has been dealt with; reads the contacts too when ws_watcher_read() asked for them. */
static void
root_done (WsWatcher *watcher)
{
  ws_backoff_reset (&watcher->backoff);
  if (watcher->asking)
    {
      watcher->store.get (watcher->store.context, WS_KEY_CONTACTS, contacts_read, watcher);
      return;
    }
  watcher->busy = FALSE;
  proceed (watcher);
}

/* Without this, the parts of every version seen would stay in memory. */
static void
drop_unused_parts (WsWatcher *watcher)
{
  g_autoptr (GHashTable) used = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer hash;
  guint i;

  for (i = 0; i < watcher->parsed->hashes->len; i++)
    g_hash_table_add (used, g_ptr_array_index (watcher->parsed->hashes, i));
  g_hash_table_iter_init (&iter, watcher->known_parts);
  while (g_hash_table_iter_next (&iter, &hash, NULL))
    if (!g_hash_table_contains (used, hash))
      g_hash_table_iter_remove (&iter);
}

static void
report_config (WsWatcher *watcher)
{
  watcher->known_version = watcher->parsed->last.version;
  drop_unused_parts (watcher);
  watcher->callbacks.config (watcher->callbacks.context, watcher->known_version, watcher->root,
                             watcher->known_parts);
}

/* Parts fetched so far are kept, so that the next attempt fetches only the others. */
static void
fetch_ended (WsWatcher *watcher)
{
  gboolean failed = watcher->fetch_failed;

  /* A newer version may have come through ws_watcher_set_known() during the fetch. */
  if (!failed && watcher->parsed->last.version > watcher->known_version)
    report_config (watcher);
  clear_fetch (watcher);
  if (!failed)
    {
      root_done (watcher);
      return;
    }
  watcher->object_version = watcher->position = 0;
  pause_after_failure (watcher);
}

static void fetch_more (WsWatcher *watcher);

static void
part_fetched (gpointer context, const WsObject *object, const GError *error)
{
  Fetch *fetch = context;
  WsWatcher *watcher = fetch->watcher;
  g_autofree gchar *actual = object != NULL ? wc_part_hash (object->value) : NULL;

  if (object != NULL && strcmp (fetch->hash, actual) == 0)
    g_hash_table_insert (watcher->known_parts, g_steal_pointer (&actual),
                         g_bytes_ref (object->value));
  else
    watcher->fetch_failed = TRUE;
  g_hash_table_remove (watcher->fetches, fetch);
  fetch_more (watcher);
}

static void
fetch_more (WsWatcher *watcher)
{
  while (!watcher->fetch_failed && g_hash_table_size (watcher->fetches) < MAX_FETCHES &&
         watcher->next_part < watcher->missing->len)
    {
      const gchar *hash = g_ptr_array_index (watcher->missing, watcher->next_part++);
      g_autofree gchar *key = g_strconcat (WS_KEY_PARTS, hash, NULL);
      Fetch *fetch = g_new0 (Fetch, 1);

      fetch->watcher = watcher;
      fetch->hash = g_strdup (hash);
      g_hash_table_add (watcher->fetches, fetch);
      watcher->store.get (watcher->store.context, key, part_fetched, fetch);
    }
  if (g_hash_table_size (watcher->fetches) == 0)
    fetch_ended (watcher);
}

static void
root_read (gpointer context, const WsObject *object, const GError *error)
{
  WsWatcher *watcher = context;
  gboolean was_watching = watcher->watching;
  g_autoptr (GError) parse_error = NULL;

  watcher->watching = FALSE;
  if (error != NULL && error->code == WS_ERROR_HISTORY_COMPACTED)
    watcher->position = 0;
  if (error != NULL && error->code != WS_ERROR_NOT_FOUND)
    {
      pause_after_failure (watcher);
      return;
    }
  /* A store that answers a watch of a missing object at once must not be asked without pause. */
  if (error != NULL && was_watching && !watcher->asking)
    {
      pause_after_failure (watcher);
      return;
    }
  if (object != NULL)
    watcher->position = object->position;
  if (object == NULL || object->version == 0 || object->version == watcher->object_version)
    {
      root_done (watcher);
      return;
    }
  watcher->object_version = object->version;
  watcher->parsed = watcher->format->parse_root (watcher->decoder, object->value, &parse_error);
  if (watcher->parsed == NULL && watcher->callbacks.invalid != NULL)
    watcher->callbacks.invalid (watcher->callbacks.context, parse_error);
  if (watcher->parsed == NULL || watcher->parsed->last.version <= watcher->known_version)
    {
      clear_fetch (watcher);
      root_done (watcher);
      return;
    }
  watcher->root = g_bytes_ref (object->value);
  watcher->missing = wc_root_missing (watcher->parsed, watcher->known_parts);
  fetch_more (watcher);
}

static void
proceed (WsWatcher *watcher)
{
  if (watcher->busy || watcher->timer != 0)
    return;
  if (watcher->asking)
    {
      watcher->busy = TRUE;
      watcher->store.get (watcher->store.context, WS_KEY_ROOT, root_read, watcher);
    }
  else if (watcher->active)
    {
      watcher->busy = TRUE;
      watcher->watching = TRUE;
      watcher->store.watch (watcher->store.context, WS_KEY_ROOT, watcher->position,
                            watcher->watch_ms, root_read, watcher);
    }
}

void
ws_watcher_set_timeout (WsWatcher *watcher, guint watch_ms)
{
  watcher->watch_ms = watch_ms;
}

void
ws_watcher_set_active (WsWatcher *watcher, gboolean active)
{
  watcher->active = active;
  proceed (watcher);
}

void
ws_watcher_read (WsWatcher *watcher)
{
  watcher->asking = TRUE;
  proceed (watcher);
}

void
ws_watcher_set_known (WsWatcher *watcher, guint64 version, GHashTable *parts)
{
  GHashTableIter iter;
  gpointer hash, body;

  if (version < watcher->known_version)
    return;
  watcher->known_version = version;
  if (parts == watcher->known_parts)
    return;
  if (watcher->parsed == NULL)
    g_hash_table_remove_all (watcher->known_parts);
  g_hash_table_iter_init (&iter, parts);
  while (g_hash_table_iter_next (&iter, &hash, &body))
    g_hash_table_replace (watcher->known_parts, g_strdup (hash), g_bytes_ref (body));
}

static void
contacts_written (gpointer context, const WsObject *object, const GError *error)
{
  WsWatcher *watcher = context;

  g_clear_pointer (&watcher->new_contacts, g_bytes_unref);
}

static void
contacts_compared (gpointer context, const WsObject *object, const GError *error)
{
  WsWatcher *watcher = context;
  gboolean absent = error != NULL && error->code == WS_ERROR_NOT_FOUND;

  if ((object == NULL && !absent) ||
      (object != NULL && g_bytes_equal (object->value, watcher->new_contacts)))
    contacts_written (watcher, NULL, NULL);
  else
    watcher->store.put (watcher->store.context, WS_KEY_CONTACTS, watcher->new_contacts,
                        object != NULL ? object->version : 0, contacts_written, watcher);
}

void
ws_watcher_set_contacts (WsWatcher *watcher, const WcAddress *contacts, guint count)
{
  GString *text = g_string_new ("{\"contacts\":[");
  guint i;

  for (i = 0; i < MIN (count, MAX_CONTACTS); i++)
    {
      g_autofree gchar *address = ww_address_format (contacts[i].address, contacts[i].port);

      g_string_append_printf (text, "%s\"%s\"", i > 0 ? "," : "", address);
    }
  g_string_append (text, "]}");
  if (watcher->new_contacts != NULL)
    {
      g_string_free (text, TRUE);
      return;
    }
  watcher->new_contacts = g_string_free_to_bytes (text);
  watcher->store.get (watcher->store.context, WS_KEY_CONTACTS, contacts_compared, watcher);
}
