#include "wf-private.h"

/* Admission chooses an endpoint within milliseconds; a row left over after this time is dropped. */
#define PLACEMENT_TIMEOUT_US (1 * WB_US_PER_S)

/* A service without an endpoint for new flows has one again as soon as a new server has announced
 * itself. */
#define NO_ENDPOINT_RETRY_AFTER_S 1

/* Turns a row into a tombstone: packets of the flow are forwarded to @peer_id, which has taken it
 * over. */
void
wf_placement_set_tombstone (WfAgent *agent, WfFlow *flow, WbHandle handle, guint64 peer_id)
{
  wf_flow_clear_queue (agent, flow);
  wf_flow_set_state (agent, flow, WF_FLOW_TOMBSTONE);
  flow->flags = 0;
  flow->peer_id = peer_id;
  wf_table_set_due (agent->flows, handle, agent->now_us + WF_TOMBSTONE_LIFETIME_US);
}

/* Returns the highest-ranked other endpoint that takes new flows, one of the entry zone if there is
 * any, or 0 when there is none. */
guint64
wf_placement_find_peer (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone)
{
  guint count, i;
  const WaEndpoint *ranked = wf_view_ranked (agent, key, entry_zone, &count);
  guint64 other_id = 0;

  for (i = 0; i < count; i++)
    {
      if (ranked[i].id == agent->self_id || ranked[i].draining || ranked[i].suspected ||
          ranked[i].evacuated)
        continue;
      if (entry_zone == 0 || ranked[i].zone == entry_zone)
        return ranked[i].id;
      if (other_id == 0)
        other_id = ranked[i].id;
    }
  return other_id;
}

/* Whether this endpoint takes no initial packet because its availability zone is evacuated. */
gboolean
wf_placement_is_evacuated (const WfAgent *agent)
{
  return agent->evacuated && wf_mechanism_enabled (agent, WF_DISABLE_EVACUATION);
}

/* Returns the endpoint to which an evacuated one passes a new flow on: the highest-ranked one that
 * takes new flows, else a suspected one, else a draining one, which takes the flow when it knows no
 * better endpoint. Returns 0 when every endpoint is evacuated. */
static guint64
find_peer_outside (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone)
{
  guint count, tier, i;
  const WaEndpoint *ranked = wf_view_ranked (agent, key, entry_zone, &count);

  for (tier = 0; tier < 3; tier++)
    for (i = 0; i < count; i++)
      if (ranked[i].id != agent->self_id && !ranked[i].evacuated &&
          tier == (ranked[i].draining    ? 2U
                   : ranked[i].suspected ? 1U
                                         : 0U))
        return ranked[i].id;
  return 0;
}

/* Refuses a new flow when neither the local server nor another endpoint takes new flows. Returns
 * whether it was refused. */
gboolean
wf_placement_refuse_if_no_endpoint (WfAgent *agent, WbHandle handle)
{
  const WfFlow *flow = wf_table_get (agent->flows, handle);
  gboolean evacuated = wf_placement_is_evacuated (agent);

  if (flow == NULL || (agent->server_state == WF_SERVER_READY && !evacuated) ||
      (evacuated ? find_peer_outside (agent, &flow->key, flow->entry_zone)
                 : wf_placement_find_peer (agent, &flow->key, flow->entry_zone)) != 0)
    return FALSE;
  if (evacuated)
    wf_count (agent, WF_COUNTER_EVACUATED_REFUSED);
  wf_refuse_initial (agent, handle, NO_ENDPOINT_RETRY_AFTER_S);
  return TRUE;
}

/* Starts the placement of a new flow whose home is this endpoint. */
void
wf_placement_start (WfAgent *agent, WfReceivedPacket *received)
{
  const WaEndpoint *ranked;
  WbHandle handle;
  WfFlow *flow;
  gboolean allow_self;
  guint count;

  flow = wf_flow_add (agent, &received->key, received->header.entry_zone, WF_FLOW_PLACING, &handle);
  if (flow == NULL)
    return;
  flow->hops = (guint8) received->header.hops;
  flow->flags |= WF_FLAG_IN_ADMISSION;
  wf_table_set_due (agent->flows, handle, agent->now_us + PLACEMENT_TIMEOUT_US);
  if (!wf_flow_queue_packet (agent, flow, received->data, received->length))
    {
      wf_flow_remove (agent, handle);
      return;
    }
  if (wf_placement_refuse_if_no_endpoint (agent, handle))
    return;
  /* A draining endpoint takes new flows only when every endpoint drains. */
  allow_self =
      agent->server_state == WF_SERVER_READY && !wf_placement_is_evacuated (agent) &&
      (!agent->draining || wf_placement_find_peer (agent, &received->key, flow->entry_zone) == 0);
  wf_flow_classify (agent, flow);
  ranked = wf_view_ranked (agent, &received->key, flow->entry_zone, &count);
  wa_admission_place_in_zone (agent->admission, handle, (WcClass) flow->class, flow->entry_zone,
                              ranked, count, allow_self, agent->now_us);
}

static void
log_handed_over (WfAgent *agent, const WwFlowKey *key, guint64 peer_id)
{
  gchar id[WW_ID_NAME_BYTES];

  WW_FLOW_LOG ("flow_handed_over", key, WB_TEXT ("endpoint", ww_id_name (peer_id, id)),
               WB_NUMBER ("evacuated", agent->evacuated));
}

/* Passes a flow whose initial packet is queued here on to an endpoint outside the evacuated zones,
 * or refuses it when there is none. Admission comes last, because it may admit other flows at once.
 */
static void
evacuate_flow (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  gboolean in_admission = (flow->flags & WF_FLAG_IN_ADMISSION) != 0;
  guint64 peer_id = find_peer_outside (agent, &flow->key, flow->entry_zone);

  if (wf_placement_refuse_if_no_endpoint (agent, handle))
    return;
  log_handed_over (agent, &flow->key, peer_id);
  wf_count (agent, WF_COUNTER_EVACUATED_FORWARDED);
  /* The home must drop this endpoint first, or it would send retransmissions here. */
  wf_registration_withdraw (agent, flow);
  wf_registration_flush (agent);
  wf_route_send_queue (agent, flow, WW_ENCAP_PLACE, peer_id,
                       wf_view_home (agent, &flow->key, flow->entry_zone));
  wf_placement_set_tombstone (agent, flow, handle, peer_id);
  if (in_admission)
    wa_admission_remove (agent->admission, handle, agent->now_us);
}

/* The zone of this endpoint is evacuated: passes on the waiting flows that admission has not
 * granted to a peer. */
void
wf_placement_evacuate_queue (WfAgent *agent)
{
  guint32 cursor = 0;
  WbHandle handle;
  WfFlow *flow;

  while ((flow = wf_table_next (agent->flows, &cursor, &handle)) != NULL)
    if (flow->state == WF_FLOW_WAITING)
      evacuate_flow (agent, flow, handle);
}

/* Handles an initial packet of a flow held here while the zone of this endpoint is evacuated. It is
 * delivered when the flow may be open, because the server has sent its SYN-ACK. Otherwise the
 * server may have failed, and the flow is passed on; a SYN-ACK that the server sends later is
 * dropped. */
void
wf_placement_retransmitted (WfAgent *agent,
                            WfFlow *flow,
                            WbHandle handle,
                            const WfReceivedPacket *received)
{
  if (flow->flags & WF_FLAG_CLOSED)
    return;
  if (flow->flags & (WF_FLAG_SERVER_RESPONDED | WF_FLAG_CONFIRMED | WF_FLAG_PAYLOAD_DELIVERED))
    {
      wf_request_from_client (agent, flow, handle, received);
      return;
    }
  /* Without another endpoint the packet is dropped: the server may still respond to the first
   * transmission. */
  if (find_peer_outside (agent, &flow->key, flow->entry_zone) == 0)
    return;
  flow->hops = (guint8) received->header.hops;
  if (wf_flow_queue_packet (agent, flow, received->data, received->length))
    evacuate_flow (agent, flow, handle);
}

/* Delivers the initial packet to the server. */
static void
open_flow (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  /* Admission hands its queue over when the zone is evacuated, but it may admit a flow when the
   * other endpoints drain or are suspected. */
  if (wf_placement_is_evacuated (agent))
    {
      evacuate_flow (agent, flow, handle);
      return;
    }
  /* Admission hands its queue over when the server starts to drain; a flow that it admits meanwhile
   * is refused. */
  if (agent->server_state != WF_SERVER_READY)
    {
      wf_refuse_initial (agent, handle, NO_ENDPOINT_RETRY_AFTER_S);
      return;
    }
  wf_flow_set_state (agent, flow, WF_FLOW_HELD);
  flow->last_data_us = agent->now_us;
  WW_FLOW_LOG ("flow_opened", &flow->key,
               WB_NUMBER ("waited_ms", (agent->now_us - flow->last_activity_us) / WB_US_PER_MS),
               WB_NUMBER ("held", agent->flows_held), WB_NUMBER ("waiting", agent->flows_waiting));
  wf_count (agent, WF_COUNTER_FLOWS_OPENED);
  wf_registration_send (agent, flow);
  wf_request_deliver_queue (agent, flow, handle);
}

/* Asks admission for a slot for the queued initial packet of a TCP flow. */
static WaVerdict
open_in_admission (WfAgent *agent, const WfFlow *flow, WbHandle handle, guint *retry_after_s)
{
  const WcRoute *route =
      agent->config == NULL
          ? NULL
          : wc_config_find_route (agent->config, flow->key.service_address, flow->key.service_port,
                                  (guint16) flow->key.protocol);
  WaArrival arrival = { .class = (WcClass) flow->class, .tenant = flow->tenant };
  WwPacket initial;

  if (wf_flow_parse_queued (agent, flow, 0, &initial))
    arrival.waited_us = initial.waited_us;
  if (route != NULL)
    {
      arrival.priority = route->priority;
      arrival.objective_us = route->objective_us;
    }
  return wa_admission_open_for (agent->admission, handle, &arrival, retry_after_s, agent->now_us);
}

/* Asks admission for a slot for the queued initial packet. */
static void
request_admission (WfAgent *agent, WbHandle handle)
{
  WfFlow *flow = wf_table_get (agent->flows, handle);
  guint retry_after_s = 1;
  WaVerdict verdict;

  wf_flow_set_state (agent, flow, WF_FLOW_WAITING);
  wf_table_set_due (agent->flows, handle, WB_NEVER);
  flow->last_activity_us = agent->now_us;
  wf_flow_classify (agent, flow);
  flow->flags |= WF_FLAG_IN_ADMISSION;
  /* The initial packet of a UDP flow is the request itself. */
  if (flow->key.protocol == WW_PROTOCOL_UDP)
    verdict = wa_admission_request (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                                    &retry_after_s, agent->now_us);
  else
    verdict = open_in_admission (agent, flow, handle, &retry_after_s);
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
      WW_FLOW_LOG ("flow_queued", &flow->key, WB_NUMBER ("waiting", agent->flows_waiting));
      wf_registration_send (agent, flow);
      break;
    }
}

/* Sends an initial packet back to the home that names this endpoint as the holder of its flow,
 * which an earlier process of this agent has registered. The home drops the registration and places
 * the flow. It would release the flow at an endpoint to which this one handed it over. Returns
 * whether the packet was sent. */
static gboolean
return_to_home (WfAgent *agent, const WfReceivedPacket *received)
{
  guint64 home_id = wf_view_home (agent, &received->key, received->header.entry_zone);

  if (received->header.kind != WW_ENCAP_TO_HOLDER || received->header.sender_id != home_id)
    return FALSE;
  wf_route_forward (agent, received, WW_ENCAP_FORWARD, home_id);
  return TRUE;
}

/* Forwards an initial packet to a peer when this endpoint takes no new flows. Returns whether it
 * did. */
static gboolean
hand_over_initial (WfAgent *agent, const WfReceivedPacket *received)
{
  gboolean evacuated = wf_placement_is_evacuated (agent);
  guint64 peer_id;
  WbHandle handle;
  WfFlow *flow;

  if (!evacuated && ((!agent->draining && agent->server_state == WF_SERVER_READY) ||
                     !wf_mechanism_enabled (agent, WF_DISABLE_DRAIN_HANDOVER)))
    return FALSE;
  peer_id = evacuated ? find_peer_outside (agent, &received->key, received->header.entry_zone)
                      : wf_placement_find_peer (agent, &received->key, received->header.entry_zone);
  if (peer_id == 0)
    return FALSE;
  wf_count (agent, evacuated ? WF_COUNTER_EVACUATED_FORWARDED : WF_COUNTER_DRAIN_HANDOVER);
  if (return_to_home (agent, received))
    return TRUE;
  flow =
      wf_flow_add (agent, &received->key, received->header.entry_zone, WF_FLOW_TOMBSTONE, &handle);
  if (flow != NULL)
    wf_placement_set_tombstone (agent, flow, handle, peer_id);
  log_handed_over (agent, &received->key, peer_id);
  wf_route_forward (agent, received, WW_ENCAP_PLACE, peer_id);
  return TRUE;
}

/* Accepts a new flow that was placed here by the home, by a peer's grant, or along a registry
 * entry. */
void
wf_placement_accept (WfAgent *agent, WfReceivedPacket *received)
{
  WbHandle handle;
  WfFlow *flow;

  if (hand_over_initial (agent, received))
    return;
  flow = wf_flow_add (agent, &received->key, received->header.entry_zone, WF_FLOW_WAITING, &handle);
  if (flow == NULL)
    return;
  flow->hops = (guint8) received->header.hops;
  flow->peer_id = received->header.kind == WW_ENCAP_GRANT ? received->header.sender_id : 0;
  if (!wf_flow_queue_packet (agent, flow, received->data, received->length))
    wf_flow_remove (agent, handle);
  else if (!wf_placement_refuse_if_no_endpoint (agent, handle))
    request_admission (agent, handle);
}

void
wf_placement_place_cb (gpointer context, WbHandle handle, guint64 endpoint_id)
{
  WfAgent *agent = context;
  WfFlow *flow = wf_table_get (agent->flows, handle);
  gchar id[WW_ID_NAME_BYTES];

  if (flow == NULL || flow->state != WF_FLOW_PLACING)
    return;
  if (endpoint_id == agent->self_id)
    {
      request_admission (agent, handle);
      return;
    }
  WW_FLOW_LOG ("flow_placed", &flow->key, WB_TEXT ("endpoint", ww_id_name (endpoint_id, id)),
               WB_NUMBER ("endpoints", agent->endpoint_ids->len));
  wf_count (agent, WF_COUNTER_FLOWS_PLACED);
  wf_registration_add_provisional (agent, &flow->key, endpoint_id);
  wf_route_send_queue (agent, flow, WW_ENCAP_PLACE, endpoint_id, agent->self_id);
  flow->flags &= (guint16) ~WF_FLAG_IN_ADMISSION;
  wf_flow_remove (agent, handle);
}

void
wf_placement_admit_cb (gpointer context, WbHandle handle)
{
  WfAgent *agent = context;
  WfFlow *flow = wf_table_get (agent->flows, handle);

  if (flow == NULL)
    return;
  if (flow->state == WF_FLOW_WAITING)
    open_flow (agent, flow, handle);
  else if (flow->state == WF_FLOW_HELD)
    wf_request_deliver_admitted (agent, handle);
}

void
wf_placement_refuse_cb (gpointer context, WbHandle handle, guint retry_after_s)
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
wf_placement_grant_cb (gpointer context, WbHandle handle, guint64 endpoint_id)
{
  WfAgent *agent = context;
  WfFlow *flow = wf_table_get (agent->flows, handle);
  gchar id[WW_ID_NAME_BYTES];

  if (flow == NULL || flow->state != WF_FLOW_WAITING)
    return;
  WW_FLOW_LOG ("flow_granted", &flow->key, WB_TEXT ("endpoint", ww_id_name (endpoint_id, id)),
               WB_NUMBER ("waited_ms", (agent->now_us - flow->last_activity_us) / WB_US_PER_MS));
  wf_count (agent, WF_COUNTER_GRANTED);
  wf_route_send_queue (agent, flow, WW_ENCAP_GRANT, endpoint_id,
                       wf_view_home (agent, &flow->key, flow->entry_zone));
  wf_placement_set_tombstone (agent, flow, handle, endpoint_id);
}
