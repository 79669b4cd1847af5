#include "wf-private.h"

/* The first packet of a UDP flow looks like any other, so that the endpoints are asked before a
 * flow is placed while the view changes. */
void
wf_udp_unknown (WfAgent *agent, WfInput *input)
{
  guint64 next_id = wf_view_next (agent, &input->key);

  switch (input->header.kind)
    {
    case WW_ENCAP_TO_HOLDER:
    case WW_ENCAP_PLACE:
    case WW_ENCAP_GRANT:
      wf_hold_take (agent, input);
      return;
    case WW_ENCAP_RETURN:
      wf_hold_place (agent, input);
      return;
    case WW_ENCAP_FORWARD:
      if (wf_route_to_home (agent, input))
        return;
      break;
    case WW_ENCAP_CHAIN:
    default:
      if (next_id != 0)
        wf_route_chain (agent, input, TRUE);
      else if (input->header.home_id == agent->self_id)
        wf_hold_place (agent, input);
      else
        {
          wf_count (agent, WF_COUNTER_RETURNED);
          wf_route_forward (agent, input, WW_ENCAP_RETURN, input->header.home_id);
        }
      return;
    }
  input->header.home_id = agent->self_id;
  if (next_id == 0 || !wf_enabled (agent, WF_DISABLE_CHAIN) ||
      agent->now_us - agent->view_us >= WF_VIEW_STABLE_US)
    wf_hold_place (agent, input);
  else
    wf_route_chain (agent, input, TRUE);
}

/* Every datagram counts as payload; a request is in progress until the server has answered. */
void
wf_udp_from_client (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfInput *input)
{
  guint retry_after_s = 1;

  if ((flow->flags & (WF_FLAG_REQUEST | WF_FLAG_REQUEST_WAITING)) == 0)
    {
      WaVerdict verdict;

      flow->flags |= WF_FLAG_ADMISSION | WF_FLAG_REQUEST_WAITING;
      verdict = wa_admission_request (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                                      &retry_after_s, agent->now_us);
      if (verdict == WA_ADMITTED)
        {
          flow->flags &= (guint16) ~(WF_FLAG_REQUEST_WAITING | WF_FLAG_SERVER_SENT);
          flow->flags |= WF_FLAG_REQUEST;
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
      (void) wf_flow_queue (agent, flow, input->data, input->length);
      return;
    }
  flow->flags |= WF_FLAG_DELIVERED;
  flow->flags &= (guint16) ~WF_FLAG_SERVER_SENT;
  wf_deliver (agent, input->data, input->length);
}

/* The datagrams of a queued request are answered with the refusal text, once. */
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
  flow->activity_us = agent->now_us;
  flow->data_us = agent->now_us;
  if ((flow->flags & WF_FLAG_ANSWERED) == 0)
    {
      flow->flags |= WF_FLAG_ANSWERED;
      wa_admission_answered (agent->admission, handle, agent->now_us);
    }
  flow->flags |= WF_FLAG_SERVER_SENT;
  wf_table_advance_due (agent->flows, handle, agent->now_us + wf_turn_quiet (agent));
  wf_to_client (agent, data, length);
}
