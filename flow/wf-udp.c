#include "wf-private.h"

/* The first packet of a UDP flow looks like any other one. Unless the list of endpoints has been
 * stable, the packet is therefore forwarded along the other endpoints, one of which may hold the
 * flow, before the flow is placed. A packet with an entry zone always passes the homes for the
 * other zones, as the flow may have entered through one of them before. */
void
wf_udp_route_unknown (WfAgent *agent, WfReceivedPacket *received)
{
  guint32 entry_zone = received->header.entry_zone;
  gboolean stable = agent->now_us - agent->endpoints_changed_us >= WF_ENDPOINTS_STABLE_US;
  guint64 next_id = stable && entry_zone != 0
                        ? wf_view_next_home (agent, &received->key, entry_zone)
                        : wf_view_next (agent, &received->key, entry_zone);

  switch (received->header.kind)
    {
    case WW_ENCAP_TO_HOLDER:
    case WW_ENCAP_PLACE:
    case WW_ENCAP_GRANT:
      wf_placement_accept (agent, received);
      return;
    case WW_ENCAP_RETURN:
      wf_placement_start (agent, received);
      return;
    case WW_ENCAP_FORWARD:
      if (wf_route_to_home (agent, received))
        return;
      break;
    case WW_ENCAP_CHAIN:
    default:
      if (next_id != 0)
        wf_route_along_chain (agent, received, TRUE);
      else if (received->header.home_id == agent->self_id)
        wf_placement_start (agent, received);
      else
        {
          wf_count (agent, WF_COUNTER_RETURNED_TO_HOME);
          wf_route_forward (agent, received, WW_ENCAP_RETURN, received->header.home_id);
        }
      return;
    }
  received->header.home_id = agent->self_id;
  if (next_id == 0 || !wf_mechanism_enabled (agent, WF_DISABLE_CHAIN) ||
      (stable && entry_zone == 0))
    wf_placement_start (agent, received);
  else
    wf_route_along_chain (agent, received, TRUE);
}

/* Every datagram is payload. A request is in progress from its first datagram until the server has
 * responded. */
void
wf_udp_from_client (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfReceivedPacket *received)
{
  guint retry_after_s = 1;

  if ((flow->flags & (WF_FLAG_REQUEST_ACTIVE | WF_FLAG_REQUEST_WAITING)) == 0)
    {
      WaVerdict verdict;

      flow->flags |= WF_FLAG_IN_ADMISSION | WF_FLAG_REQUEST_WAITING;
      verdict = wa_admission_request (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                                      &retry_after_s, agent->now_us);
      if (verdict == WA_ADMITTED)
        {
          flow->flags &= (guint16) ~(WF_FLAG_REQUEST_WAITING | WF_FLAG_RESPONSE_DATA);
          flow->flags |= WF_FLAG_REQUEST_ACTIVE;
        }
      else if (verdict == WA_REFUSED)
        {
          flow->flags &= (guint16) ~WF_FLAG_REQUEST_WAITING;
          wf_refuse_datagram (agent, flow, retry_after_s);
          return;
        }
    }
  if (flow->flags & WF_FLAG_REQUEST_WAITING)
    {
      (void) wf_flow_queue_packet (agent, flow, received->data, received->length);
      return;
    }
  flow->flags |= WF_FLAG_PAYLOAD_DELIVERED;
  flow->flags &= (guint16) ~WF_FLAG_RESPONSE_DATA;
  wf_deliver_to_server (agent, received->data, received->length);
}

/* Drops the datagrams of a queued request and sends one refusal. */
void
wf_udp_refuse_queue (WfAgent *agent, WfFlow *flow, guint retry_after_s)
{
  flow->flags &= (guint16) ~WF_FLAG_REQUEST_WAITING;
  wf_flow_clear_queue (agent, flow);
  wf_refuse_datagram (agent, flow, retry_after_s);
}

void
wf_udp_from_server (WfAgent *agent, WfFlow *flow, WbHandle handle, const guint8 *data, gsize length)
{
  flow->last_activity_us = agent->now_us;
  flow->last_data_us = agent->now_us;
  if ((flow->flags & WF_FLAG_SERVER_RESPONDED) == 0)
    {
      flow->flags |= WF_FLAG_SERVER_RESPONDED;
      wa_admission_server_responded (agent->admission, handle, agent->now_us);
    }
  flow->flags |= WF_FLAG_RESPONSE_DATA;
  wf_table_advance_due (agent->flows, handle, agent->now_us + wf_request_quiet_us (agent));
  wf_send_to_client (agent, data, length);
}
