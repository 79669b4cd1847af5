#pragma once

#include "ws-codec.h"
#include "ws-watch.h"

/**
 * DOC: Follows the evacuations of availability zones in the object store.
 *
 * A list gives all of them, and a watch from its revision each later change. Every response is
 * linearizable, so that a view with a higher era, or a higher revision of the same era, is a later
 * one. The store may return from an older copy and lose evacuations until the operator has written
 * them again; zones that were being evacuated then stay in the view for a while.
 */

/** Number of zones, from a list of a new era, that can be kept. */
#define WS_MAX_KEPT_ZONES 64

/**
 * struct WsZone - a zone to be evacuated
 * @id: low 32 bits of the wb_name_id() of its name
 * @name: (nullable): NULL when only the id is known, from other members
 * @kept: missing from the list of a new era, and kept for a while
 */
typedef struct
{
  guint32 id;
  const gchar *name;
  gboolean kept;
} WsZone;

/**
 * struct WsZoneView - the zones to be evacuated as of a revision
 * @zones: array of WsZone, sorted by id
 * @messages: (nullable): array of strings, entries of the last response that were not understood
 */
typedef struct
{
  guint64 era;
  guint64 revision;
  GArray *zones;
  const GPtrArray *messages;
} WsZoneView;

/**
 * struct WsZoneWatcherCallbacks - output of a watcher
 * @view: a list or a watch has succeeded; @view is valid during the call
 * @in_force: fills in the ids of up to @max zones that are being evacuated, and returns their
 * number
 * @call_failed: (optional): a call, "list zones" or "watch zones", has failed, for the log
 *
 * Callbacks must not free the watcher.
 */
typedef struct
{
  gpointer context;
  void (*view) (gpointer context, const WsZoneView *view);
  guint (*in_force) (gpointer context, guint32 *zones, guint max);
  void (*call_failed) (gpointer context, const WsCallFailure *failure);
} WsZoneWatcherCallbacks;

/**
 * struct WsZoneWatcher - a watcher
 *
 * Failed calls are retried with back-off. After a failed call the list is read again, which does
 * not wait for a change: the position may be of content that the store has lost. No function
 * blocks.
 */
typedef struct WsZoneWatcher WsZoneWatcher;

/** ws_zone_watcher_new() - creates an inactive watcher; the store must outlive it */
WsZoneWatcher *ws_zone_watcher_new (const WsZoneStore *store,
                                    const WsZoneWatcherCallbacks *callbacks,
                                    guint32 seed);
void ws_zone_watcher_free (WsZoneWatcher *watcher);

/** ws_zone_watcher_set_timeout() - sets the longest wait of one watch call, in milliseconds */
void ws_zone_watcher_set_timeout (WsZoneWatcher *watcher, guint timeout_ms);

/** ws_zone_watcher_set_backoff() - sets the first and longest delay after a failure, in
 * microseconds; for tests */
void ws_zone_watcher_set_backoff (WsZoneWatcher *watcher, gint64 first_us, gint64 longest_us);

/** ws_zone_watcher_set_keep_time() - sets the time for which zones that the list of a new era lacks
 * are kept, in microseconds; for tests */
void ws_zone_watcher_set_keep_time (WsZoneWatcher *watcher, gint64 keep_us);

/** ws_zone_watcher_set_active() - starts or stops the watch */
void ws_zone_watcher_set_active (WsZoneWatcher *watcher, gboolean active);

/** ws_zone_watcher_read() - reads the list as at a start, until it was read once or
 * ws_zone_watcher_end_read() is called */
void ws_zone_watcher_read (WsZoneWatcher *watcher);

/** ws_zone_watcher_end_read() - does not retry a read; a call that is outstanding goes on */
void ws_zone_watcher_end_read (WsZoneWatcher *watcher);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WsZoneWatcher, ws_zone_watcher_free)
