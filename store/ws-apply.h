#pragma once

#include "wc-parts.h"
#include "ws.h"

/**
 * DOC: The transaction that puts a new configuration into effect.
 *
 * Reads the root, writes the parts that the root does not list yet, and moves the root by an update
 * on the version that was read. The core does no I/O and reads no clock.
 */

/** Any version may be replaced. */
#define WS_APPLY_ANY_VERSION G_MAXUINT64

/**
 * enum WsApplyOutcome - how an apply ended
 * @WS_APPLY_DONE: the new version is in the object store
 * @WS_APPLY_UNCHANGED: the object store holds this configuration already; nothing was written
 * @WS_APPLY_CONFLICT: another apply came first; nothing was changed
 * @WS_APPLY_UNREACHABLE: the platform did not answer; nothing was changed
 * @WS_APPLY_UNKNOWN: the update of the root got no answer; running the apply again is safe
 * @WS_APPLY_FAILED: the platform refused the objects or holds unusable ones; nothing was changed
 */
typedef enum
{
  WS_APPLY_DONE,
  WS_APPLY_UNCHANGED,
  WS_APPLY_CONFLICT,
  WS_APPLY_UNREACHABLE,
  WS_APPLY_UNKNOWN,
  WS_APPLY_FAILED,
} WsApplyOutcome;

/**
 * struct WsApplyResult - result of an apply
 * @version: the version that this apply wrote or found; 0 when there is none
 * @base_version: the version that the apply started from; 0 for an empty object store
 * @other: the apply that came first, after a conflict
 * @new_parts: parts that the version replaced does not have
 * @message: for an operator
 */
typedef struct
{
  WsApplyOutcome outcome;
  guint64 version;
  guint64 base_version;
  WcApplyRecord other;
  guint new_parts;
  const gchar *message;
} WsApplyResult;

/**
 * struct WsApplyRequest - what to apply
 * @parts: has to outlive the transaction
 * @apply_id: unique; recognizes the own update after a lost answer
 * @expected_version: the version that is to be replaced, or WS_APPLY_ANY_VERSION
 * @timeout_us: after this time no further attempt is made
 */
typedef struct
{
  const WcParts *parts;
  const gchar *apply_id;
  const gchar *operator_name;
  guint64 expected_version;
  gint64 timeout_us;
} WsApplyRequest;

/**
 * struct WsApplyCallbacks - output of the core
 * @get, @put: like ws_client_get() and ws_client_put(); the answer goes to ws_apply_response(), not
 *   from within the callback. One call is outstanding at a time.
 * @done: the transaction has ended; the result is valid during the call
 */
typedef struct
{
  gpointer context;
  void (*get) (gpointer context, const gchar *key);
  void (*put) (gpointer context, const gchar *key, GBytes *value, guint64 if_version);
  void (*done) (gpointer context, const WsApplyResult *result);
} WsApplyCallbacks;

typedef struct WsApply WsApply;

WsApply *
ws_apply_new (const WsApplyRequest *request, const WsApplyCallbacks *callbacks, guint32 seed);
void ws_apply_free (WsApply *apply);

void ws_apply_start (WsApply *apply, gint64 now_us);

/** ws_apply_response() - the answer to the call outstanding */
void ws_apply_response (WsApply *apply, const WsObject *object, const GError *error, gint64 now_us);

/** ws_apply_next_us() - when to call ws_apply_tick(); WB_NEVER while an answer is awaited */
gint64 ws_apply_next_us (const WsApply *apply);
void ws_apply_tick (WsApply *apply, gint64 now_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WsApply, ws_apply_free)
