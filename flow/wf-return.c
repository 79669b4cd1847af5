#include "wf-private.h"

/* Limit of the endpoints that one new flow is forwarded to in turn: each attempt takes a hop
 * between hosts, and the client gives up after a second. */
#define ATTEMPTS_MAX 4

/* Returns the endpoint that ranks next below this one, starting again at the first rank after the
 * last, without draining, suspected and evacuated ones. */
static guint64
next_endpoint_to_try (WfAgent *agent, const WfFlow *flow)
{
  guint count, self_rank, i;
  const WaEndpoint *ranked = wf_view_ranked (agent, &flow->key, flow->entry_zone, &count);

  for (self_rank = 0; self_rank < count && ranked[self_rank].id != agent->self_id; self_rank++)
    ;
  for (i = 1; i < count; i++)
    {
      const WaEndpoint *endpoint = &ranked[(self_rank + i) % count];

      if (!endpoint->draining && !endpoint->suspected && !endpoint->evacuated)
        return endpoint->id;
    }
  return 0;
}

/* Forwards a flow that the local server has not accepted, and of which nothing has run, to another
 * endpoint. The home must drop this holder first, or it would release the flow at the next one. */
static void
forward_to_next_endpoint (WfAgent *agent, WfFlow *flow, WbHandle handle, WfReceivedPacket *received)
{
  gchar id[WW_ID_NAME_BYTES];
  guint64 peer_id = flow->hops < ATTEMPTS_MAX ? next_endpoint_to_try (agent, flow) : 0;

  wf_flow_clear_queue (agent, flow);
  if (peer_id == 0)
    {
      wf_flow_set_state (agent, flow, WF_FLOW_WAITING);
      (void) wf_flow_queue_packet (agent, flow, received->data, received->length);
      wf_refuse_initial (agent, handle, 1);
      return;
    }
  WW_FLOW_LOG_ALWAYS ("flow_offered_again", &flow->key,
                      WB_TEXT ("endpoint", ww_id_name (peer_id, id)),
                      WB_NUMBER ("offers", flow->hops));
  wf_count (agent, WF_COUNTER_OFFERED_AGAIN);
  wf_registration_withdraw (agent, flow);
  wf_registration_flush (agent);
  wf_route_forward (agent, received, WW_ENCAP_PLACE, peer_id);
  if (flow->flags & WF_FLAG_IN_ADMISSION)
    wa_admission_packet_returned (agent->admission, handle, agent->now_us);
  wf_placement_set_tombstone (agent, flow, handle, peer_id);
}

/* Resets an open flow that the server no longer holds; the server's state of it is lost. */
static void
reset_lost_flow (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *packet)
{
  WW_FLOW_LOG_ALWAYS ("flow_lost", &flow->key, WB_TEXT ("reason", "returned by its server"));
  wf_count (agent, WF_COUNTER_SERVER_LOST);
  wf_refuse_reset_lost (agent, &flow->key, packet->acknowledgment);
  wf_flow_remove (agent, handle);
}

static void
returned_on_held_flow (WfAgent *agent, WfFlow *flow, WbHandle handle, WfReceivedPacket *received)
{
  if (received->packet.tcp_flags & WW_TCP_SYN)
    {
      if ((flow->flags & WF_FLAG_SERVER_RESPONDED) == 0)
        forward_to_next_endpoint (agent, flow, handle, received);
      return;
    }
  if ((flow->flags & WF_FLAGS_HANDSHAKE_COMPLETE) == WF_FLAGS_HANDSHAKE_COMPLETE &&
      (received->packet.tcp_flags & WW_TCP_ACK))
    {
      reset_lost_flow (agent, flow, handle, &received->packet);
      return;
    }
  wf_flow_remove (agent, handle);
  wf_route_along_chain (agent, received, TRUE);
}

/* Handles a packet of the client that the server has sent back. Clears the mark of a returned
 * packet and forwards it to the endpoints that may hold the flow, without probing the local server
 * again. */
void
wf_return_receive (WfAgent *agent, const WwPacket *packet, const guint8 *data, gsize length)
{
  g_autofree guint8 *copy = g_memdup2 (data, length);
  WfReceivedPacket received = {
    .data = copy, .length = length, .packet = *packet, .status = WW_PACKET_OK
  };
  WbHandle handle;
  WfFlow *flow;

  wf_count (agent, WF_COUNTER_SERVER_RETURNED);
  agent->format->clear_returned (copy, length);
  received.key = ww_packet_key_from_client (packet);
  received.header.kind = WW_ENCAP_CHAIN;
  flow = wf_table_find (agent->flows, &received.key, &handle);
  received.header.entry_zone = flow != NULL ? flow->entry_zone : 0;
  received.header.home_id = wf_view_home (agent, &received.key, received.header.entry_zone);
  if (flow == NULL)
    {
      if ((packet->tcp_flags & WW_TCP_SYN) == 0)
        wf_route_along_chain (agent, &received, TRUE);
      return;
    }
  received.header.hops = flow->hops;
  WW_FLOW_LOG ("flow_returned", &received.key, WB_NUMBER ("state", flow->state),
               WB_NUMBER ("initial", (packet->tcp_flags & WW_TCP_SYN) != 0),
               WB_NUMBER ("acknowledgment", packet->acknowledgment));
  switch ((WfFlowState) flow->state)
    {
    case WF_FLOW_HELD:
      returned_on_held_flow (agent, flow, handle, &received);
      break;
    case WF_FLOW_PROBING:
      wf_probe_returned (agent, flow, handle, copy, length);
      break;
    case WF_FLOW_NOT_HELD:
      wf_route_along_chain (agent, &received, TRUE);
      break;
    case WF_FLOW_PLACING:
    case WF_FLOW_WAITING:
    case WF_FLOW_REFUSING:
    case WF_FLOW_TOMBSTONE:
    default:
      break;
    }
}
