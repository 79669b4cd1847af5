#include "wd-evacuation.h"

#include "wb-log.h"
#include "ws-zones.h"

/* A starting process serves without a view after this time, because the store may be down for long.
 * From then on only the processes that watch call the store. */
#define START_WAIT_US (2 * WB_US_PER_S)
/* Time in which a starting process hears from the members, which it asks every 250 ms, before it
 * passes an empty list on. */
#define HEAR_MEMBERS_US (500 * WB_US_PER_MS)
/* Log lines about the entries of one response; the counter has the number of all. */
#define ENTRY_MESSAGES_MAX 8

enum
{
  COUNTER_VIEWS,
  COUNTER_ENTRIES_INVALID,
  COUNTER_ZONES_KEPT,
  COUNTER_ZONES_UNKNOWN,
  N_COUNTERS,
};

static const WbCounterDef counter_definitions[N_COUNTERS] = {
  { "daemon_evacuation_views", "Lists and watches of the evacuations that the store answered." },
  { "daemon_evacuation_entries_invalid", "Evacuations, or members of them, that were left out "
                                         "because they could not be understood." },
  { "daemon_evacuation_zones_kept", "Evacuated zones kept for a while although the store's first "
                                    "list of a new era lacked them." },
  { "daemon_evacuation_zones_unknown", "Evacuations of zones that no member is in." },
};

struct WdEvacuation
{
  WmNode *member;
  WsZoneWatcher *watcher; /* NULL without a platform that has evacuations */
  WbCounters *counters;
  gint64 start_wait_end_us;   /* WB_NEVER when it is over */
  gint64 hear_members_end_us; /* WB_NEVER while no empty list is held back */
  gboolean heard_members;     /* no empty list is held back any more */
  gboolean settled;
  gboolean watching;
  guint kept;                /* kept zones of the last view */
  GHashTable *unknown_zones; /* set of ids that have been logged */
};

static void
log_messages (WdEvacuation *evacuation, const GPtrArray *messages)
{
  guint i;

  if (messages == NULL)
    return;
  wb_counters_add (evacuation->counters, COUNTER_ENTRIES_INVALID, messages->len);
  for (i = 0; i < MIN (messages->len, ENTRY_MESSAGES_MAX); i++)
    wb_log_error ("evacuation_entry_invalid", WB_NUMBER ("entries", messages->len),
                  WB_TEXT ("error", g_ptr_array_index (messages, i)));
}

static void
log_kept_zones (WdEvacuation *evacuation, const WsZoneView *view)
{
  guint kept = 0;
  guint i;

  for (i = 0; i < view->zones->len; i++)
    kept += g_array_index (view->zones, WsZone, i).kept;
  if (kept > evacuation->kept)
    wb_counters_add (evacuation->counters, COUNTER_ZONES_KEPT, kept - evacuation->kept);
  if (kept != evacuation->kept)
    wb_log_info ("evacuations_kept", WB_NUMBER ("era", view->era),
                 WB_NUMBER ("revision", view->revision), WB_NUMBER ("zones", kept));
  evacuation->kept = kept;
}

/* (transfer full): set of the ids of the zones that members are in */
static GHashTable *
zones_of_members (const WmNode *member)
{
  g_autoptr (GArray) members = wm_node_members (member);
  GHashTable *zones = g_hash_table_new (NULL, NULL);
  guint i;

  for (i = 0; i < members->len; i++)
    g_hash_table_add (zones, GUINT_TO_POINTER (g_array_index (members, ww_member, i).zone));
  return zones;
}

/* A name that is written wrongly evacuates nothing, which the operator has to learn. */
static void
log_unknown_zone (WdEvacuation *evacuation, const WsZone *zone)
{
  if (!wm_node_members_complete (evacuation->member) ||
      !g_hash_table_add (evacuation->unknown_zones, GUINT_TO_POINTER (zone->id)))
    return;
  wb_counters_add (evacuation->counters, COUNTER_ZONES_UNKNOWN, 1);
  wb_log_error ("evacuation_zone_unknown", WB_TEXT ("zone", zone->name != NULL ? zone->name : "?"));
}

/* Appends the zones of the view that members are in, or the others. Zones beyond the limit of a
 * message are left out. */
static void
append_zones (WdEvacuation *evacuation,
              const WsZoneView *view,
              GHashTable *known,
              gboolean want_known,
              ww_evacuation *result)
{
  guint i;

  for (i = 0; i < view->zones->len; i++)
    {
      const WsZone *zone = &g_array_index (view->zones, WsZone, i);
      gboolean is_known = g_hash_table_contains (known, GUINT_TO_POINTER (zone->id));

      if (is_known != want_known)
        continue;
      if (!is_known)
        log_unknown_zone (evacuation, zone);
      if (result->zones.zones_len < WW_MAX_EVACUATED_ZONES)
        result->zones.zones_val[result->zones.zones_len++] = zone->id;
      else
        wb_log_error ("evacuation_beyond_limit", WB_NUMBER ("limit", WW_MAX_EVACUATED_ZONES),
                      WB_TEXT ("zone", zone->name != NULL ? zone->name : "?"));
    }
}

/* Zones that members are in go first, so that entries with wrong names do not use up the room. */
static void
offer_view (WdEvacuation *evacuation, const WsZoneView *view)
{
  g_autoptr (GHashTable) known = zones_of_members (evacuation->member);
  guint32 ids[WW_MAX_EVACUATED_ZONES];
  ww_evacuation offered = { .era = view->era,
                            .revision = view->revision,
                            .zones = { .zones_val = ids } };

  append_zones (evacuation, view, known, TRUE, &offered);
  append_zones (evacuation, view, known, FALSE, &offered);
  wm_node_offer_evacuation (evacuation->member, &offered, g_get_monotonic_time ());
}

/* A store that has returned from an older copy may have lost an evacuation that only members still
 * know. An empty list that a process reads before it has heard from them would end it. The process
 * need not wait to serve: if no member has a view either, nothing is evacuated. */
static gboolean
is_held_back (WdEvacuation *evacuation, const WsZoneView *view)
{
  if (evacuation->hear_members_end_us != WB_NEVER)
    return TRUE;
  if (evacuation->heard_members || view->era <= 1 || view->zones->len > 0 ||
      wm_node_has_evacuation_view (evacuation->member))
    return FALSE;
  evacuation->hear_members_end_us = g_get_monotonic_time () + HEAR_MEMBERS_US;
  return TRUE;
}

static void
view_received (gpointer context, const WsZoneView *view)
{
  WdEvacuation *evacuation = context;

  wb_counters_add (evacuation->counters, COUNTER_VIEWS, 1);
  log_messages (evacuation, view->messages);
  if (is_held_back (evacuation, view))
    return;
  log_kept_zones (evacuation, view);
  offer_view (evacuation, view);
}

static guint
copy_zones_in_force (gpointer context, guint32 *zones, guint max)
{
  const WdEvacuation *evacuation = context;
  const ww_evacuation *view = wm_node_evacuation (evacuation->member);
  guint i;

  for (i = 0; i < MIN (view->zones.zones_len, max); i++)
    zones[i] = view->zones.zones_val[i];
  return i;
}

/* A store that does not know the kind holds no evacuations, so that nobody waits for them. */
static void
call_failed (gpointer context, const WsCallFailure *failure)
{
  WdEvacuation *evacuation = context;

  evacuation->settled |= failure->error->code == WS_ERROR_NOT_FOUND;
  wb_log_info ("platform_call_failed", WB_TEXT ("call", failure->call),
               WB_TEXT ("error", failure->error->message),
               WB_NUMBER ("waited_ms", failure->duration_us / WB_US_PER_MS),
               WB_NUMBER ("retry_ms", failure->retry_us / WB_US_PER_MS),
               WB_NUMBER ("position", failure->position));
}

static WsZoneWatcher *
create_watcher (WdEvacuation *evacuation, const WcSettings *settings, WsClient *client)
{
  WsZoneWatcherCallbacks callbacks = { .context = evacuation,
                                       .view = view_received,
                                       .in_force = copy_zones_in_force,
                                       .call_failed = call_failed };
  WsZoneStore store = ws_client_zone_store (client);
  WsZoneWatcher *watcher = ws_zone_watcher_new (&store, &callbacks, g_random_int ());

  ws_zone_watcher_set_timeout (watcher,
                               (guint) (settings->platform_watch_timeout_us / WB_US_PER_MS));
  ws_zone_watcher_read (watcher);
  return watcher;
}

WdEvacuation *
wd_evacuation_new (const WcSettings *settings, WmNode *member, WsClient *client, gint64 now_us)
{
  WdEvacuation *evacuation;

  if (!settings->evacuations)
    return NULL;
  evacuation = g_new0 (WdEvacuation, 1);
  evacuation->member = member;
  evacuation->counters = wb_counters_new (counter_definitions, N_COUNTERS);
  evacuation->unknown_zones = g_hash_table_new (NULL, NULL);
  evacuation->start_wait_end_us = now_us + START_WAIT_US;
  evacuation->hear_members_end_us = WB_NEVER;
  wm_node_enable_evacuations (member);
  if (client != NULL && ws_client_lists_zones (client))
    evacuation->watcher = create_watcher (evacuation, settings, client);
  else
    wb_log_error ("evacuations_not_read", WB_TEXT ("error", "no platform that has evacuations"));
  return evacuation;
}

void
wd_evacuation_free (WdEvacuation *evacuation)
{
  if (evacuation == NULL)
    return;
  ws_zone_watcher_free (evacuation->watcher);
  g_hash_table_unref (evacuation->unknown_zones);
  wb_counters_free (evacuation->counters);
  g_free (evacuation);
}

void
wd_evacuation_members_changed (WdEvacuation *evacuation)
{
  gboolean watching;

  if (evacuation == NULL || evacuation->watcher == NULL)
    return;
  watching = wm_node_watches_zones (evacuation->member);
  if (watching == evacuation->watching)
    return;
  evacuation->watching = watching;
  wb_log_info ("watching_evacuations_changed", WB_NUMBER ("watching", watching));
  ws_zone_watcher_set_active (evacuation->watcher, watching);
}

/* The list is read again: its lack of a zone that members know counts only now. */
static void
end_holding_back (WdEvacuation *evacuation)
{
  evacuation->hear_members_end_us = WB_NEVER;
  evacuation->heard_members = TRUE;
  ws_zone_watcher_read (evacuation->watcher);
}

static void
end_start_wait (WdEvacuation *evacuation)
{
  evacuation->start_wait_end_us = WB_NEVER;
  evacuation->heard_members |= evacuation->hear_members_end_us == WB_NEVER;
  if (evacuation->watcher != NULL)
    ws_zone_watcher_end_read (evacuation->watcher);
  if (evacuation->settled)
    return;
  evacuation->settled = TRUE;
  wb_log_error ("evacuations_not_known", WB_NUMBER ("waited_ms", START_WAIT_US / WB_US_PER_MS));
}

static gboolean
has_view (const WdEvacuation *evacuation)
{
  return wm_node_has_evacuation_view (evacuation->member);
}

void
wd_evacuation_tick (WdEvacuation *evacuation, gint64 now_us)
{
  if (evacuation == NULL)
    return;
  evacuation->settled |= has_view (evacuation) || evacuation->hear_members_end_us != WB_NEVER;
  if (evacuation->hear_members_end_us != WB_NEVER &&
      (has_view (evacuation) || now_us >= evacuation->hear_members_end_us))
    end_holding_back (evacuation);
  if (now_us >= evacuation->start_wait_end_us)
    end_start_wait (evacuation);
}

gint64
wd_evacuation_next_us (const WdEvacuation *evacuation)
{
  gboolean waiting;

  if (evacuation == NULL)
    return WB_NEVER;
  waiting = !evacuation->settled || evacuation->hear_members_end_us != WB_NEVER;
  if (waiting && has_view (evacuation))
    return 0;
  if (!evacuation->settled && evacuation->hear_members_end_us != WB_NEVER)
    return 0;
  return MIN (evacuation->start_wait_end_us, evacuation->hear_members_end_us);
}

gboolean
wd_evacuation_is_settled (const WdEvacuation *evacuation)
{
  return evacuation == NULL || evacuation->settled;
}

void
wd_evacuation_append_metrics (const WdEvacuation *evacuation, GString *text)
{
  if (evacuation != NULL)
    wb_counters_append_text (evacuation->counters, text);
}
