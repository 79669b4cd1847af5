#include "ws-zones.h"

/* As in ws-watch.c: an evacuation has to be in force within 5 s, also after the connection of the
 * watch has become silent. 8 watchers then make 4 calls a second for the whole fleet. */
#define DEFAULT_WATCH_TIMEOUT_MS 2000
#define MIN_RETRY_DELAY_US (200 * WB_US_PER_MS)
#define MAX_RETRY_DELAY_US (1 * WB_US_PER_S)
/* The operator repeats the writes of the last seconds when the store has returned from a copy. */
#define KEEP_TIME_US (10 * WB_US_PER_S)

struct WsZoneWatcher
{
  WsZoneStore store;
  WsZoneWatcherCallbacks callbacks;
  WsBackoff backoff;
  guint watch_timeout_ms;
  gint64 keep_us;
  gboolean active;
  gboolean read_requested;
  gboolean call_outstanding;
  gboolean call_is_watch;
  gint64 call_sent_us;
  guint64 call_position;
  guint retry_timer; /* back-off after a failure; 0 when it is not running */
  guint64 era;       /* of the last list; 0 before the first one */
  guint64 revision;  /* from which a watch resumes; 0 reads the list */
  GHashTable *zones; /* set of names, as of @revision */
  GHashTable *kept;  /* id to the time until which it is kept (gint64 *) */
};

WsZoneWatcher *
ws_zone_watcher_new (const WsZoneStore *store,
                     const WsZoneWatcherCallbacks *callbacks,
                     guint32 seed)
{
  WsZoneWatcher *watcher = g_new0 (WsZoneWatcher, 1);

  watcher->store = *store;
  watcher->callbacks = *callbacks;
  watcher->watch_timeout_ms = DEFAULT_WATCH_TIMEOUT_MS;
  watcher->keep_us = KEEP_TIME_US;
  watcher->zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  watcher->kept = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  ws_backoff_init (&watcher->backoff, MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, seed);
  return watcher;
}

void
ws_zone_watcher_free (WsZoneWatcher *watcher)
{
  if (watcher == NULL)
    return;
  if (watcher->retry_timer != 0)
    g_source_remove (watcher->retry_timer);
  if (watcher->call_outstanding)
    watcher->store.cancel (watcher->store.context, watcher);
  g_hash_table_unref (watcher->zones);
  g_hash_table_unref (watcher->kept);
  ws_backoff_clear (&watcher->backoff);
  g_free (watcher);
}

static guint32
zone_id (const gchar *name)
{
  return (guint32) wb_name_id (name);
}

static gint
compare_zones (gconstpointer a, gconstpointer b)
{
  const WsZone *left = a;
  const WsZone *right = b;

  return left->id < right->id ? -1 : left->id > right->id;
}

static void
drop_expired (WsZoneWatcher *watcher)
{
  gint64 now_us = g_get_monotonic_time ();
  GHashTableIter iter;
  gpointer until_us;

  g_hash_table_iter_init (&iter, watcher->kept);
  while (g_hash_table_iter_next (&iter, NULL, &until_us))
    if (*(const gint64 *) until_us <= now_us)
      g_hash_table_iter_remove (&iter);
}

static void
report_view (WsZoneWatcher *watcher, const GPtrArray *messages)
{
  g_autoptr (GArray) zones = g_array_new (FALSE, FALSE, sizeof (WsZone));
  WsZoneView view = {
    .era = watcher->era, .revision = watcher->revision, .zones = zones, .messages = messages
  };
  GHashTableIter iter;
  gpointer key;

  drop_expired (watcher);
  g_hash_table_iter_init (&iter, watcher->zones);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      WsZone zone = { .id = zone_id (key), .name = key };

      g_array_append_val (zones, zone);
    }
  g_hash_table_iter_init (&iter, watcher->kept);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      WsZone zone = { .id = GPOINTER_TO_UINT (key), .kept = TRUE };

      g_array_append_val (zones, zone);
    }
  g_array_sort (zones, compare_zones);
  watcher->callbacks.view (watcher->callbacks.context, &view);
}

/* Zones in force that the list lacks were either lost with the store's latest writes or withdrawn
 * while this process did not watch; the operator's next writes tell. A store in its first era has
 * lost nothing. */
static void
keep_zones_in_force (WsZoneWatcher *watcher)
{
  guint32 ids[WS_MAX_KEPT_ZONES];
  guint count = watcher->callbacks.in_force (watcher->callbacks.context, ids, G_N_ELEMENTS (ids));
  gint64 until_us = g_get_monotonic_time () + watcher->keep_us;
  guint i;

  for (i = 0; i < count; i++)
    g_hash_table_replace (watcher->kept, GUINT_TO_POINTER (ids[i]),
                          g_memdup2 (&until_us, sizeof until_us));
}

static void
apply_entries (WsZoneWatcher *watcher, const GArray *entries)
{
  guint i;

  for (i = 0; i < entries->len; i++)
    {
      const WsZoneEntry *entry = &g_array_index (entries, WsZoneEntry, i);

      /* What the store tells of a zone, be it a deletion, goes before what was in force. */
      g_hash_table_remove (watcher->kept, GUINT_TO_POINTER (zone_id (entry->name)));
      if (entry->present)
        g_hash_table_add (watcher->zones, g_strdup (entry->name));
      else
        g_hash_table_remove (watcher->zones, entry->name);
    }
}

static void
apply_list (WsZoneWatcher *watcher, const WsZones *zones)
{
  gboolean first_of_era = zones->era != watcher->era;

  watcher->era = zones->era;
  g_hash_table_remove_all (watcher->zones);
  if (first_of_era && zones->era > 1)
    keep_zones_in_force (watcher);
  apply_entries (watcher, zones->entries);
}

static void start_next_call (WsZoneWatcher *watcher);

static gboolean
retry_timer_expired (gpointer data)
{
  WsZoneWatcher *watcher = data;

  watcher->retry_timer = 0;
  start_next_call (watcher);
  return G_SOURCE_REMOVE;
}

static void
retry_later (WsZoneWatcher *watcher, const GError *error)
{
  WsCallFailure failure = { .call = watcher->call_is_watch ? "watch zones" : "list zones",
                            .error = error,
                            .position = watcher->call_position,
                            .duration_us = g_get_monotonic_time () - watcher->call_sent_us };

  /* The store works, whatever the delay has grown to during an outage. */
  if (error->code == WS_ERROR_HISTORY_COMPACTED)
    ws_backoff_reset (&watcher->backoff);
  watcher->revision = 0;
  failure.retry_us = ws_backoff_next_us (&watcher->backoff);
  watcher->retry_timer =
      g_timeout_add ((guint) (failure.retry_us / WB_US_PER_MS), retry_timer_expired, watcher);
  if (watcher->callbacks.call_failed != NULL)
    watcher->callbacks.call_failed (watcher->callbacks.context, &failure);
}

static void
zones_received (gpointer context, const WsZones *zones, const GError *error)
{
  WsZoneWatcher *watcher = context;

  watcher->call_outstanding = FALSE;
  if (error != NULL)
    {
      retry_later (watcher, error);
      return;
    }
  ws_backoff_reset (&watcher->backoff);
  /* The list was asked for anew while the call was under way, or is due because of the era. */
  if (watcher->call_is_watch &&
      (watcher->revision == 0 || (zones != NULL && zones->era != watcher->era)))
    {
      watcher->revision = 0;
      start_next_call (watcher);
      return;
    }
  if (zones != NULL && watcher->call_is_watch)
    apply_entries (watcher, zones->entries);
  else if (zones != NULL)
    apply_list (watcher, zones);
  if (zones != NULL)
    watcher->revision = MAX (watcher->revision, zones->revision);
  watcher->read_requested &= watcher->call_is_watch;
  report_view (watcher, zones != NULL ? zones->messages : NULL);
  start_next_call (watcher);
}

/* Another user of the store may have learned of a new era, in which the revision names other
 * content. */
static void
check_era (WsZoneWatcher *watcher)
{
  if (watcher->store.era (watcher->store.context) != watcher->era)
    watcher->revision = 0;
}

static void
start_next_call (WsZoneWatcher *watcher)
{
  if (watcher->call_outstanding || watcher->retry_timer != 0 ||
      !(watcher->active || watcher->read_requested))
    return;
  check_era (watcher);
  watcher->call_outstanding = TRUE;
  watcher->call_is_watch = watcher->revision != 0 && !watcher->read_requested;
  watcher->call_position = watcher->call_is_watch ? watcher->revision : 0;
  watcher->call_sent_us = g_get_monotonic_time ();
  if (watcher->call_is_watch)
    watcher->store.watch (watcher->store.context, watcher->revision, watcher->watch_timeout_ms,
                          zones_received, watcher);
  else
    watcher->store.list (watcher->store.context, zones_received, watcher);
}

void
ws_zone_watcher_set_timeout (WsZoneWatcher *watcher, guint timeout_ms)
{
  watcher->watch_timeout_ms = timeout_ms;
}

void
ws_zone_watcher_set_backoff (WsZoneWatcher *watcher, gint64 first_us, gint64 longest_us)
{
  watcher->backoff.first_us = first_us;
  watcher->backoff.maximum_us = longest_us;
}

void
ws_zone_watcher_set_keep_time (WsZoneWatcher *watcher, gint64 keep_us)
{
  watcher->keep_us = keep_us;
}

void
ws_zone_watcher_set_active (WsZoneWatcher *watcher, gboolean active)
{
  watcher->active = active;
  start_next_call (watcher);
}

/* The list counts as the first one of its era again, which keeps the zones in force. */
void
ws_zone_watcher_read (WsZoneWatcher *watcher)
{
  watcher->read_requested = TRUE;
  watcher->revision = 0;
  watcher->era = 0;
  start_next_call (watcher);
}

void
ws_zone_watcher_end_read (WsZoneWatcher *watcher)
{
  watcher->read_requested = FALSE;
}
