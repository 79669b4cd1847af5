#include "wm-private.h"

/* One contact after the other, so that a fleet that starts at once does not ask each of them
 * thrice. */
#define JOIN_RETRY_US (200 * WB_US_PER_MS)
#define JOIN_QUICK_TRIES 10
#define JOIN_RETRY_MAX_US (2 * WB_US_PER_S)
/* A contact that is asked by many answers late, as far as its budget allows. */
#define JOIN_TIMEOUT_US (5 * WB_US_PER_S)
/* Longer than an answer waits for the budget of its sender. */
#define REQUEST_TIMEOUT_US (700 * WB_US_PER_MS)
#define READY_WAIT_US (2 * WB_US_PER_S)

/* An answer about 50 members takes 3 datagrams, which any member's budget allows at once, and the
 * requests for 6,100 members take 11 KB. */
#define MEMBERS_PER_BUCKET 50
/* A small fleet is asked in answers of one datagram from several members: all may be starting at
 * once, and the versions that they know are heard with the answers. */
#define MEMBERS_PER_FEW 16
#define FEW_BUCKETS 24
/* A comparison with another member every 10 s repairs a record that gossip did not deliver: 128
 * fingerprints in the request, and an answer with what differs. At 6,100 members the whole list is
 * compared within 8 minutes, for 65 bytes a second. */
#define SYNC_INTERVAL_US (10 * WB_US_PER_S)
#define MEMBERS_PER_SYNC 128
/* The list that a node starts with is that of one member, which may have started a moment before.
 * It is compared often at first, with another member each time, so that a fleet which starts at
 * once knows all its members within the 1.4 s after which a client gives up; then the interval
 * doubles up to the usual one. */
#define SYNC_FIRST_INTERVAL_US (50 * WB_US_PER_MS)
#define SYNC_FIRST_ROUNDS 16
#define SYNC_MAX_SHIFT 7

/* Used while others know more members, as when many join at once. */
#define SYNC_BEHIND_INTERVAL_US WB_US_PER_S
/* Lists differ for a while after each change; a comparison takes a fifth of the budget of a second.
 */
#define SYNC_DIFFERENT_INTERVAL_US (2500 * WB_US_PER_MS)

/* A dead member is asked to join now and then. When much of the fleet is dead, a network partition
 * is more likely than as many failures, and each member asks more often. */
#define REVIVE_INTERVAL_US (10 * WB_US_PER_S)
#define REVIVE_MANY_INTERVAL_US WB_US_PER_S
#define REVIVE_MANY_SHARE 8

/* Contacts of a fleet that starts at once know nobody yet, so that a node which has joined through
 * one of them asks the others too. The interval doubles up to that of the revival of dead members.
 */
#define CONTACTS_INTERVAL_US (100 * WB_US_PER_MS)
#define CONTACTS_MAX_SHIFT 6
/* Most nodes of a fleet that starts at once know the contacts before this time has passed. */
#define CONTACTS_SPREAD_US (400 * WB_US_PER_MS)

void
wm_join_init (WmNode *node)
{
  node->join.todo = g_array_new (FALSE, FALSE, sizeof (guint));
  node->join.requests = g_array_new (FALSE, FALSE, sizeof (WmMembersRequest));
  node->join.retry_us = node->now_us;
  node->join.contacts_us =
      node->now_us + g_rand_int_range (node->random, CONTACTS_INTERVAL_US, CONTACTS_SPREAD_US);
  node->join.sync_us = WB_NEVER;
  node->join.revive_us = node->now_us + REVIVE_INTERVAL_US;
}

void
wm_join_clear (WmNode *node)
{
  g_array_unref (node->join.todo);
  g_array_unref (node->join.requests);
}

static WmMembersRequest *
request_at (const WmNode *node, guint number)
{
  return &g_array_index (node->join.requests, WmMembersRequest, number);
}

static guint32
add_request (WmNode *node, guint bucket, guint buckets)
{
  WmMembersRequest request = { .xid = wm_next_xid (node),
                               .bucket = bucket,
                               .buckets = buckets,
                               .due_us = node->now_us +
                                         (buckets == 0 ? JOIN_TIMEOUT_US : REQUEST_TIMEOUT_US) };

  g_array_append_val (node->join.requests, request);
  return request.xid;
}

static void
send_join (WmNode *node, const WmContact *to, const WmMember *target)
{
  WwCall call = { .procedure = WW_PROC_JOIN };
  ww_join join = { .member = wm_self (node)->info };

  if (target != NULL)
    {
      join.target_id = target->info.id;
      join.target_incarnation = target->info.incarnation;
      join.target_state = target->info.state;
    }
  call.xid = add_request (node, 0, 0);
  wm_send (node, WM_CLASS_CONFIG, to, &call, xdr_ww_join, &join);
}

static void
join_contact (WmNode *node)
{
  WmJoin *join = &node->join;
  guint count = node->contacts->len;
  const WmContact *to;

  join->retry_us =
      node->now_us + (join->tries < JOIN_QUICK_TRIES ? JOIN_RETRY_US : JOIN_RETRY_MAX_US);
  if (count == 0)
    return;
  if (join->tries == 0)
    join->first_contact = (guint) g_rand_int_range (node->random, 0, (gint32) count);
  to = &g_array_index (node->contacts, WmContact, (join->first_contact + join->tries++) % count);
  if (to->address != node->settings.address || to->port != node->settings.control_port)
    send_join (node, to, NULL);
}

/* Whether the node has started so lately that its list is still being compared often. */
gboolean
wm_join_is_young (const WmNode *node)
{
  return node->join.sync_rounds < SYNC_FIRST_ROUNDS;
}

static gint64
sync_interval (const WmJoin *join)
{
  guint later_rounds = MAX (join->sync_rounds, SYNC_FIRST_ROUNDS) - SYNC_FIRST_ROUNDS;
  guint shift = MIN (later_rounds, SYNC_MAX_SHIFT);

  return MIN (SYNC_FIRST_INTERVAL_US << shift, SYNC_INTERVAL_US);
}

static guint
list_known (const WmNode *node, guint bucket, guint buckets, guint32 *known)
{
  guint count = 0, i;

  for (i = 0; i < node->rows->len && count < WW_MAX_KNOWN; i++)
    {
      const ww_member *info = &g_array_index (node->rows, WmMember, i).info;

      if (info->id % buckets == bucket)
        known[count++] = wm_serve_fingerprint (info);
    }
  return count;
}

static void
request_bucket (WmNode *node, guint bucket, guint buckets)
{
  const WmMember *row = wm_pick (node, wm_is_live, 0);
  gboolean first = !node->join.complete && node->join.contact.address != 0;
  guint32 known[WW_MAX_KNOWN];
  ww_members_request body = { .member = wm_self (node)->info,
                              .bucket = bucket,
                              .buckets = buckets,
                              .known = { list_known (node, bucket, buckets, known), known } };
  WwCall call = { .procedure = WW_PROC_MEMBERS };
  WmContact to;

  if (row == NULL)
    return;
  /* A settled contact knows more members than those that joined with this node. */
  to = first ? node->join.contact : wm_contact (row);
  call.xid = add_request (node, bucket, buckets);
  wm_send (node, WM_CLASS_CONFIG, &to, &call, xdr_ww_members_request, &body);
}

/* Requests for buckets, without the joins sent to contacts that may be down. */
static guint
count_bucket_requests (const WmNode *node)
{
  guint count = 0;
  guint i;

  for (i = 0; i < node->join.requests->len; i++)
    count += request_at (node, i)->buckets != 0;
  return count;
}

/* Keeps a few requests under way until every bucket has been answered. */
static void
request_more (WmNode *node)
{
  WmJoin *join = &node->join;

  if (!join->joined || join->complete)
    return;
  while (join->todo->len > 0 && count_bucket_requests (node) < WM_JOIN_WINDOW)
    {
      guint bucket = g_array_index (join->todo, guint, join->todo->len - 1);

      g_array_set_size (join->todo, join->todo->len - 1);
      request_bucket (node, bucket, join->buckets);
    }
  if (join->todo->len == 0 && count_bucket_requests (node) == 0)
    {
      join->complete = TRUE;
      join->sync_us = node->now_us + SYNC_FIRST_INTERVAL_US;
    }
}

static void
begin_sync (WmNode *node, guint total)
{
  WmJoin *join = &node->join;
  guint i;

  join->joined = TRUE;
  g_array_set_size (join->requests, 0);
  total = MIN (total, WM_MAX_TABLE);
  join->buckets = MAX (total / MEMBERS_PER_BUCKET, MIN (total / MEMBERS_PER_FEW, FEW_BUCKETS)) + 1;
  for (i = 0; i < join->buckets; i++)
    g_array_append_val (join->todo, i);
  /* Their answers carry the configuration version. */
  for (i = 0; i < WM_READY_MEMBERS; i++)
    {
      WmMember *row = wm_pick (node, wm_is_live, 0);

      if (row != NULL)
        wm_probe_member (node, row, WM_PROBE_DIRECT);
    }
}

static gint
find_request (const WmNode *node, guint32 xid)
{
  guint i;

  for (i = 0; i < node->join.requests->len; i++)
    if (request_at (node, i)->xid == xid)
      return (gint) i;
  return -1;
}

gboolean
wm_join_is_pending (const WmNode *node, guint32 xid)
{
  return find_request (node, xid) >= 0;
}

/* The sender of a list takes the member for dead, which counts as one report of a failure, or knows
 * that it has left. */
static void
apply_gone_record (WmNode *node, const ww_member *info, guint64 sender_id, const WmContact *from)
{
  ww_gossip_state item = {
    .id = info->id, .incarnation = info->incarnation, .state = info->state, .reporter_id = sender_id
  };

  wm_apply_state (node, &item, from);
}

static void
apply_record (WmNode *node, const ww_member *info, guint64 sender_id, const WmContact *from)
{
  const ww_member *self = &wm_self (node)->info;

  if (info->state >= WW_MEMBER_DEAD && info->id != self->id)
    apply_gone_record (node, info, sender_id, from);
  else if (info->id == self->id && info->incarnation == self->incarnation &&
           info->state != WW_MEMBER_ALIVE && !node->leaving)
    wm_raise_incarnation (node, info->incarnation, TRUE);
  else
    wm_apply_member (node, info, FALSE);
}

void
wm_join_reply (WmNode *node, guint32 xid, const WmContact *from, const ww_members_reply *reply)
{
  gint number = find_request (node, xid);
  WmMembersRequest *request;
  guint i;

  if (number < 0)
    return;
  for (i = 0; i < reply->members.members_len; i++)
    apply_record (node, &reply->members.members_val[i], reply->sender_id, from);
  wm_join_heard (node, reply->sender_id);
  wm_fetch_heard (node, &reply->config, from);
  if (node->join.complete && reply->total > wm_live_count (node))
    node->join.sync_us = MIN (node->join.sync_us, node->now_us + SYNC_BEHIND_INTERVAL_US);
  request = request_at (node, (guint) number);
  if (request->buckets == 0)
    {
      g_array_remove_index_fast (node->join.requests, (guint) number);
      if (!node->join.joined)
        {
          /* Contacts that have just started would be asked for whole lists by all others of a fleet
           * that starts at once, which their budget does not allow. */
          if (reply->settled)
            node->join.contact = *from;
          wm_update_quiet (node, node->settings.id);
          begin_sync (node, reply->total);
        }
    }
  else if (reply->parts > 0 && reply->parts < 32 && reply->part < reply->parts)
    {
      request->parts |= 1U << reply->part;
      if (request->parts == (1U << reply->parts) - 1)
        g_array_remove_index_fast (node->join.requests, (guint) number);
    }
  request_more (node);
}

/* A bucket that was not answered is asked of another member. */
static void
expire_requests (WmNode *node)
{
  guint i = 0;

  while (i < node->join.requests->len)
    {
      WmMembersRequest request = *request_at (node, i);

      if (request.due_us > node->now_us)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (node->join.requests, i);
      node->join.contact.address = 0;
      if (!node->join.complete && request.buckets != 0)
        g_array_append_val (node->join.todo, request.bucket);
    }
}

static void
revive (WmNode *node)
{
  const WmMember *row = NULL;
  guint live = node->in_state[WW_MEMBER_ALIVE];
  guint dead = node->in_state[WW_MEMBER_DEAD];
  gboolean many = dead > 4 && dead * REVIVE_MANY_SHARE > live;
  WmContact to;

  node->join.revive_us = node->now_us + (many ? REVIVE_MANY_INTERVAL_US : REVIVE_INTERVAL_US);
  if (dead > 0)
    row = wm_pick (node, wm_is_dead, 0);
  if (row == NULL)
    return;
  to = wm_contact (row);
  send_join (node, &to, row);
}

static void
join_unknown_contacts (WmNode *node)
{
  WmJoin *join = &node->join;
  guint i;

  join->contacts_us =
      node->now_us + MIN (CONTACTS_INTERVAL_US << join->contact_rounds, REVIVE_INTERVAL_US);
  join->contact_rounds = MIN (join->contact_rounds + 1, CONTACTS_MAX_SHIFT);
  for (i = 0; i < node->contacts->len; i++)
    {
      const WmContact *contact = &g_array_index (node->contacts, WmContact, i);

      if (!wm_node_is_member (node, contact->address))
        send_join (node, contact, NULL);
    }
}

void
wm_join_heard (WmNode *node, guint64 id)
{
  WmJoin *join = &node->join;
  guint i;

  if (join->n_heard == WM_READY_MEMBERS || id == node->settings.id)
    return;
  for (i = 0; i < join->n_heard; i++)
    if (join->heard[i] == id)
      return;
  join->heard[join->n_heard++] = id;
}

/* Another member knows other members. In a large fleet only a higher number counts, and while items
 * go round that is to be expected, but not by a node that has just started and may have joined a
 * part of the fleet only. */
void
wm_join_heard_list (WmNode *node, guint members, guint32 digest)
{
  WmJoin *join = &node->join;
  gint64 interval_us = SYNC_BEHIND_INTERVAL_US;
  gboolean behind;

  if (!join->complete)
    return;
  if (digest != 0 && node->rows->len <= WM_SMALL_FLEET)
    {
      behind = digest != wm_serve_digest (node);
      interval_us = SYNC_DIFFERENT_INTERVAL_US;
    }
  else
    behind = members > wm_live_count (node) &&
             (wm_join_is_young (node) || g_queue_is_empty (&node->updates));
  if (behind)
    join->sync_us = MIN (join->sync_us, MAX (node->now_us, join->synced_us + interval_us));
}

static void
update_ready (WmNode *node)
{
  WmJoin *join = &node->join;
  gboolean waited = node->now_us - node->start_us >= READY_WAIT_US;

  if (join->ready || node->config.fetch.version != 0)
    return;
  if (join->joined)
    join->ready = join->complete && (waited || join->n_heard == WM_READY_MEMBERS);
  else
    join->ready = waited;
}

gboolean
wm_node_ready (const WmNode *node)
{
  return node->join.ready;
}

gboolean
wm_node_knows_members (const WmNode *node)
{
  return node->join.complete;
}

void
wm_join_tick (WmNode *node)
{
  WmJoin *join = &node->join;

  expire_requests (node);
  request_more (node);
  if (node->leaving)
    return;
  if (!join->joined && node->now_us >= join->retry_us)
    join_contact (node);
  if (node->now_us >= join->sync_us)
    {
      guint buckets = node->rows->len / MEMBERS_PER_SYNC + 1;

      join->sync_rounds++;
      join->synced_us = node->now_us;
      join->sync_us = node->now_us + sync_interval (join);
      request_bucket (node, (guint) g_rand_int_range (node->random, 0, (gint32) buckets), buckets);
    }
  if (node->now_us >= join->revive_us)
    revive (node);
  if (join->joined && node->now_us >= join->contacts_us)
    join_unknown_contacts (node);
  update_ready (node);
}

gint64
wm_join_next_us (const WmNode *node)
{
  const WmJoin *join = &node->join;
  gint64 next_us = node->leaving ? WB_NEVER : MIN (join->sync_us, join->revive_us);
  gint64 ready_us = node->start_us + READY_WAIT_US;
  guint i;

  if (!node->leaving)
    next_us = MIN (next_us, join->joined ? join->contacts_us : join->retry_us);
  if (!join->ready && !node->leaving && node->now_us < ready_us)
    next_us = MIN (next_us, ready_us);
  for (i = 0; i < join->requests->len; i++)
    next_us = MIN (next_us, request_at (node, i)->due_us);
  return next_us;
}
