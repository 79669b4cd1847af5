#include "wm-private.h"

/* Encoded sizes. */
#define MEMBER_ITEM_BYTES 56
#define STATE_ITEM_BYTES 44
#define ZONE_ITEM_BYTES 24
#define MAX_PUSHED_ZONE_ITEMS 4
/* Updates at the head of the queue that are searched for new zone evidence. */
#define PUSH_ZONE_SCAN_UPDATES 32
/* Allows the suspicions of a failed rack to be pushed at once. Without a limit, the loss of 200 of
 * 800 members used up the budget within 0.5 s and delayed the zone evidence. */
#define MAX_PUSHED_SUSPECTS 24
/* Zone evidence in each message while a zone is unreachable. */
#define MAX_PIGGYBACKED_ZONE_ITEMS 3
/* A push to 4 members takes at most about half of the available budget. */
#define PUSH_BUDGET_DIVISOR 8

void
wm_gossip_init (WmNode *node)
{
  g_queue_init (&node->updates);
  node->update_index = g_hash_table_new (NULL, NULL);
  node->push_ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  node->next_push_us = WB_NEVER;
}

void
wm_gossip_clear (WmNode *node)
{
  g_queue_clear_full (&node->updates, g_free);
  g_hash_table_unref (node->update_index);
  g_array_unref (node->push_ids);
}

/* Each item is piggybacked log2(n) times after it was pushed. The few members that it misses get it
 * by anti-entropy comparison. Three times as many transmissions used up the budget of 80 nodes
 * under two changes a second and delayed the replies to joins. */
static guint
sends_per_update (const WmNode *node)
{
  return (guint) g_bit_storage (node->rows->len);
}

static void
queue_update (WmNode *node, ww_gossip_kind kind, guint64 key, guint32 zone)
{
  gpointer index_key = GSIZE_TO_POINTER (kind == WW_GOSSIP_ZONE ? key ^ zone : key);
  GList *link = g_hash_table_lookup (node->update_index, index_key);
  WmUpdate *update;

  if (link == NULL)
    {
      update = g_new0 (WmUpdate, 1);
      g_queue_push_head (&node->updates, update);
      g_hash_table_insert (node->update_index, index_key, node->updates.head);
    }
  else
    {
      update = link->data;
      g_queue_unlink (&node->updates, link);
      g_queue_push_head_link (&node->updates, link);
    }
  update->key = key;
  update->kind = kind;
  update->zone = zone;
  update->remaining_sends = sends_per_update (node);
}

/* Disseminates the record of a member by piggybacking alone. */
void
wm_gossip_queue_member (WmNode *node, guint64 id)
{
  queue_update (node, WW_GOSSIP_MEMBER, id, 0);
}

/* Disseminates the record of a member by a push and by piggybacking. */
void
wm_gossip_push_member (WmNode *node, guint64 id)
{
  const WmMember *row = wm_find (node, id);
  guint i;

  queue_update (node, WW_GOSSIP_MEMBER, id, 0);
  /* Pushing every member of a lost availability zone would use up the whole budget. */
  if (row != NULL && row->info.state != WW_MEMBER_ALIVE &&
      (node->state_counts[WW_MEMBER_SUSPECT] > MAX_PUSHED_SUSPECTS ||
       wm_zone_has_enough_evidence (node, row->info.zone)))
    return;
  for (i = 0; i < node->push_ids->len; i++)
    if (g_array_index (node->push_ids, guint64, i) == id)
      return;
  if (node->push_ids->len >= WW_MAX_GOSSIP_ITEMS)
    return;
  g_array_append_val (node->push_ids, id);
  node->next_push_us = MIN (node->next_push_us, node->now_us + WM_PUSH_BATCH_DELAY_US);
}

void
wm_gossip_push_zone (WmNode *node, guint32 zone, guint64 reporter)
{
  queue_update (node, WW_GOSSIP_ZONE, reporter, zone);
  node->next_push_us = MIN (node->next_push_us, node->now_us + WM_PUSH_BATCH_DELAY_US);
}

static void
make_state_item (const WmNode *node, const WmMember *row, ww_gossip_item *item)
{
  const WmSuspicion *suspicion =
      g_hash_table_lookup (node->suspicions, GSIZE_TO_POINTER (row->info.id));
  ww_gossip_state *state = &item->ww_gossip_item_u.state;

  item->kind = WW_GOSSIP_STATE;
  *state = (ww_gossip_state){ .id = row->info.id,
                              .incarnation = row->info.incarnation,
                              .state = row->info.state };
  if (suspicion == NULL)
    return;
  state->reporter_id = suspicion->reporters[0];
  state->second_id = suspicion->reporters[1];
  state->age_ms = (guint32) MIN ((node->now_us - suspicion->start_us) / WB_US_PER_MS, G_MAXUINT32);
}

static gsize
make_member_item (const WmNode *node, guint64 id, ww_gossip_item *item)
{
  const WmMember *row = wm_find (node, id);

  if (row == NULL)
    return 0;
  if (row->info.state == WW_MEMBER_ALIVE)
    {
      item->kind = WW_GOSSIP_MEMBER;
      item->ww_gossip_item_u.member = row->info;
      return MEMBER_ITEM_BYTES;
    }
  make_state_item (node, row, item);
  return STATE_ITEM_BYTES;
}

static gsize
make_item (const WmNode *node, const WmUpdate *update, ww_gossip_item *item)
{
  if (update->kind == WW_GOSSIP_MEMBER)
    return make_member_item (node, update->key, item);
  item->kind = WW_GOSSIP_ZONE;
  if (!wm_zone_get_evidence (node, update->zone, update->key, &item->ww_gossip_item_u.zone))
    return 0;
  return ZONE_ITEM_BYTES;
}

static void
remove_update (WmNode *node, GList *link)
{
  WmUpdate *update = link->data;
  guint64 key = update->kind == WW_GOSSIP_ZONE ? update->key ^ update->zone : update->key;

  g_hash_table_remove (node->update_index, GSIZE_TO_POINTER (key));
  g_queue_delete_link (&node->updates, link);
  g_free (update);
}

static void
fill_header (WmNode *node, ww_gossip *gossip, ww_gossip_item *items)
{
  gossip->sender_id = node->settings.id;
  gossip->incarnation = wm_self (node)->info.incarnation;
  gossip->config = wm_config_id (node);
  gossip->members = wm_live_count (node);
  gossip->digest = wm_member_list_digest (node);
  gossip->items.items_val = items;
  gossip->items.items_len = 0;
}

/* The first item is the state in which this node lists the receiver, so that the receiver can
 * refute a suspicion or raise its incarnation. It is left out when the receiver is listed as alive
 * with the same incarnation. @incarnation is 0 when the receiver has not stated its incarnation,
 * because the message is no reply; any incarnation counts as the same then. */
static void
fill_receiver_state (WmNode *node, ww_gossip *gossip, guint64 receiver_id, guint64 incarnation)
{
  const WmMember *row = wm_find (node, receiver_id);

  if (row == NULL || row->info.id == node->settings.id)
    return;
  if (row->info.state == WW_MEMBER_ALIVE &&
      (incarnation == 0 || incarnation == row->info.incarnation))
    return;
  make_state_item (node, row, &gossip->items.items_val[0]);
  gossip->items.items_len = 1;
}

/* Fills the message with the state of the receiver, zone evidence, and as many queued updates as
 * the budget allows. Updates that are still to be sent move to the tail of the queue; new ones
 * enter at the head. @items has room for WW_MAX_GOSSIP_ITEMS. */
void
wm_gossip_fill (WmNode *node,
                ww_gossip *gossip,
                ww_gossip_item *items,
                guint64 receiver_id,
                guint64 incarnation)
{
  gsize max_bytes = wm_send_piggyback_bytes (node);
  guint updates_left = node->updates.length;
  gsize used_bytes = 0;

  fill_header (node, gossip, items);
  fill_receiver_state (node, gossip, receiver_id, incarnation);
  gossip->items.items_len +=
      wm_zone_fill_gossip (node, items + gossip->items.items_len, MAX_PIGGYBACKED_ZONE_ITEMS);
  while (updates_left-- > 0 && gossip->items.items_len < WW_MAX_GOSSIP_ITEMS)
    {
      GList *link = node->updates.head;
      WmUpdate *update = link->data;
      gsize size = make_item (node, update, &items[gossip->items.items_len]);

      if (size != 0 && used_bytes + size > max_bytes)
        return;
      if (size != 0)
        {
          used_bytes += size;
          gossip->items.items_len++;
          update->remaining_sends--;
        }
      if (size == 0 || update->remaining_sends == 0)
        {
          remove_update (node, link);
          continue;
        }
      g_queue_unlink (&node->updates, link);
      g_queue_push_tail_link (&node->updates, link);
    }
}

static void
send_gossip (WmNode *node, WmSendPriority priority, const WmAddress *to, ww_gossip *gossip)
{
  WwCall call = { .xid = wm_next_xid (node), .procedure = WW_PROC_GOSSIP };

  wm_send (node, priority, to, &call, xdr_ww_gossip, gossip);
}

static void
send_member (WmNode *node, WmSendPriority priority, const WmAddress *to, guint64 id)
{
  ww_gossip_item item;
  ww_gossip gossip;

  fill_header (node, &gossip, &item);
  make_member_item (node, id, &item);
  gossip.items.items_len = 1;
  send_gossip (node, priority, to, &gossip);
}

void
wm_gossip_send_self (WmNode *node, const WmAddress *to)
{
  send_member (node, WM_PRIORITY_PUSH, to, node->settings.id);
}

/* Sends the suspicion to the relays, which can confirm it, and to the suspected member, which can
 * refute it. */
void
wm_gossip_request_confirmation (WmNode *node,
                                const WmMember *row,
                                const WmAddress *relays,
                                guint count)
{
  WmAddress suspect = wm_control_address (row);
  guint i;

  for (i = 0; i < count; i++)
    send_member (node, WM_PRIORITY_PUSH, &relays[i], row->info.id);
  send_member (node, WM_PRIORITY_PUSH, &suspect, row->info.id);
}

static void
send_to_random (WmNode *node, WmSendPriority priority, ww_gossip *gossip, guint fanout)
{
  WmAddress addresses[WM_PUSH_FANOUT];
  guint64 ids[WM_PUSH_FANOUT];
  guint count = wm_pick_random_many (node, wm_is_live, 0, addresses, ids, fanout);
  guint i;

  for (i = 0; i < count; i++)
    send_gossip (node, priority, &addresses[i], gossip);
}

/* Announces the version in effect to some members at once; every other message carries it as well.
 */
void
wm_gossip_announce_config (WmNode *node)
{
  ww_gossip_item item;
  ww_gossip gossip;

  fill_header (node, &gossip, &item);
  send_to_random (node, WM_PRIORITY_CONFIG, &gossip, WM_PUSH_FANOUT);
}

static void
fill_new_zone_evidence (WmNode *node, ww_gossip *gossip)
{
  GList *link;
  guint scanned = 0;

  /* New updates are at the head. */
  for (link = node->updates.head; link != NULL && scanned++ < PUSH_ZONE_SCAN_UPDATES &&
                                  gossip->items.items_len < MAX_PUSHED_ZONE_ITEMS;
       link = link->next)
    {
      const WmUpdate *update = link->data;

      if (update->kind == WW_GOSSIP_ZONE && update->remaining_sends == sends_per_update (node) &&
          make_item (node, update, &gossip->items.items_val[gossip->items.items_len]) != 0)
        gossip->items.items_len++;
    }
}

/* Return: whether the items include a suspicion, a departure or zone evidence */
static gboolean
fill_new_members (WmNode *node, ww_gossip *gossip, gsize max_bytes)
{
  gboolean urgent = gossip->items.items_len > 0;
  gsize used_bytes = 0;
  guint i;

  for (i = 0; i < node->push_ids->len && gossip->items.items_len < WW_MAX_GOSSIP_ITEMS; i++)
    {
      ww_gossip_item *item = &gossip->items.items_val[gossip->items.items_len];
      gsize size = make_member_item (node, g_array_index (node->push_ids, guint64, i), item);

      used_bytes += size;
      if (size == 0 || used_bytes > max_bytes)
        continue;
      urgent = urgent || item->kind == WW_GOSSIP_STATE;
      gossip->items.items_len++;
    }
  return urgent;
}

/* Pushes new items to a few members at once: with piggybacking alone the last member would learn of
 * a failure after about 2 * log2(n) periods. */
void
wm_gossip_tick (WmNode *node)
{
  ww_gossip_item items[WW_MAX_GOSSIP_ITEMS];
  ww_gossip gossip;
  gboolean urgent;

  if (node->now_us < node->next_push_us)
    return;
  node->next_push_us = WB_NEVER;
  fill_header (node, &gossip, items);
  fill_new_zone_evidence (node, &gossip);
  urgent = fill_new_members (
      node, &gossip, wm_send_available_bytes (node, WM_PRIORITY_PUSH) / PUSH_BUDGET_DIVISOR);
  g_array_set_size (node->push_ids, 0);
  if (gossip.items.items_len > 0 &&
      (urgent || wm_send_available_bytes (node, WM_PRIORITY_BACKGROUND) > 0))
    send_to_random (node, WM_PRIORITY_PUSH, &gossip,
                    urgent ? WM_PUSH_FANOUT : WM_ROUTINE_PUSH_FANOUT);
}

/* Whether the record is left to anti-entropy comparison. When a fleet starts at once, comparison
 * carries the record of each new member once; gossip would carry it many times and use up the
 * budget. */
static gboolean
comes_with_member_list (const WmNode *node, const ww_member *info)
{
  return wm_join_recently_started (node) && wm_find (node, info->id) == NULL;
}

static void
apply_item (WmNode *node, const ww_gossip_item *item, const WmAddress *from)
{
  switch (item->kind)
    {
    case WW_GOSSIP_MEMBER:
      wm_apply_member (node, &item->ww_gossip_item_u.member,
                       !comes_with_member_list (node, &item->ww_gossip_item_u.member));
      break;
    case WW_GOSSIP_STATE:
      wm_apply_state (node, &item->ww_gossip_item_u.state, from);
      break;
    case WW_GOSSIP_ZONE:
      wm_zone_apply_evidence (node, &item->ww_gossip_item_u.zone);
      break;
    default:
      break;
    }
}

void
wm_gossip_apply (WmNode *node, const ww_gossip *gossip, const WmAddress *from)
{
  const WmMember *sender;
  guint i;

  for (i = 0; i < gossip->items.items_len; i++)
    apply_item (node, &gossip->items.items_val[i], from);
  sender = wm_find (node, gossip->sender_id);
  if (sender == NULL || sender->info.address != from->address)
    return;
  wm_zone_mark_reachable (node, sender->info.zone);
  wm_join_version_received (node, gossip->sender_id, gossip->config.config_version);
  wm_join_compare_digest (node, gossip->members, gossip->digest);
  wm_fetch_version_announced (node, &gossip->config, from);
}
