#pragma once

#include "wm.h"
#include "ws-watch.h"

/**
 * DOC: Keeps the object in the platform's store that starting processes read up to date: contacts,
 * members and a copy of the configuration.
 *
 * One balancer writes it soon after a change, and from time to time so that its position does not
 * become older than the store's history. The other watchers compare it now and then, in case that
 * balancer cannot reach the store.
 */
typedef struct WdStartObject WdStartObject;

/** wd_start_object_new() - @member and @watcher must outlive the result */
WdStartObject *wd_start_object_new (WmNode *member, WsWatcher *watcher, gint64 now_us);
void wd_start_object_free (WdStartObject *object);

/** wd_start_object_set_config() - sets the configuration to store; @root is kept
 *
 * Not called for a format with parts, which are read one by one.
 */
void wd_start_object_set_config (WdStartObject *object, GBytes *root, gint64 now_us);

/** wd_start_object_store_lost() - tells that the store may have lost what was written there */
void wd_start_object_store_lost (WdStartObject *object);

/** wd_start_object_tick() - does the work that is due; @watching: this node watches the platform */
void wd_start_object_tick (WdStartObject *object, gboolean watching, gint64 now_us);

/** wd_start_object_next_us() - when wd_start_object_tick() has to be called next */
gint64 wd_start_object_next_us (const WdStartObject *object);
