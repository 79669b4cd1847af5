#include "ws-watch.h"

#include "wc-parts.h"

#include <string.h>

/* A change has to be in effect within 5 s, also after the watch's connection has become silent and
 * after an outage. Three watchers then make 1.5 calls a second for the whole fleet, and 24, the
 * most that it has, 12. */
#define DEFAULT_WATCH_TIMEOUT_MS 2000
#define MIN_RETRY_DELAY_US (200 * WB_US_PER_MS)
#define MAX_RETRY_DELAY_US (1 * WB_US_PER_S)
/* Limits the load: the platform sustains about 2,000 reads a second for the whole fleet. */
#define MAX_CONCURRENT_FETCHES 4
/* Wait of a watch that tells whether the configuration has changed: none, but for the time that the
 * store takes to look. */
#define CHECK_TIMEOUT_MS 1

struct WsWatcher
{
  WsStore store;
  WsWatcherCallbacks callbacks;
  WsBackoff backoff;
  gboolean active;
  gboolean read_requested;    /* a read by ws_watcher_read() is due or under way */
  GBytes *start_root;         /* copy of the root that is being checked; NULL for none */
  guint64 start_position;     /* of start_root */
  guint check_timer;          /* until start_root is checked; 0 when it is not running */
  gboolean confirming;        /* the store was asked whether start_root is current */
  guint64 era;                /* of the store's content, as of the last response */
  gboolean call_outstanding;  /* a read, a watch or the fetch of parts */
  gboolean watch_outstanding; /* the outstanding call is a watch */
  gboolean call_has_failed;   /* the last one, so that the next watch does not wait */
  const gchar *call;          /* name of the outstanding call, for the log */
  guint64 call_position;      /* that it names, or 0 */
  gint64 call_sent_us;
  guint retry_timer; /* back-off after a failure; 0 when it is not running */
  const WcConfigFormat *format;
  guint watch_timeout_ms;
  guint64 root_object_version; /* object version of the root read last; 0 reads it again */
  guint64 resume_position;     /* of the next watch; 0 reads the object at once */
  guint64 known_version;       /* newest configuration version reported or set as known */
  GHashTable *known_parts;
  GBytes *root; /* root object of the configuration being fetched */
  WcRoot *parsed_root;
  GPtrArray *missing_parts;
  guint next_part;
  GHashTable *fetches;         /* set of Fetch */
  GError *fetch_error;         /* of the first part that could not be fetched */
  GBytes *new_start;           /* object being compared or written; NULL for none */
  WsStoredFunc start_finished; /* called when new_start is stored or has failed */
  gpointer start_context;
  GBytes *stored_start;         /* what this watcher wrote or read last; NULL for none */
  guint64 stored_start_version; /* object version of stored_start */
  gint64 start_sent_us;         /* of the last call for new_start */
};

typedef struct
{
  WsWatcher *watcher;
  gchar *hash;
} Fetch;

static void start_next_call (WsWatcher *watcher);

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
                const WsWatcherCallbacks *callbacks,
                guint32 seed)
{
  WsWatcher *watcher = g_new0 (WsWatcher, 1);

  watcher->format = format;
  watcher->watch_timeout_ms = DEFAULT_WATCH_TIMEOUT_MS;

  watcher->store = *store;
  watcher->callbacks = *callbacks;
  watcher->known_parts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  watcher->fetches = g_hash_table_new_full (NULL, NULL, fetch_free, NULL);
  ws_backoff_init (&watcher->backoff, MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, seed);
  return watcher;
}

static void
clear_fetched_root (WsWatcher *watcher)
{
  g_clear_pointer (&watcher->root, g_bytes_unref);
  g_clear_pointer (&watcher->missing_parts, g_ptr_array_unref);
  g_clear_pointer (&watcher->parsed_root, wc_root_free);
  watcher->next_part = 0;
  g_clear_error (&watcher->fetch_error);
}

void
ws_watcher_free (WsWatcher *watcher)
{
  if (watcher == NULL)
    return;
  if (watcher->retry_timer != 0)
    g_source_remove (watcher->retry_timer);
  if (watcher->check_timer != 0)
    g_source_remove (watcher->check_timer);
  watcher->store.free (watcher->store.context);
  clear_fetched_root (watcher);
  g_clear_pointer (&watcher->start_root, g_bytes_unref);
  g_clear_pointer (&watcher->new_start, g_bytes_unref);
  g_clear_pointer (&watcher->stored_start, g_bytes_unref);
  g_hash_table_unref (watcher->known_parts);
  g_hash_table_unref (watcher->fetches);
  ws_backoff_clear (&watcher->backoff);
  g_free (watcher);
}

static gboolean
retry_timer_expired (gpointer data)
{
  WsWatcher *watcher = data;

  watcher->retry_timer = 0;
  start_next_call (watcher);
  return G_SOURCE_REMOVE;
}

static void
finish_read (WsWatcher *watcher, gboolean reached)
{
  if (!watcher->read_requested)
    return;
  watcher->read_requested = FALSE;
  watcher->callbacks.read_finished (watcher->callbacks.context, reached);
}

static void
begin_call (WsWatcher *watcher, const gchar *call, guint64 position)
{
  watcher->call = call;
  watcher->call_position = position;
  watcher->call_sent_us = g_get_monotonic_time ();
}

static void
report_failure (WsWatcher *watcher, const WsCallFailure *failure)
{
  if (watcher->callbacks.call_failed != NULL)
    watcher->callbacks.call_failed (watcher->callbacks.context, failure);
}

static void
report_call_failure (WsWatcher *watcher, const GError *error, gint64 retry_us)
{
  WsCallFailure failure = { .call = watcher->call,
                            .error = error,
                            .position = watcher->call_position,
                            .duration_us = g_get_monotonic_time () - watcher->call_sent_us,
                            .retry_us = retry_us };

  report_failure (watcher, &failure);
}

static void
report_start_failure (WsWatcher *watcher, const gchar *call, const GError *error)
{
  WsCallFailure failure = { .call = call,
                            .error = error,
                            .duration_us = g_get_monotonic_time () - watcher->start_sent_us };

  report_failure (watcher, &failure);
}

static void
schedule_retry (WsWatcher *watcher, const GError *error)
{
  gint64 delay_us = ws_backoff_next_us (&watcher->backoff);

  report_call_failure (watcher, error, delay_us);
  watcher->call_has_failed = TRUE;
  watcher->call_outstanding = FALSE;
  watcher->confirming = FALSE;
  if (watcher->retry_timer == 0)
    watcher->retry_timer =
        g_timeout_add ((guint) (delay_us / WB_US_PER_MS), retry_timer_expired, watcher);
  finish_read (watcher, FALSE);
}

static void
root_processed (WsWatcher *watcher)
{
  ws_backoff_reset (&watcher->backoff);
  watcher->call_has_failed = FALSE;
  watcher->call_outstanding = FALSE;
  watcher->confirming = FALSE;
  finish_read (watcher, TRUE);
  start_next_call (watcher);
}

/* Versions and positions of the store's earlier content mean nothing in the new one. */
static void
check_era (WsWatcher *watcher)
{
  guint64 era = watcher->store.era != NULL ? watcher->store.era (watcher->store.context) : 0;
  guint64 previous = watcher->era;

  if (era == previous)
    return;
  watcher->era = era;
  watcher->root_object_version = watcher->resume_position = 0;
  g_clear_pointer (&watcher->start_root, g_bytes_unref);
  g_clear_pointer (&watcher->stored_start, g_bytes_unref);
  if (previous != 0 && watcher->callbacks.era_changed != NULL)
    watcher->callbacks.era_changed (watcher->callbacks.context, previous, era);
}

/* Otherwise the parts of all previous versions would stay in memory. */
static void
drop_unused_parts (WsWatcher *watcher)
{
  g_autoptr (GHashTable) used = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer hash;
  guint i;

  for (i = 0; i < watcher->parsed_root->hashes->len; i++)
    g_hash_table_add (used, g_ptr_array_index (watcher->parsed_root->hashes, i));
  g_hash_table_iter_init (&iter, watcher->known_parts);
  while (g_hash_table_iter_next (&iter, &hash, NULL))
    if (!g_hash_table_contains (used, hash))
      g_hash_table_iter_remove (&iter);
}

/* The check of a copy also confirms the version that is known. */
static gboolean
is_reported (const WsWatcher *watcher)
{
  guint64 version = watcher->parsed_root->last_apply.version;

  return version > watcher->known_version ||
         (version == watcher->known_version && watcher->confirming);
}

static void
report_config (WsWatcher *watcher)
{
  watcher->known_version = watcher->parsed_root->last_apply.version;
  drop_unused_parts (watcher);
  watcher->callbacks.config (watcher->callbacks.context, watcher->known_version, watcher->root,
                             watcher->known_parts);
}

/* After a failure, the parts fetched so far are kept; the next attempt fetches only the others. */
static void
fetches_finished (WsWatcher *watcher)
{
  g_autoptr (GError) error = g_steal_pointer (&watcher->fetch_error);

  /* ws_watcher_set_known_config() may have set a newer version during the fetch. */
  if (error == NULL && is_reported (watcher))
    report_config (watcher);
  clear_fetched_root (watcher);
  if (error == NULL)
    {
      root_processed (watcher);
      return;
    }
  watcher->root_object_version = watcher->resume_position = 0;
  schedule_retry (watcher, error);
}

static void continue_fetches (WsWatcher *watcher);

static void
keep_fetch_error (WsWatcher *watcher, const GError *error)
{
  if (watcher->fetch_error != NULL)
    return;
  watcher->fetch_error = error != NULL ? g_error_copy (error)
                                       : g_error_new_literal (WS_ERROR, WS_ERROR_BAD_RESPONSE,
                                                              "part does not match its hash");
}

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
    keep_fetch_error (watcher, error);
  g_hash_table_remove (watcher->fetches, fetch);
  continue_fetches (watcher);
}

static void
continue_fetches (WsWatcher *watcher)
{
  while (watcher->fetch_error == NULL &&
         g_hash_table_size (watcher->fetches) < MAX_CONCURRENT_FETCHES &&
         watcher->next_part < watcher->missing_parts->len)
    {
      const gchar *hash = g_ptr_array_index (watcher->missing_parts, watcher->next_part++);
      g_autofree gchar *key = g_strconcat (WS_KEY_PARTS, hash, NULL);
      Fetch *fetch = g_new0 (Fetch, 1);

      fetch->watcher = watcher;
      fetch->hash = g_strdup (hash);
      g_hash_table_add (watcher->fetches, fetch);
      watcher->store.get (watcher->store.context, key, part_fetched, fetch);
    }
  if (g_hash_table_size (watcher->fetches) == 0)
    fetches_finished (watcher);
}

/* Reports the configuration of a root object, after its parts have been fetched, unless it is
 * known.
 */
static void
process_root (WsWatcher *watcher, GBytes *root)
{
  g_autoptr (GError) parse_error = NULL;

  watcher->parsed_root = watcher->format->parse_root (root, &parse_error);
  if (watcher->parsed_root == NULL && watcher->callbacks.invalid != NULL)
    watcher->callbacks.invalid (watcher->callbacks.context, parse_error);
  if (watcher->parsed_root == NULL || !is_reported (watcher))
    {
      clear_fetched_root (watcher);
      root_processed (watcher);
      return;
    }
  begin_call (watcher, "parts", 0);
  watcher->root = g_bytes_ref (root);
  watcher->missing_parts = wc_root_missing_parts (watcher->parsed_root, watcher->known_parts);
  continue_fetches (watcher);
}

static void
root_received (gpointer context, const WsObject *object, const GError *error)
{
  WsWatcher *watcher = context;
  gboolean was_watch = watcher->watch_outstanding;

  watcher->watch_outstanding = FALSE;
  check_era (watcher);
  /* The store works, whatever the delay has grown to during an outage. */
  if (error != NULL && error->code == WS_ERROR_HISTORY_COMPACTED)
    {
      watcher->resume_position = 0;
      ws_backoff_reset (&watcher->backoff);
    }
  if (error != NULL && error->code != WS_ERROR_NOT_FOUND)
    {
      schedule_retry (watcher, error);
      return;
    }
  /* A store may end a watch of a missing object at once; back off instead of looping. */
  if (error != NULL && was_watch && !watcher->read_requested)
    {
      schedule_retry (watcher, error);
      return;
    }
  if (object != NULL)
    watcher->resume_position = object->position;
  if (object == NULL || object->version == 0 || object->version == watcher->root_object_version)
    {
      root_processed (watcher);
      return;
    }
  watcher->root_object_version = object->version;
  process_root (watcher, object->value);
}

static void
read_root (WsWatcher *watcher)
{
  g_clear_pointer (&watcher->start_root, g_bytes_unref);
  begin_call (watcher, "read", 0);
  watcher->store.get (watcher->store.context, WS_KEY_ROOT, root_received, watcher);
}

/* The store has told whether the root has changed since it was copied. */
static void
start_checked (gpointer context, const WsObject *object, const GError *error)
{
  g_autoptr (GBytes) root = NULL;
  WsWatcher *watcher = context;

  check_era (watcher);
  root = g_steal_pointer (&watcher->start_root);
  if (error != NULL && error->code == WS_ERROR_UNREACHABLE)
    schedule_retry (watcher, error);
  else if (error != NULL || root == NULL)
    read_root (watcher);
  else if (object != NULL && object->version != 0)
    root_received (watcher, object, NULL);
  else
    {
      if (object != NULL)
        watcher->resume_position = object->position;
      process_root (watcher, root);
    }
}

static gboolean
check_start (gpointer data)
{
  WsWatcher *watcher = data;

  watcher->check_timer = 0;
  watcher->confirming = TRUE;
  begin_call (watcher, "check", watcher->start_position);
  watcher->store.watch (watcher->store.context, WS_KEY_ROOT, watcher->start_position,
                        CHECK_TIMEOUT_MS, start_checked, watcher);
  return G_SOURCE_REMOVE;
}

void
ws_watcher_end_read (WsWatcher *watcher)
{
  if (watcher->check_timer == 0)
    return;
  g_source_remove (watcher->check_timer);
  watcher->check_timer = 0;
  g_clear_pointer (&watcher->start_root, g_bytes_unref);
  root_processed (watcher);
}

static void
start_received (gpointer context, const WsObject *object, const GError *error)
{
  g_auto (WsStart) start = { 0 };
  WsWatcher *watcher = context;
  gint64 delay_us = 0;

  check_era (watcher);
  if (error != NULL && error->code != WS_ERROR_NOT_FOUND)
    {
      schedule_retry (watcher, error);
      return;
    }
  if (object != NULL && ws_start_decode (object->value, &start))
    watcher->start_root = watcher->callbacks.start (watcher->callbacks.context, &start, &delay_us);
  watcher->start_position = start.position;
  if (watcher->start_root == NULL || start.position == 0 || start.era != watcher->era)
    read_root (watcher);
  else if (delay_us > 0)
    watcher->check_timer = g_timeout_add ((guint) (delay_us / WB_US_PER_MS), check_start, watcher);
  else
    check_start (watcher);
}

/* After a failure the position may be of content that the store has lost, and new connections may
 * be silent as well. A watch that does not wait tells at once. */
static void
start_watch (WsWatcher *watcher)
{
  gboolean check = watcher->call_has_failed;

  watcher->watch_outstanding = TRUE;
  begin_call (watcher, check ? "check" : "watch", watcher->resume_position);
  watcher->store.watch (watcher->store.context, WS_KEY_ROOT, watcher->resume_position,
                        check ? CHECK_TIMEOUT_MS : watcher->watch_timeout_ms, root_received,
                        watcher);
}

static void
start_next_call (WsWatcher *watcher)
{
  if (watcher->call_outstanding || watcher->retry_timer != 0)
    return;
  if (watcher->read_requested)
    {
      watcher->call_outstanding = TRUE;
      begin_call (watcher, "read start", 0);
      watcher->store.get (watcher->store.context, WS_KEY_START, start_received, watcher);
    }
  else if (watcher->active)
    {
      watcher->call_outstanding = TRUE;
      start_watch (watcher);
    }
}

void
ws_watcher_set_timeout (WsWatcher *watcher, guint watch_timeout_ms)
{
  watcher->watch_timeout_ms = watch_timeout_ms;
}

void
ws_watcher_set_backoff (WsWatcher *watcher, gint64 first_us, gint64 longest_us)
{
  watcher->backoff.first_us = first_us;
  watcher->backoff.maximum_us = longest_us;
}

void
ws_watcher_set_active (WsWatcher *watcher, gboolean active)
{
  watcher->active = active;
  start_next_call (watcher);
}

void
ws_watcher_read (WsWatcher *watcher)
{
  watcher->read_requested = TRUE;
  start_next_call (watcher);
}

void
ws_watcher_set_known_config (WsWatcher *watcher, guint64 version, GHashTable *parts)
{
  GHashTableIter iter;
  gpointer hash, body;

  if (version < watcher->known_version)
    return;
  watcher->known_version = version;
  if (parts == watcher->known_parts)
    return;
  if (watcher->parsed_root == NULL)
    g_hash_table_remove_all (watcher->known_parts);
  g_hash_table_iter_init (&iter, parts);
  while (g_hash_table_iter_next (&iter, &hash, &body))
    g_hash_table_replace (watcher->known_parts, g_strdup (hash), g_bytes_ref (body));
}

/* @version: object version under which new_start is stored, or 0 when the attempt has failed */
static void
finish_start (WsWatcher *watcher, guint64 version)
{
  WsStoredFunc finished = watcher->start_finished;

  g_clear_pointer (&watcher->stored_start, g_bytes_unref);
  watcher->stored_start = g_steal_pointer (&watcher->new_start);
  watcher->stored_start_version = version;
  if (version == 0)
    g_clear_pointer (&watcher->stored_start, g_bytes_unref);
  watcher->start_finished = NULL;
  if (finished != NULL)
    finished (watcher->start_context, version != 0);
}

static void
start_written (gpointer context, const WsObject *object, const GError *error)
{
  WsWatcher *watcher = context;

  check_era (watcher);
  if (error != NULL)
    report_start_failure (watcher, "write start", error);
  finish_start (watcher, object != NULL ? object->version : 0);
}

static void
write_start (WsWatcher *watcher, guint64 if_version)
{
  watcher->start_sent_us = g_get_monotonic_time ();
  watcher->store.put (watcher->store.context, WS_KEY_START, watcher->new_start, if_version,
                      start_written, watcher);
}

static gboolean
has_same_content (GBytes *stored_text, GBytes *new_text)
{
  g_auto (WsStart) stored = { 0 };
  g_auto (WsStart) new = { 0 };

  return ws_start_decode (stored_text, &stored) && ws_start_decode (new_text, &new) &&
         ws_start_equal (&stored, &new);
}

static void
stored_start_received (gpointer context, const WsObject *object, const GError *error)
{
  WsWatcher *watcher = context;
  gboolean absent = error != NULL && error->code == WS_ERROR_NOT_FOUND;

  check_era (watcher);
  if (object == NULL && !absent)
    {
      report_start_failure (watcher, "read start", error);
      finish_start (watcher, 0);
    }
  else if (object != NULL && has_same_content (object->value, watcher->new_start))
    finish_start (watcher, object->version);
  else
    write_start (watcher, object != NULL ? object->version : 0);
}

/* A watcher that knows what is stored refreshes it without reading first. The copy of the root is
 * at least as new as the root at the position, from which a reader learns of later changes. */
void
ws_watcher_set_start (WsWatcher *watcher,
                      const WsStart *start,
                      gboolean refresh,
                      WsStoredFunc finished,
                      gpointer context)
{
  WsStart positioned = *start;

  if (watcher->new_start != NULL)
    return;
  check_era (watcher);
  positioned.position = watcher->resume_position;
  positioned.era = watcher->era;
  if (positioned.position == 0)
    positioned.config = NULL;
  watcher->new_start = ws_start_encode (&positioned);
  watcher->start_finished = finished;
  watcher->start_context = context;
  if (refresh && watcher->stored_start != NULL &&
      !g_bytes_equal (watcher->stored_start, watcher->new_start))
    write_start (watcher, watcher->stored_start_version);
  else
    {
      watcher->start_sent_us = g_get_monotonic_time ();
      watcher->store.get (watcher->store.context, WS_KEY_START, stored_start_received, watcher);
    }
}
