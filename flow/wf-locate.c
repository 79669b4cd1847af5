#include "wf-private.h"

/* An agent that has started or resumed less than this time ago may not know of the latest changes
 * of the members. */
#define SETTLE_US (1 * WB_US_PER_S)

/* Limit of the flows remembered after the removal of their row. Beyond it this agent is certain of
 * no flow until its server is replaced. */
#define DROPPED_FLOWS_MAX 65536

/* From the balancer to the home, to the named holder, along its tombstone, and back to the home. */
#define COME_BACK_HOPS 4

static guint64
hash_of (const WwFlowKey *key)
{
  return wb_hash64 (key, sizeof *key, 0);
}

/* Whether every flow that the server may hold has a row. */
static gboolean
rows_are_complete (const WfAgent *agent, const WwFlowKey *key)
{
  guint64 hash = hash_of (key);

  return agent->flows_complete && agent->server_started_us > agent->started_us &&
         g_hash_table_size (agent->dropped_flows) < DROPPED_FLOWS_MAX &&
         !g_hash_table_contains (agent->dropped_flows, &hash);
}

/* State of a flow that has a row. A tombstone counts as held, because it leads to the holder. */
static ww_search_state
row_state (const WfAgent *agent, const WfFlow *flow)
{
  switch ((WfFlowState) flow->state)
    {
    case WF_FLOW_HELD:
      return agent->server_withdrawn ? WW_SEARCH_ABSENT : WW_SEARCH_HELD;
    case WF_FLOW_PROBING:
      return WW_SEARCH_UNKNOWN;
    /* With a format that returns packets, the row is there because the server has returned one. */
    case WF_FLOW_NOT_HELD:
      return agent->format->returns_packets ? WW_SEARCH_ABSENT : WW_SEARCH_UNKNOWN;
    case WF_FLOW_PLACING:
    case WF_FLOW_WAITING:
    case WF_FLOW_REFUSING:
    case WF_FLOW_TOMBSTONE:
    default:
      return WW_SEARCH_HELD;
    }
}

/* Whether the registry names a holder that @asker_id has to know of. A holder that has registered
 * is asked itself; one on which this agent has just placed the flow may not have received the
 * initial packet yet. */
static gboolean
registry_tells (WfAgent *agent, const WwFlowKey *key, guint64 asker_id)
{
  const WfRegistryEntry *entry = wf_registration_find (agent, key, NULL);

  if (entry == NULL || entry->holder_id == agent->self_id || entry->holder_id == asker_id ||
      wf_view_has_departed (agent, entry->holder_id))
    return FALSE;
  return asker_id == agent->self_id || wf_registration_is_new_placement (agent, entry);
}

static ww_search_state
flow_state (WfAgent *agent, const WwFlowKey *key, guint64 asker_id)
{
  const WfFlow *flow = wf_table_find (agent->flows, key, NULL);

  if (flow != NULL && row_state (agent, flow) == WW_SEARCH_HELD)
    return WW_SEARCH_HELD;
  if (registry_tells (agent, key, asker_id))
    return WW_SEARCH_HELD;
  if (flow != NULL)
    return row_state (agent, flow);
  if (wf_moved_is_recent (agent, key))
    return WW_SEARCH_UNKNOWN;
  return agent->server_withdrawn || rows_are_complete (agent, key) ? WW_SEARCH_ABSENT
                                                                   : WW_SEARCH_UNKNOWN;
}

static ww_search_state
own_state_cb (gpointer context, const WwFlowKey *key)
{
  WfAgent *agent = context;

  return flow_state (agent, key, agent->self_id);
}

static void
send_message (WfAgent *agent, guint64 endpoint_id, const ww_peer_body *body)
{
  ww_peer message = { .service_id = agent->service_id, .sender_id = agent->self_id, .body = *body };

  g_byte_array_set_size (agent->datagram, 0);
  if (ww_peer_encode (&message, agent->datagram))
    agent->callbacks.to_endpoint (agent->callbacks.context, endpoint_id, agent->datagram->data,
                                  agent->datagram->len);
}

static void
ask_cb (gpointer context, guint64 endpoint_id, const ww_search *message)
{
  ww_peer_body body = { .kind = WW_PEER_SEARCH, .ww_peer_body_u.search = *message };

  send_message (context, endpoint_id, &body);
}

static WfReceivedPacket
received_from_search (const WfAgent *agent, const WfSearchPacket *packet)
{
  WfReceivedPacket received = { .key = packet->key,
                                .data = packet->data,
                                .length = packet->length };

  received.header.hops = packet->hops;
  received.header.entry_zone = packet->entry_zone;
  received.header.kind = WW_ENCAP_FORWARD;
  received.header.home_id = agent->self_id;
  received.header.sender_id = agent->self_id;
  received.status = agent->format->parse (packet->data, packet->length, &received.packet);
  return received;
}

/* The entry is provisional: the registration of a holder replaces it without a conflict, and a
 * tombstone that was taken for the holder does not keep it for long. */
static void
found_cb (gpointer context, const WfSearchPacket *packet, guint64 endpoint_id, gboolean forward)
{
  WfAgent *agent = context;
  WfReceivedPacket received = received_from_search (agent, packet);
  const WfRegistryEntry *entry = wf_registration_find (agent, &packet->key, NULL);

  if (endpoint_id != agent->self_id)
    wf_registration_add_provisional (agent, &packet->key, endpoint_id);
  else if (entry != NULL)
    endpoint_id = entry->holder_id;
  /* A flow that has a row here by now gets the client's retransmission. */
  if (!forward || endpoint_id == agent->self_id)
    return;
  wf_count (agent, WF_COUNTER_FORWARDED_HOLDER);
  wf_route_forward (agent, &received, WW_ENCAP_TO_HOLDER, endpoint_id);
}

static void
probe_cb (gpointer context, const WfSearchPacket *packet, guint64 endpoint_id)
{
  WfAgent *agent = context;
  WfReceivedPacket received = received_from_search (agent, packet);

  if (endpoint_id != agent->self_id)
    wf_route_forward (agent, &received, WW_ENCAP_TO_HOLDER, endpoint_id);
  else if (wf_table_find (agent->flows, &packet->key, NULL) == NULL)
    (void) wf_probe_start (agent, &received);
}

static void
absent_cb (gpointer context, const WfSearchPacket *packet)
{
  wf_refuse_reset_lost (context, &packet->key, packet->acknowledgment);
}

static void
note_cb (
    gpointer context, WfSearchEvent event, const WwFlowKey *key, guint asked, gint64 duration_us)
{
  static const struct
  {
    WfCounter counter;
    const gchar *result; /* NULL: not logged */
  } events[] = {
    [WF_SEARCH_STARTED] = { WF_COUNTER_SEARCHES, NULL },
    [WF_SEARCH_FOUND] = { WF_COUNTER_SEARCH_HELD, "held" },
    [WF_SEARCH_ABSENT] = { WF_COUNTER_SEARCH_ABSENT, "absent" },
    [WF_SEARCH_UNANSWERED] = { WF_COUNTER_SEARCH_UNANSWERED, "unanswered" },
    [WF_SEARCH_LIMITED] = { WF_COUNTER_SEARCH_LIMITED, NULL },
  };

  wf_count (context, events[event].counter);
  if (events[event].result != NULL)
    WW_FLOW_LOG_ALWAYS ("flow_search_ended", key, WB_TEXT ("result", events[event].result),
                        WB_NUMBER ("asked", asked),
                        WB_NUMBER ("duration_ms", duration_us / WB_US_PER_MS));
}

void
wf_locate_init (WfAgent *agent)
{
  WfSearchCallbacks callbacks = { .context = agent,
                                  .own_state = own_state_cb,
                                  .ask = ask_cb,
                                  .found = found_cb,
                                  .probe = probe_cb,
                                  .absent = absent_cb,
                                  .note = note_cb };

  agent->search = wf_search_new (agent->self_id, &callbacks, g_rand_int (agent->random));
  agent->dropped_flows = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  agent->server_started_us = G_MININT64;
}

void
wf_locate_clear (WfAgent *agent)
{
  wf_search_free (agent->search);
  g_hash_table_unref (agent->dropped_flows);
}

void
wf_agent_set_search_agents (
    WfAgent *agent, const guint64 *ids, guint count, gboolean complete, gint64 now_us)
{
  agent->now_us = now_us;
  agent->agents_complete = complete;
  wf_search_set_agents (agent->search, ids, count, now_us);
}

void
wf_agent_set_server_process (WfAgent *agent, gint64 started_us, gboolean withdrawn)
{
  agent->server_started_us = started_us;
  agent->server_withdrawn = withdrawn;
}

/* Records that the row of a held flow is removed although its server may still hold the flow. */
void
wf_locate_note_dropped (WfAgent *agent, const WwFlowKey *key)
{
  guint64 hash = hash_of (key);

  if (g_hash_table_size (agent->dropped_flows) < DROPPED_FLOWS_MAX)
    g_hash_table_add (agent->dropped_flows, g_memdup2 (&hash, sizeof hash));
}

static gboolean
is_searched (const WfAgent *agent, const WfReceivedPacket *received)
{
  return wf_search_agents (agent->search) >= WF_SEARCH_AGENTS_MIN &&
         wf_mechanism_enabled (agent, WF_DISABLE_SEARCH) && agent->format->returns_packets &&
         received->status == WW_PACKET_OK && received->key.protocol == WW_PROTOCOL_TCP &&
         (received->packet.tcp_flags & (WW_TCP_ACK | WW_TCP_RST | WW_TCP_SYN)) == WW_TCP_ACK;
}

/* Whether the packet has come back to its home from an agent to which the holder named by the home
 * has sent it on. */
gboolean
wf_locate_has_come_back (const WfReceivedPacket *received)
{
  return received->header.kind == WW_ENCAP_FORWARD && received->header.hops >= COME_BACK_HOPS;
}

/* Whether an entry says nothing about the packet: it has led the packet astray already, or it is
 * left from the time when this agent was the home. A home that sends a packet to this agent asks
 * about the local server, and would not learn of it if the packet went elsewhere. */
gboolean
wf_locate_ignores_entry (const WfAgent *agent,
                         const WfReceivedPacket *received,
                         const WfRegistryEntry *entry)
{
  if (!is_searched (agent, received))
    return FALSE;
  if (received->header.kind == WW_ENCAP_TO_HOLDER)
    return !wf_registration_is_new_placement (agent, entry);
  return wf_locate_has_come_back (received);
}

/* Searches for the holder of a packet's flow, or leaves that to the home. Returns FALSE when the
 * packet has to go along the chain. */
gboolean
wf_locate_packet (WfAgent *agent, const WfReceivedPacket *received)
{
  WfSearchPacket packet = { .key = received->key,
                            .sequence = received->packet.sequence,
                            .acknowledgment = received->packet.acknowledgment,
                            .hops = received->header.hops,
                            .sender_id = received->header.sender_id,
                            .entry_zone = received->header.entry_zone,
                            .come_back = wf_locate_has_come_back (received),
                            .data = received->data,
                            .length = received->length };
  gboolean from_server = received->header.sender_id == 0;
  WbHandle entry;

  if (!is_searched (agent, received))
    return FALSE;
  if (wf_view_home (agent, &received->key, received->header.entry_zone) != agent->self_id)
    return (received->header.kind != WW_ENCAP_CHAIN || from_server) &&
           wf_route_to_home (agent, received);
  if (!agent->agents_complete || agent->now_us - agent->joined_us < SETTLE_US)
    return FALSE;
  if (from_server)
    packet.sender_id = agent->self_id;
  if (packet.come_back && wf_registration_find (agent, &packet.key, &entry) != NULL)
    wf_table_remove (agent->registry, entry);
  wf_search_packet (agent->search, &packet, agent->now_us);
  return TRUE;
}

/* Searches for the holder of a flow whose queued packets the server has returned. Returns FALSE
 * when they have to go along the chain. */
gboolean
wf_locate_queue (WfAgent *agent, WfFlow *flow)
{
  WfSearchPacket packet = { .key = flow->key, .hops = flow->hops, .entry_zone = flow->entry_zone };
  WfReceivedPacket received;

  if (flow->queue == NULL || flow->queue->len == 0 ||
      wf_view_home (agent, &flow->key, flow->entry_zone) != agent->self_id)
    return FALSE;
  packet.data = g_bytes_get_data (g_ptr_array_index (flow->queue, 0), &packet.length);
  received = received_from_search (agent, &packet);
  if (!wf_locate_packet (agent, &received))
    return FALSE;
  wf_flow_clear_queue (agent, flow);
  return TRUE;
}

static void
answer (WfAgent *agent, guint64 asker_id, const ww_search *search)
{
  ww_search_state states[WW_MAX_SEARCH_FLOWS];
  ww_peer_body body = { .kind = WW_PEER_SEARCH_REPLY };
  ww_search_reply *reply = &body.ww_peer_body_u.search_reply;
  guint i;

  for (i = 0; i < search->flows.flows_len; i++)
    {
      WwFlowKey key = ww_flow_key_from_wire (&search->flows.flows_val[i]);

      states[i] = flow_state (agent, &key, asker_id);
    }
  reply->search_id = search->search_id;
  reply->agents_digest = wf_search_digest (agent->search);
  reply->states.states_len = search->flows.flows_len;
  reply->states.states_val = states;
  send_message (agent, asker_id, &body);
}

/* Handles a question of another home, or the reply to one of this agent's own. */
void
wf_locate_receive (WfAgent *agent, const ww_peer *message)
{
  if (message->body.kind == WW_PEER_SEARCH)
    answer (agent, message->sender_id, &message->body.ww_peer_body_u.search);
  else if (!wf_search_reply (agent->search, message->sender_id,
                             &message->body.ww_peer_body_u.search_reply, agent->now_us))
    wf_count (agent, WF_COUNTER_MALFORMED_MESSAGE);
}
