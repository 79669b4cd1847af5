#include "wc-history.h"

/* Beyond it the oldest changes are forgotten. */
#define CHANGES_MAX 4096

typedef struct
{
  WcRoute *route; /* as it was before */
  gint64 changed_us;
} Change;

struct WcHistory
{
  GArray *changes; /* of Change, oldest first */
};

static void
change_clear (gpointer data)
{
  wc_route_unref (((Change *) data)->route);
}

WcHistory *
wc_history_new (void)
{
  WcHistory *history = g_new0 (WcHistory, 1);

  history->changes = g_array_new (FALSE, FALSE, sizeof (Change));
  g_array_set_clear_func (history->changes, change_clear);
  return history;
}

void
wc_history_free (WcHistory *history)
{
  if (history == NULL)
    return;
  g_array_unref (history->changes);
  g_free (history);
}

static gboolean
same_targets (const WcRoute *a, const WcRoute *b)
{
  guint i;

  if (a == b)
    return TRUE;
  if (a->targets->len != b->targets->len)
    return FALSE;
  for (i = 0; i < a->targets->len; i++)
    {
      const WcTarget *left = &g_array_index (a->targets, WcTarget, i);
      const WcTarget *right = &g_array_index (b->targets, WcTarget, i);

      if (left->service_id != right->service_id || left->weight != right->weight)
        return FALSE;
    }
  return TRUE;
}

static void
forget_dropped_routes (WcHistory *history, const WcConfig *config)
{
  guint i;

  for (i = history->changes->len; i > 0; i--)
    {
      const WcRoute *route = g_array_index (history->changes, Change, i - 1).route;

      if (wc_config_find_route (config, route->address, route->port, route->protocol) == NULL)
        g_array_remove_index (history->changes, i - 1);
    }
}

guint
wc_history_record (WcHistory *history,
                   const WcConfig *previous,
                   const WcConfig *next,
                   gint64 now_us)
{
  GHashTableIter iter;
  gpointer key;
  guint count = 0;

  forget_dropped_routes (history, next);
  g_hash_table_iter_init (&iter, previous->routes);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      WcRoute *route = key;
      const WcRoute *changed =
          wc_config_find_route (next, route->address, route->port, route->protocol);
      Change change = { .route = route, .changed_us = now_us };

      if (changed == NULL || same_targets (route, changed))
        continue;
      count++;
      (void) wc_route_ref (route);
      g_array_append_val (history->changes, change);
    }
  if (history->changes->len > CHANGES_MAX)
    g_array_remove_range (history->changes, 0, history->changes->len - CHANGES_MAX);
  return count;
}

guint64
wc_history_service (const WcHistory *history,
                    const WcConfig *config,
                    const WwFlowKey *key,
                    gint64 since_us)
{
  const WcRoute *present;
  guint64 present_id;
  guint i;

  if (history->changes->len == 0)
    return 0;
  present = wc_config_find_route (config, key->service_address, key->service_port,
                                  (guint16) key->protocol);
  if (present == NULL)
    return 0;
  present_id = wc_route_choose (present, key);
  for (i = history->changes->len; i > 0; i--)
    {
      const Change *change = &g_array_index (history->changes, Change, i - 1);
      const WcRoute *route = change->route;
      guint64 id;

      if (change->changed_us < since_us)
        break;
      if (route->address != present->address || route->port != present->port ||
          route->protocol != present->protocol)
        continue;
      id = wc_route_choose (route, key);
      if (id != 0 && id != present_id)
        return id;
    }
  return 0;
}
