#include "wm-private.h"

#include <math.h>

#define MAX_CONTACTS 64
/* Bounds the datagrams that a leaving node sends at once in a large service. */
#define MAX_NOTIFIED_PEERS 16
/* Steps of an encoded link capacity that are a factor of 2. */
#define CAPACITY_STEPS 8

static const WbCounterDef counter_definitions[WM_N_COUNTERS] = {
  [WM_COUNTER_SENT_BYTES] = { "member_sent_bytes",
                              "Bytes of control datagrams sent, IPv4 and UDP headers included." },
  [WM_COUNTER_SENT_MESSAGES] = { "member_sent_messages", "Control datagrams sent." },
  [WM_COUNTER_RECEIVED_MESSAGES] = { "member_received_messages", "Control datagrams of membership "
                                                                 "and configuration received." },
  [WM_COUNTER_OVER_BUDGET] = { "member_over_budget",
                               "Control datagrams not sent because of the limit on traffic." },
  [WM_COUNTER_UNKNOWN_SENDER] = { "member_unknown_sender",
                                  "Control datagrams from addresses of no known member." },
  [WM_COUNTER_MALFORMED] = { "member_malformed", "Control datagrams that do not decode." },
  [WM_COUNTER_PROBES] = { "member_probes", "Members probed." },
  [WM_COUNTER_PROBES_FAILED] = { "member_probes_failed", "Probes without an ack." },
  [WM_COUNTER_SUSPECTED] = { "member_suspected", "Members that became suspected." },
  [WM_COUNTER_DECLARED_DEAD] = { "member_declared_dead", "Members declared dead." },
  [WM_COUNTER_REFUTED] = { "member_refuted",
                           "Reports of a failure of this node that were refuted." },
  [WM_COUNTER_PAUSES] = { "member_pauses", "Pauses of this process." },
  [WM_COUNTER_ZONE_EVIDENCE] = { "member_zone_evidence",
                                 "Reports that an availability zone is unreachable." },
  [WM_COUNTER_CONFIG_OLDER] = { "member_config_older",
                                "Configurations ignored because a newer one is known." },
  [WM_COUNTER_CONFIG_FETCHED] = { "member_config_fetched",
                                  "Configurations fetched from other members." },
  [WM_COUNTER_CONFIG_BAD_HASH] = { "member_config_bad_hash",
                                   "Configuration objects that do not match their hash." },
  [WM_COUNTER_CONFIG_DIGEST_DIFFERS] = { "member_config_digest_differs",
                                         "Messages with the version in effect here but another "
                                         "digest." },
  [WM_COUNTER_CONFIG_UNAVAILABLE] = { "member_config_unavailable",
                                      "Requests for a configuration that the other member could "
                                      "not serve." },
  [WM_COUNTER_CONFIG_RESTARTED] = { "member_config_restarted",
                                    "Transfers of a configuration that began anew." },
  [WM_COUNTER_CONFIG_OVERDUE] = { "member_config_overdue",
                                  "Times that a configuration had not come from members and was to "
                                  "be read from the platform." },
  [WM_COUNTER_EVACUATION_PUSHED] = { "member_evacuation_pushed",
                                     "Messages that told a member of a change of the evacuated "
                                     "availability zones." },
  [WM_COUNTER_EVACUATION_LEARNED] = { "member_evacuation_learned",
                                      "Later views of the evacuations taken from members." },
  [WM_COUNTER_EVACUATION_OLDER] = { "member_evacuation_older",
                                    "Views of the evacuations from members that were older than "
                                    "the one held." },
};

WmNode *
wm_node_new (const WmSettings *settings, const WmCallbacks *callbacks, guint32 seed, gint64 now_us)
{
  WmNode *node = g_new0 (WmNode, 1);

  node->settings = *settings;
  node->callbacks = *callbacks;
  node->random = g_rand_new_with_seed (seed);
  node->counters = wb_counters_new (counter_definitions, WM_N_COUNTERS);
  node->now_us = node->start_us = now_us;
  node->required_reporters = WM_SUSPICION_REPORTERS;
  node->next_cleanup_us = now_us + WM_CLEANUP_INTERVAL_US;
  node->zones = g_array_new (FALSE, FALSE, sizeof (WmZone));
  node->contacts = g_array_new (FALSE, FALSE, sizeof (WmAddress));
  node->probes = g_array_new (FALSE, FALSE, sizeof (WmProbe));
  /* Random, so that processes that start together do not probe at the same time. */
  node->next_probe_us = now_us + g_rand_int_range (node->random, 0, WM_PROBE_PERIOD_US);
  node->config.root_served_us = now_us - 60 * WB_US_PER_S;
  node->last_peers_probe_us = now_us - WM_PEER_PROBE_PERIOD_US;
  node->next_peer_probe_us = now_us + g_rand_int_range (node->random, 0, WM_PEER_PROBE_PERIOD_US);
  wm_send_init (node);
  wm_table_init (node);
  wm_gossip_init (node);
  node->usable_snapshot.recheck_us = WB_NEVER;
  wm_join_init (node);
  wm_config_init (node);
  wm_evacuation_init (node);
  wm_gossip_push_member (node, settings->id);
  node->next_us = now_us;
  return node;
}

void
wm_node_free (WmNode *node)
{
  if (node == NULL)
    return;
  wm_config_clear (node);
  wm_join_clear (node);
  wm_gossip_clear (node);
  wm_table_clear (node);
  wm_send_clear (node);
  g_array_unref (node->zones);
  g_array_unref (node->contacts);
  g_array_unref (node->probes);
  wb_counters_free (node->counters);
  g_rand_free (node->random);
  g_free (node);
}

void
wm_node_set_required_reporters (WmNode *node, guint count)
{
  node->required_reporters = count;
}

void
wm_node_add_contact (WmNode *node, guint32 address, guint16 port)
{
  WmAddress contact = { address, port };
  guint i;

  for (i = 0; i < node->contacts->len; i++)
    {
      const WmAddress *other = &g_array_index (node->contacts, WmAddress, i);

      if (other->address == address && other->port == port)
        return;
    }
  /* The platform lists new contacts for as long as the process runs; the oldest one is replaced. */
  if (node->contacts->len >= MAX_CONTACTS)
    g_array_remove_index (node->contacts, 0);
  g_array_append_val (node->contacts, contact);
}

static void
update_next_us (WmNode *node)
{
  gint64 next_us = MIN (node->next_push_us, node->next_suspicion_scan_us);

  next_us = MIN (next_us, wm_probe_next_us (node));
  next_us = MIN (next_us, wm_send_next_us (node));
  next_us = MIN (next_us, wm_join_next_us (node));
  next_us = MIN (next_us, wm_fetch_next_us (node));
  next_us = MIN (next_us, wm_evacuation_next_us (node));
  next_us = MIN (next_us, MIN (node->next_cleanup_us, node->usable_snapshot.recheck_us));
  /* Work that is already overdue, such as a suspicion timeout learned late, must not count as a
   * pause. */
  node->next_us = MAX (next_us, node->now_us);
}

gint64
wm_node_next_us (const WmNode *node)
{
  return node->next_us;
}

void
wm_end_call (WmNode *node)
{
  update_next_us (node);
  wm_notify_members_changed (node);
}

/* Probes that timed out during the pause prove nothing about their targets, and suspected members
 * get the full suspicion timeout again. */
static void
reset_timers_after_pause (WmNode *node)
{
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_array_set_size (node->probes, 0);
  g_hash_table_iter_init (&iter, node->suspicions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((WmSuspicion *) value)->start_us = node->now_us;
  node->next_suspicion_scan_us =
      MIN (node->next_suspicion_scan_us, node->now_us + WM_SUSPICION_TIMEOUT_US);
  for (i = 0; i < node->zones->len; i++)
    wm_zone_mark_reachable (node, g_array_index (node->zones, WmZone, i).zone);
}

static void
handle_resume (WmNode *node)
{
  wb_counters_add (node->counters, WM_COUNTER_PAUSES, 1);
  reset_timers_after_pause (node);
  if (node->leaving)
    return;
  wm_raise_incarnation (node, wm_self (node)->info.incarnation, TRUE);
  wm_probe_peers (node);
}

static void
begin_call (WmNode *node, gint64 now_us)
{
  node->now_us = MAX (node->now_us, now_us);
  if (node->now_us - node->next_us > WM_PAUSE_THRESHOLD_US)
    handle_resume (node);
}

void
wm_node_resumed (WmNode *node, gint64 now_us)
{
  node->now_us = MAX (node->now_us, now_us);
  handle_resume (node);
  wm_end_call (node);
}

void
wm_node_tick (WmNode *node, gint64 now_us)
{
  begin_call (node, now_us);
  wm_state_tick (node);
  wm_usable_tick (node);
  wm_probe_tick (node);
  wm_join_tick (node);
  wm_fetch_tick (node);
  wm_gossip_tick (node);
  wm_evacuation_tick (node);
  wm_send_tick (node);
  wm_end_call (node);
}

static void
set_flag (WmNode *node, guint32 flag, gboolean set, gint64 now_us)
{
  ww_member *self = &wm_self (node)->info;
  guint32 flags = set ? self->flags | flag : self->flags & ~flag;

  node->now_us = MAX (node->now_us, now_us);
  if (self->flags == flags)
    return;
  self->flags = flags;
  wm_raise_incarnation (node, self->incarnation, TRUE);
  wm_end_call (node);
}

void
wm_node_set_zone_probes (WmNode *node, gboolean enabled)
{
  if (node->zone_probes == enabled)
    return;
  node->zone_probes = enabled;
  node->peers_stale = TRUE;
  node->next_us = node->now_us;
}

guint
wm_capacity_encode (guint64 kbps)
{
  return kbps == 0 ? 0
                   : MIN (1 + (guint) lround (CAPACITY_STEPS * log2 ((gdouble) kbps)),
                          WM_MEMBER_CAPACITY_MASK);
}

guint64
wm_member_capacity_kbps (const ww_member *member)
{
  guint code = member->flags >> WM_MEMBER_CAPACITY_SHIFT & WM_MEMBER_CAPACITY_MASK;

  return code == 0 ? 0 : (guint64) lround (exp2 ((gdouble) (code - 1) / CAPACITY_STEPS));
}

void
wm_node_set_draining (WmNode *node, gboolean draining, gint64 now_us)
{
  set_flag (node, WM_MEMBER_DRAINING, draining, now_us);
}

void
wm_node_set_server_present (WmNode *node, gboolean present, gint64 now_us)
{
  set_flag (node, WM_MEMBER_NO_SERVER, !present, now_us);
}

void
wm_node_leave (WmNode *node, gint64 now_us)
{
  GArray *peers = wm_peers (node);
  guint i;

  node->now_us = MAX (node->now_us, now_us);
  if (node->leaving)
    return;
  node->leaving = TRUE;
  wm_table_set_state (node, wm_self (node), WW_MEMBER_LEFT);
  wm_gossip_push_member (node, node->settings.id);
  node->next_push_us = node->now_us;
  wm_gossip_tick (node);
  for (i = 0; i < peers->len && i < MAX_NOTIFIED_PEERS; i++)
    {
      WmAddress to = wm_control_address (wm_find (node, g_array_index (peers, guint64, i)));

      wm_gossip_send_self (node, &to);
    }
  wm_end_call (node);
}

static gboolean
is_contact (const WmNode *node, guint32 address)
{
  guint i;

  for (i = 0; i < node->contacts->len; i++)
    if (g_array_index (node->contacts, WmAddress, i).address == address)
      return TRUE;
  return FALSE;
}

/* @value has to be zeroed. Messages that do not decode are counted. */
static gboolean
decode (WmNode *node, const guint8 *body, gsize length, gpointer decoder, gpointer value)
{
  if (ww_body_decode (body, length, (xdrproc_t) decoder, value, NULL))
    return TRUE;
  wb_counters_add (node->counters, WM_COUNTER_MALFORMED, 1);
  return FALSE;
}

static void
receive_gossip (
    WmNode *node, const WmAddress *from, const WwCall *call, const guint8 *body, gsize length)
{
  ww_ping ping = { 0 };
  ww_ping_req req = { 0 };
  ww_gossip gossip = { 0 };

  if (call->procedure == WW_PROC_PING && decode (node, body, length, xdr_ww_ping, &ping))
    {
      wm_gossip_apply (node, &ping.gossip, from);
      wm_probe_handle_ping (node, from, call->xid, &ping);
      ww_body_clear ((xdrproc_t) xdr_ww_ping, &ping);
    }
  if (call->procedure == WW_PROC_PING_REQ && decode (node, body, length, xdr_ww_ping_req, &req))
    {
      wm_gossip_apply (node, &req.gossip, from);
      wm_probe_handle_ping_req (node, from, call->xid, &req);
      ww_body_clear ((xdrproc_t) xdr_ww_ping_req, &req);
    }
  if (call->procedure == WW_PROC_GOSSIP && decode (node, body, length, xdr_ww_gossip, &gossip))
    {
      wm_gossip_apply (node, &gossip, from);
      ww_body_clear ((xdrproc_t) xdr_ww_gossip, &gossip);
    }
}

static void
receive_request (
    WmNode *node, const WmAddress *from, const WwCall *call, const guint8 *body, gsize length)
{
  ww_join join = { 0 };
  ww_members_request members = { 0 };
  ww_config_fetch fetch = { 0 };
  ww_root_fetch root_fetch = { 0 };
  ww_evacuation_message evacuation = { 0 };

  if (call->procedure == WW_PROC_JOIN && decode (node, body, length, xdr_ww_join, &join))
    wm_serve_join (node, from, call->xid, &join);
  if (call->procedure == WW_PROC_MEMBERS &&
      decode (node, body, length, xdr_ww_members_request, &members))
    {
      wm_serve_members (node, from, call->xid, &members);
      ww_body_clear ((xdrproc_t) xdr_ww_members_request, &members);
    }
  if (call->procedure == WW_PROC_CONFIG_FETCH &&
      decode (node, body, length, xdr_ww_config_fetch, &fetch))
    {
      wm_config_serve (node, from, call->xid, &fetch);
      ww_body_clear ((xdrproc_t) xdr_ww_config_fetch, &fetch);
    }
  if (call->procedure == WW_PROC_ROOT_FETCH &&
      decode (node, body, length, xdr_ww_root_fetch, &root_fetch))
    wm_steps_serve (node, from, call->xid, &root_fetch);
  if (call->procedure == WW_PROC_EVACUATION &&
      decode (node, body, length, xdr_ww_evacuation_message, &evacuation))
    {
      wm_evacuation_handle (node, from, &evacuation);
      ww_body_clear ((xdrproc_t) xdr_ww_evacuation_message, &evacuation);
    }
}

/* Return: FALSE when no call of this node has this transaction id */
static gboolean
receive_reply (WmNode *node, const WmAddress *from, guint32 xid, const guint8 *body, gsize length)
{
  gint probe_index = wm_probe_find (node, xid);
  ww_ack ack = { 0 };
  ww_members_reply members = { 0 };
  ww_config_chunk chunk = { 0 };
  ww_root_chunk root_chunk = { 0 };

  if (probe_index >= 0)
    {
      if (!decode (node, body, length, xdr_ww_ack, &ack))
        return TRUE;
      wm_probe_handle_ack (node, (guint) probe_index, from, &ack);
      wm_gossip_apply (node, &ack.gossip, from);
      ww_body_clear ((xdrproc_t) xdr_ww_ack, &ack);
      return TRUE;
    }
  if (wm_join_is_pending (node, xid))
    {
      if (!decode (node, body, length, xdr_ww_members_reply, &members))
        return TRUE;
      wm_join_handle_reply (node, xid, from, &members);
      ww_body_clear ((xdrproc_t) xdr_ww_members_reply, &members);
      return TRUE;
    }
  if (wm_root_is_pending (node, xid))
    {
      if (!decode (node, body, length, xdr_ww_root_chunk, &root_chunk))
        return TRUE;
      wm_root_handle_chunk (node, from, &root_chunk);
      ww_body_clear ((xdrproc_t) xdr_ww_root_chunk, &root_chunk);
      return TRUE;
    }
  if (!wm_parts_is_pending (node, xid))
    return FALSE;
  if (!decode (node, body, length, xdr_ww_config_chunk, &chunk))
    return TRUE;
  wm_parts_handle_chunk (node, xid, &chunk);
  ww_body_clear ((xdrproc_t) xdr_ww_config_chunk, &chunk);
  return TRUE;
}

static gboolean
is_membership_message (const WmNode *node, const WwCall *call)
{
  switch (call->procedure)
    {
    case WW_PROC_PING:
    case WW_PROC_PING_REQ:
    case WW_PROC_GOSSIP:
    case WW_PROC_CONFIG_FETCH:
    case WW_PROC_ROOT_FETCH:
    case WW_PROC_MEMBERS:
    case WW_PROC_JOIN:
      return TRUE;
    case WW_PROC_EVACUATION:
      return node->evacuation.enabled;
    default:
      return call->is_reply;
    }
}

static void
receive_from_unknown (
    WmNode *node, const WmAddress *from, const WwCall *call, const guint8 *body, gsize length)
{
  ww_ping ping = { 0 };

  wb_counters_add (node->counters, WM_COUNTER_UNKNOWN_SENDER, 1);
  if (call->is_reply || call->procedure != WW_PROC_PING ||
      !decode (node, body, length, xdr_ww_ping, &ping))
    return;
  wm_probe_handle_unknown_ping (node, from, call->xid, &ping);
  ww_body_clear ((xdrproc_t) xdr_ww_ping, &ping);
}

/* Whether the call carries the member record of its sender. */
static gboolean
introduces_sender (const WwCall *call)
{
  return !call->is_reply && (call->procedure == WW_PROC_JOIN || call->procedure == WW_PROC_MEMBERS);
}

static gboolean
dispatch (WmNode *node, const WmAddress *from, const WwCall *call, const guint8 *body, gsize length)
{
  if (!wm_node_is_member (node, from->address) && !is_contact (node, from->address) &&
      !introduces_sender (call))
    {
      receive_from_unknown (node, from, call, body, length);
      return TRUE;
    }
  if (call->is_reply)
    return receive_reply (node, from, call->xid, body, length);
  receive_gossip (node, from, call, body, length);
  receive_request (node, from, call, body, length);
  return TRUE;
}

gboolean
wm_node_receive (
    WmNode *node, guint32 address, guint16 port, const guint8 *data, gsize length, gint64 now_us)
{
  WmAddress from = { address, port };
  WwCall call;
  const guint8 *body;
  gsize body_length;
  gboolean handled;

  if (!ww_call_decode (data, length, &call, &body, &body_length, NULL))
    {
      wb_counters_add (node->counters, WM_COUNTER_MALFORMED, 1);
      return TRUE;
    }
  if (!is_membership_message (node, &call))
    return FALSE;
  begin_call (node, now_us);
  wb_counters_add (node->counters, WM_COUNTER_RECEIVED_MESSAGES, 1);
  handled = dispatch (node, &from, &call, body, body_length);
  wm_end_call (node);
  return handled;
}
