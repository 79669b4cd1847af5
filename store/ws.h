#pragma once

#include "wb.h"

/**
 * DOC: Shared types of the client of the platform's object API.
 */

/** Key of the root object of the configuration. */
#define WS_KEY_ROOT "config/root"

/** Prefix of the keys of configuration parts; the hash follows. */
#define WS_KEY_PARTS "config/parts/"

/** Key of the list of member addresses through which nodes join. */
#define WS_KEY_CONTACTS "members/contacts"

/** Largest value in bytes that the object API holds. */
#define WS_VALUE_MAX_BYTES 1000000

/**
 * enum WsError - errors of the platform package
 * @WS_ERROR_UNREACHABLE: no answer; the call had no effect
 * @WS_ERROR_CONFLICT: the object does not have the version that the write requires
 * @WS_ERROR_NOT_FOUND: no such object
 * @WS_ERROR_TOO_LARGE: the value exceeds the limit of the object API
 * @WS_ERROR_BAD_RESPONSE: an answer that the protocol does not allow
 * @WS_ERROR_HISTORY_COMPACTED: the store no longer has the changes after the position of a watch
 * @WS_ERROR_OUTCOME_UNKNOWN: a write got no answer; it may have taken effect or may still do so
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
 * struct WsObject - an object read or written
 * @version: version in the object store; rises with each write. 0 in the answer to a watch that
 *   ended without a change
 * @position: where a watch continues to see each later change
 * @value: the value; NULL in the answer to a write
 */
typedef struct
{
  guint64 version;
  guint64 position;
  GBytes *value;
} WsObject;

/**
 * WsResponseFunc - answer to a call
 * @object: NULL on an error, and when a watch ended without a newer version
 * @error: WS_ERROR, or NULL
 */
typedef void (*WsResponseFunc) (gpointer context, const WsObject *object, const GError *error);

/**
 * struct WsStore - access to an object store; see ws_client_store()
 * @free: ends all calls; their answers are not delivered
 */
typedef struct
{
  gpointer context;
  void (*get) (gpointer context, const gchar *key, WsResponseFunc answer, gpointer answer_context);
  void (*put) (gpointer context,
               const gchar *key,
               GBytes *value,
               guint64 if_version,
               WsResponseFunc answer,
               gpointer answer_context);
  void (*watch) (gpointer context,
                 const gchar *key,
                 guint64 position,
                 guint timeout_ms,
                 WsResponseFunc answer,
                 gpointer answer_context);
  void (*free) (gpointer context);
} WsStore;

/**
 * struct WsBackoff - delays between the attempts of a call
 *
 * Delays double from the first to the largest one. Each is drawn from the upper half of its range,
 * so that clients which failed together do not return together.
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

/** ws_backoff_next_us() - delay before the next attempt */
gint64 ws_backoff_next_us (WsBackoff *backoff);
