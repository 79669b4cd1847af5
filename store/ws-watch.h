#pragma once

#include "wc-parts.h"
#include "wc-settings.h"
#include "ws.h"

/**
 * struct WsWatcherCallbacks - what a watcher found
 * @config: a newer configuration with all its parts; it has not been validated
 * @contacts: the list of contacts was read
 * @read_finished: a read started by ws_watcher_read() has ended; @answered is FALSE when the
 *   platform could not be reached. It is called after @config when there was something newer.
 * @invalid: (optional): the root cannot be read
 *
 * Callbacks must not free the watcher.
 */
typedef struct
{
  gpointer context;
  void (*config) (gpointer context, guint64 version, GBytes *root, GHashTable *parts);
  void (*contacts) (gpointer context, const WcAddress *contacts, guint count);
  void (*read_finished) (gpointer context, gboolean answered);
  void (*invalid) (gpointer context, const GError *error);
} WsWatcherCallbacks;

/**
 * struct WsWatcher - follows the configuration and the contacts in the object store
 *
 * Failed calls are repeated with back-off while the watcher is active; a call never blocks.
 */
typedef struct WsWatcher WsWatcher;

/** ws_watcher_new() - an inactive watcher of a configuration stored as @format; takes @store
 * @decoder: (nullable): that will decode what the watcher finds; must outlive the watcher */
WsWatcher *ws_watcher_new (const WsStore *store,
                           const WcConfigFormat *format,
                           WcDecoder *decoder,
                           const WsWatcherCallbacks *callbacks,
                           guint32 seed);
void ws_watcher_free (WsWatcher *watcher);

/** ws_watcher_set_timeout() - longest wait of one watch in milliseconds */
void ws_watcher_set_timeout (WsWatcher *watcher, guint watch_ms);

/** ws_watcher_set_active() - begins or ends to watch the root; for nodes that are selected */
void ws_watcher_set_active (WsWatcher *watcher, gboolean active);

/** ws_watcher_read() - reads root and contacts once; ends with the callback read_finished(). A
 * watch under way ends first. */
void ws_watcher_read (WsWatcher *watcher);

/**
 * ws_watcher_set_known() - a configuration that the node has from elsewhere
 * @parts: hash to GBytes; its parts are not fetched again, and older versions are not reported
 */
void ws_watcher_set_known (WsWatcher *watcher, guint64 version, GHashTable *parts);

/**
 * ws_watcher_set_contacts() - writes the list of contacts when it differs from the one stored
 *
 * The write is conditional. When another watcher writes at the same time, its list stays.
 */
void ws_watcher_set_contacts (WsWatcher *watcher, const WcAddress *contacts, guint count);
