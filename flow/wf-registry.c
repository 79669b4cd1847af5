#include "wf-private.h"

/* Life of an entry without a refresh: three refresh rounds and some delay. */
#define ENTRY_LIFE_US (200 * WB_US_PER_S)

/* For this time after the initial packet was delivered the home waits for the client to show which
 * of two servers' answers it took; a lost acknowledgement is repeated within it. */
#define DECISION_US (10 * WB_US_PER_S)

static void
send_release (WfAgent *agent, const WwFlowKey *key, guint64 loser_id, guint64 holder_id)
{
  ww_peer message = { .service_id = agent->service_id, .sender_id = agent->self_id };

  if (!wf_enabled (agent, WF_DISABLE_RELEASE))
    return;
  wf_count (agent, WF_COUNTER_R1_RELEASE_SENT);
  message.body.kind = WW_PEER_RELEASE;
  message.body.ww_peer_body_u.release.flow = ww_flow_key_to_wire (key);
  message.body.ww_peer_body_u.release.holder_id = holder_id;
  g_byte_array_set_size (agent->datagram, 0);
  if (ww_peer_encode (&message, agent->datagram))
    agent->callbacks.to_endpoint (agent->callbacks.context, loser_id, agent->datagram->data,
                                  agent->datagram->len);
}

static void
refresh_entry (WfAgent *agent, WfEntry *entry, WbHandle handle, guint64 holder_id, guint32 flags)
{
  entry->holder_id = holder_id;
  entry->flags = flags;
  entry->provisional = FALSE;
  entry->expires_us = agent->now_us + ENTRY_LIFE_US;
  wf_table_advance_due (agent->registry, handle, entry->expires_us);
}

/* Whether a new registration takes the flow over from the holder known so far. */
static gboolean
replaces (WfAgent *agent, guint32 known, guint32 claimed)
{
  if ((known & WF_ENTRY_DELIVERED) && (claimed & WF_ENTRY_DELIVERED))
    wf_count (agent, WF_COUNTER_R1_DOUBLE_DELIVERY);
  if (known & WF_ENTRY_DELIVERED)
    return FALSE;
  if (claimed & WF_ENTRY_DELIVERED)
    return TRUE;
  return (known & WF_ENTRY_WAITING) != 0;
}

/* The own server loses a connection that the client did not take. */
void
wf_registry_abandon (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  gboolean admission = (flow->flags & WF_FLAG_ADMISSION) != 0;

  WW_FLOW_LOG ("flow_released", &flow->key, WB_NUMBER ("flags", flow->flags));
  wf_count (agent, WF_COUNTER_R1_RELEASED);
  if (flow->state == WF_FLOW_HELD && flow->key.protocol == WW_PROTOCOL_TCP)
    wf_probe_reset_server (agent, flow);
  flow->flags &= (guint16) ~WF_FLAG_ADMISSION;
  if (admission)
    wa_admission_remove (agent->admission, handle, agent->now_us);
}

/* This endpoint gives up a flow that @holder_id keeps. */
static void
give_up_own (WfAgent *agent, WfFlow *flow, WbHandle handle, guint64 holder_id)
{
  wf_registry_abandon (agent, flow, handle);
  wf_hold_tombstone (agent, flow, handle, holder_id);
}

/* Whether it is open which server's answer the client took. Its acknowledgement tells. */
gboolean
wf_registry_undecided (const WfFlow *flow)
{
  return flow->state == WF_FLOW_HELD && flow->key.protocol == WW_PROTOCOL_TCP &&
         (flow->flags & (WF_FLAG_DELIVERED | WF_FLAG_CONFIRMED | WF_FLAG_CLOSED)) == 0;
}

/* The client has taken the answer of the own server: another holder is told to release the flow. */
void
wf_registry_confirmed (WfAgent *agent, const WwFlowKey *key)
{
  WbHandle handle;
  const WfEntry *entry = wf_register_find (agent, key, &handle);

  if (entry == NULL || entry->holder_id == agent->self_id)
    return;
  send_release (agent, key, entry->holder_id, agent->self_id);
  wf_table_remove (agent->registry, handle);
}

/* @holder_id, which has registered the flow, keeps it instead of this endpoint. */
void
wf_registry_yield (WfAgent *agent, WfFlow *flow, WbHandle handle, guint64 holder_id)
{
  if (wf_enabled (agent, WF_DISABLE_RELEASE))
    give_up_own (agent, flow, handle, holder_id);
}

/* The home has a row of its own for the flow that @sender_id registers. Returns whether the
 * registration stands. */
static gboolean
settle_own (WfAgent *agent, const WwFlowKey *key, guint64 sender_id, guint32 flags)
{
  WbHandle handle;
  WfFlow *flow = wf_table_find (agent->flows, key, &handle);
  guint32 known;

  if (flow == NULL)
    return TRUE;
  switch ((WfFlowState) flow->state)
    {
    case WF_FLOW_HELD:
    case WF_FLOW_WAITING:
    case WF_FLOW_REFUSING:
      known = flow->flags & WF_FLAG_DELIVERED ? WF_ENTRY_DELIVERED : 0;
      if (flow->state == WF_FLOW_WAITING)
        known |= WF_ENTRY_WAITING;
      if (flow->flags & WF_FLAG_CLOSED)
        break;
      if (!replaces (agent, known, flags))
        {
          if (wf_registry_undecided (flow) && (flags & WF_ENTRY_WAITING) == 0 &&
              agent->now_us - flow->data_us < DECISION_US)
            return TRUE;
          send_release (agent, key, sender_id, agent->self_id);
          return FALSE;
        }
      wf_registry_yield (agent, flow, handle, sender_id);
      return TRUE;
    case WF_FLOW_TOMBSTONE:
      flow->peer_id = sender_id;
      flow->flags = 0;
      return TRUE;
    case WF_FLOW_PLACING:
    case WF_FLOW_PROBING:
      wf_route_send_queue (agent, flow, WW_ENCAP_TO_HOLDER, sender_id, agent->self_id);
      break;
    case WF_FLOW_NOT_HELD:
    default:
      break;
    }
  wf_flow_remove (agent, handle);
  return TRUE;
}

static void
register_one (WfAgent *agent, guint64 sender_id, const ww_flow_entry *claimed)
{
  WwFlowKey key = ww_flow_key_from_wire (&claimed->flow);
  guint32 flags = claimed->flags & (WF_ENTRY_DELIVERED | WF_ENTRY_WAITING);
  WbHandle handle;
  gpointer row;
  WfEntry *entry;

  wf_count (agent, WF_COUNTER_REGISTER_RECEIVED);
  if (!settle_own (agent, &key, sender_id, flags))
    return;
  entry = wf_register_find (agent, &key, &handle);
  if (entry == NULL)
    {
      if (wf_table_count (agent->registry) >= agent->options.max_registry)
        {
          wf_count (agent, WF_COUNTER_LIMIT_REGISTRY);
          return;
        }
      handle = wf_table_add (agent->registry, &key, &row);
      refresh_entry (agent, row, handle, sender_id, flags);
      return;
    }
  if (entry->holder_id != sender_id && !entry->provisional &&
      !wf_view_lost (agent, entry->holder_id))
    {
      if (!replaces (agent, entry->flags, flags))
        {
          send_release (agent, &key, sender_id, entry->holder_id);
          return;
        }
      send_release (agent, &key, entry->holder_id, sender_id);
    }
  refresh_entry (agent, entry, handle, sender_id, flags);
}

static void
unregister_one (WfAgent *agent, guint64 sender_id, const ww_flow_entry *gone)
{
  WwFlowKey key = ww_flow_key_from_wire (&gone->flow);
  WbHandle handle;
  const WfEntry *entry = wf_register_find (agent, &key, &handle);

  wf_count (agent, WF_COUNTER_UNREGISTER_RECEIVED);
  if (entry != NULL && entry->holder_id == sender_id)
    wf_table_remove (agent->registry, handle);
}

/* A batch of flows that the sender holds, or no longer holds. */
void
wf_registry_receive (WfAgent *agent, const ww_peer *message)
{
  const ww_register *body = &message->body.ww_peer_body_u.registration;
  guint i;

  for (i = 0; i < body->flows.flows_len; i++)
    if (message->body.kind == WW_PEER_REGISTER)
      register_one (agent, message->sender_id, &body->flows.flows_val[i]);
    else
      unregister_one (agent, message->sender_id, &body->flows.flows_val[i]);
}

/* The home says that another endpoint keeps a flow. */
void
wf_registry_released (WfAgent *agent, const ww_peer *message)
{
  const ww_release *body = &message->body.ww_peer_body_u.release;
  WwFlowKey key = ww_flow_key_from_wire (&body->flow);
  WbHandle handle;
  WfFlow *flow = wf_table_find (agent->flows, &key, &handle);

  if (flow == NULL || body->holder_id == agent->self_id)
    return;
  if (flow->state != WF_FLOW_HELD && flow->state != WF_FLOW_WAITING)
    return;
  if (flow->flags & WF_FLAG_DELIVERED)
    {
      wf_count (agent, WF_COUNTER_R1_RELEASE_IGNORED);
      return;
    }
  /* The endpoint that the home names has granted the flow back meanwhile. A second release stands:
   * without that limit release and registration would answer each other without end. */
  if (flow->peer_id == body->holder_id)
    {
      flow->peer_id = 0;
      wf_count (agent, WF_COUNTER_R1_RELEASE_IGNORED);
      wf_register_flow (agent, flow);
      return;
    }
  give_up_own (agent, flow, handle, body->holder_id);
}
