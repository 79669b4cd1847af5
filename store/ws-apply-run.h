#pragma once

#include "ws-apply.h"

/**
 * DOC: Runs the transaction of ws-apply.h on an object store, with the default main context.
 */

/** struct WsApplyRun - a running transaction, its store and its timer */
typedef struct WsApplyRun WsApplyRun;

/**
 * ws_apply_run_new() - starts an apply
 * @store: (transfer full): freed with the run
 * @callback: called once with the result, not from within this call
 */
WsApplyRun *ws_apply_run_new (const WsStore *store,
                              const WsApplyRequest *request,
                              void (*callback) (gpointer context, const WsApplyResult *result),
                              gpointer context);

/** ws_apply_run_free() - must not be called from within the callback */
void ws_apply_run_free (WsApplyRun *run);
