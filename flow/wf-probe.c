#include "wf-private.h"

#define RECOVERY_PROBE_INTERVAL_US (200 * WB_US_PER_MS)
#define RECOVERY_PROBES_MAX 3

/* For this time after a probe without success, packets of the flow are forwarded without another
 * probe. */
#define NOT_HELD_LIFETIME_US (2 * WB_US_PER_S)

/* A returned packet shows for certain that the server does not hold the flow, so the row may
 * stay as long as a flow usually lasts. */
#define RETURNED_NOT_HELD_LIFETIME_US (60 * WB_US_PER_S)

#define IDLE_PROBE_INTERVAL_US (300 * WB_US_PER_S)
#define SERVER_PROBES_MAX 3

/* Outages between regions can last an hour: a client counts as gone after 75 minutes (15 probes,
 * 300 s apart). */
#define CLIENT_PROBES_MAX 15
#define PROBE_WINDOW_BYTES 8192

/* A server returns packets at once, over the host's own network. */
#define RETURN_TIMEOUT_US (100 * WB_US_PER_MS)

static void
send_to_server (
    WfAgent *agent, const WwFlowKey *key, guint8 flags, guint32 sequence, guint32 acknowledgment)
{
  WwPacket packet = ww_packet_to_service (key);
  g_autoptr (GByteArray) bytes = NULL;

  packet.tcp_flags = flags;
  packet.sequence = sequence;
  packet.acknowledgment = acknowledgment;
  packet.window = PROBE_WINDOW_BYTES;
  bytes = agent->format->build (&packet);
  agent->callbacks.to_server (agent->callbacks.context, bytes->data, bytes->len);
}

static void
probe_client (WfAgent *agent, const WfFlow *flow)
{
  WwPacket packet = ww_packet_to_client (&flow->key);
  g_autoptr (GByteArray) bytes = NULL;

  packet.tcp_flags = WW_TCP_ACK;
  packet.sequence = flow->server_next - 1;
  packet.acknowledgment = flow->server_ack;
  packet.window = PROBE_WINDOW_BYTES;
  bytes = agent->format->build (&packet);
  wf_send_to_client (agent, bytes->data, bytes->len);
}

/* Whether the server may have connections from before the start of this agent. */
gboolean
wf_probe_in_recovery_period (const WfAgent *agent)
{
  return wf_mechanism_enabled (agent, WF_DISABLE_RECOVERY) && !agent->flows_complete &&
         agent->now_us - agent->started_us < WF_RECOVERY_PERIOD_US;
}

/* Asks the server whether it holds the flow of a packet: with a keepalive probe while the packet is
 * queued or, when the server returns packets, with the packet itself. Returns FALSE when no probe
 * was sent. */
gboolean
wf_probe_start (WfAgent *agent, const WfReceivedPacket *received)
{
  WbHandle handle;
  WfFlow *flow;

  if (!wf_mechanism_enabled (agent, WF_DISABLE_RECOVERY) ||
      agent->server_state == WF_SERVER_ABSENT || received->status != WW_PACKET_OK ||
      received->key.protocol != WW_PROTOCOL_TCP ||
      (received->packet.tcp_flags & (WW_TCP_ACK | WW_TCP_RST | WW_TCP_SYN)) != WW_TCP_ACK)
    return FALSE;
  flow = wf_flow_add (agent, &received->key, received->header.entry_zone, WF_FLOW_PROBING, &handle);
  if (flow == NULL)
    return FALSE;
  if (!agent->format->returns_packets &&
      !wf_flow_queue_packet (agent, flow, received->data, received->length))
    {
      wf_flow_remove (agent, handle);
      return FALSE;
    }
  flow->hops = (guint8) received->header.hops;
  flow->peer_id = received->header.home_id;
  if (received->header.kind == WW_ENCAP_TO_HOLDER)
    {
      flow->flags |= WF_FLAG_SENT_TO_HOLDER;
      flow->peer_id = wf_route_wrong_entry_owner (agent, received);
    }
  flow->client_next = received->packet.sequence;
  flow->client_ack = received->packet.acknowledgment;
  flow->attempts = 1;
  WW_FLOW_LOG ("flow_probed", &flow->key,
               WB_NUMBER ("said_held", flow->flags & WF_FLAG_SENT_TO_HOLDER),
               WB_NUMBER ("acknowledgment", flow->client_ack), WB_NUMBER ("hops", flow->hops));
  wf_count (agent, WF_COUNTER_RECOVERY_PROBES);
  if (agent->format->returns_packets)
    {
      flow->client_next += ww_packet_sequence_length (&received->packet);
      wf_deliver_to_server (agent, received->data, received->length);
      wf_table_set_due (agent->flows, handle, agent->now_us + RETURN_TIMEOUT_US);
      return TRUE;
    }
  send_to_server (agent, &flow->key, WW_TCP_ACK, flow->client_next - 1, flow->client_ack);
  wf_table_set_due (agent->flows, handle, agent->now_us + RECOVERY_PROBE_INTERVAL_US);
  return TRUE;
}

/* Marks a recovered flow as held. What was delivered before the restart is unknown, and a refusal
 * is sent only when no payload byte of its request was delivered; hence the first request after the
 * recovery is never refused. */
static void
hold_recovered_flow (WfAgent *agent, WfFlow *flow, const WwPacket *packet)
{
  WW_FLOW_LOG ("flow_recovered", &flow->key, WB_NUMBER ("sequence", packet->sequence));
  wf_count (agent, WF_COUNTER_RECOVERED);
  wf_flow_set_state (agent, flow, WF_FLOW_HELD);
  flow->flags = WF_FLAG_SERVER_RESPONDED | WF_FLAG_CONFIRMED | WF_FLAG_PAYLOAD_DELIVERED |
                WF_FLAG_REQUEST_UNKNOWN;
  flow->last_activity_us = agent->now_us;
  flow->peer_id = 0;
  flow->server_next = packet->sequence;
  flow->server_ack = packet->acknowledgment;
  flow->client_next = packet->acknowledgment;
  flow->client_ack = packet->sequence;
  wf_flow_classify (agent, flow);
}

/* The server does not hold the flow: forwards the queued packets to the home or to the next rank.
 */
static void
forward_not_held (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  guint64 next_id = wf_view_next (agent, &flow->key, flow->entry_zone);

  WW_FLOW_LOG ("flow_absent", &flow->key, WB_NUMBER ("hops", flow->hops));
  wf_table_set_due (agent->flows, handle,
                    agent->now_us + (agent->format->returns_packets ? RETURNED_NOT_HELD_LIFETIME_US
                                                                    : NOT_HELD_LIFETIME_US));
  wf_flow_set_state (agent, flow, WF_FLOW_NOT_HELD);
  if ((flow->flags & WF_FLAG_SENT_TO_HOLDER) && flow->peer_id != agent->self_id)
    {
      wf_route_send_queue (agent, flow, WW_ENCAP_FORWARD, flow->peer_id,
                           wf_view_home (agent, &flow->key, flow->entry_zone));
      return;
    }
  if (wf_locate_queue (agent, flow))
    return;
  if (next_id != 0 && wf_mechanism_enabled (agent, WF_DISABLE_CHAIN))
    {
      wf_route_send_queue (agent, flow, WW_ENCAP_CHAIN, next_id, flow->peer_id);
      return;
    }
  if (wf_moved_return_queue (agent, flow))
    return;
  wf_count (agent, WF_COUNTER_CHAIN_END);
  wf_flow_clear_queue (agent, flow);
}

/* Decides from a packet of the server whether the server holds a flow that is being probed. */
void
wf_probe_from_server (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *packet)
{
  /* The server would have returned the packet of a flow that it does not hold, so that even a reset
   * shows that it held the flow. */
  if (agent->format->returns_packets)
    {
      hold_recovered_flow (agent, flow, packet);
      wf_registration_send (agent, flow);
      wf_request_deliver_queue (agent, flow, handle);
      return;
    }
  if (packet->tcp_flags & WW_TCP_RST)
    {
      wf_count (agent, WF_COUNTER_RECOVERY_ABSENT);
      forward_not_held (agent, flow, handle);
      return;
    }
  if ((packet->tcp_flags & (WW_TCP_ACK | WW_TCP_SYN)) != WW_TCP_ACK)
    return;
  hold_recovered_flow (agent, flow, packet);
  wf_registration_send (agent, flow);
  wf_request_deliver_queue (agent, flow, handle);
}

/* During the recovery period a packet from the server shows that it holds the flow. It may also be
 * a late one of an earlier connection, so the flow is registered only with the client's next
 * packet. */
gboolean
wf_probe_recover_from_outgoing (WfAgent *agent,
                                const WwFlowKey *key,
                                const WwPacket *packet,
                                WbHandle *handle)
{
  WfFlow *flow;

  if (!wf_probe_in_recovery_period (agent))
    return FALSE;
  if (packet->protocol == WW_PROTOCOL_TCP &&
      (packet->tcp_flags & (WW_TCP_ACK | WW_TCP_SYN | WW_TCP_RST)) != WW_TCP_ACK)
    return FALSE;
  /* A bare acknowledgment may be the response to a probe whose row has been removed. */
  if (packet->payload_length == 0 && (packet->tcp_flags & WW_TCP_FIN) == 0)
    return FALSE;
  flow = wf_table_find (agent->flows, key, handle);
  if (flow == NULL)
    flow = wf_flow_add (agent, key, 0, WF_FLOW_NOT_HELD, handle);
  if (flow == NULL)
    return FALSE;
  hold_recovered_flow (agent, flow, packet);
  flow->flags |= WF_FLAG_CLIENT_UNSEEN;
  wf_request_schedule (agent, flow, *handle);
  return TRUE;
}

/* The server has returned the packet that was delivered as a probe. */
void
wf_probe_returned (WfAgent *agent, WfFlow *flow, WbHandle handle, const guint8 *data, gsize length)
{
  wf_count (agent, WF_COUNTER_RECOVERY_ABSENT);
  (void) wf_flow_queue_packet (agent, flow, data, length);
  forward_not_held (agent, flow, handle);
}

/* The packet delivered as a probe has not been returned: the server holds the flow. The agent has
 * seen no packet of the server, so WF_FLAG_SERVER_RESPONDED stays off until it sends one. */
static void
hold_unreturned_flow (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  WwPacket last_seen = { .sequence = flow->client_ack, .acknowledgment = flow->client_next };

  hold_recovered_flow (agent, flow, &last_seen);
  flow->flags &= (guint16) ~WF_FLAG_SERVER_RESPONDED;
  wf_registration_send (agent, flow);
  wf_request_deliver_queue (agent, flow, handle);
}

/* Sends the next recovery probe, or decides from the missing response whether the server holds the
 * flow. */
void
wf_probe_handle_due (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  if (agent->format->returns_packets)
    {
      hold_unreturned_flow (agent, flow, handle);
      return;
    }
  if (flow->attempts >= RECOVERY_PROBES_MAX)
    {
      forward_not_held (agent, flow, handle);
      return;
    }
  flow->attempts++;
  send_to_server (agent, &flow->key, WW_TCP_ACK, flow->client_next - 1, flow->client_ack);
  wf_table_set_due (agent->flows, handle, agent->now_us + RECOVERY_PROBE_INTERVAL_US);
}

/* Resets the server's connection of a flow. */
void
wf_probe_reset_server (WfAgent *agent, const WfFlow *flow)
{
  if (!agent->format->originates_packets)
    return;
  send_to_server (agent, &flow->key, WW_TCP_RST, flow->server_ack, 0);
}

gint64
wf_probe_idle_due_us (const WfAgent *agent, const WfFlow *flow)
{
  return flow->last_activity_us + wf_idle_timeout_us (agent) +
         flow->client_probes * IDLE_PROBE_INTERVAL_US;
}

/* Probes both ends of a held flow that has been idle, and removes the flow when one of them does
 * not respond. */
void
wf_probe_idle (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  if (!agent->format->originates_packets || flow->key.protocol == WW_PROTOCOL_UDP ||
      !wf_mechanism_enabled (agent, WF_DISABLE_IDLE_PROBE))
    {
      wf_locate_note_dropped (agent, &flow->key);
      wf_flow_remove (agent, handle);
      return;
    }
  if (flow->server_probes >= SERVER_PROBES_MAX)
    {
      wf_count (agent, WF_COUNTER_IDLE_CLOSED);
      wf_flow_remove (agent, handle);
      return;
    }
  if (flow->client_probes >= CLIENT_PROBES_MAX)
    {
      wf_count (agent, WF_COUNTER_SILENT_RESET);
      wf_probe_reset_server (agent, flow);
      wf_flow_remove (agent, handle);
      return;
    }
  flow->client_probes++;
  flow->server_probes++;
  wf_count (agent, WF_COUNTER_IDLE_PROBES);
  send_to_server (agent, &flow->key, WW_TCP_ACK, flow->server_ack - 1, flow->client_ack);
  if (flow->flags & WF_FLAG_SERVER_RESPONDED)
    probe_client (agent, flow);
  wf_request_schedule (agent, flow, handle);
}
