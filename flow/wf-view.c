#include "wf-private.h"

#define DEPARTED_MAX 256

static const guint32 *
zones (const WfAgent *agent)
{
  return (const guint32 *) (gpointer) agent->endpoint_zones->data;
}

/* Ranks the endpoints for @key and @entry_zone; @self_rank is the rank of this endpoint. */
guint
wf_view_rank (
    WfAgent *agent, const WwFlowKey *key, guint32 entry_zone, guint16 **order, guint *self_rank)
{
  guint count = agent->endpoint_ids->len;
  guint i;

  g_array_set_size (agent->rank_order, count);
  *order = (guint16 *) agent->rank_order->data;
  ww_rank_endpoints_in_zone (key, entry_zone, (const guint64 *) agent->endpoint_ids->data,
                             zones (agent), count, *order);
  for (i = 0; i < count; i++)
    if (g_array_index (agent->endpoint_ids, guint64, (*order)[i]) == agent->self_id)
      break;
  *self_rank = i;
  return count;
}

/* Returns the home of a flow, which is in another service when its destination has moved there. */
guint64
wf_view_home (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone)
{
  const guint64 *endpoint_ids = (const guint64 *) agent->endpoint_ids->data;
  guint64 moved_home_id = wf_moved_home (agent, key, entry_zone);

  if (moved_home_id != 0)
    return moved_home_id;
  return endpoint_ids[ww_rank_first_in_zone (key, entry_zone, endpoint_ids, zones (agent),
                                             agent->endpoint_ids->len)];
}

static gboolean
contains (const GArray *endpoint_ids, guint64 id)
{
  guint i;

  for (i = 0; i < endpoint_ids->len; i++)
    if (g_array_index (endpoint_ids, guint64, i) == id)
      return TRUE;
  return FALSE;
}

gboolean
wf_view_contains (const WfAgent *agent, guint64 endpoint_id)
{
  return contains (agent->endpoint_ids, endpoint_id);
}

/* Returns the endpoints in rank order for admission. They are valid until the next call. */
const WaEndpoint *
wf_view_ranked (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone, guint *count)
{
  guint16 *order;
  guint self_rank, i;

  *count = wf_view_rank (agent, key, entry_zone, &order, &self_rank);
  g_array_set_size (agent->ranked_endpoints, *count);
  for (i = 0; i < *count; i++)
    {
      const WfEndpoint *endpoint = &g_array_index (agent->endpoints, WfEndpoint, order[i]);
      WaEndpoint *ranked = &g_array_index (agent->ranked_endpoints, WaEndpoint, i);

      ranked->id = endpoint->id;
      ranked->suspected = endpoint->suspected;
      ranked->zone = endpoint->zone;
      ranked->draining = endpoint->id == agent->self_id ? agent->draining : endpoint->draining;
      ranked->evacuated =
          endpoint->id == agent->self_id ? wf_placement_is_evacuated (agent) : endpoint->evacuated;
    }
  return (const WaEndpoint *) agent->ranked_endpoints->data;
}

/* Returns the endpoint that ranks just below this one, or 0 at the end of the chain. */
guint64
wf_view_next (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone)
{
  guint16 *order;
  guint self_rank;
  guint count = wf_view_rank (agent, key, entry_zone, &order, &self_rank);

  if (self_rank + 1 >= count)
    return 0;
  return g_array_index (agent->endpoint_ids, guint64, order[self_rank + 1]);
}

/* Returns the endpoint that ranks just below this one if it is the home for some entry zone, else
 * 0.
 */
guint64
wf_view_next_home (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone)
{
  guint16 *order;
  guint self_rank, i;
  guint count = wf_view_rank (agent, key, entry_zone, &order, &self_rank);
  guint32 next_zone;

  if (self_rank + 1 >= count)
    return 0;
  next_zone = zones (agent)[order[self_rank + 1]];
  for (i = 0; i <= self_rank; i++)
    if (zones (agent)[order[i]] == next_zone)
      return 0;
  return g_array_index (agent->endpoint_ids, guint64, order[self_rank + 1]);
}

/* Whether the endpoint was listed and no longer is. One that is not listed yet, because its
 * registration arrived before the report of its join, has not departed. */
gboolean
wf_view_has_departed (const WfAgent *agent, guint64 endpoint_id)
{
  return contains (agent->departed_ids, endpoint_id);
}

/* Records the endpoints that are no longer listed, the newest DEPARTED_MAX of them. */
void
wf_view_update_departed (WfAgent *agent, const GArray *previous)
{
  guint i;

  for (i = agent->departed_ids->len; i > 0; i--)
    if (wf_view_contains (agent, g_array_index (agent->departed_ids, guint64, i - 1)))
      g_array_remove_index (agent->departed_ids, i - 1);
  for (i = 0; i < previous->len; i++)
    {
      guint64 id = g_array_index (previous, WfEndpoint, i).id;

      if (wf_view_contains (agent, id))
        continue;
      if (agent->departed_ids->len == DEPARTED_MAX)
        g_array_remove_index (agent->departed_ids, 0);
      g_array_append_val (agent->departed_ids, id);
    }
}

/* Whether two lists of WfEndpoint have the same endpoints, in the same incarnations and zones. */
gboolean
wf_view_same_endpoints (const GArray *a, const GArray *b)
{
  guint i;

  if (a->len != b->len)
    return FALSE;
  for (i = 0; i < a->len; i++)
    {
      const WfEndpoint *left = &g_array_index (a, WfEndpoint, i);
      const WfEndpoint *right = &g_array_index (b, WfEndpoint, i);

      if (left->id != right->id || left->incarnation != right->incarnation ||
          left->zone != right->zone)
        return FALSE;
    }
  return TRUE;
}
