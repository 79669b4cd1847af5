#pragma once

#include "wb-counter.h"
#include "ws-codec.h"

/**
 * struct WsClient - asynchronous client of the object API on the default main context
 *
 * Each call is one attempt; retries are up to the callers, who know what a lost answer means to
 * them. Answers are never delivered from within a call.
 */
typedef struct WsClient WsClient;

/**
 * ws_client_new() - a client
 * @base_url: for example "http://192.0.2.1:8000"
 * @dialect: encoders of the object API
 * @error: WS_ERROR_UNREACHABLE when it is no http or https URL
 */
WsClient *ws_client_new (const gchar *base_url, const WsCodec *dialect, GError **error);

/** ws_client_free() - cancels all calls; their answers are not delivered */
void ws_client_free (WsClient *client);

/**
 * ws_client_set_timeout() - time for one call in milliseconds, 5,000 by default
 *
 * It doubles, up to four times, with each call that is not answered in time, for a store that is
 * slow.
 */
void ws_client_set_timeout (WsClient *client, guint timeout_ms);

/** ws_client_get() - reads an object */
void ws_client_get (WsClient *client, const gchar *key, WsResponseFunc answer, gpointer context);

/**
 * ws_client_put() - writes an object
 * @value: UTF-8 text
 * @if_version: the version that the object must have; 0 when it must not exist
 */
void ws_client_put (WsClient *client,
                    const gchar *key,
                    GBytes *value,
                    guint64 if_version,
                    WsResponseFunc answer,
                    gpointer context);

/**
 * ws_client_watch() - waits until an object changes after @position
 * @timeout_ms: longest wait; afterwards the answer has no error and no object with a version
 *
 * A connection that went silent ends the watch with WS_ERROR_UNREACHABLE about one second after
 * @timeout_ms, or later when the platform has answered late before.
 */
void ws_client_watch (WsClient *client,
                      const gchar *key,
                      guint64 position,
                      guint timeout_ms,
                      WsResponseFunc answer,
                      gpointer context);

/** ws_client_store() - @client as a store; takes @client */
WsStore ws_client_store (WsClient *client);

/** ws_client_counters() - calls and their results */
const WbCounters *ws_client_counters (const WsClient *client);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WsClient, ws_client_free)
