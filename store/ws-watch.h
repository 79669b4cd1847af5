#pragma once

#include "wc-parts.h"
#include "ws-start.h"

/**
 * DOC: Follows the configuration and the contact list in the object store, and reports changes by
 * callbacks. It fetches only the parts of a configuration that are not known yet.
 */

/**
 * struct WsCallFailure - a call of a watcher that failed
 * @call: "read", "check", "watch", "parts", "read start" or "write start"
 * @error: (transfer none): WS_ERROR
 * @position: resume position that the call named, or 0
 * @duration_us: time from the call to its failure, in microseconds
 * @retry_us: delay before the next attempt, in microseconds; 0 when it is not repeated by itself
 */
typedef struct
{
  const gchar *call;
  const GError *error;
  guint64 position;
  gint64 duration_us;
  gint64 retry_us;
} WsCallFailure;

/**
 * struct WsWatcherCallbacks - output of a watcher
 * @config: a newer configuration was read with all its parts; it has not been validated. A version
 *   that is known already is reported when it is that of a copy which was found to be current
 * @start: the object for starting processes was read; returns the root object that it has a copy
 *   of (transfer full), or NULL when there is none or it is not to be used. @check_delay_us is set
 *   to the time after which the watcher asks the store whether the copy is current, unless
 *   ws_watcher_end_read() is called before
 * @read_finished: a read started by ws_watcher_read() has ended, after @config if there was a newer
 *   configuration; @reached is FALSE when the platform could not be reached
 * @invalid: (optional): the root object was read and cannot be parsed
 * @era_changed: (optional): the store has returned from an older copy of its content; what was
 *   written there may be lost
 * @call_failed: (optional): a call has failed, for the log
 *
 * Callbacks must not free the watcher.
 */
typedef struct
{
  gpointer context;
  void (*config) (gpointer context, guint64 version, GBytes *root, GHashTable *parts);
  GBytes *(*start) (gpointer context, const WsStart *start, gint64 *check_delay_us);
  void (*read_finished) (gpointer context, gboolean reached);
  void (*invalid) (gpointer context, const GError *error);
  void (*era_changed) (gpointer context, guint64 previous, guint64 era);
  void (*call_failed) (gpointer context, const WsCallFailure *failure);
} WsWatcherCallbacks;

/** WsStoredFunc - called with the outcome of a write */
typedef void (*WsStoredFunc) (gpointer context, gboolean stored);

/**
 * struct WsWatcher - a watcher
 *
 * While it is active, failed calls are retried with back-off. No function blocks.
 */
typedef struct WsWatcher WsWatcher;

/**
 * ws_watcher_new() - creates an inactive watcher
 * @store: (transfer full)
 * @format: format in which the configuration is stored
 */
WsWatcher *ws_watcher_new (const WsStore *store,
                           const WcConfigFormat *format,
                           const WsWatcherCallbacks *callbacks,
                           guint32 seed);
void ws_watcher_free (WsWatcher *watcher);

/** ws_watcher_set_timeout() - sets the longest wait of one watch call, in milliseconds */
void ws_watcher_set_timeout (WsWatcher *watcher, guint timeout_ms);

/** ws_watcher_set_backoff() - sets the first and longest delay after a failure, in microseconds;
 * for tests */
void ws_watcher_set_backoff (WsWatcher *watcher, gint64 first_us, gint64 longest_us);

/** ws_watcher_set_active() - starts or stops watching the root; only a few members watch it */
void ws_watcher_set_active (WsWatcher *watcher, gboolean active);

/**
 * ws_watcher_read() - reads the object for starting processes and the root once, then calls
 *   read_finished()
 *
 * When the former has a copy of the root, a watch from its position tells whether the copy is
 * current, and the root itself is read only when it is not. It waits for an outstanding watch to
 * end.
 */
void ws_watcher_read (WsWatcher *watcher);

/** ws_watcher_end_read() - ends a read that waits to ask whether the copy of the root is current */
void ws_watcher_end_read (WsWatcher *watcher);

/**
 * ws_watcher_set_known_config() - tells of a configuration that came from another member
 * @parts: hash to GBytes
 *
 * The watcher does not fetch @parts again and does not report this or an older version.
 */
void ws_watcher_set_known_config (WsWatcher *watcher, guint64 version, GHashTable *parts);

/**
 * ws_watcher_set_start() - writes the object for starting processes
 * @start: its position and era are set by the watcher
 * @refresh: write it also when only the position has changed; otherwise it is compared with the
 *   stored one first
 * @finished: (nullable): called when the object is stored, or the attempt has failed
 *
 * The write is conditional: when another watcher writes at the same time, this write fails and is
 * not retried. Ignored while an earlier call has not finished.
 */
void ws_watcher_set_start (WsWatcher *watcher,
                           const WsStart *start,
                           gboolean refresh,
                           WsStoredFunc finished,
                           gpointer context);
