#include "wf-private.h"

/* Life of an entry without a refresh: three refreshes of 60 s and some delay. */
#define ENTRY_LIFETIME_US (200 * WB_US_PER_S)

/* For this time after the delivery of the initial packet, the home waits for the client to
 * acknowledge one of two servers' SYN-ACKs; the client retransmits a lost acknowledgment within
 * it. */
#define CONFIRMATION_TIMEOUT_US (10 * WB_US_PER_S)

static void
send_release (WfAgent *agent, const WwFlowKey *key, guint64 released_id, guint64 holder_id)
{
  ww_peer message = { .service_id = wf_moved_endpoint_service (agent, released_id),
                      .sender_id = agent->self_id };

  if (!wf_mechanism_enabled (agent, WF_DISABLE_RELEASE))
    return;
  wf_count (agent, WF_COUNTER_RELEASE_SENT);
  message.body.kind = WW_PEER_RELEASE;
  message.body.ww_peer_body_u.release.flow = ww_flow_key_to_wire (key);
  message.body.ww_peer_body_u.release.holder_id = holder_id;
  g_byte_array_set_size (agent->datagram, 0);
  if (ww_peer_encode (&message, agent->datagram))
    agent->callbacks.to_endpoint (agent->callbacks.context, released_id, agent->datagram->data,
                                  agent->datagram->len);
}

static void
refresh_entry (
    WfAgent *agent, WfRegistryEntry *entry, WbHandle handle, guint64 holder_id, guint32 flags)
{
  entry->holder_id = holder_id;
  entry->flags = flags;
  entry->provisional = FALSE;
  entry->expires_us = agent->now_us + ENTRY_LIFETIME_US;
  wf_table_advance_due (agent->registry, handle, entry->expires_us);
}

/* Whether a new registration replaces the present holder. The payload of a flow is delivered to one
 * endpoint only, so a holder that has delivered some is never replaced. */
static gboolean
replaces_holder (WfAgent *agent, guint32 current_flags, guint32 new_flags)
{
  if ((current_flags & WF_REGISTRATION_DELIVERED) && (new_flags & WF_REGISTRATION_DELIVERED))
    wf_count (agent, WF_COUNTER_DOUBLE_DELIVERY);
  if (current_flags & WF_REGISTRATION_DELIVERED)
    return FALSE;
  if (new_flags & WF_REGISTRATION_DELIVERED)
    return TRUE;
  return (current_flags & WF_REGISTRATION_WAITING) != 0;
}

/* Resets the local server's connection of a flow of which no payload was delivered, and removes the
 * flow from admission, which frees its slot. The row stays. */
void
wf_registry_drop_local_connection (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  gboolean in_admission = (flow->flags & WF_FLAG_IN_ADMISSION) != 0;

  WW_FLOW_LOG ("flow_released", &flow->key, WB_NUMBER ("flags", flow->flags));
  wf_count (agent, WF_COUNTER_RELEASED);
  if (flow->state == WF_FLOW_HELD && flow->key.protocol == WW_PROTOCOL_TCP)
    wf_probe_reset_server (agent, flow);
  /* Without a reset the server keeps the connection. */
  if (flow->state == WF_FLOW_HELD && !agent->format->originates_packets)
    wf_locate_note_dropped (agent, &flow->key);
  flow->flags &= (guint16) ~WF_FLAG_IN_ADMISSION;
  if (in_admission)
    wa_admission_remove (agent->admission, handle, agent->now_us);
}

/* Releases a flow that @holder_id holds, and forwards later packets there. */
static void
release_flow (WfAgent *agent, WfFlow *flow, WbHandle handle, guint64 holder_id)
{
  wf_registry_drop_local_connection (agent, flow, handle);
  wf_placement_set_tombstone (agent, flow, handle, holder_id);
}

/* Whether it is unknown if the client has accepted the SYN-ACK of the local server or that of
 * another one. Its acknowledgment shows that. */
gboolean
wf_registry_flow_is_unconfirmed (const WfFlow *flow)
{
  return flow->state == WF_FLOW_HELD && flow->key.protocol == WW_PROTOCOL_TCP &&
         (flow->flags & (WF_FLAG_PAYLOAD_DELIVERED | WF_FLAG_CONFIRMED | WF_FLAG_CLOSED)) == 0;
}

/* The client has accepted the SYN-ACK of the local server: releases the flow at another holder. */
void
wf_registry_release_other_holder (WfAgent *agent, const WwFlowKey *key)
{
  WbHandle handle;
  const WfRegistryEntry *entry = wf_registration_find (agent, key, &handle);

  if (entry == NULL || entry->holder_id == agent->self_id)
    return;
  send_release (agent, key, entry->holder_id, agent->self_id);
  wf_table_remove (agent->registry, handle);
}

/* Releases the flow here in favour of @holder_id, which has registered it. */
void
wf_registry_release_to_holder (WfAgent *agent, WfFlow *flow, WbHandle handle, guint64 holder_id)
{
  if (wf_mechanism_enabled (agent, WF_DISABLE_RELEASE))
    release_flow (agent, flow, handle, holder_id);
}

/* Resolves the conflict between a row of the home's flow table and the registration of the same
 * flow by @sender_id. Returns whether the registration is accepted. */
static gboolean
resolve_conflict (WfAgent *agent, const WwFlowKey *key, guint64 sender_id, guint32 flags)
{
  WbHandle handle;
  WfFlow *flow = wf_table_find (agent->flows, key, &handle);
  guint32 current_flags;

  if (flow == NULL)
    return TRUE;
  switch ((WfFlowState) flow->state)
    {
    case WF_FLOW_HELD:
    case WF_FLOW_WAITING:
    case WF_FLOW_REFUSING:
      current_flags = flow->flags & WF_FLAG_PAYLOAD_DELIVERED ? WF_REGISTRATION_DELIVERED : 0;
      if (flow->state == WF_FLOW_WAITING)
        current_flags |= WF_REGISTRATION_WAITING;
      if (flow->flags & WF_FLAG_CLOSED)
        break;
      if (!replaces_holder (agent, current_flags, flags))
        {
          /* Both servers may have sent a SYN-ACK; the client's acknowledgment will show which one
           * it has accepted. */
          if (wf_registry_flow_is_unconfirmed (flow) && (flags & WF_REGISTRATION_WAITING) == 0 &&
              agent->now_us - flow->last_data_us < CONFIRMATION_TIMEOUT_US)
            return TRUE;
          send_release (agent, key, sender_id, agent->self_id);
          return FALSE;
        }
      wf_registry_release_to_holder (agent, flow, handle, sender_id);
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
receive_registration (WfAgent *agent, guint64 sender_id, const ww_flow_entry *registration)
{
  WwFlowKey key = ww_flow_key_from_wire (&registration->flow);
  guint32 flags = registration->flags & (WF_REGISTRATION_DELIVERED | WF_REGISTRATION_WAITING);
  WbHandle handle;
  gpointer row;
  WfRegistryEntry *entry;

  wf_count (agent, WF_COUNTER_REGISTER_RECEIVED);
  if (!resolve_conflict (agent, &key, sender_id, flags))
    return;
  entry = wf_registration_find (agent, &key, &handle);
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
      !wf_view_has_departed (agent, entry->holder_id))
    {
      if (!replaces_holder (agent, entry->flags, flags))
        {
          send_release (agent, &key, sender_id, entry->holder_id);
          return;
        }
      send_release (agent, &key, entry->holder_id, sender_id);
    }
  refresh_entry (agent, entry, handle, sender_id, flags);
}

static void
receive_withdrawal (WfAgent *agent, guint64 sender_id, const ww_flow_entry *withdrawn)
{
  WwFlowKey key = ww_flow_key_from_wire (&withdrawn->flow);
  WbHandle handle;
  const WfRegistryEntry *entry = wf_registration_find (agent, &key, &handle);

  wf_count (agent, WF_COUNTER_UNREGISTER_RECEIVED);
  if (entry != NULL && entry->holder_id == sender_id)
    wf_table_remove (agent->registry, handle);
}

/* Handles a registration or a withdrawal of a batch of flows. */
void
wf_registry_receive (WfAgent *agent, const ww_peer *message)
{
  const ww_register *body = &message->body.ww_peer_body_u.registration;
  guint i;

  for (i = 0; i < body->flows.flows_len; i++)
    if (message->body.kind == WW_PEER_REGISTER)
      receive_registration (agent, message->sender_id, &body->flows.flows_val[i]);
    else
      receive_withdrawal (agent, message->sender_id, &body->flows.flows_val[i]);
}

/* Handles the home's request to release a flow that another endpoint holds. */
void
wf_registry_receive_release (WfAgent *agent, const ww_peer *message)
{
  const ww_release *body = &message->body.ww_peer_body_u.release;
  WwFlowKey key = ww_flow_key_from_wire (&body->flow);
  WbHandle handle;
  WfFlow *flow = wf_table_find (agent->flows, &key, &handle);
  gboolean may_be_placed_twice;

  if (flow == NULL || body->holder_id == agent->self_id)
    return;
  if (flow->state != WF_FLOW_HELD && flow->state != WF_FLOW_WAITING)
    return;
  /* A flow that enters through several zones, or while its destination moves to another service, is
   * placed twice more often, and the client may have accepted the SYN-ACK of this server before the
   * home decided. */
  may_be_placed_twice = flow->entry_zone != 0 ||
                        wf_moved_endpoint_service (agent, message->sender_id) != agent->service_id;
  if ((flow->flags & WF_FLAG_PAYLOAD_DELIVERED) ||
      (may_be_placed_twice && (flow->flags & WF_FLAG_CONFIRMED)))
    {
      wf_count (agent, WF_COUNTER_RELEASE_IGNORED);
      return;
    }
  /* The holder named by the home has granted the flow to this endpoint since. Only one release is
   * ignored for that reason: otherwise release and registration could follow each other forever. */
  if (flow->peer_id == body->holder_id)
    {
      flow->peer_id = 0;
      wf_count (agent, WF_COUNTER_RELEASE_IGNORED);
      wf_registration_send (agent, flow);
      return;
    }
  release_flow (agent, flow, handle, body->holder_id);
}
