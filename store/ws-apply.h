#pragma once

#include "wc-parts.h"
#include "ws.h"

/**
 * DOC: The transaction that stores a new configuration and thereby puts it into effect.
 *
 * It reads the root object, writes the parts that the root does not list yet, and then replaces the
 * root on condition that it still has the version that was read. The state machine does no I/O and
 * reads no clock; ws-apply-run.h runs it on a store.
 */

/** Expected version of an apply that replaces any version. */
#define WS_APPLY_ANY_VERSION G_MAXUINT64

/**
 * enum WsApplyOutcome - how an apply ended
 * @WS_APPLY_DONE: the new version is in the object store
 * @WS_APPLY_UNCHANGED: the object store holds this configuration already; nothing was written
 * @WS_APPLY_CONFLICT: another apply came first; nothing was changed
 * @WS_APPLY_UNREACHABLE: the platform did not respond; nothing was changed
 * @WS_APPLY_UNKNOWN: the update of the root got no response; running the apply again is safe
 * @WS_APPLY_FAILED: the platform rejected an object or has an invalid one; nothing was changed
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
 * @version: the version that this apply wrote or found already stored; 0 when there is none
 * @base_version: the version that the apply read first; 0 for an empty object store
 * @conflicting_apply: record of the apply that came first; set with WS_APPLY_CONFLICT
 * @new_parts: number of parts that the base version does not have
 * @message: explanation for the operator
 */
typedef struct
{
  WsApplyOutcome outcome;
  guint64 version;
  guint64 base_version;
  WcApplyRecord conflicting_apply;
  guint new_parts;
  const gchar *message;
} WsApplyResult;

/**
 * struct WsApplyRequest - what to apply
 * @parts: the configuration; must outlive the transaction
 * @apply_id: unique id, by which the transaction recognizes its update after a lost response
 * @expected_version: the version that is to be replaced, or WS_APPLY_ANY_VERSION
 * @timeout_us: no call is retried after this time
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
 * struct WsApplyCallbacks - output of the transaction
 * @get, @put: like ws_client_get() and ws_client_put(). The response is passed to
 *   ws_apply_response(), but not from within the callback. One call is outstanding at a time.
 * @done: the transaction has ended; @result is valid during the call
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

/** ws_apply_response() - passes the response to the outstanding call */
void ws_apply_response (WsApply *apply, const WsObject *object, const GError *error, gint64 now_us);

/** ws_apply_next_us() - when to call ws_apply_tick(); WB_NEVER while a call is outstanding */
gint64 ws_apply_next_us (const WsApply *apply);
void ws_apply_tick (WsApply *apply, gint64 now_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WsApply, ws_apply_free)
