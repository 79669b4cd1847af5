#include "ws-apply-run.h"

struct WsApplyRun
{
  WsStore store;
  WsApply *apply;
  guint retry_timer;
  void (*callback) (gpointer context, const WsApplyResult *result);
  gpointer context;
};

static gboolean
retry_timer_expired (gpointer data)
{
  WsApplyRun *run = data;

  run->retry_timer = 0;
  ws_apply_tick (run->apply, g_get_monotonic_time ());
  return G_SOURCE_REMOVE;
}

static void
response_received (gpointer context, const WsObject *object, const GError *error)
{
  WsApplyRun *run = context;
  gint64 now_us = g_get_monotonic_time ();
  gint64 next_us;

  ws_apply_response (run->apply, object, error, now_us);
  next_us = ws_apply_next_us (run->apply);
  if (next_us != WB_NEVER)
    run->retry_timer =
        g_timeout_add ((guint) ((next_us - now_us) / WB_US_PER_MS + 1), retry_timer_expired, run);
}

static void
get_object (gpointer context, const gchar *key)
{
  WsApplyRun *run = context;

  run->store.get (run->store.context, key, response_received, run);
}

static void
put_object (gpointer context, const gchar *key, GBytes *value, guint64 if_version)
{
  WsApplyRun *run = context;

  run->store.put (run->store.context, key, value, if_version, response_received, run);
}

static void
apply_done (gpointer context, const WsApplyResult *result)
{
  WsApplyRun *run = context;

  run->callback (run->context, result);
}

WsApplyRun *
ws_apply_run_new (const WsStore *store,
                  const WsApplyRequest *request,
                  void (*callback) (gpointer context, const WsApplyResult *result),
                  gpointer context)
{
  WsApplyRun *run = g_new0 (WsApplyRun, 1);
  WsApplyCallbacks callbacks = {
    .context = run, .get = get_object, .put = put_object, .done = apply_done
  };

  run->store = *store;
  run->callback = callback;
  run->context = context;
  run->apply = ws_apply_new (request, &callbacks, g_random_int ());
  ws_apply_start (run->apply, g_get_monotonic_time ());
  return run;
}

void
ws_apply_run_free (WsApplyRun *run)
{
  if (run == NULL)
    return;
  if (run->retry_timer != 0)
    g_source_remove (run->retry_timer);
  run->store.free (run->store.context);
  ws_apply_free (run->apply);
  g_free (run);
}
