#include "wf-private.h"

/* Endpoints that are offered a new flow after its first one did not accept it. Each takes a hop
 * between hosts, and the client gives up after a second. */
#define OFFERS_MAX 4

/* The endpoint that ranks below the own one, past draining and suspected ones; the first rank
 * follows the last one. */
static guint64
next_offer (WfAgent *agent, const WwFlowKey *key)
{
  guint count, own, i;
  const WaEndpoint *ranked = wf_view_ranked (agent, key, &count);

  for (own = 0; own < count && ranked[own].id != agent->self_id; own++)
    ;
  for (i = 1; i < count; i++)
    {
      const WaEndpoint *endpoint = &ranked[(own + i) % count];

      if (!endpoint->draining && !endpoint->suspected)
        return endpoint->id;
    }
  return 0;
}

/* The server has not accepted the flow, so nothing of it has run: another endpoint may have it. The
 * home forgets this holder first, or it would refuse the registration of the next one. */
static void
offer_again (WfAgent *agent, WfFlow *flow, WbHandle handle, WfInput *input)
{
  gchar id[WW_ID_NAME_BYTES];
  guint64 peer_id = flow->hops < OFFERS_MAX ? next_offer (agent, &flow->key) : 0;

  wf_flow_clear_queue (agent, flow);
  if (peer_id == 0)
    {
      wf_flow_set_state (agent, flow, WF_FLOW_WAITING);
      (void) wf_flow_queue (agent, flow, input->data, input->length);
      wf_refuse_initial (agent, handle, 1);
      return;
    }
  WW_FLOW_LOG_ALWAYS ("flow_offered_again", &flow->key,
                      WB_TEXT ("endpoint", ww_id_name (peer_id, id)),
                      WB_NUMBER ("offers", flow->hops));
  wf_count (agent, WF_COUNTER_OFFERED_AGAIN);
  wf_register_gone (agent, flow);
  wf_register_flush (agent);
  wf_route_forward (agent, input, WW_ENCAP_PLACE, peer_id);
  if (flow->flags & WF_FLAG_ADMISSION)
    wa_admission_returned (agent->admission, handle, agent->now_us);
  wf_hold_tombstone (agent, flow, handle, peer_id);
}

/* An open flow that the server no longer holds is lost with what the server knew of it. */
static void
lose (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *packet)
{
  WW_FLOW_LOG_ALWAYS ("flow_lost", &flow->key, WB_TEXT ("reason", "returned by its server"));
  wf_count (agent, WF_COUNTER_SERVER_LOST);
  wf_refuse_lost (agent, &flow->key, packet->acknowledgment);
  wf_flow_remove (agent, handle);
}

static void
from_held (WfAgent *agent, WfFlow *flow, WbHandle handle, WfInput *input)
{
  if (input->packet.tcp_flags & WW_TCP_SYN)
    {
      if ((flow->flags & WF_FLAG_ANSWERED) == 0)
        offer_again (agent, flow, handle, input);
      return;
    }
  if ((flow->flags & WF_FLAGS_OPENED) == WF_FLAGS_OPENED && (input->packet.tcp_flags & WW_TCP_ACK))
    {
      lose (agent, flow, handle, &input->packet);
      return;
    }
  wf_flow_remove (agent, handle);
  wf_route_chain (agent, input, TRUE);
}

/* The server sends back a packet of the client. It is made valid again and goes to whoever may hold
 * the flow; the own server is not asked twice. */
void
wf_return_received (WfAgent *agent, const WwPacket *packet, const guint8 *data, gsize length)
{
  g_autofree guint8 *copy = g_memdup2 (data, length);
  WfInput input = { .data = copy, .length = length, .packet = *packet, .status = WW_PACKET_OK };
  WbHandle handle;
  WfFlow *flow;

  wf_count (agent, WF_COUNTER_SERVER_RETURNED);
  agent->format->clear_returned (copy, length);
  input.key = ww_packet_key_from_client (packet);
  input.header.kind = WW_ENCAP_CHAIN;
  input.header.home_id = wf_view_home (agent, &input.key);
  flow = wf_table_find (agent->flows, &input.key, &handle);
  if (flow == NULL)
    {
      if ((packet->tcp_flags & WW_TCP_SYN) == 0)
        wf_route_chain (agent, &input, TRUE);
      return;
    }
  input.header.hops = flow->hops;
  WW_FLOW_LOG ("flow_returned", &input.key, WB_NUMBER ("state", flow->state),
               WB_NUMBER ("initial", (packet->tcp_flags & WW_TCP_SYN) != 0),
               WB_NUMBER ("acknowledgment", packet->acknowledgment));
  switch ((WfFlowState) flow->state)
    {
    case WF_FLOW_HELD:
      from_held (agent, flow, handle, &input);
      break;
    case WF_FLOW_PROBING:
      wf_probe_returned (agent, flow, handle, copy, length);
      break;
    case WF_FLOW_NOT_HELD:
      wf_route_chain (agent, &input, TRUE);
      break;
    case WF_FLOW_PLACING:
    case WF_FLOW_WAITING:
    case WF_FLOW_REFUSING:
    case WF_FLOW_TOMBSTONE:
    default:
      break;
    }
}
