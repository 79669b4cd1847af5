#pragma once

#include "wb-counter.h"
#include "ws-codec.h"

/**
 * struct WsClient - asynchronous client of the object API on the default main context
 *
 * Each call is one attempt. Retries are left to the callers, since only they know whether a call
 * whose response was lost may be repeated. The callback is never called from within the function
 * that starts the call.
 */
typedef struct WsClient WsClient;

/** Time-out of a daemon's calls, in milliseconds. The object store responds within milliseconds,
 * and within a quarter of a second when it is slow. A call that got lost while the store was down
 * must not delay the next one. */
#define WS_DAEMON_CALL_TIMEOUT_MS 500

/**
 * ws_client_new() - creates a client; it connects with the first call
 * @base_url: for example "http://192.0.2.1:8000"
 * @codec: encodes requests and decodes responses
 * @error: WS_ERROR_UNREACHABLE when @base_url is no http or https URL
 */
WsClient *ws_client_new (const gchar *base_url, const WsCodec *codec, GError **error);

/** ws_client_free() - cancels all calls without calling back */
void ws_client_free (WsClient *client);

/**
 * ws_client_set_timeout() - time-out of one call in milliseconds, 5,000 by default
 *
 * Each call that times out doubles the time-out, up to four times @timeout_ms, so that calls to a
 * slow store can succeed. A response sets it to twice the time that it took, within the same
 * limits.
 */
void ws_client_set_timeout (WsClient *client, guint timeout_ms);

/**
 * ws_client_era() - newest era of the store's content that a response has named; 0 for none
 *
 * A response of an older era fails the call with WS_ERROR_UNREACHABLE, or WS_ERROR_OUTCOME_UNKNOWN
 * for a write. A watch or write that was sent in an older era fails with
 * WS_ERROR_HISTORY_COMPACTED or WS_ERROR_OUTCOME_UNKNOWN.
 */
guint64 ws_client_era (const WsClient *client);

/** ws_client_get() - reads an object */
void ws_client_get (WsClient *client, const gchar *key, WsResponseFunc callback, gpointer context);

/**
 * ws_client_put() - writes an object
 * @value: UTF-8 text
 * @if_version: the version that the object must have; 0 when it must not exist
 */
void ws_client_put (WsClient *client,
                    const gchar *key,
                    GBytes *value,
                    guint64 if_version,
                    WsResponseFunc callback,
                    gpointer context);

/**
 * ws_client_watch() - waits until an object changes after @position
 * @timeout_ms: longest wait; then the platform ends the watch, and @callback gets neither an error
 *   nor an object with a version
 *
 * When the connection is silent, the watch fails with WS_ERROR_UNREACHABLE: the time-out of a call
 * after @timeout_ms. That time-out is longer while the platform is slow.
 */
void ws_client_watch (WsClient *client,
                      const gchar *key,
                      guint64 position,
                      guint timeout_ms,
                      WsResponseFunc callback,
                      gpointer context);

/**
 * ws_client_watch_limit_ms() - time after which a watch of @timeout_ms that gets no response fails,
 *   in milliseconds
 */
guint ws_client_watch_limit_ms (const WsClient *client, guint timeout_ms);

/** ws_client_lists_zones() - whether the platform has evacuations, so that the two functions below
 * may be called */
gboolean ws_client_lists_zones (const WsClient *client);

/** ws_client_list_zones() - reads all evacuations */
void ws_client_list_zones (WsClient *client, WsZonesFunc callback, gpointer context);

/**
 * ws_client_watch_zones() - waits until an evacuation changes after @position, as
 *   ws_client_watch() does
 */
void ws_client_watch_zones (
    WsClient *client, guint64 position, guint timeout_ms, WsZonesFunc callback, gpointer context);

/** ws_client_cancel() - cancels the calls whose callbacks get @context, without calling back */
void ws_client_cancel (WsClient *client, gpointer context);

/** ws_client_store() - the client as a WsStore; takes ownership of @client */
WsStore ws_client_store (WsClient *client);

/** ws_client_zone_store() - the client as a WsZoneStore; does not take ownership of @client */
WsZoneStore ws_client_zone_store (WsClient *client);

/** ws_client_counters() - (transfer none): counters of calls and their results */
const WbCounters *ws_client_counters (const WsClient *client);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WsClient, ws_client_free)
