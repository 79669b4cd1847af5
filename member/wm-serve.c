#include "wm-private.h"

/* Limit for the reply to one request: 8 datagrams would exceed the burst that the budget allows. */
#define MAX_REPLY_DATAGRAMS 6

/* Members listed to a joining node, which requests the whole list from them. */
#define JOIN_REPLY_MEMBERS 4

static void
send_reply (WmNode *node,
            WmSendPriority priority,
            const WmAddress *to,
            guint32 xid,
            ww_members_reply *reply,
            ww_member *members,
            guint count)
{
  WwCall call = { .xid = xid, .is_reply = TRUE };

  reply->sender_id = node->settings.id;
  reply->settled = !wm_join_recently_started (node);
  reply->config = wm_config_id (node);
  reply->total = wm_live_count (node);
  reply->members.members_val = members;
  reply->members.members_len = count;
  wm_send (node, priority, to, &call, xdr_ww_members_reply, reply);
}

/* Joins and requests for members are accepted from unknown addresses, but can only add or update a
 * record whose address is that of the sender. */
static gboolean
apply_sender_record (WmNode *node, const WmAddress *from, const ww_member *member)
{
  if (member->address == from->address && wm_member_control_port (member) == from->port &&
      member->id != node->settings.id && !node->leaving)
    {
      wm_apply_member (node, member, TRUE);
      return TRUE;
    }
  wb_counters_add (node->counters, WM_COUNTER_UNKNOWN_SENDER, 1);
  return FALSE;
}

void
wm_serve_join (WmNode *node, const WmAddress *from, guint32 xid, const ww_join *join)
{
  ww_member members[JOIN_REPLY_MEMBERS + 2];
  ww_members_reply reply = { .parts = 1 };
  WmAddress addresses[JOIN_REPLY_MEMBERS];
  guint64 ids[JOIN_REPLY_MEMBERS];
  const WmMember *row;
  guint count = 0, picked, i;

  if (!apply_sender_record (node, from, &join->member))
    return;
  if (join->target_id == node->settings.id && join->target_state != WW_MEMBER_ALIVE &&
      join->target_incarnation >= wm_self (node)->info.incarnation)
    wm_raise_incarnation (node, join->target_incarnation, TRUE);
  row = wm_find (node, join->member.id);
  if (row != NULL &&
      (row->info.incarnation != join->member.incarnation || row->info.state != WW_MEMBER_ALIVE))
    members[count++] = row->info;
  members[count++] = wm_self (node)->info;
  picked =
      wm_pick_random_many (node, wm_is_live, join->member.id, addresses, ids, JOIN_REPLY_MEMBERS);
  for (i = 0; i < picked; i++)
    members[count++] = wm_find (node, ids[i])->info;
  send_reply (node, WM_PRIORITY_JOIN, from, xid, &reply, members, count);
}

/* Equal for two nodes that list the same live members with the same incarnations. Return: 0 in a
 * large fleet */
guint32
wm_member_list_digest (const WmNode *node)
{
  return node->rows->len > WM_SMALL_FLEET_MEMBERS ? 0 : node->list_digest;
}

static gboolean
is_known_as (const ww_members_request *request, const ww_member *info, ww_member_state state)
{
  ww_member record = *info;
  guint32 fingerprint;
  guint i;

  record.state = state;
  fingerprint = wm_member_fingerprint (&record);

  for (i = 0; i < request->known.known_len; i++)
    if (request->known.known_val[i] == fingerprint)
      return TRUE;
  return FALSE;
}

/* Whether the reply contains the record: live members that the requester does not list in the same
 * state, and dead or departed ones that it lists as live. */
static gboolean
reply_includes (const ww_members_request *request, const ww_member *info)
{
  if (info->id % request->buckets != request->bucket)
    return FALSE;
  if (info->state <= WW_MEMBER_SUSPECT)
    return !is_known_as (request, info, info->state);
  return is_known_as (request, info, WW_MEMBER_ALIVE) ||
         is_known_as (request, info, WW_MEMBER_SUSPECT);
}

void
wm_serve_members (WmNode *node,
                  const WmAddress *from,
                  guint32 xid,
                  const ww_members_request *request)
{
  ww_member members[MAX_REPLY_DATAGRAMS * WW_MAX_MEMBERS];
  ww_members_reply reply = { .bucket = request->bucket, .buckets = request->buckets };
  guint count = 0, i;

  if (request->buckets == 0 || request->bucket >= request->buckets ||
      !apply_sender_record (node, from, &request->member))
    return;
  for (i = 0; i < node->rows->len && count < G_N_ELEMENTS (members); i++)
    {
      const ww_member *info = &g_array_index (node->rows, WmMember, i).info;

      if (reply_includes (request, info))
        members[count++] = *info;
    }
  reply.parts = MAX (1, (count + WW_MAX_MEMBERS - 1) / WW_MAX_MEMBERS);
  /* In a small fleet the reply is one datagram, and the next comparison gets the rest from
   * another member: when all nodes start at once, all of them ask the contacts first, which would
   * use up the budget of the contacts. */
  if (node->rows->len <= WM_SMALL_FLEET_MEMBERS)
    reply.parts = MIN (reply.parts, 1);
  for (i = 0; i < reply.parts; i++)
    {
      reply.part = i;
      send_reply (node, WM_PRIORITY_TRANSFER, from, xid, &reply,
                  members + (gsize) i * WW_MAX_MEMBERS,
                  MIN (count - i * WW_MAX_MEMBERS, WW_MAX_MEMBERS));
    }
}
