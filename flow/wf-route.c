#include "wf-private.h"

/* Endpoints that pass an initial packet on because they have just started. When the whole fleet
 * has, nobody knows older flows, and the packet must not run into the hop limit. */
#define DEFERRALS_MAX 4

gboolean
wf_route_in_service (const WfAgent *agent, const WwFlowKey *key)
{
  const WcRoute *route;

  if (!wf_enabled (agent, WF_DISABLE_SERVICE_CHECK))
    return TRUE;
  if (agent->config == NULL)
    return FALSE;
  route = wc_config_find_route (agent->config, key->service_address, key->service_port,
                                (guint16) key->protocol);
  return route != NULL && wc_route_has_target (route, agent->service_id);
}

static void
send_packet (WfAgent *agent,
             ww_encap_kind kind,
             guint hops,
             guint64 home_id,
             guint64 endpoint_id,
             const guint8 *data,
             gsize length)
{
  ww_encap header = {
    .kind = kind,
    .hops = hops,
    .service_id = agent->service_id,
    .config_version = agent->config == NULL ? 0 : agent->config->version,
    .home_id = home_id,
    .sender_id = agent->self_id,
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
wf_route_forward (WfAgent *agent, const WfInput *input, ww_encap_kind kind, guint64 endpoint_id)
{
  guint64 home_id =
      kind == WW_ENCAP_CHAIN ? input->header.home_id : wf_view_home (agent, &input->key);

  send_packet (agent, kind, input->header.hops + 1, home_id, endpoint_id, input->data,
               input->length);
}

/* Sends the packets kept for a flow to another endpoint. */
void
wf_route_send_queue (
    WfAgent *agent, WfFlow *flow, ww_encap_kind kind, guint64 endpoint_id, guint64 home_id)
{
  guint i;

  for (i = 0; flow->queue != NULL && i < flow->queue->len; i++)
    {
      gsize length;
      const guint8 *data = g_bytes_get_data (g_ptr_array_index (flow->queue, i), &length);

      send_packet (agent, kind, flow->hops + 1U, home_id, endpoint_id, data, length);
    }
  wf_flow_clear_queue (agent, flow);
}

static gboolean
is_initial (const WfInput *input)
{
  return input->status == WW_PACKET_OK && input->key.protocol == WW_PROTOCOL_TCP &&
         (input->packet.tcp_flags & (WW_TCP_SYN | WW_TCP_ACK | WW_TCP_RST)) == WW_TCP_SYN;
}

/* Passes a packet on in rank order. At the end of the chain the own server is asked, unless it has
 * been asked already. */
void
wf_route_chain (WfAgent *agent, WfInput *input, gboolean probed)
{
  guint64 next_id = wf_enabled (agent, WF_DISABLE_CHAIN) ? wf_view_next (agent, &input->key) : 0;

  if (next_id != 0)
    {
      wf_count (agent, WF_COUNTER_FORWARDED_CHAIN);
      wf_route_forward (agent, input, WW_ENCAP_CHAIN, next_id);
      return;
    }
  if (!probed && wf_probe_start (agent, input))
    return;
  WW_FLOW_LOG_ALWAYS ("flow_unknown", &input->key, WB_NUMBER ("hops", input->header.hops),
                      WB_NUMBER ("endpoints", agent->ids->len));
  wf_count (agent, WF_COUNTER_CHAIN_END);
}

/* A packet of a flow whose row here is of another connection of the same 5-tuple. The home forgets
 * this endpoint as the holder and looks further. */
void
wf_route_not_here (WfAgent *agent, WfInput *input)
{
  guint64 home_id = wf_view_home (agent, &input->key);

  wf_count (agent, WF_COUNTER_OTHER_HANDSHAKE);
  if (input->header.kind == WW_ENCAP_CHAIN || home_id == agent->self_id)
    wf_route_chain (agent, input, TRUE);
  else
    wf_route_forward (agent, input, WW_ENCAP_FORWARD, home_id);
}

/* An endpoint that has just joined does not know the flows of the previous home yet. */
static gboolean
defers_placement (const WfAgent *agent, const WfInput *input)
{
  /* Nobody has placed the flow of a first copy yet. */
  if (agent->format->numbers_retransmissions && input->packet.retransmission == 0)
    return FALSE;
  return wf_enabled (agent, WF_DISABLE_JOIN_DEFERRAL) && input->header.hops <= DEFERRALS_MAX &&
         agent->now_us - agent->joined_us < WF_JOIN_DEFERRAL_US;
}

/* The tombstone sends a repeated initial packet the same way, also when the deferral period ends
 * in between: otherwise the flow would be placed twice. */
static void
defer (WfAgent *agent, const WfInput *input, guint64 next_id)
{
  gchar id[WW_ID_NAME_BYTES];
  WbHandle handle;
  WfFlow *flow = wf_flow_add (agent, &input->key, WF_FLOW_TOMBSTONE, &handle);

  if (flow == NULL)
    return;
  WW_FLOW_LOG ("flow_deferred", &input->key, WB_TEXT ("endpoint", ww_id_name (next_id, id)),
               WB_NUMBER ("running_ms", (agent->now_us - agent->joined_us) / WB_US_PER_MS));
  wf_hold_tombstone (agent, flow, handle, next_id);
  flow->flags |= WF_FLAG_DEFERRED;
  wf_count (agent, WF_COUNTER_DEFERRED);
  wf_route_forward (agent, input, WW_ENCAP_CHAIN, next_id);
}

/* Returns FALSE when this endpoint is the home in its own view. */
gboolean
wf_route_to_home (WfAgent *agent, const WfInput *input)
{
  guint64 home_id = wf_view_home (agent, &input->key);

  if (home_id == agent->self_id)
    return FALSE;
  wf_count (agent, WF_COUNTER_FORWARDED_HOME);
  wf_route_forward (agent, input, WW_ENCAP_FORWARD, home_id);
  return TRUE;
}

static void
unknown_initial (WfAgent *agent, WfInput *input)
{
  guint64 next_id;

  switch (input->header.kind)
    {
    case WW_ENCAP_TO_HOLDER:
    case WW_ENCAP_PLACE:
    case WW_ENCAP_GRANT:
      wf_hold_take (agent, input);
      return;
    case WW_ENCAP_FORWARD:
      if (wf_route_to_home (agent, input))
        return;
      break;
    case WW_ENCAP_CHAIN:
    case WW_ENCAP_RETURN:
    default:
      break;
    }
  next_id = defers_placement (agent, input) ? wf_view_next (agent, &input->key) : 0;
  if (next_id == 0)
    wf_hold_place (agent, input);
  else
    defer (agent, input, next_id);
}

static void
resume_refusal (WfAgent *agent, const WfInput *input)
{
  WbHandle handle;
  WfFlow *flow = wf_flow_add (agent, &input->key, WF_FLOW_NOT_HELD, &handle);

  if (flow != NULL)
    wf_refuse_resume (agent, flow, handle, input);
}

static void
unknown_other (WfAgent *agent, WfInput *input)
{
  if (wf_refuse_is_handshake (agent, input))
    {
      resume_refusal (agent, input);
      return;
    }
  /* After a restart the server may still hold the flow. The home keeps its entry, and the client
   * sends the packet again when the server has announced itself. */
  if (input->header.kind == WW_ENCAP_TO_HOLDER && agent->server == WF_SERVER_ABSENT)
    {
      wf_count (agent, WF_COUNTER_NOT_READY);
      return;
    }
  if (input->header.kind == WW_ENCAP_TO_HOLDER && wf_probe_start (agent, input))
    return;
  if (input->header.kind != WW_ENCAP_CHAIN && wf_route_to_home (agent, input))
    return;
  if (input->header.kind != WW_ENCAP_CHAIN)
    input->header.home_id = agent->self_id;
  if (wf_probe_recovering (agent) && wf_probe_start (agent, input))
    return;
  wf_route_chain (agent, input, FALSE);
}

/* Whether the registry names an endpoint that can have the flow. */
static guint64
registered_holder (WfAgent *agent, const WfInput *input)
{
  WbHandle handle;
  const WfEntry *entry = wf_register_find (agent, &input->key, &handle);

  if (entry == NULL || entry->holder_id == agent->self_id)
    return 0;
  /* The holder itself sends the packet back: it does not hold the flow. A deferred initial packet
   * may have crossed the placement on its sender. */
  if (entry->holder_id == input->header.sender_id &&
      !(is_initial (input) && input->header.kind == WW_ENCAP_CHAIN))
    {
      wf_table_remove (agent->registry, handle);
      return 0;
    }
  if (!wf_view_lost (agent, entry->holder_id))
    return entry->holder_id;
  if (is_initial (input))
    wf_table_remove (agent->registry, handle);
  return 0;
}

/* A packet of a flow that has no row here. */
void
wf_route_unknown (WfAgent *agent, WfInput *input)
{
  guint64 holder_id;

  if (!agent->view_known)
    {
      wf_count (agent, WF_COUNTER_NOT_READY);
      return;
    }
  holder_id = registered_holder (agent, input);
  if (is_initial (input) && input->packet.payload_length > 0)
    {
      wf_count (agent, WF_COUNTER_SYN_PAYLOAD);
      return;
    }
  if (holder_id != 0)
    {
      wf_count (agent, WF_COUNTER_FORWARDED_HOLDER);
      wf_route_forward (agent, input, WW_ENCAP_TO_HOLDER, holder_id);
      return;
    }
  if (is_initial (input))
    unknown_initial (agent, input);
  else if (input->status == WW_PACKET_OK && input->key.protocol == WW_PROTOCOL_UDP)
    wf_udp_unknown (agent, input);
  else
    unknown_other (agent, input);
}

static void
along_tombstone (WfAgent *agent, WfFlow *flow, WbHandle handle, WfInput *input)
{
  guint64 peer_id = flow->peer_id;
  gboolean initial = is_initial (input);
  gboolean placed_here = input->header.kind == WW_ENCAP_PLACE ||
                         input->header.kind == WW_ENCAP_GRANT ||
                         input->header.kind == WW_ENCAP_TO_HOLDER;
  gboolean outdated;

  /* The peer sends the packet back, is lost, or has placed the flow on this endpoint. */
  outdated = input->header.sender_id == peer_id && input->header.kind != WW_ENCAP_CHAIN;
  if (initial &&
      (wf_view_lost (agent, peer_id) || ((flow->flags & WF_FLAG_DEFERRED) && placed_here)))
    outdated = TRUE;
  if (outdated)
    {
      wf_flow_remove (agent, handle);
      wf_route_unknown (agent, input);
      return;
    }
  wf_count (agent, WF_COUNTER_FORWARDED_HOLDER);
  wf_route_forward (
      agent, input,
      initial && (flow->flags & WF_FLAG_DEFERRED) ? WW_ENCAP_CHAIN : WW_ENCAP_TO_HOLDER, peer_id);
}

/* A client that gives up while its initial packet waits frees its place. */
static void
to_waiting (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfInput *input)
{
  if (input->status != WW_PACKET_OK)
    return;
  if (input->key.protocol == WW_PROTOCOL_UDP || is_initial (input))
    (void) wf_flow_queue (agent, flow, input->data, input->length);
  else if (input->packet.tcp_flags & (WW_TCP_RST | WW_TCP_FIN))
    wf_flow_remove (agent, handle);
}

static gboolean
is_new_connection (const WfFlow *flow, const WfInput *input)
{
  return is_initial (input) && (flow->flags & WF_FLAG_CLOSED) &&
         input->packet.sequence + 1 != flow->client_next;
}

/* The client's acknowledgement tells which of two servers' answers it took. */
static void
to_held (WfAgent *agent, WfFlow *flow, WbHandle handle, WfInput *input)
{
  gboolean undecided = wf_registry_undecided (flow);
  guint64 holder_id;

  if (wf_turn_belongs (flow, input))
    {
      if (undecided && !wf_registry_undecided (flow))
        wf_registry_confirmed (agent, &flow->key);
      wf_turn_from_client (agent, flow, handle, input);
      return;
    }
  if (undecided && wf_refuse_is_handshake (agent, input))
    {
      wf_registry_abandon (agent, flow, handle);
      wf_refuse_resume (agent, flow, handle, input);
      return;
    }
  holder_id = undecided ? registered_holder (agent, input) : 0;
  if (holder_id == 0)
    {
      wf_route_not_here (agent, input);
      return;
    }
  wf_count (agent, WF_COUNTER_OTHER_HANDSHAKE);
  wf_registry_yield (agent, flow, handle, holder_id);
  wf_route_forward (agent, input, WW_ENCAP_TO_HOLDER, holder_id);
}

static void
to_known (WfAgent *agent, WfFlow *flow, WbHandle handle, WfInput *input)
{
  gboolean restart = FALSE;

  switch ((WfFlowState) flow->state)
    {
    case WF_FLOW_HELD:
      restart = is_new_connection (flow, input);
      if (!restart)
        to_held (agent, flow, handle, input);
      break;
    case WF_FLOW_PLACING:
    case WF_FLOW_WAITING:
      to_waiting (agent, flow, handle, input);
      break;
    case WF_FLOW_REFUSING:
      restart = !wf_refuse_from_client (agent, flow, handle, input);
      break;
    case WF_FLOW_PROBING:
      restart = is_initial (input);
      if (!restart && input->status == WW_PACKET_OK)
        (void) wf_flow_queue (agent, flow, input->data, input->length);
      break;
    case WF_FLOW_TOMBSTONE:
      along_tombstone (agent, flow, handle, input);
      break;
    case WF_FLOW_NOT_HELD:
    default:
      restart = is_initial (input) || registered_holder (agent, input) != 0 ||
                (input->header.kind == WW_ENCAP_TO_HOLDER && !agent->format->returns_packets);
      if (!restart)
        wf_route_chain (agent, input, TRUE);
      break;
    }
  if (!restart)
    return;
  wf_flow_remove (agent, handle);
  wf_route_unknown (agent, input);
}

/* Initial packets read just after a pause may have waited in the socket buffer. The client has
 * sent them again meanwhile, and may have been served or refused elsewhere. */
static gboolean
just_resumed (const WfAgent *agent)
{
  return wf_enabled (agent, WF_DISABLE_JOIN_DEFERRAL) &&
         agent->now_us - agent->resumed_us < WF_RESUME_SETTLE_US;
}

/* Whether others have a newer configuration. What the own one lacks may be in that. */
gboolean
wf_route_is_outdated (const WfAgent *agent)
{
  return agent->heard_version > (agent->config == NULL ? 0 : agent->config->version);
}

/* A balancer with a newer configuration has chosen this service; the own one cannot object. */
static gboolean
knows_newer (const WfAgent *agent, const ww_encap *header)
{
  return header->config_version > (agent->config == NULL ? 0 : agent->config->version);
}

void
wf_route_receive (WfAgent *agent, const guint8 *data, gsize length)
{
  WfInput input;
  WbHandle handle;
  WfFlow *flow;

  wf_count (agent, WF_COUNTER_RECEIVED);
  if (!ww_encap_parse (data, length, &input.header, &input.data, &input.length))
    {
      wf_count (agent, WF_COUNTER_MALFORMED);
      return;
    }
  input.status = agent->format->parse (input.data, input.length, &input.packet);
  if (input.length > WW_PACKET_MAX ||
      (input.status != WW_PACKET_OK && input.status != WW_PACKET_ICMP_ERROR))
    {
      wf_count (agent, WF_COUNTER_MALFORMED);
      return;
    }
  input.key = ww_packet_key_from_client (&input.packet);
  agent->heard_version = MAX (agent->heard_version, input.header.config_version);
  if ((input.header.service_id != agent->service_id &&
       wf_enabled (agent, WF_DISABLE_SERVICE_CHECK)) ||
      !(knows_newer (agent, &input.header) || wf_route_in_service (agent, &input.key)))
    {
      wf_count (agent, WF_COUNTER_R2_WRONG_SERVICE);
      return;
    }
  input.header.hops = MIN (input.header.hops, WW_MAX_HOPS);
  if (is_initial (&input) && just_resumed (agent))
    {
      wf_count (agent, WF_COUNTER_STALE_INITIAL);
      return;
    }
  flow = wf_table_find (agent->flows, &input.key, &handle);
  if (flow != NULL)
    to_known (agent, flow, handle, &input);
  else
    wf_route_unknown (agent, &input);
}
