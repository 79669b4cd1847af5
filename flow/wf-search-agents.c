#include "wf-search-agents.h"

#include <string.h>

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  const guint64 *left = a;
  const guint64 *right = b;

  return *left < *right ? -1 : *left > *right;
}

GArray *
wf_search_agents_new (guint64 self_id, const guint64 *ids, guint count)
{
  GArray *agents = g_array_sized_new (FALSE, FALSE, sizeof (guint64), count + 1);
  guint i;

  g_array_append_val (agents, self_id);
  for (i = 0; i < count; i++)
    if (ids[i] != self_id)
      g_array_append_val (agents, ids[i]);
  g_array_sort (agents, compare_ids);
  return agents;
}

gboolean
wf_search_agents_equal (const GArray *a, const GArray *b)
{
  return a->len == b->len && memcmp (a->data, b->data, a->len * sizeof (guint64)) == 0;
}

gint
wf_search_agents_find (const GArray *agents, guint64 id)
{
  guint index;

  return g_array_binary_search ((GArray *) agents, &id, compare_ids, &index) ? (gint) index : -1;
}

guint64
wf_search_agents_digest (const GArray *agents)
{
  guint64 digest = 0;
  guint i;

  for (i = 0; i < agents->len; i++)
    digest ^= wb_hash64 (&g_array_index (agents, guint64, i), sizeof (guint64), 0);
  return digest;
}
