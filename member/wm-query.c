#include "wm-private.h"

/* In a small fleet every balancer watches the platform, so that a change does not wait for
 * dissemination through the members. In a large fleet the calls to the platform are bounded: 24
 * watches of 2 s are 12 calls a second. */
#define MAX_WATCHERS 24
/* A change of the evacuations is small and spreads by pushes, so that a few watches are enough. */
#define MAX_ZONE_WATCHERS 8
#define WATCHER_HASH_SEED 0x7761746368657273

GArray *
wm_node_members (const WmNode *node)
{
  GArray *members = g_array_sized_new (FALSE, FALSE, sizeof (ww_member), node->rows->len);
  guint i;

  for (i = 0; i < node->rows->len; i++)
    {
      const ww_member *info = &g_array_index (node->rows, WmMember, i).info;

      if (info->state <= WW_MEMBER_SUSPECT)
        g_array_append_vals (members, info, 1);
    }
  return members;
}

const ww_member *
wm_node_find (const WmNode *node, guint64 id)
{
  const WmMember *row = wm_find (node, id);

  if (row == NULL || (row->info.state > WW_MEMBER_SUSPECT))
    return NULL;
  return &row->info;
}

GArray *
wm_node_zone_balancers (const WmNode *node, gint64 recent_us)
{
  GArray *members = g_array_new (FALSE, FALSE, sizeof (ww_member));
  guint i;

  for (i = 0; i < node->rows->len; i++)
    {
      const WmMember *row = &g_array_index (node->rows, WmMember, i);

      if (row->info.role == WW_ROLE_BALANCER && row->info.zone == node->settings.zone &&
          (row->info.state <= WW_MEMBER_SUSPECT || node->now_us - row->since_us < recent_us))
        g_array_append_vals (members, &row->info, 1);
    }
  return members;
}

gboolean
wm_node_is_member (const WmNode *node, guint32 address)
{
  return g_hash_table_contains (node->address_counts, GUINT_TO_POINTER (address));
}

static guint64
watcher_rank (const ww_member *info)
{
  return wb_hash64 (&info->id, sizeof info->id, WATCHER_HASH_SEED);
}

/* Whether this node is among the first @count balancers in the order of rank. */
static gboolean
is_among_first (const WmNode *node, guint count)
{
  const ww_member *self = &wm_self (node)->info;
  guint64 rank = watcher_rank (self);
  guint above = 0;
  guint i;

  if (self->role != WW_ROLE_BALANCER || self->state != WW_MEMBER_ALIVE)
    return FALSE;
  for (i = 1; i < node->rows->len && above < count; i++)
    {
      const ww_member *info = &g_array_index (node->rows, WmMember, i).info;

      above += info->role == WW_ROLE_BALANCER && info->state <= WW_MEMBER_SUSPECT &&
               watcher_rank (info) > rank;
    }
  return above < count;
}

static gboolean
is_among_watchers (const WmNode *node)
{
  return is_among_first (node, MAX_WATCHERS);
}

gboolean
wm_node_writes_members (const WmNode *node)
{
  return wm_node_is_watcher (node) && is_among_first (node, 1);
}

gboolean
wm_node_is_watcher (const WmNode *node)
{
  return node->watcher_stale ? is_among_watchers (node) : node->is_watcher;
}

gboolean
wm_node_watches_zones (const WmNode *node)
{
  return wm_node_is_watcher (node) && is_among_first (node, MAX_ZONE_WATCHERS);
}

guint
wm_node_count (const WmNode *node, ww_member_state state)
{
  g_return_val_if_fail (state <= WW_MEMBER_LEFT, 0);
  return node->state_counts[state];
}

const WbCounters *
wm_node_counters (const WmNode *node)
{
  return node->counters;
}

/* Calls members_changed at most once for each call into the node. */
void
wm_notify_members_changed (WmNode *node)
{
  if (node->watcher_stale)
    {
      node->is_watcher = is_among_watchers (node);
      node->watcher_stale = FALSE;
    }
  if (!node->change_pending)
    return;
  node->change_pending = FALSE;
  if (node->callbacks.members_changed != NULL)
    node->callbacks.members_changed (node->callbacks.context);
}
