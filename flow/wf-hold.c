#include "wf-private.h"

/* Admission answers a placement within milliseconds; a row left over after this time is dropped. */
#define PLACING_MAX_US (1 * WB_US_PER_S)

/* A service that has no endpoint for new flows may have one within a heartbeat of a new server. */
#define CLOSED_RETRY_AFTER_S 1

/* Marks a row as a pointer to the endpoint that took the flow over. */
void
wf_hold_tombstone (WfAgent *agent, WfFlow *flow, WbHandle handle, guint64 peer_id)
{
  wf_flow_clear_queue (agent, flow);
  wf_flow_set_state (agent, flow, WF_FLOW_TOMBSTONE);
  flow->flags = 0;
  flow->peer_id = peer_id;
  wf_table_set_due (agent->flows, handle, agent->now_us + WF_TOMBSTONE_US);
}

/* Another endpoint that can take new flows, or 0 when there is none. */
guint64
wf_hold_active_endpoint (WfAgent *agent, const WwFlowKey *key)
{
  guint count, i;
  const WaEndpoint *ranked = wf_view_ranked (agent, key, &count);

  for (i = 0; i < count; i++)
    if (ranked[i].id != agent->self_id && !ranked[i].draining && !ranked[i].suspected)
      return ranked[i].id;
  return 0;
}

/* Refuses a waiting flow when the own server takes no new flows and no other endpoint does. Returns
 * whether it was refused. */
gboolean
wf_hold_refuse_if_closed (WfAgent *agent, WbHandle handle)
{
  const WfFlow *flow = wf_table_get (agent->flows, handle);

  if (flow == NULL || agent->server == WF_SERVER_READY ||
      wf_hold_active_endpoint (agent, &flow->key) != 0)
    return FALSE;
  wf_refuse_initial (agent, handle, CLOSED_RETRY_AFTER_S);
  return TRUE;
}

/* Chooses an endpoint for a new flow of which this endpoint is the home. */
void
wf_hold_place (WfAgent *agent, WfInput *input)
{
  const WaEndpoint *ranked;
  WbHandle handle;
  WfFlow *flow;
  gboolean allow_self;
  guint count;

  flow = wf_flow_add (agent, &input->key, WF_FLOW_PLACING, &handle);
  if (flow == NULL)
    return;
  flow->hops = (guint8) input->header.hops;
  flow->flags |= WF_FLAG_ADMISSION;
  wf_table_set_due (agent->flows, handle, agent->now_us + PLACING_MAX_US);
  if (!wf_flow_queue (agent, flow, input->data, input->length))
    {
      wf_flow_remove (agent, handle);
      return;
    }
  if (wf_hold_refuse_if_closed (agent, handle))
    return;
  /* A draining endpoint serves only when every endpoint drains. */
  allow_self = agent->server == WF_SERVER_READY &&
               (!agent->draining || wf_hold_active_endpoint (agent, &input->key) == 0);
  wf_flow_classify (agent, flow);
  ranked = wf_view_ranked (agent, &input->key, &count);
  wa_admission_place (agent->admission, handle, (WcClass) flow->class, ranked, count, allow_self,
                      agent->now_us);
}

/* The initial packet goes to the server. */
static void
open_flow (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  /* Admission hands its queue over when the server leaves; what it admits meanwhile is refused. */
  if (agent->server != WF_SERVER_READY)
    {
      wf_refuse_initial (agent, handle, CLOSED_RETRY_AFTER_S);
      return;
    }
  wf_flow_set_state (agent, flow, WF_FLOW_HELD);
  flow->data_us = agent->now_us;
  WW_FLOW_LOG ("flow_opened", &flow->key,
               WB_NUMBER ("waited_ms", (agent->now_us - flow->activity_us) / WB_US_PER_MS),
               WB_NUMBER ("held", agent->held), WB_NUMBER ("waiting", agent->waiting));
  wf_count (agent, WF_COUNTER_FLOWS_OPENED);
  wf_register_flow (agent, flow);
  wf_turn_opened (agent, flow, handle);
}

static void
set_goal (WfAgent *agent, const WfFlow *flow, WbHandle handle)
{
  const WcRoute *route =
      agent->config == NULL
          ? NULL
          : wc_config_find_route (agent->config, flow->key.service_address, flow->key.service_port,
                                  (guint16) flow->key.protocol);

  if (route != NULL)
    wa_admission_set_objective (agent->admission, handle, route->priority, route->objective_us,
                                agent->now_us);
}

/* Asks admission for a slot for the initial packet in the row's queue. */
static void
ask_admission (WfAgent *agent, WbHandle handle)
{
  WfFlow *flow = wf_table_get (agent->flows, handle);
  guint retry_after_s = 1;
  WwPacket initial;
  WaVerdict verdict;

  wf_flow_set_state (agent, flow, WF_FLOW_WAITING);
  wf_table_set_due (agent->flows, handle, WB_NEVER);
  flow->activity_us = agent->now_us;
  wf_flow_classify (agent, flow);
  flow->flags |= WF_FLAG_ADMISSION;
  /* The initial packet of a UDP flow is the request itself. */
  if (flow->key.protocol == WW_PROTOCOL_UDP)
    verdict = wa_admission_request (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                                    &retry_after_s, agent->now_us);
  else
    verdict =
        wa_admission_open (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                           wf_flow_read_queued (agent, flow, 0, &initial) ? initial.waited_us : 0,
                           &retry_after_s, agent->now_us);
  flow = wf_table_get (agent->flows, handle);
  if (flow == NULL || flow->state != WF_FLOW_WAITING)
    return;
  switch (verdict)
    {
    case WA_ADMITTED:
      open_flow (agent, flow, handle);
      break;
    case WA_REFUSED:
      wf_refuse_initial (agent, handle, retry_after_s);
      break;
    case WA_QUEUED:
    default:
      WW_FLOW_LOG ("flow_queued", &flow->key, WB_NUMBER ("waiting", agent->waiting));
      set_goal (agent, flow, handle);
      wf_register_flow (agent, flow);
      break;
    }
}

static gboolean
hand_over (WfAgent *agent, const WfInput *input)
{
  gchar id[WW_ID_NAME_BYTES];
  guint64 peer_id;
  WbHandle handle;
  WfFlow *flow;

  if ((!agent->draining && agent->server == WF_SERVER_READY) ||
      !wf_enabled (agent, WF_DISABLE_DRAIN_HANDOVER))
    return FALSE;
  peer_id = wf_hold_active_endpoint (agent, &input->key);
  if (peer_id == 0)
    return FALSE;
  flow = wf_flow_add (agent, &input->key, WF_FLOW_TOMBSTONE, &handle);
  if (flow != NULL)
    wf_hold_tombstone (agent, flow, handle, peer_id);
  WW_FLOW_LOG ("flow_handed_over", &input->key, WB_TEXT ("endpoint", ww_id_name (peer_id, id)));
  wf_count (agent, WF_COUNTER_DRAIN_HANDOVER);
  wf_route_forward (agent, input, WW_ENCAP_PLACE, peer_id);
  return TRUE;
}

/* A new flow has been placed here by the home, by a peer's grant, or along a registry entry. */
void
wf_hold_take (WfAgent *agent, WfInput *input)
{
  WbHandle handle;
  WfFlow *flow;

  if (hand_over (agent, input))
    return;
  flow = wf_flow_add (agent, &input->key, WF_FLOW_WAITING, &handle);
  if (flow == NULL)
    return;
  flow->hops = (guint8) input->header.hops;
  flow->peer_id = input->header.kind == WW_ENCAP_GRANT ? input->header.sender_id : 0;
  if (!wf_flow_queue (agent, flow, input->data, input->length))
    wf_flow_remove (agent, handle);
  else if (!wf_hold_refuse_if_closed (agent, handle))
    ask_admission (agent, handle);
}

void
wf_hold_place_cb (gpointer context, WbHandle handle, guint64 endpoint_id)
{
  WfAgent *agent = context;
  WfFlow *flow = wf_table_get (agent->flows, handle);
  gchar id[WW_ID_NAME_BYTES];

  if (flow == NULL || flow->state != WF_FLOW_PLACING)
    return;
  if (endpoint_id == agent->self_id)
    {
      ask_admission (agent, handle);
      return;
    }
  WW_FLOW_LOG ("flow_placed", &flow->key, WB_TEXT ("endpoint", ww_id_name (endpoint_id, id)),
               WB_NUMBER ("endpoints", agent->ids->len));
  wf_count (agent, WF_COUNTER_FLOWS_PLACED);
  wf_register_placed (agent, &flow->key, endpoint_id);
  wf_route_send_queue (agent, flow, WW_ENCAP_PLACE, endpoint_id, agent->self_id);
  flow->flags &= (guint16) ~WF_FLAG_ADMISSION;
  wf_flow_remove (agent, handle);
}

void
wf_hold_admit_cb (gpointer context, WbHandle handle)
{
  WfAgent *agent = context;
  WfFlow *flow = wf_table_get (agent->flows, handle);

  if (flow == NULL)
    return;
  if (flow->state == WF_FLOW_WAITING)
    open_flow (agent, flow, handle);
  else if (flow->state == WF_FLOW_HELD)
    wf_turn_release_queue (agent, handle);
}

void
wf_hold_refuse_cb (gpointer context, WbHandle handle, guint retry_after_s)
{
  WfAgent *agent = context;
  WfFlow *flow = wf_table_get (agent->flows, handle);

  if (flow == NULL)
    return;
  if (flow->state == WF_FLOW_WAITING)
    wf_refuse_initial (agent, handle, retry_after_s);
  else if (flow->state == WF_FLOW_HELD && flow->key.protocol == WW_PROTOCOL_UDP)
    wf_udp_refuse_queue (agent, flow, retry_after_s);
  else if (flow->state == WF_FLOW_HELD)
    wf_refuse_request (agent, handle, retry_after_s);
}

void
wf_hold_grant_cb (gpointer context, WbHandle handle, guint64 endpoint_id)
{
  WfAgent *agent = context;
  WfFlow *flow = wf_table_get (agent->flows, handle);
  gchar id[WW_ID_NAME_BYTES];

  if (flow == NULL || flow->state != WF_FLOW_WAITING)
    return;
  WW_FLOW_LOG ("flow_granted", &flow->key, WB_TEXT ("endpoint", ww_id_name (endpoint_id, id)),
               WB_NUMBER ("waited_ms", (agent->now_us - flow->activity_us) / WB_US_PER_MS));
  wf_count (agent, WF_COUNTER_GRANTED);
  wf_route_send_queue (agent, flow, WW_ENCAP_GRANT, endpoint_id, wf_view_home (agent, &flow->key));
  wf_hold_tombstone (agent, flow, handle, endpoint_id);
}
