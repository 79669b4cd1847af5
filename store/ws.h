#pragma once

#include "wb.h"

/**
 * DOC: Access to the platform's object store, in which configurations and contacts are stored.
 *
 * This package has an asynchronous HTTP client (ws-client.h), a watcher that reports new
 * configurations to a daemon (ws-watch.h), and the transaction by which the operator command apply
 * stores a new configuration (ws-apply.h). It validates no configurations. Requests and responses
 * are encoded by a codec of the platform (ws-codec.h). This header has the shared types.
 */

/** Key of the root object of the configuration. */
#define WS_KEY_ROOT "config/root"

/** Prefix of the keys of configuration parts; the hash follows. */
#define WS_KEY_PARTS "config/parts/"

/** Key of the object that starting processes read: contacts, members and a copy of the
 * configuration (ws-start.h). */
#define WS_KEY_START "members/contacts"

/** Largest value, in bytes, that the object API accepts. */
#define WS_VALUE_MAX_BYTES 1000000

/**
 * enum WsError - errors of calls of the object API
 * @WS_ERROR_UNREACHABLE: no response; the call had no effect
 * @WS_ERROR_CONFLICT: the object does not have the version that the write requires
 * @WS_ERROR_NOT_FOUND: no such object
 * @WS_ERROR_TOO_LARGE: the value exceeds the limit of the object API
 * @WS_ERROR_BAD_RESPONSE: a response that does not conform to the protocol
 * @WS_ERROR_HISTORY_COMPACTED: the store no longer has the changes after the position of a watch,
 * or its content is of another era than that position
 * @WS_ERROR_OUTCOME_UNKNOWN: a write got no response; it may have taken effect or may still do so
 */
typedef enum
{
  WS_ERROR_UNREACHABLE,
  WS_ERROR_CONFLICT,
  WS_ERROR_NOT_FOUND,
  WS_ERROR_TOO_LARGE,
  WS_ERROR_BAD_RESPONSE,
  WS_ERROR_HISTORY_COMPACTED,
  WS_ERROR_OUTCOME_UNKNOWN,
} WsError;

#define WS_ERROR (ws_error_quark ())
GQuark ws_error_quark (void);

/**
 * struct WsObject - an object as read or written
 * @version: version in the object store, which rises with each write; 0 in the response to a watch
 *   that ended without a change
 * @position: resume position: a watch that starts there sees each later change
 * @value: NULL in the response to a write
 * @era: number of times that the store has returned from an older copy of its content, which makes
 *   versions and positions of the era before meaningless; 0 when the store does not tell
 */
typedef struct
{
  guint64 version;
  guint64 position;
  GBytes *value;
  guint64 era;
} WsObject;

/**
 * WsResponseFunc - called with the response to a call
 * @object: (transfer none): NULL on an error, and when a watch ended without a newer version
 * @error: WS_ERROR, or NULL
 */
typedef void (*WsResponseFunc) (gpointer context, const WsObject *object, const GError *error);

/**
 * struct WsStore - interface to an object store; see ws_client_store()
 * @get, @put, @watch: like ws_client_get(), ws_client_put() and ws_client_watch()
 * @era: (optional): like ws_client_era()
 * @free: cancels all calls without calling back, and frees the store
 */
typedef struct
{
  gpointer context;
  void (*get) (gpointer context,
               const gchar *key,
               WsResponseFunc callback,
               gpointer callback_context);
  void (*put) (gpointer context,
               const gchar *key,
               GBytes *value,
               guint64 if_version,
               WsResponseFunc callback,
               gpointer callback_context);
  void (*watch) (gpointer context,
                 const gchar *key,
                 guint64 position,
                 guint timeout_ms,
                 WsResponseFunc callback,
                 gpointer callback_context);
  guint64 (*era) (gpointer context);
  void (*free) (gpointer context);
} WsStore;

/**
 * struct WsBackoff - exponential back-off with jitter between the attempts of a call
 *
 * The limit doubles from @first_us up to @maximum_us. Each delay is drawn from the upper half of
 * the range below the limit, so that clients that failed at the same time do not retry at the same
 * time.
 */
typedef struct
{
  GRand *rand;
  gint64 first_us;
  gint64 maximum_us;
  guint attempt;
} WsBackoff;

void ws_backoff_init (WsBackoff *backoff, gint64 first_us, gint64 maximum_us, guint32 seed);
void ws_backoff_clear (WsBackoff *backoff);
void ws_backoff_reset (WsBackoff *backoff);

/** ws_backoff_next_us() - draws the delay before the next attempt */
gint64 ws_backoff_next_us (WsBackoff *backoff);
