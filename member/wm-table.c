#include "wm-private.h"

#include <string.h>

#define RANDOM_PICK_TRIES 8

void
wm_table_init (WmNode *node)
{
  const WmSettings *settings = &node->settings;
  ww_member self = {
    .id = settings->id,
    .service_id = settings->service_id,
    .address = settings->address,
    .ports = ((guint32) settings->control_port << 16) | settings->data_port,
    .zone = settings->zone,
    .host = settings->host,
    .role = settings->role,
    .state = WW_MEMBER_ALIVE,
    .flags = wm_capacity_encode (settings->link_kbps) << WM_MEMBER_CAPACITY_SHIFT,
  };

  /* A restarted process does not know its last incarnation. A random epoch differs from it, so that
   * the members notice the restart; when it is lower than the last one, they report that one and it
   * is raised. */
  self.incarnation = (guint64) (g_rand_int (node->random) >> 2) << 32;
  node->rows = g_array_new (FALSE, FALSE, sizeof (WmMember));
  node->rows_by_id = g_hash_table_new (NULL, NULL);
  node->address_counts = g_hash_table_new (NULL, NULL);
  node->suspicions = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  node->peers = g_array_new (FALSE, FALSE, sizeof (guint64));
  node->next_suspicion_scan_us = WB_NEVER;
  wm_table_add (node, &self);
}

void
wm_table_clear (WmNode *node)
{
  g_array_unref (node->rows);
  g_array_unref (node->peers);
  g_hash_table_unref (node->rows_by_id);
  g_hash_table_unref (node->address_counts);
  g_hash_table_unref (node->suspicions);
}

static WmMember *
row_at (const WmNode *node, guint index)
{
  return &g_array_index (node->rows, WmMember, index);
}

WmMember *
wm_self (const WmNode *node)
{
  return row_at (node, 0);
}

WmMember *
wm_find (const WmNode *node, guint64 id)
{
  gpointer index;

  if (!g_hash_table_lookup_extended (node->rows_by_id, GSIZE_TO_POINTER (id), NULL, &index))
    return NULL;
  return row_at (node, GPOINTER_TO_UINT (index));
}

static void
count_address (WmNode *node, guint32 address, gint change)
{
  gpointer key = GUINT_TO_POINTER (address);
  gint count = GPOINTER_TO_INT (g_hash_table_lookup (node->address_counts, key)) + change;

  if (count > 0)
    g_hash_table_insert (node->address_counts, key, GINT_TO_POINTER (count));
  else
    g_hash_table_remove (node->address_counts, key);
}

/* Hash of the fields in which two member lists are compared. */
guint32
wm_member_fingerprint (const ww_member *info)
{
  guint64 record[3] = { info->id, info->incarnation, info->state };

  return (guint32) wb_hash64 (record, sizeof record, 0);
}

/* Adds the row to the digest of the live members, or takes it out. Suspected members count as
 * alive, because suspicions change too often. */
static void
toggle_in_digest (WmNode *node, const WmMember *row)
{
  ww_member info = row->info;

  if (info.state > WW_MEMBER_SUSPECT)
    return;
  info.state = WW_MEMBER_ALIVE;
  node->list_digest ^= wm_member_fingerprint (&info);
}

static void
mark_changed (WmNode *node, const WmMember *row)
{
  node->change_pending = TRUE;
  if (row->info.role == WW_ROLE_BALANCER)
    node->watcher_stale = TRUE;
  if (node->zone_probes ||
      (row->info.service_id != 0 && row->info.service_id == node->settings.service_id))
    node->peers_stale = TRUE;
}

WmMember *
wm_table_add (WmNode *node, const ww_member *info)
{
  WmMember row = { .info = *info, .since_us = node->now_us };

  if (node->rows->len >= WM_MAX_MEMBERS)
    return NULL;
  g_hash_table_insert (node->rows_by_id, GSIZE_TO_POINTER (info->id),
                       GUINT_TO_POINTER (node->rows->len));
  g_array_append_val (node->rows, row);
  count_address (node, info->address, 1);
  node->state_counts[info->state]++;
  toggle_in_digest (node, &row);
  mark_changed (node, &row);
  return row_at (node, node->rows->len - 1);
}

/* Updates the record, but not the state. */
void
wm_table_update (WmNode *node, WmMember *row, const ww_member *info)
{
  ww_member_state state = row->info.state;

  mark_changed (node, row);
  toggle_in_digest (node, row);
  count_address (node, row->info.address, -1);
  count_address (node, info->address, 1);
  row->info = *info;
  row->info.state = state;
  toggle_in_digest (node, row);
  mark_changed (node, row);
}

void
wm_table_set_incarnation (WmNode *node, WmMember *row, guint64 incarnation)
{
  toggle_in_digest (node, row);
  row->info.incarnation = incarnation;
  toggle_in_digest (node, row);
}

void
wm_table_set_state (WmNode *node, WmMember *row, ww_member_state state)
{
  if (row->info.state == state)
    return;
  node->state_counts[row->info.state]--;
  node->state_counts[state]++;
  toggle_in_digest (node, row);
  row->info.state = state;
  toggle_in_digest (node, row);
  row->since_us = node->now_us;
  mark_changed (node, row);
}

static void
remove_row (WmNode *node, guint index)
{
  WmMember *row = row_at (node, index);
  guint last = node->rows->len - 1;

  count_address (node, row->info.address, -1);
  node->state_counts[row->info.state]--;
  toggle_in_digest (node, row);
  g_hash_table_remove (node->rows_by_id, GSIZE_TO_POINTER (row->info.id));
  g_hash_table_remove (node->suspicions, GSIZE_TO_POINTER (row->info.id));
  if (index != last)
    {
      *row = *row_at (node, last);
      g_hash_table_insert (node->rows_by_id, GSIZE_TO_POINTER (row->info.id),
                           GUINT_TO_POINTER (index));
    }
  g_array_set_size (node->rows, last);
}

void
wm_table_remove_old (WmNode *node)
{
  guint i;

  for (i = node->rows->len; i-- > 1;)
    {
      const WmMember *row = row_at (node, i);

      if (row->info.state >= WW_MEMBER_DEAD &&
          node->now_us - row->since_us >= WM_TOMBSTONE_RETENTION_US)
        remove_row (node, i);
    }
}

gboolean
wm_is_live (const WmNode *node, const WmMember *row, guint64 exclude_id)
{
  return row->info.state <= WW_MEMBER_SUSPECT && row->info.id != exclude_id &&
         row->info.id != node->settings.id;
}

gboolean
wm_is_dead (const WmNode *node, const WmMember *row, guint64 argument)
{
  return row->info.state == WW_MEMBER_DEAD;
}

/* Tries a few random rows first, then searches from a random row on, for filters that few rows
 * pass. */
WmMember *
wm_pick_random (WmNode *node, WmFilter filter, guint64 argument)
{
  guint count = node->rows->len;
  guint i, start;

  for (i = 0; i < RANDOM_PICK_TRIES; i++)
    {
      WmMember *row = row_at (node, (guint) g_rand_int_range (node->random, 0, (gint32) count));

      if (filter (node, row, argument))
        return row;
    }
  start = (guint) g_rand_int_range (node->random, 0, (gint32) count);
  for (i = 0; i < count; i++)
    {
      WmMember *row = row_at (node, (start + i) % count);

      if (filter (node, row, argument))
        return row;
    }
  return NULL;
}

guint
wm_live_count (const WmNode *node)
{
  return node->state_counts[WW_MEMBER_ALIVE] + node->state_counts[WW_MEMBER_SUSPECT];
}

WmAddress
wm_control_address (const WmMember *row)
{
  return (WmAddress){ row->info.address, wm_member_control_port (&row->info) };
}

/* Picks up to @max different rows; @ids and @addresses have room for that many. */
guint
wm_pick_random_many (
    WmNode *node, WmFilter filter, guint64 argument, WmAddress *addresses, guint64 *ids, guint max)
{
  guint count = 0;
  guint tries;

  for (tries = 0; tries < max * 3 && count < max; tries++)
    {
      const WmMember *row = wm_pick_random (node, filter, argument);
      guint i;

      if (row == NULL)
        break;
      for (i = 0; i < count && ids[i] != row->info.id; i++)
        ;
      if (i < count)
        continue;
      ids[count] = row->info.id;
      addresses[count] = wm_control_address (row);
      count++;
    }
  return count;
}

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  guint64 left = *(const guint64 *) a;
  guint64 right = *(const guint64 *) b;

  return left < right ? -1 : left > right;
}

/* Whether this node probes its peers: an endpoint, or a balancer with zone probes. */
gboolean
wm_has_peers (const WmNode *node)
{
  return node->settings.service_id != 0 || node->zone_probes;
}

static gboolean
is_peer (const WmNode *node, const ww_member *info)
{
  if (info->state > WW_MEMBER_SUSPECT)
    return FALSE;
  if (node->zone_probes)
    return info->role == WW_ROLE_BALANCER && info->zone == node->settings.zone;
  return info->service_id == node->settings.service_id;
}

/* Ids of the other endpoints of the same service that are not dead or departed. */
GArray *
wm_peers (WmNode *node)
{
  guint i;

  if (!node->peers_stale)
    return node->peers;
  g_array_set_size (node->peers, 0);
  for (i = 1; i < node->rows->len; i++)
    {
      const ww_member *info = &row_at (node, i)->info;

      if (is_peer (node, info))
        g_array_append_val (node->peers, info->id);
    }
  g_array_sort (node->peers, compare_ids);
  node->peers_stale = FALSE;
  return node->peers;
}
