#include "wm-private.h"

/* The age of a suspicion in a message is cut to this limit: a greater one says nothing more about
 * the order of events. */
#define MAX_SUSPICION_AGE_US (600 * WB_US_PER_S)

#define SUSPICION_SCAN_INTERVAL_US (20 * WB_US_PER_MS)
#define SUSPICIONS_PER_SCAN 64
#define SELF_PUSH_INTERVAL_US (500 * WB_US_PER_MS)

/* A suspicion that is confirmed here counts as at most this old, so that the member has at
 * least 1.5 s to refute after the confirmation, which is pushed to all members. Relays confirm a
 * failure within 200 ms, so this does not delay the declaration of death. */
#define MAX_CONFIRMED_AGE_US (500 * WB_US_PER_MS)

static void
clear_suspicion (WmNode *node, guint64 id)
{
  g_hash_table_remove (node->suspicions, GSIZE_TO_POINTER (id));
}

/* When @above is from an earlier process with the same id, starts the epoch after it; otherwise
 * takes the next incarnation. */
void
wm_raise_incarnation (WmNode *node, guint64 above, gboolean push)
{
  WmMember *self = wm_self (node);
  guint64 incarnation = MAX (self->info.incarnation, above) + 1;

  if (wm_incarnation_epoch (above) > wm_incarnation_epoch (self->info.incarnation))
    incarnation = (wm_incarnation_epoch (above) + 1) << 32;
  wm_table_set_incarnation (node, self, incarnation);
  node->change_pending = TRUE;
  if (push)
    wm_gossip_push_member (node, self->info.id);
  else
    wm_gossip_queue_member (node, self->info.id);
}

static void
apply_to_self (WmNode *node, const ww_gossip_state *item, const WmAddress *from)
{
  guint64 own_incarnation = wm_self (node)->info.incarnation;

  if (node->leaving)
    return;
  if (item->incarnation < own_incarnation)
    {
      wm_gossip_send_self (node, from);
      /* The refutation may not have reached all members that know of the confirmed suspicion. */
      if (item->second_id != 0 && node->now_us - node->last_self_push_us >= SELF_PUSH_INTERVAL_US)
        {
          node->last_self_push_us = node->now_us;
          wm_gossip_push_member (node, node->settings.id);
        }
      return;
    }
  if (item->state == WW_MEMBER_ALIVE && item->incarnation == own_incarnation)
    return;
  wb_counters_add (node->counters, WM_COUNTER_REFUTED, 1);
  /* A suspicion that was not confirmed is known to few members, so its refutation is not pushed. */
  wm_raise_incarnation (node, item->incarnation,
                        item->second_id != 0 || item->state != WW_MEMBER_SUSPECT);
  wm_gossip_send_self (node, from);
}

static gboolean
is_valid_member (const ww_member *info)
{
  return info->id != 0 && info->address != 0 && wm_member_control_port (info) != 0 &&
         (info->role == WW_ROLE_BALANCER || info->role == WW_ROLE_AGENT);
}

static guint
count_reporters (const WmSuspicion *suspicion)
{
  guint i, count = 0;

  for (i = 0; i < WM_SUSPICION_REPORTERS; i++)
    count += suspicion->reporters[i] != 0;
  return count;
}

static gboolean
is_unconfirmed (const WmNode *node, const WmMember *row)
{
  const WmSuspicion *suspicion =
      g_hash_table_lookup (node->suspicions, GSIZE_TO_POINTER (row->info.id));

  return row->info.state == WW_MEMBER_SUSPECT && suspicion != NULL &&
         count_reporters (suspicion) < node->required_reporters;
}

/* Whether enough members could not reach the member (a confirmed suspicion). It is not declared
 * dead yet, because it may refute. */
gboolean
wm_is_unreachable (const WmNode *node, const WmMember *row)
{
  return row->info.state == WW_MEMBER_SUSPECT && !is_unconfirmed (node, row) &&
         row->info.id != node->settings.id;
}

/* Applies the record of a live member. The state in it is the view of its sender and is ignored.
 * Records from a member list are not disseminated: other members have them already. */
void
wm_apply_member (WmNode *node, const ww_member *info, gboolean disseminate)
{
  WmMember *row = wm_find (node, info->id);
  ww_member alive = *info;
  gboolean was_unconfirmed;

  if (info->id == node->settings.id)
    {
      if (info->incarnation > wm_self (node)->info.incarnation && !node->leaving)
        wm_raise_incarnation (node, info->incarnation, TRUE);
      return;
    }
  alive.state = WW_MEMBER_ALIVE;
  if (!is_valid_member (info))
    return;
  if (row == NULL)
    {
      if (wm_table_add (node, &alive) == NULL || !disseminate)
        return;
      if (wm_join_recently_started (node))
        wm_gossip_queue_member (node, info->id);
      else
        wm_gossip_push_member (node, info->id);
      return;
    }
  if (info->incarnation <= row->info.incarnation)
    return;
  was_unconfirmed = is_unconfirmed (node, row);
  clear_suspicion (node, info->id);
  wm_table_update (node, row, &alive);
  wm_table_set_state (node, row, WW_MEMBER_ALIVE);
  if (disseminate && was_unconfirmed)
    wm_gossip_queue_member (node, info->id);
  else if (disseminate)
    wm_gossip_push_member (node, info->id);
}

static void
declare_dead (WmNode *node, WmMember *row)
{
  wb_counters_add (node->counters, WM_COUNTER_DECLARED_DEAD, 1);
  wm_table_set_state (node, row, WW_MEMBER_DEAD);
}

static gboolean
add_reporter (const WmNode *node, WmSuspicion *suspicion, guint64 suspect_id, guint64 reporter)
{
  guint i;

  if (reporter == 0 || reporter == suspect_id || wm_find (node, reporter) == NULL)
    return FALSE;
  for (i = 0; i < WM_SUSPICION_REPORTERS; i++)
    {
      if (suspicion->reporters[i] == reporter)
        return FALSE;
      if (suspicion->reporters[i] == 0)
        {
          suspicion->reporters[i] = reporter;
          return TRUE;
        }
    }
  return FALSE;
}

/* No node is declared dead on the report of a single other node: the timeout does not run before
 * enough reporters have confirmed the suspicion. */
static gint64
suspicion_end_us (const WmNode *node, const WmSuspicion *suspicion)
{
  if (count_reporters (suspicion) < node->required_reporters)
    return WB_NEVER;
  return suspicion->start_us + WM_SUSPICION_TIMEOUT_US;
}

/* A ping sent by this node as a relay got no ack. One lost datagram is enough for that, so it only
 * confirms a suspicion that another member has or reports soon. When relays started suspicions
 * themselves, 10% loss led to a quarter of the members being suspected. */
void
wm_relayed_ping_failed (WmNode *node, WmMember *row)
{
  WmFailedRelay *failed = &node->failed_relays[node->next_failed_relay];

  if (row->info.state == WW_MEMBER_SUSPECT)
    {
      wm_suspect (node, row, node->settings.id, 0, node->now_us);
      return;
    }
  *failed = (WmFailedRelay){ row->info.id, node->now_us };
  node->next_failed_relay = (node->next_failed_relay + 1) % WM_FAILED_RELAYS;
}

static gboolean
relay_failed_recently (const WmNode *node, guint64 id)
{
  guint i;

  for (i = 0; i < WM_FAILED_RELAYS; i++)
    if (node->failed_relays[i].target_id == id &&
        node->now_us - node->failed_relays[i].failed_us < WM_SUSPICION_TIMEOUT_US)
      return TRUE;
  return FALSE;
}

/* Endpoints of the same service probe the member at once, which confirms the suspicion or lets the
 * member refute it. */
static void
start_suspicion (WmNode *node, WmMember *row, guint64 reporter)
{
  wb_counters_add (node->counters, WM_COUNTER_SUSPECTED, 1);
  wm_table_set_state (node, row, WW_MEMBER_SUSPECT);
  if (row->info.service_id != 0 && row->info.service_id == node->settings.service_id)
    {
      if (reporter == node->settings.id)
        wm_probe_peers (node);
      else
        wm_probe_member (node, row, WM_PROBE_DIRECT);
    }
}

/* @already_confirmed: the message has two reporters, so that other members already count the
 * timeout from @start_us. Otherwise this node may just have confirmed the suspicion, and the member
 * gets time to refute. */
static void
update_suspicion_start (const WmNode *node,
                        WmSuspicion *suspicion,
                        guint reporters_before,
                        gboolean already_confirmed,
                        gint64 start_us)
{
  if (reporters_before >= node->required_reporters)
    return;
  suspicion->start_us = MIN (suspicion->start_us, start_us);
  if (count_reporters (suspicion) < node->required_reporters)
    return;
  if (already_confirmed)
    suspicion->start_us = start_us;
  else
    suspicion->start_us = MAX (suspicion->start_us, node->now_us - MAX_CONFIRMED_AGE_US);
}

void
wm_suspect (WmNode *node, WmMember *row, guint64 reporter, guint64 second_reporter, gint64 start_us)
{
  gpointer key = GSIZE_TO_POINTER (row->info.id);
  WmSuspicion *suspicion = g_hash_table_lookup (node->suspicions, key);
  WmSuspicion new_suspicion = { .start_us = start_us };
  gboolean added;
  guint reporters_before;

  if (row->info.state >= WW_MEMBER_DEAD)
    return;
  if (suspicion == NULL)
    suspicion = &new_suspicion;
  reporters_before = count_reporters (suspicion);
  added = add_reporter (node, suspicion, row->info.id, reporter);
  added = add_reporter (node, suspicion, row->info.id, second_reporter) || added;
  if (!added)
    return;
  if (relay_failed_recently (node, row->info.id))
    add_reporter (node, suspicion, row->info.id, node->settings.id);
  update_suspicion_start (node, suspicion, reporters_before, second_reporter != 0, start_us);
  if (suspicion == &new_suspicion)
    {
      suspicion = g_memdup2 (&new_suspicion, sizeof new_suspicion);
      g_hash_table_insert (node->suspicions, key, suspicion);
      start_suspicion (node, row, reporter);
    }
  if (suspicion_end_us (node, suspicion) != WB_NEVER)
    {
      node->change_pending = TRUE;
      wm_gossip_push_member (node, row->info.id);
    }
  else
    wm_gossip_queue_member (node, row->info.id);
  node->next_suspicion_scan_us =
      MIN (node->next_suspicion_scan_us, suspicion_end_us (node, suspicion));
}

void
wm_apply_state (WmNode *node, const ww_gossip_state *item, const WmAddress *from)
{
  WmMember *row = wm_find (node, item->id);
  gint64 age_us = (gint64) item->age_ms * WB_US_PER_MS;

  if (item->id == node->settings.id)
    {
      apply_to_self (node, item, from);
      return;
    }
  /* WW_MEMBER_ALIVE only tells a member how the sender lists it; live members are added and updated
   * by their records. */
  if (row == NULL || item->state == WW_MEMBER_ALIVE || item->incarnation < row->info.incarnation)
    return;
  if (item->incarnation > row->info.incarnation)
    {
      clear_suspicion (node, item->id);
      wm_table_set_incarnation (node, row, item->incarnation);
      wm_table_set_state (node, row, WW_MEMBER_ALIVE);
    }
  if (item->state == WW_MEMBER_LEFT)
    {
      if (row->info.state == WW_MEMBER_LEFT)
        return;
      clear_suspicion (node, item->id);
      wm_table_set_state (node, row, WW_MEMBER_LEFT);
      wm_gossip_push_member (node, item->id);
      return;
    }
  wm_suspect (node, row, item->reporter_id, item->second_id,
              node->now_us - MIN (age_us, MAX_SUSPICION_AGE_US));
}

void
wm_state_tick (WmNode *node)
{
  GHashTableIter iter;
  gpointer key, value;
  guint intervals;

  if (node->now_us >= node->next_cleanup_us)
    {
      node->next_cleanup_us = node->now_us + WM_CLEANUP_INTERVAL_US;
      wm_table_remove_old (node);
    }
  if (node->now_us < node->next_suspicion_scan_us)
    return;
  node->next_suspicion_scan_us = WB_NEVER;
  g_hash_table_iter_init (&iter, node->suspicions);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      WmMember *row = wm_find (node, GPOINTER_TO_SIZE (key));
      gint64 end_us = suspicion_end_us (node, value);

      if (row == NULL || row->info.state != WW_MEMBER_SUSPECT)
        continue;
      if (end_us <= node->now_us)
        declare_dead (node, row);
      else
        node->next_suspicion_scan_us = MIN (node->next_suspicion_scan_us, end_us);
    }
  /* With hundreds of suspicions one ends every few milliseconds; the interval grows then, so that
   * one scan handles several. */
  intervals = 1 + g_hash_table_size (node->suspicions) / SUSPICIONS_PER_SCAN;
  node->next_suspicion_scan_us =
      MAX (node->next_suspicion_scan_us, node->now_us + intervals * SUSPICION_SCAN_INTERVAL_US);
}
