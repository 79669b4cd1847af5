#include "wm-private.h"

/* Contacts are tried in turn, so that the nodes of a fleet that starts at once do not ask each
 * contact three times. The turn begins anew at a random contact when the platform has listed more:
 * nodes that began with the same few would go on through the list together. */
#define JOIN_FIRST_RETRY_US (200 * WB_US_PER_MS)
/* The interval grows with each try: a contact through which many nodes join replies late, and then
 * each further join only adds to its load. */
#define JOIN_RETRY_STEP_US (50 * WB_US_PER_MS)
#define JOIN_FAST_TRIES 10
#define JOIN_SLOW_RETRY_US (2 * WB_US_PER_S)
/* A contact through which many nodes join may reply late, because its traffic budget is limited. */
#define JOIN_TIMEOUT_US (5 * WB_US_PER_S)
/* Longer than a reply may wait in the send queue of the other member (500 ms). */
#define BUCKET_TIMEOUT_US (700 * WB_US_PER_MS)
/* A node that has learned fewer configuration versions than required is ready after this time. */
#define READY_MAX_WAIT_US (2 * WB_US_PER_S)

/* A reply with 50 members takes 3 datagrams, which the budget of any member allows at once; the
 * requests for 6,100 members take 11 KB. */
#define MEMBERS_PER_BUCKET 50
/* In a small fleet a bucket fits into one datagram, and buckets are requested from several members:
 * all may be starting at once, and each reply also carries the configuration version of its sender.
 */
#define MEMBERS_PER_SMALL_BUCKET 16
#define MAX_SMALL_BUCKETS 24
/* Members that a node with a list from the platform sends joins to. */
#define LISTED_JOINS 3
/* Members known from which on buckets are requested from any of them. */
#define LIST_SOURCE_MIN_MEMBERS 16
/* An anti-entropy comparison with a random member every 10 s repairs records that gossip did not
 * deliver: the request carries 128 fingerprints, and the reply the records that differ. At 6,100
 * members the whole list is compared within 8 minutes, at 65 bytes a second. */
#define ANTI_ENTROPY_INTERVAL_US (10 * WB_US_PER_S)
#define MEMBERS_PER_ANTI_ENTROPY 128
/* A starting node gets its list from one member, which may itself have started a moment before.
 * The first comparisons are frequent, each with another random member, so that all nodes of a fleet
 * that starts at once know each other within the 1.4 s after which a client gives up; then the
 * interval doubles up to ANTI_ENTROPY_INTERVAL_US. */
#define ANTI_ENTROPY_FIRST_INTERVAL_US (50 * WB_US_PER_MS)
#define ANTI_ENTROPY_FIRST_ROUNDS 16
#define ANTI_ENTROPY_MAX_SHIFT 7

/* Interval while another member knows more members than this one, as when many join at once. */
#define ANTI_ENTROPY_BEHIND_INTERVAL_US WB_US_PER_S
/* Interval while digests differ, as they do for some time after each change; a comparison takes a
 * fifth of the budget of a second. */
#define ANTI_ENTROPY_DIFFERENT_INTERVAL_US (2500 * WB_US_PER_MS)

/* A random dead member is sent a join from time to time, so that the sides of a healed network
 * partition find each other again. When there are many dead members, a partition is more likely
 * than as many failures, and the interval is shorter. */
#define RECONNECT_INTERVAL_US (10 * WB_US_PER_S)
#define RECONNECT_PARTITION_INTERVAL_US WB_US_PER_S
/* Many: more than RECONNECT_PARTITION_MIN_DEAD, and more than this fraction of the live members. */
#define RECONNECT_PARTITION_DIVISOR 8
#define RECONNECT_PARTITION_MIN_DEAD 4

/* When a fleet starts at once, its contacts know no other member yet, so that a node that has
 * joined through one of them sends joins to the others too. The interval doubles up to
 * RECONNECT_INTERVAL_US, which is the first one too when the contact has not recently started: the
 * other contacts are in its list then. */
#define CONTACTS_INTERVAL_US (100 * WB_US_PER_MS)
#define CONTACTS_MAX_SHIFT 6
/* The first round is at most this long after the start: by then most nodes of a fleet that starts
 * at once know the contacts and need no such joins. */
#define CONTACTS_FIRST_MAX_US (400 * WB_US_PER_MS)

void
wm_join_init (WmNode *node)
{
  node->join.pending_buckets = g_array_new (FALSE, FALSE, sizeof (guint));
  node->join.requests = g_array_new (FALSE, FALSE, sizeof (WmMembersRequest));
  node->join.next_join_us = node->now_us;
  node->join.next_contacts_us =
      node->now_us + g_rand_int_range (node->random, CONTACTS_INTERVAL_US, CONTACTS_FIRST_MAX_US);
  node->join.next_anti_entropy_us = WB_NEVER;
  node->join.next_reconnect_us = node->now_us + RECONNECT_INTERVAL_US;
}

void
wm_join_clear (WmNode *node)
{
  g_array_unref (node->join.pending_buckets);
  g_array_unref (node->join.requests);
}

static WmMembersRequest *
request_at (const WmNode *node, guint index)
{
  return &g_array_index (node->join.requests, WmMembersRequest, index);
}

static guint32
add_request (WmNode *node, guint bucket, guint buckets)
{
  WmMembersRequest request = { .xid = wm_next_xid (node),
                               .bucket = bucket,
                               .buckets = buckets,
                               .deadline_us = node->now_us + (buckets == 0 ? JOIN_TIMEOUT_US
                                                                           : BUCKET_TIMEOUT_US) };

  g_array_append_val (node->join.requests, request);
  return request.xid;
}

static void
send_join (WmNode *node, const WmAddress *to, const WmMember *target)
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
  wm_send (node, WM_PRIORITY_TRANSFER, to, &call, xdr_ww_join, &join);
}

static void
join_contact (WmNode *node)
{
  WmJoin *join = &node->join;
  guint count = node->contacts->len;
  const WmAddress *to;

  join->next_join_us = node->now_us + (join->tries < JOIN_FAST_TRIES
                                           ? JOIN_FIRST_RETRY_US + join->tries * JOIN_RETRY_STEP_US
                                           : JOIN_SLOW_RETRY_US);
  if (count == 0)
    return;
  if (join->n_contacts != count)
    {
      join->first_contact = (guint) g_rand_int_range (node->random, 0, (gint32) count);
      join->n_contacts = count;
    }
  to = &g_array_index (node->contacts, WmAddress, (join->first_contact + join->tries++) % count);
  if (to->address != node->settings.address || to->port != node->settings.control_port)
    send_join (node, to, NULL);
}

/* Whether the node is still in the phase of frequent comparisons after its start. */
gboolean
wm_join_recently_started (const WmNode *node)
{
  return node->join.anti_entropy_rounds < ANTI_ENTROPY_FIRST_ROUNDS;
}

static gint64
anti_entropy_interval_us (const WmJoin *join)
{
  guint later_rounds =
      MAX (join->anti_entropy_rounds, ANTI_ENTROPY_FIRST_ROUNDS) - ANTI_ENTROPY_FIRST_ROUNDS;
  guint shift = MIN (later_rounds, ANTI_ENTROPY_MAX_SHIFT);

  return MIN (ANTI_ENTROPY_FIRST_INTERVAL_US << shift, ANTI_ENTROPY_INTERVAL_US);
}

static guint
list_fingerprints (const WmNode *node, guint bucket, guint buckets, guint32 *known)
{
  guint count = 0, i;

  for (i = 0; i < node->rows->len && count < WW_MAX_KNOWN; i++)
    {
      const ww_member *info = &g_array_index (node->rows, WmMember, i).info;

      if (info->id % buckets == bucket)
        known[count++] = wm_member_fingerprint (info);
    }
  return count;
}

static void
request_bucket (WmNode *node, guint bucket, guint buckets)
{
  const WmMember *row = wm_pick_random (node, wm_is_live, 0);
  gboolean from_list_source = !node->join.complete && node->join.list_source.address != 0 &&
                              wm_live_count (node) < LIST_SOURCE_MIN_MEMBERS;
  guint32 known[WW_MAX_KNOWN];
  ww_members_request body = { .member = wm_self (node)->info,
                              .bucket = bucket,
                              .buckets = buckets,
                              .known = { list_fingerprints (node, bucket, buckets, known),
                                         known } };
  WwCall call = { .procedure = WW_PROC_MEMBERS };
  WmAddress to;

  if (row == NULL)
    return;
  /* A contact whose list is complete knows more members than the nodes that joined with this one.
   * It serves the first buckets only: the whole list for each of many joining nodes would use up
   * its budget, and the nodes after them could not join. */
  to = from_list_source ? node->join.list_source : wm_control_address (row);
  call.xid = add_request (node, bucket, buckets);
  wm_send (node, WM_PRIORITY_TRANSFER, &to, &call, xdr_ww_members_request, &body);
}

/* Joins do not count: the contacts that they were sent to may be down. */
static guint
count_bucket_requests (const WmNode *node)
{
  guint count = 0;
  guint i;

  for (i = 0; i < node->join.requests->len; i++)
    count += request_at (node, i)->buckets != 0;
  return count;
}

/* Keeps up to WM_MAX_BUCKET_REQUESTS outstanding until every bucket has arrived. */
static void
request_more (WmNode *node)
{
  WmJoin *join = &node->join;

  if (!join->joined || join->complete)
    return;
  while (join->pending_buckets->len > 0 && count_bucket_requests (node) < WM_MAX_BUCKET_REQUESTS)
    {
      guint bucket = g_array_index (join->pending_buckets, guint, join->pending_buckets->len - 1);

      g_array_set_size (join->pending_buckets, join->pending_buckets->len - 1);
      request_bucket (node, bucket, join->buckets);
    }
  if (join->pending_buckets->len == 0 && count_bucket_requests (node) == 0)
    {
      join->complete = TRUE;
      join->next_anti_entropy_us = node->now_us + ANTI_ENTROPY_FIRST_INTERVAL_US;
    }
}

static void
start_list_fetch (WmNode *node, guint total)
{
  WmJoin *join = &node->join;
  guint i;

  join->joined = TRUE;
  g_array_set_size (join->requests, 0);
  total = MIN (total, WM_MAX_MEMBERS);
  join->buckets =
      MAX (total / MEMBERS_PER_BUCKET, MIN (total / MEMBERS_PER_SMALL_BUCKET, MAX_SMALL_BUCKETS)) +
      1;
  for (i = 0; i < join->buckets; i++)
    g_array_append_val (join->pending_buckets, i);
  /* The acks carry the configuration version of these members. One that does not reply is not
   * suspected: when a fleet starts at once, it may not have started yet. */
  for (i = 0; i < WM_READY_MIN_MEMBERS; i++)
    {
      WmMember *row = wm_pick_random (node, wm_is_live, 0);

      if (row != NULL)
        wm_probe_member (node, row, WM_PROBE_SWEEP);
    }
}

/* Goes on as after a join, with a member list that was read from the platform. It may be some
 * seconds old: the first comparisons with other members bring it up to date, and joins to some of
 * them tell them of the new process. */
void
wm_join_list_known (WmNode *node)
{
  WmJoin *join = &node->join;
  WmAddress addresses[LISTED_JOINS];
  guint64 ids[LISTED_JOINS];
  guint count, i;

  if (wm_live_count (node) < 2)
    return;
  join->joined = join->complete = TRUE;
  g_array_set_size (join->requests, 0);
  g_array_set_size (join->pending_buckets, 0);
  join->next_anti_entropy_us = node->now_us;
  join->next_contacts_us = node->now_us + RECONNECT_INTERVAL_US;
  count = wm_pick_random_many (node, wm_is_live, 0, addresses, ids, LISTED_JOINS);
  for (i = 0; i < count; i++)
    send_join (node, &addresses[i], wm_find (node, ids[i]));
  wm_gossip_push_member (node, node->settings.id);
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

/* A dead member in the list of another member counts as one report of a failure by that member; a
 * departed one is taken over as departed. */
static void
apply_dead_record (WmNode *node, const ww_member *info, guint64 sender_id, const WmAddress *from)
{
  ww_gossip_state item = {
    .id = info->id, .incarnation = info->incarnation, .state = info->state, .reporter_id = sender_id
  };

  wm_apply_state (node, &item, from);
}

static void
apply_record (WmNode *node, const ww_member *info, guint64 sender_id, const WmAddress *from)
{
  const ww_member *self = &wm_self (node)->info;

  if (info->state >= WW_MEMBER_DEAD && info->id != self->id)
    apply_dead_record (node, info, sender_id, from);
  else if (info->id == self->id && info->incarnation == self->incarnation &&
           info->state != WW_MEMBER_ALIVE && !node->leaving)
    wm_raise_incarnation (node, info->incarnation, TRUE);
  else
    wm_apply_member (node, info, FALSE);
}

void
wm_join_handle_reply (WmNode *node,
                      guint32 xid,
                      const WmAddress *from,
                      const ww_members_reply *reply)
{
  gint index = find_request (node, xid);
  WmMembersRequest *request;
  guint i;

  if (index < 0)
    return;
  for (i = 0; i < reply->members.members_len; i++)
    apply_record (node, &reply->members.members_val[i], reply->sender_id, from);
  wm_join_version_received (node, reply->sender_id, reply->config.config_version);
  wm_fetch_version_announced (node, &reply->config, from);
  if (node->join.complete && reply->total > wm_live_count (node))
    node->join.next_anti_entropy_us =
        MIN (node->join.next_anti_entropy_us, node->now_us + ANTI_ENTROPY_BEHIND_INTERVAL_US);
  request = request_at (node, (guint) index);
  if (request->buckets == 0)
    {
      g_array_remove_index_fast (node->join.requests, (guint) index);
      if (!node->join.joined)
        {
          /* Contacts that have just started are not used as the source of the list: all other nodes
           * of a fleet that starts at once would request it from them, which their budget does not
           * allow. */
          if (reply->settled)
            {
              node->join.list_source = *from;
              node->join.next_contacts_us = node->now_us + RECONNECT_INTERVAL_US;
            }
          wm_gossip_queue_member (node, node->settings.id);
          start_list_fetch (node, reply->total);
        }
    }
  else if (reply->parts > 0 && reply->parts < 32 && reply->part < reply->parts)
    {
      request->received_parts |= 1U << reply->part;
      if (request->received_parts == (1U << reply->parts) - 1)
        g_array_remove_index_fast (node->join.requests, (guint) index);
    }
  request_more (node);
}

/* A bucket whose request timed out is requested from another member. */
static void
expire_requests (WmNode *node)
{
  guint i = 0;

  while (i < node->join.requests->len)
    {
      WmMembersRequest request = *request_at (node, i);

      if (request.deadline_us > node->now_us)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (node->join.requests, i);
      node->join.list_source.address = 0;
      if (!node->join.complete && request.buckets != 0)
        g_array_append_val (node->join.pending_buckets, request.bucket);
    }
}

static void
reconnect_dead_member (WmNode *node)
{
  const WmMember *row = NULL;
  guint live = node->state_counts[WW_MEMBER_ALIVE];
  guint dead = node->state_counts[WW_MEMBER_DEAD];
  gboolean partition_likely =
      dead > RECONNECT_PARTITION_MIN_DEAD && dead * RECONNECT_PARTITION_DIVISOR > live;
  WmAddress to;

  node->join.next_reconnect_us =
      node->now_us + (partition_likely ? RECONNECT_PARTITION_INTERVAL_US : RECONNECT_INTERVAL_US);
  if (dead > 0)
    row = wm_pick_random (node, wm_is_dead, 0);
  if (row == NULL)
    return;
  to = wm_control_address (row);
  send_join (node, &to, row);
}

static void
join_unknown_contacts (WmNode *node)
{
  WmJoin *join = &node->join;
  guint i;

  join->next_contacts_us =
      node->now_us + MIN (CONTACTS_INTERVAL_US << join->contact_rounds, RECONNECT_INTERVAL_US);
  join->contact_rounds = MIN (join->contact_rounds + 1, CONTACTS_MAX_SHIFT);
  for (i = 0; i < node->contacts->len; i++)
    {
      const WmAddress *contact = &g_array_index (node->contacts, WmAddress, i);

      if (!wm_node_is_member (node, contact->address))
        send_join (node, contact, NULL);
    }
}

/* Members without a configuration do not count: after all have restarted, three of them would
 * otherwise confirm to each other that there is none newer than a copy of some seconds ago. */
void
wm_join_version_received (WmNode *node, guint64 id, guint64 config_version)
{
  WmJoin *join = &node->join;
  guint i;

  if (join->n_version_sources == WM_READY_MIN_MEMBERS || id == node->settings.id ||
      config_version == 0)
    return;
  for (i = 0; i < join->n_version_sources; i++)
    if (join->version_sources[i] == id)
      return;
  join->version_sources[join->n_version_sources++] = id;
}

/* Brings the next comparison forward when the list of another member differs. In a large fleet,
 * which has no digest, only a higher member count indicates this. While updates are still being
 * piggybacked a higher count is expected and ignored, except by a node that started recently and
 * may have joined only a part of the fleet. */
void
wm_join_compare_digest (WmNode *node, guint n_members, guint32 digest)
{
  WmJoin *join = &node->join;
  gint64 interval_us = ANTI_ENTROPY_BEHIND_INTERVAL_US;
  gboolean behind;

  if (!join->complete)
    return;
  if (digest != 0 && node->rows->len <= WM_SMALL_FLEET_MEMBERS)
    {
      behind = digest != wm_member_list_digest (node);
      interval_us = ANTI_ENTROPY_DIFFERENT_INTERVAL_US;
    }
  else
    behind = n_members > wm_live_count (node) &&
             (wm_join_recently_started (node) || g_queue_is_empty (&node->updates));
  if (behind)
    join->next_anti_entropy_us = MIN (join->next_anti_entropy_us,
                                      MAX (node->now_us, join->last_anti_entropy_us + interval_us));
}

static void
update_ready (WmNode *node)
{
  WmJoin *join = &node->join;
  gboolean waited = node->now_us - node->start_us >= READY_MAX_WAIT_US;

  if (join->ready || node->config.fetch.version != 0)
    return;
  if (join->joined)
    join->ready = join->complete && (waited || join->n_version_sources == WM_READY_MIN_MEMBERS);
  else
    join->ready = waited;
}

gboolean
wm_node_ready (const WmNode *node)
{
  return node->join.ready;
}

gboolean
wm_node_members_complete (const WmNode *node)
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
  if (!join->joined && node->now_us >= join->next_join_us)
    join_contact (node);
  if (node->now_us >= join->next_anti_entropy_us)
    {
      guint buckets = node->rows->len / MEMBERS_PER_ANTI_ENTROPY + 1;

      join->anti_entropy_rounds++;
      join->last_anti_entropy_us = node->now_us;
      join->next_anti_entropy_us = node->now_us + anti_entropy_interval_us (join);
      request_bucket (node, (guint) g_rand_int_range (node->random, 0, (gint32) buckets), buckets);
    }
  if (node->now_us >= join->next_reconnect_us)
    reconnect_dead_member (node);
  if (join->joined && node->now_us >= join->next_contacts_us)
    join_unknown_contacts (node);
  update_ready (node);
}

gint64
wm_join_next_us (const WmNode *node)
{
  const WmJoin *join = &node->join;
  gint64 next_us =
      node->leaving ? WB_NEVER : MIN (join->next_anti_entropy_us, join->next_reconnect_us);
  gint64 ready_us = node->start_us + READY_MAX_WAIT_US;
  guint i;

  if (!node->leaving)
    next_us = MIN (next_us, join->joined ? join->next_contacts_us : join->next_join_us);
  if (!join->ready && !node->leaving && node->now_us < ready_us)
    next_us = MIN (next_us, ready_us);
  for (i = 0; i < join->requests->len; i++)
    next_us = MIN (next_us, request_at (node, i)->deadline_us);
  return next_us;
}
