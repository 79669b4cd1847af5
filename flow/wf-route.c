#include "wf-private.h"

/* Limit of the endpoints that defer the placement of one flow because they have just started. When
 * all have just started, none knows earlier flows, and the packet must not reach the hop limit. */
#define DEFERRALS_MAX 4

/* Whether the configuration in effect routes the destination of the flow to this service. */
gboolean
wf_route_is_in_service (const WfAgent *agent, const WwFlowKey *key)
{
  const WcRoute *route;

  if (!wf_mechanism_enabled (agent, WF_DISABLE_SERVICE_CHECK))
    return TRUE;
  if (agent->config == NULL)
    return FALSE;
  route = wc_config_find_route (agent->config, key->service_address, key->service_port,
                                (guint16) key->protocol);
  return route != NULL && wc_route_has_target (route, agent->service_id);
}

static void
send_encapsulated (WfAgent *agent,
                   ww_encap_kind kind,
                   guint hops,
                   guint32 entry_zone,
                   guint64 home_id,
                   guint64 endpoint_id,
                   const guint8 *data,
                   gsize length)
{
  ww_encap header = {
    .kind = kind,
    .hops = hops,
    .service_id = wf_moved_endpoint_service (agent, endpoint_id),
    /* The newest version known, so that the receiver does not contradict a choice of it either. */
    .config_version =
        MAX (agent->config == NULL ? 0 : agent->config->version, agent->newest_config_version),
    .home_id = home_id,
    .sender_id = agent->self_id,
    .entry_zone = entry_zone,
  };

  if (hops > WW_MAX_HOPS)
    {
      wf_count (agent, WF_COUNTER_HOP_LIMIT);
      return;
    }
  g_byte_array_set_size (agent->datagram, 0);
  ww_encap_append (agent->datagram, &header, data, length);
  agent->callbacks.to_endpoint (agent->callbacks.context, endpoint_id, agent->datagram->data,
                                agent->datagram->len);
}

void
wf_route_forward (WfAgent *agent,
                  const WfReceivedPacket *received,
                  ww_encap_kind kind,
                  guint64 endpoint_id)
{
  guint64 home_id = kind == WW_ENCAP_CHAIN
                        ? received->header.home_id
                        : wf_view_home (agent, &received->key, received->header.entry_zone);

  send_encapsulated (agent, kind, received->header.hops + 1, received->header.entry_zone, home_id,
                     endpoint_id, received->data, received->length);
}

/* Sends the queued packets of a flow to another endpoint. */
void
wf_route_send_queue (
    WfAgent *agent, WfFlow *flow, ww_encap_kind kind, guint64 endpoint_id, guint64 home_id)
{
  guint i;

  for (i = 0; flow->queue != NULL && i < flow->queue->len; i++)
    {
      gsize length;
      const guint8 *data = g_bytes_get_data (g_ptr_array_index (flow->queue, i), &length);

      send_encapsulated (agent, kind, flow->hops + 1U, flow->entry_zone, home_id, endpoint_id, data,
                         length);
    }
  wf_flow_clear_queue (agent, flow);
}

gboolean
wf_route_is_initial (const WfReceivedPacket *received)
{
  return received->status == WW_PACKET_OK && received->key.protocol == WW_PROTOCOL_TCP &&
         (received->packet.tcp_flags & (WW_TCP_SYN | WW_TCP_ACK | WW_TCP_RST)) == WW_TCP_SYN;
}

/* Forwards a packet in rank order, or to the service that had its destination until recently. At
 * the end of the chain the local server is probed for the flow, unless @server_probed is set. */
void
wf_route_along_chain (WfAgent *agent, WfReceivedPacket *received, gboolean server_probed)
{
  guint64 next_id;

  if (wf_moved_to_previous (agent, received) || wf_locate_packet (agent, received))
    return;
  next_id =
      wf_mechanism_enabled (agent, WF_DISABLE_CHAIN) && !wf_moved_has_searched (agent, received)
          ? wf_view_next (agent, &received->key, received->header.entry_zone)
          : 0;
  if (next_id != 0)
    {
      wf_count (agent, WF_COUNTER_FORWARDED_CHAIN);
      wf_route_forward (agent, received, WW_ENCAP_CHAIN, next_id);
      return;
    }
  if (!server_probed && wf_probe_start (agent, received))
    return;
  if (wf_moved_return (agent, received))
    return;
  WW_FLOW_LOG_ALWAYS ("flow_unknown", &received->key, WB_NUMBER ("hops", received->header.hops),
                      WB_NUMBER ("endpoints", agent->endpoint_ids->len));
  wf_count (agent, WF_COUNTER_CHAIN_END);
}

/* Returns where a packet goes back to that was sent here as the holder's but belongs to no flow
 * here. The receiver drops its entry that names this endpoint. With an entry zone, or from another
 * service, that is the sender, which need not be the home. */
guint64
wf_route_wrong_entry_owner (WfAgent *agent, const WfReceivedPacket *received)
{
  guint64 sender_id = received->header.sender_id;

  if (received->header.kind == WW_ENCAP_TO_HOLDER &&
      ((received->header.entry_zone != 0 && wf_view_contains (agent, sender_id)) ||
       wf_moved_endpoint_service (agent, sender_id) != agent->service_id))
    return sender_id;
  return wf_view_home (agent, &received->key, received->header.entry_zone);
}

/* Forwards a packet of another connection with the 5-tuple of a row here. Its home drops the entry
 * that names this endpoint and looks further. */
void
wf_route_other_connection (WfAgent *agent, WfReceivedPacket *received)
{
  guint64 home_id = wf_route_wrong_entry_owner (agent, received);

  wf_count (agent, WF_COUNTER_OTHER_HANDSHAKE);
  if (received->header.kind == WW_ENCAP_CHAIN || home_id == agent->self_id)
    wf_route_along_chain (agent, received, TRUE);
  else
    wf_route_forward (agent, received, WW_ENCAP_FORWARD, home_id);
}

/* Whether this endpoint, which has just joined, lets the next rank place the flow: it has no
 * registrations of the flows of the previous home yet. */
static gboolean
defers_placement (const WfAgent *agent, const WfReceivedPacket *received)
{
  /* No endpoint has placed the flow of a first transmission yet. */
  if (agent->format->numbers_retransmissions && received->packet.retransmission == 0)
    return FALSE;
  return wf_mechanism_enabled (agent, WF_DISABLE_JOIN_DEFERRAL) &&
         received->header.hops <= DEFERRALS_MAX &&
         agent->now_us - agent->joined_us < WF_JOIN_DEFERRAL_US;
}

/* Leaves the placement to the next rank. The tombstone sends retransmissions the same way after the
 * deferral period too: otherwise the flow could be placed twice. */
static void
defer_placement (WfAgent *agent, const WfReceivedPacket *received, guint64 next_id)
{
  gchar id[WW_ID_NAME_BYTES];
  WbHandle handle;
  WfFlow *flow =
      wf_flow_add (agent, &received->key, received->header.entry_zone, WF_FLOW_TOMBSTONE, &handle);

  if (flow == NULL)
    return;
  WW_FLOW_LOG ("flow_deferred", &received->key, WB_TEXT ("endpoint", ww_id_name (next_id, id)),
               WB_NUMBER ("running_ms", (agent->now_us - agent->joined_us) / WB_US_PER_MS));
  wf_placement_set_tombstone (agent, flow, handle, next_id);
  flow->flags |= WF_FLAG_DEFERRED;
  wf_count (agent, WF_COUNTER_DEFERRED);
  wf_route_forward (agent, received, WW_ENCAP_CHAIN, next_id);
}

/* Forwards the packet to its home. Returns FALSE when this endpoint is the home. */
gboolean
wf_route_to_home (WfAgent *agent, const WfReceivedPacket *received)
{
  guint64 home_id = wf_view_home (agent, &received->key, received->header.entry_zone);

  if (home_id == agent->self_id)
    return FALSE;
  wf_count (agent, WF_COUNTER_FORWARDED_HOME);
  wf_route_forward (agent, received, WW_ENCAP_FORWARD, home_id);
  return TRUE;
}

/* Accepts or places the new flow of an initial packet, or forwards the packet to the endpoint that
 * does. */
static void
route_unknown_initial (WfAgent *agent, WfReceivedPacket *received)
{
  guint64 next_id;

  switch (received->header.kind)
    {
    case WW_ENCAP_TO_HOLDER:
    case WW_ENCAP_PLACE:
    case WW_ENCAP_GRANT:
      wf_placement_accept (agent, received);
      return;
    case WW_ENCAP_FORWARD:
      if (wf_route_to_home (agent, received))
        return;
      break;
    case WW_ENCAP_CHAIN:
    case WW_ENCAP_RETURN:
    default:
      break;
    }
  next_id = defers_placement (agent, received)
                ? wf_view_next (agent, &received->key, received->header.entry_zone)
                : 0;
  if (next_id == 0)
    wf_placement_start (agent, received);
  else
    defer_placement (agent, received, next_id);
}

static void
resume_refusal (WfAgent *agent, const WfReceivedPacket *received)
{
  WbHandle handle;
  WfFlow *flow =
      wf_flow_add (agent, &received->key, received->header.entry_zone, WF_FLOW_NOT_HELD, &handle);

  if (flow != NULL)
    wf_refuse_resume (agent, flow, handle, received);
}

/* Routes a TCP packet after the initial one, or an ICMP error, of a flow that has no row here. */
static void
route_unknown_packet (WfAgent *agent, WfReceivedPacket *received)
{
  if (wf_refuse_completes_handshake (agent, received))
    {
      resume_refusal (agent, received);
      return;
    }
  /* After a restart the server may still hold the flow. The packet is dropped without a change of
   * the registry; the client retransmits it after the server has announced itself. */
  if (received->header.kind == WW_ENCAP_TO_HOLDER && agent->server_state == WF_SERVER_ABSENT)
    {
      wf_count (agent, WF_COUNTER_NOT_READY);
      return;
    }
  if (received->header.kind == WW_ENCAP_TO_HOLDER && wf_probe_start (agent, received))
    return;
  if (received->header.kind != WW_ENCAP_CHAIN && wf_route_to_home (agent, received))
    return;
  if (received->header.kind != WW_ENCAP_CHAIN)
    received->header.home_id = agent->self_id;
  if (wf_moved_to_previous (agent, received) || wf_locate_packet (agent, received))
    return;
  if (wf_probe_in_recovery_period (agent) && wf_probe_start (agent, received))
    return;
  wf_route_along_chain (agent, received, FALSE);
}

/* Returns the holder that the registry names, or 0 when there is none that can hold the flow.
 * Removes an entry that is shown to be wrong. */
static guint64
registered_holder (WfAgent *agent, const WfReceivedPacket *received)
{
  WbHandle handle;
  const WfRegistryEntry *entry = wf_registration_find (agent, &received->key, &handle);

  if (entry == NULL || entry->holder_id == agent->self_id)
    return 0;
  /* The named holder sent the packet back because it does not hold the flow. A deferred initial
   * packet does not show that: it may have crossed the placement of the flow on its sender. */
  if (entry->holder_id == received->header.sender_id &&
      !(wf_route_is_initial (received) && received->header.kind == WW_ENCAP_CHAIN))
    {
      wf_table_remove (agent->registry, handle);
      return 0;
    }
  if (wf_locate_ignores_entry (agent, received, entry))
    return 0;
  if (!wf_view_has_departed (agent, entry->holder_id))
    return entry->holder_id;
  if (wf_route_is_initial (received))
    wf_table_remove (agent->registry, handle);
  return 0;
}

/* Routes a packet of a flow that has no row here. */
void
wf_route_unknown (WfAgent *agent, WfReceivedPacket *received)
{
  guint64 holder_id;

  if (!agent->endpoints_known)
    {
      wf_count (agent, WF_COUNTER_NOT_READY);
      return;
    }
  holder_id = registered_holder (agent, received);
  if (wf_route_is_initial (received) && received->packet.payload_length > 0)
    {
      wf_count (agent, WF_COUNTER_SYN_PAYLOAD);
      return;
    }
  if (holder_id != 0)
    {
      wf_count (agent, WF_COUNTER_FORWARDED_HOLDER);
      wf_route_forward (agent, received, WW_ENCAP_TO_HOLDER, holder_id);
      return;
    }
  if (wf_moved_route_unknown (agent, received))
    return;
  if (wf_route_is_initial (received))
    route_unknown_initial (agent, received);
  else if (received->status == WW_PACKET_OK && received->key.protocol == WW_PROTOCOL_UDP)
    wf_udp_route_unknown (agent, received);
  else
    route_unknown_packet (agent, received);
}

/* Whether a deferred initial packet is in a cycle: endpoints that have just started have deferred
 * it in the rank orders of different entry zones. The endpoint then places the flow, and its row
 * ends the cycle for the other copies. */
static gboolean
is_deferred_in_cycle (const WfFlow *flow, const WfReceivedPacket *received)
{
  return wf_route_is_initial (received) && (flow->flags & WF_FLAG_DEFERRED) &&
         received->header.kind == WW_ENCAP_CHAIN && received->header.hops > DEFERRALS_MAX &&
         received->header.entry_zone != flow->entry_zone;
}

/* Whether an initial packet no longer belongs to the service to which its tombstone leads. An agent
 * that does not know the latest configuration accepts the sender's choice of its own service, but
 * TO_HOLDER is not one: it follows an entry of the registry. */
static gboolean
leads_to_wrong_service (const WfAgent *agent, const WfFlow *flow, const WfReceivedPacket *received)
{
  if (received->header.kind == WW_ENCAP_TO_HOLDER && wf_route_config_is_outdated (agent))
    return FALSE;
  return wf_moved_endpoint_service (agent, flow->peer_id) !=
         wf_moved_service (agent, &received->key);
}

static void
forward_along_tombstone (WfAgent *agent, WfFlow *flow, WbHandle handle, WfReceivedPacket *received)
{
  guint64 peer_id = flow->peer_id;
  gboolean initial = wf_route_is_initial (received);
  gboolean placed_here = received->header.kind == WW_ENCAP_PLACE ||
                         received->header.kind == WW_ENCAP_GRANT ||
                         received->header.kind == WW_ENCAP_TO_HOLDER;
  gboolean outdated;

  /* The tombstone is outdated when the peer sends the packet back, has departed, or has placed the
   * flow on this endpoint, or when the flow that the peer was asked to place belongs to another
   * service now, or its packet has come back along the tombstones of further deferrals. */
  outdated = (received->header.sender_id == peer_id && received->header.kind != WW_ENCAP_CHAIN) ||
             ((flow->flags & WF_FLAG_DEFERRED) &&
              (wf_moved_service (agent, &received->key) != agent->service_id ||
               (!initial && wf_locate_has_come_back (received))));
  if (initial &&
      (wf_view_has_departed (agent, peer_id) || leads_to_wrong_service (agent, flow, received) ||
       ((flow->flags & WF_FLAG_DEFERRED) && placed_here)))
    outdated = TRUE;
  if (outdated || is_deferred_in_cycle (flow, received))
    {
      wf_flow_remove (agent, handle);
      wf_route_unknown (agent, received);
      return;
    }
  wf_count (agent, WF_COUNTER_FORWARDED_HOLDER);
  wf_route_forward (
      agent, received,
      initial && (flow->flags & WF_FLAG_DEFERRED) ? WW_ENCAP_CHAIN : WW_ENCAP_TO_HOLDER, peer_id);
}

/* Handles a packet of a flow that waits. A RST or FIN of the client removes the flow from the
 * queue. */
static void
receive_on_waiting_flow (WfAgent *agent,
                         WfFlow *flow,
                         WbHandle handle,
                         const WfReceivedPacket *received)
{
  if (received->status != WW_PACKET_OK)
    return;
  if (received->key.protocol == WW_PROTOCOL_UDP || wf_route_is_initial (received))
    (void) wf_flow_queue_packet (agent, flow, received->data, received->length);
  else if (received->packet.tcp_flags & (WW_TCP_RST | WW_TCP_FIN))
    wf_flow_remove (agent, handle);
}

static gboolean
is_new_connection (const WfFlow *flow, const WfReceivedPacket *received)
{
  return wf_route_is_initial (received) && (flow->flags & WF_FLAG_CLOSED) &&
         received->packet.sequence + 1 != flow->client_next;
}

/* Handles a packet of a held flow. When two servers have sent a SYN-ACK, the client's
 * acknowledgment shows which one it has accepted. */
static void
receive_on_held_flow (WfAgent *agent, WfFlow *flow, WbHandle handle, WfReceivedPacket *received)
{
  gboolean unconfirmed = wf_registry_flow_is_unconfirmed (flow);
  guint64 holder_id;

  if (wf_route_is_initial (received) && wf_placement_is_evacuated (agent))
    {
      wf_placement_retransmitted (agent, flow, handle, received);
      return;
    }
  if (wf_request_confirm_connection (agent, flow, received))
    {
      if (unconfirmed && !wf_registry_flow_is_unconfirmed (flow))
        wf_registry_release_other_holder (agent, &flow->key);
      wf_request_from_client (agent, flow, handle, received);
      return;
    }
  if (unconfirmed && wf_refuse_completes_handshake (agent, received))
    {
      wf_registry_drop_local_connection (agent, flow, handle);
      wf_refuse_resume (agent, flow, handle, received);
      return;
    }
  holder_id = unconfirmed ? registered_holder (agent, received) : 0;
  if (holder_id == 0)
    {
      wf_route_other_connection (agent, received);
      return;
    }
  wf_count (agent, WF_COUNTER_OTHER_HANDSHAKE);
  wf_registry_release_to_holder (agent, flow, handle, holder_id);
  wf_route_forward (agent, received, WW_ENCAP_TO_HOLDER, holder_id);
}

/* Handles a packet of a flow that has a row here. When the row does not apply to the packet, it is
 * removed and the packet routed as one of an unknown flow. */
static void
receive_on_known_flow (WfAgent *agent, WfFlow *flow, WbHandle handle, WfReceivedPacket *received)
{
  gboolean reroute = FALSE;

  switch ((WfFlowState) flow->state)
    {
    case WF_FLOW_HELD:
      reroute = is_new_connection (flow, received);
      if (!reroute)
        receive_on_held_flow (agent, flow, handle, received);
      break;
    case WF_FLOW_PLACING:
    case WF_FLOW_WAITING:
      receive_on_waiting_flow (agent, flow, handle, received);
      break;
    case WF_FLOW_REFUSING:
      reroute = !wf_refuse_from_client (agent, flow, handle, received);
      break;
    case WF_FLOW_PROBING:
      reroute = wf_route_is_initial (received);
      if (!reroute && received->status == WW_PACKET_OK)
        (void) wf_flow_queue_packet (agent, flow, received->data, received->length);
      break;
    case WF_FLOW_TOMBSTONE:
      forward_along_tombstone (agent, flow, handle, received);
      break;
    case WF_FLOW_NOT_HELD:
    default:
      reroute = wf_route_is_initial (received) || registered_holder (agent, received) != 0 ||
                (received->header.kind == WW_ENCAP_TO_HOLDER && !agent->format->returns_packets);
      if (!reroute)
        wf_route_along_chain (agent, received, TRUE);
      break;
    }
  if (!reroute)
    return;
  wf_flow_remove (agent, handle);
  wf_route_unknown (agent, received);
}

/* Whether initial packets may have waited in the socket buffer during a pause. The client has
 * retransmitted them since, and may have been served or refused by another endpoint. */
static gboolean
has_just_resumed (const WfAgent *agent)
{
  return wf_mechanism_enabled (agent, WF_DISABLE_JOIN_DEFERRAL) &&
         agent->now_us - agent->resumed_us < WF_RESUME_SETTLE_US;
}

/* Whether a sender has named a newer configuration, which may have services that this process does
 * not know yet. */
gboolean
wf_route_config_is_outdated (const WfAgent *agent)
{
  return agent->newest_config_version > (agent->config == NULL ? 0 : agent->config->version);
}

/* Whether the sender has a newer configuration. Its choice of this service is then accepted,
 * because the older configuration of this process cannot contradict it. */
static gboolean
sender_has_newer_config (const WfAgent *agent, const ww_encap *header)
{
  return header->config_version > (agent->config == NULL ? 0 : agent->config->version);
}

/* Handles an encapsulated packet from the network. */
void
wf_route_receive (WfAgent *agent, const guint8 *data, gsize length)
{
  WfReceivedPacket received;
  WbHandle handle;
  WfFlow *flow;

  wf_count (agent, WF_COUNTER_RECEIVED);
  if (!ww_encap_parse (data, length, &received.header, &received.data, &received.length))
    {
      wf_count (agent, WF_COUNTER_MALFORMED);
      return;
    }
  received.status = agent->format->parse (received.data, received.length, &received.packet);
  if (received.length > WW_PACKET_MAX_BYTES ||
      (received.status != WW_PACKET_OK && received.status != WW_PACKET_ICMP_ERROR))
    {
      wf_count (agent, WF_COUNTER_MALFORMED);
      return;
    }
  received.key = ww_packet_key_from_client (&received.packet);
  agent->newest_config_version = MAX (agent->newest_config_version, received.header.config_version);
  if ((received.header.service_id != agent->service_id &&
       wf_mechanism_enabled (agent, WF_DISABLE_SERVICE_CHECK)) ||
      !(sender_has_newer_config (agent, &received.header) ||
        wf_route_is_in_service (agent, &received.key) || wf_moved_accepts (agent, &received)))
    {
      wf_count (agent, WF_COUNTER_WRONG_SERVICE);
      return;
    }
  received.header.hops = MIN (received.header.hops, WW_MAX_HOPS);
  if (wf_route_is_initial (&received) && has_just_resumed (agent))
    {
      wf_count (agent, WF_COUNTER_STALE_INITIAL);
      return;
    }
  if (wf_route_is_initial (&received))
    wf_search_forget (agent->search, &received.key);
  flow = wf_table_find (agent->flows, &received.key, &handle);
  if (flow != NULL)
    {
      wf_registration_set_entry_zone (agent, flow, received.header.entry_zone);
      receive_on_known_flow (agent, flow, handle, &received);
    }
  else
    wf_route_unknown (agent, &received);
}
