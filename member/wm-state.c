#include "wm-private.h"

/* Older suspicions carry no information about the order of events. */
#define MAX_AGE_US (600 * WB_US_PER_S)

static void
clear_suspicion (WmNode *node, guint64 id)
{
  g_hash_table_remove (node->suspicions, GSIZE_TO_POINTER (id));
}

/* An epoch above that of an earlier process of the same name, or else the next number. */
void
wm_raise_incarnation (WmNode *node, guint64 above)
{
  ww_member *self = &wm_self (node)->info;

  if (wm_incarnation_epoch (above) > wm_incarnation_epoch (self->incarnation))
    self->incarnation = (wm_incarnation_epoch (above) + 1) << 32;
  else
    self->incarnation = MAX (self->incarnation, above) + 1;
  node->changed = TRUE;
  wm_news_member (node, self->id);
}

static void
apply_to_self (WmNode *node, const ww_gossip_state *item, const WmContact *from)
{
  guint64 own = wm_self (node)->info.incarnation;

  if (node->leaving)
    return;
  if (item->incarnation < own)
    {
      wm_gossip_send_self (node, from);
      return;
    }
  if (item->state == WW_MEMBER_ALIVE && item->incarnation == own)
    return;
  wb_counters_add (node->counters, WM_COUNTER_REFUTED, 1);
  wm_raise_incarnation (node, item->incarnation);
}

static gboolean
valid_member (const ww_member *info)
{
  return info->id != 0 && info->address != 0 && wm_member_control_port (info) != 0 &&
         (info->role == WW_ROLE_BALANCER || info->role == WW_ROLE_AGENT);
}

/* A record of a live member. Its state is that of the sender's view and is not taken over. Records
 * from a list of members are not spread: the others have them already. */
void
wm_apply_member (WmNode *node, const ww_member *info, gboolean spread)
{
  WmMember *row = wm_find (node, info->id);
  ww_member alive = *info;

  if (info->id == node->settings.id)
    {
      if (info->incarnation > wm_self (node)->info.incarnation && !node->leaving)
        wm_raise_incarnation (node, info->incarnation);
      return;
    }
  alive.state = WW_MEMBER_ALIVE;
  if (!valid_member (info))
    return;
  if (row == NULL)
    {
      if (wm_table_add (node, &alive) != NULL && spread)
        wm_news_member (node, info->id);
      return;
    }
  if (info->incarnation <= row->info.incarnation)
    return;
  if (row->info.state == WW_MEMBER_SUSPECT)
    wm_zone_alive (node, row->info.zone);
  clear_suspicion (node, info->id);
  wm_table_update (node, row, &alive);
  wm_table_set_state (node, row, WW_MEMBER_ALIVE);
  if (spread)
    wm_news_member (node, info->id);
}

static void
declare_dead (WmNode *node, WmMember *row)
{
  wb_counters_add (node->counters, WM_COUNTER_DECLARED_DEAD, 1);
  wm_table_set_state (node, row, WW_MEMBER_DEAD);
}

static guint
count_reporters (const WmSuspicion *suspicion)
{
  guint i, count = 0;

  for (i = 0; i < WM_REPORTERS; i++)
    count += suspicion->reporters[i] != 0;
  return count;
}

static gboolean
add_reporter (const WmNode *node, WmSuspicion *suspicion, guint64 subject, guint64 reporter)
{
  guint i;

  if (reporter == 0 || reporter == subject || wm_find (node, reporter) == NULL)
    return FALSE;
  for (i = 0; i < WM_REPORTERS; i++)
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

/* When the suspicion ends; never before enough reporters have confirmed it (R6). */
static gint64
suspicion_end_us (const WmNode *node, const WmSuspicion *suspicion)
{
  if (count_reporters (suspicion) < node->required_reporters)
    return WB_NEVER;
  return suspicion->start_us + WM_SUSPICION_US;
}

/* Service peers try for themselves at once, which confirms the suspicion or lets the member answer.
 */
static void
suspicion_began (WmNode *node, WmMember *row, guint64 reporter)
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

void
wm_suspect (WmNode *node, WmMember *row, guint64 reporter, guint64 second, gint64 start_us)
{
  gpointer key = GSIZE_TO_POINTER (row->info.id);
  WmSuspicion *suspicion = g_hash_table_lookup (node->suspicions, key);
  WmSuspicion fresh = { .start_us = start_us };
  gboolean added;

  if (row->info.state >= WW_MEMBER_DEAD)
    return;
  if (suspicion == NULL)
    suspicion = &fresh;
  added = add_reporter (node, suspicion, row->info.id, reporter);
  added = add_reporter (node, suspicion, row->info.id, second) || added;
  if (!added)
    return;
  suspicion->start_us = MIN (suspicion->start_us, start_us);
  if (suspicion == &fresh)
    {
      suspicion = g_memdup2 (&fresh, sizeof fresh);
      g_hash_table_insert (node->suspicions, key, suspicion);
      suspicion_began (node, row, reporter);
    }
  wm_news_member (node, row->info.id);
  node->suspicion_due_us = MIN (node->suspicion_due_us, suspicion_end_us (node, suspicion));
}

void
wm_apply_state (WmNode *node, const ww_gossip_state *item, const WmContact *from)
{
  WmMember *row = wm_find (node, item->id);
  gint64 age_us = (gint64) item->age_ms * WB_US_PER_MS;

  if (item->id == node->settings.id)
    {
      apply_to_self (node, item, from);
      return;
    }
  /* ALIVE only tells a member how the sender knows it; its own record says the rest. */
  if (row == NULL || item->state == WW_MEMBER_ALIVE || item->incarnation < row->info.incarnation)
    return;
  if (item->incarnation > row->info.incarnation)
    {
      clear_suspicion (node, item->id);
      row->info.incarnation = item->incarnation;
      wm_table_set_state (node, row, WW_MEMBER_ALIVE);
    }
  if (item->state == WW_MEMBER_LEFT)
    {
      if (row->info.state == WW_MEMBER_LEFT)
        return;
      clear_suspicion (node, item->id);
      wm_table_set_state (node, row, WW_MEMBER_LEFT);
      wm_news_member (node, item->id);
      return;
    }
  wm_suspect (node, row, item->reporter_id, item->second_id,
              node->now_us - MIN (age_us, MAX_AGE_US));
}

void
wm_state_tick (WmNode *node)
{
  GHashTableIter iter;
  gpointer key, value;

  if (node->now_us >= node->cleanup_us)
    {
      node->cleanup_us = node->now_us + 60 * WB_US_PER_S;
      wm_table_remove_old (node);
    }
  if (node->now_us < node->suspicion_due_us)
    return;
  node->suspicion_due_us = WB_NEVER;
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
        node->suspicion_due_us = MIN (node->suspicion_due_us, end_us);
    }
}
