#include "wf-private.h"

#define RECOVERY_RETRY_US (200 * WB_US_PER_MS)
#define RECOVERY_TRIES 3

/* For this time packets of a flow that the server does not have pass without another probe. */
#define ABSENT_US (2 * WB_US_PER_S)

/* A returned packet is a sure answer. It holds for as long as a flow lasts. */
#define RETURNED_ABSENT_US (60 * WB_US_PER_S)

/* Interval of keepalive probes on an idle flow. */
#define IDLE_INTERVAL_US (300 * WB_US_PER_S)
#define SERVER_PROBES_MAX 3

/* Regions lose each other for an hour now and then: a client counts as gone after 75 minutes. */
#define CLIENT_PROBES_MAX 15
#define PROBE_WINDOW 8192

/* A server that returns packets does so over the host's own network, at once. */
#define RETURN_WAIT_US (100 * WB_US_PER_MS)

static void
send_to_server (
    WfAgent *agent, const WwFlowKey *key, guint8 flags, guint32 sequence, guint32 acknowledgment)
{
  WwPacket packet = ww_packet_to_service (key);
  g_autoptr (GByteArray) bytes = NULL;

  packet.tcp_flags = flags;
  packet.sequence = sequence;
  packet.acknowledgment = acknowledgment;
  packet.window = PROBE_WINDOW;
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
  packet.window = PROBE_WINDOW;
  bytes = agent->format->build (&packet);
  wf_to_client (agent, bytes->data, bytes->len);
}

/* Whether the server may have connections from before this agent's start. */
gboolean
wf_probe_recovering (const WfAgent *agent)
{
  return wf_enabled (agent, WF_DISABLE_RECOVERY) && !agent->server_known &&
         agent->now_us - agent->started_us < WF_RECOVERY_US;
}

/* Asks the server whether it has the flow of a packet, and keeps the packet meanwhile. */
gboolean
wf_probe_start (WfAgent *agent, const WfInput *input)
{
  WbHandle handle;
  WfFlow *flow;

  if (!wf_enabled (agent, WF_DISABLE_RECOVERY) || agent->server == WF_SERVER_ABSENT ||
      input->status != WW_PACKET_OK || input->key.protocol != WW_PROTOCOL_TCP ||
      (input->packet.tcp_flags & (WW_TCP_ACK | WW_TCP_RST | WW_TCP_SYN)) != WW_TCP_ACK)
    return FALSE;
  flow = wf_flow_add (agent, &input->key, WF_FLOW_PROBING, &handle);
  if (flow == NULL)
    return FALSE;
  if (!agent->format->returns_packets && !wf_flow_queue (agent, flow, input->data, input->length))
    {
      wf_flow_remove (agent, handle);
      return FALSE;
    }
  flow->hops = (guint8) input->header.hops;
  flow->peer_id = input->header.home_id;
  if (input->header.kind == WW_ENCAP_TO_HOLDER)
    flow->flags |= WF_FLAG_SAID_HELD;
  flow->client_next = input->packet.sequence;
  flow->client_ack = input->packet.acknowledgment;
  flow->tries = 1;
  WW_FLOW_LOG ("flow_probed", &flow->key, WB_NUMBER ("said_held", flow->flags & WF_FLAG_SAID_HELD),
               WB_NUMBER ("acknowledgment", flow->client_ack), WB_NUMBER ("hops", flow->hops));
  wf_count (agent, WF_COUNTER_RECOVERY_PROBES);
  if (agent->format->returns_packets)
    {
      flow->client_next += ww_packet_sequence_length (&input->packet);
      wf_deliver (agent, input->data, input->length);
      wf_table_set_due (agent->flows, handle, agent->now_us + RETURN_WAIT_US);
      return TRUE;
    }
  send_to_server (agent, &flow->key, WW_TCP_ACK, flow->client_next - 1, flow->client_ack);
  wf_table_set_due (agent->flows, handle, agent->now_us + RECOVERY_RETRY_US);
  return TRUE;
}

/* The server has the flow. What it was given before the restart is unknown, so that the first
 * request after the recovery is never refused (R3). */
static void
hold_recovered (WfAgent *agent, WfFlow *flow, const WwPacket *packet)
{
  WW_FLOW_LOG ("flow_recovered", &flow->key, WB_NUMBER ("sequence", packet->sequence));
  wf_count (agent, WF_COUNTER_RECOVERED);
  wf_flow_set_state (agent, flow, WF_FLOW_HELD);
  flow->flags = WF_FLAG_ANSWERED | WF_FLAG_CONFIRMED | WF_FLAG_DELIVERED | WF_FLAG_UNCERTAIN;
  flow->activity_us = agent->now_us;
  flow->peer_id = 0;
  flow->server_next = packet->sequence;
  flow->server_ack = packet->acknowledgment;
  flow->client_next = packet->acknowledgment;
  flow->client_ack = packet->sequence;
  wf_flow_classify (agent, flow);
  wf_register_flow (agent, flow);
}

/* The server does not have the flow: the packets kept go on along the chain. */
static void
give_up (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  guint64 home_id = wf_view_home (agent, &flow->key);
  guint64 next_id = wf_view_next (agent, &flow->key);

  WW_FLOW_LOG ("flow_absent", &flow->key, WB_NUMBER ("hops", flow->hops));
  wf_table_set_due (agent->flows, handle,
                    agent->now_us +
                        (agent->format->returns_packets ? RETURNED_ABSENT_US : ABSENT_US));
  wf_flow_set_state (agent, flow, WF_FLOW_NOT_HELD);
  if ((flow->flags & WF_FLAG_SAID_HELD) && home_id != agent->self_id)
    {
      wf_route_send_queue (agent, flow, WW_ENCAP_FORWARD, home_id, home_id);
      return;
    }
  if (next_id != 0 && wf_enabled (agent, WF_DISABLE_CHAIN))
    {
      wf_route_send_queue (agent, flow, WW_ENCAP_CHAIN, next_id, flow->peer_id);
      return;
    }
  wf_count (agent, WF_COUNTER_CHAIN_END);
  wf_flow_clear_queue (agent, flow);
}

void
wf_probe_from_server (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *packet)
{
  /* Only the end of a flow that the server had is a reset here: others come back as returned. */
  if (agent->format->returns_packets)
    {
      hold_recovered (agent, flow, packet);
      wf_turn_opened (agent, flow, handle);
      return;
    }
  if (packet->tcp_flags & WW_TCP_RST)
    {
      wf_count (agent, WF_COUNTER_RECOVERY_ABSENT);
      give_up (agent, flow, handle);
      return;
    }
  if ((packet->tcp_flags & (WW_TCP_ACK | WW_TCP_SYN)) != WW_TCP_ACK)
    return;
  hold_recovered (agent, flow, packet);
  wf_turn_opened (agent, flow, handle);
}

/* During recovery a packet that the server sends of its own accord shows that it has the flow. */
gboolean
wf_probe_restore (WfAgent *agent, const WwFlowKey *key, const WwPacket *packet, WbHandle *handle)
{
  WfFlow *flow;

  if (!wf_probe_recovering (agent))
    return FALSE;
  if (packet->protocol == WW_PROTOCOL_TCP &&
      (packet->tcp_flags & (WW_TCP_ACK | WW_TCP_SYN | WW_TCP_RST)) != WW_TCP_ACK)
    return FALSE;
  /* An acknowledgement alone may answer a probe whose row is gone. */
  if (packet->payload_length == 0 && (packet->tcp_flags & WW_TCP_FIN) == 0)
    return FALSE;
  flow = wf_table_find (agent->flows, key, handle);
  if (flow == NULL)
    flow = wf_flow_add (agent, key, WF_FLOW_NOT_HELD, handle);
  if (flow == NULL)
    return FALSE;
  hold_recovered (agent, flow, packet);
  wf_turn_schedule (agent, flow, *handle);
  return TRUE;
}

/* The packet that was delivered to find out has come back. */
void
wf_probe_returned (WfAgent *agent, WfFlow *flow, WbHandle handle, const guint8 *data, gsize length)
{
  wf_count (agent, WF_COUNTER_RECOVERY_ABSENT);
  (void) wf_flow_queue (agent, flow, data, length);
  give_up (agent, flow, handle);
}

/* The packet that was delivered has not come back: the server has the flow. Nothing that the server
 * sent has been seen, so that WF_FLAG_ANSWERED stays off until then. */
static void
hold_kept (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  WwPacket seen = { .sequence = flow->client_ack, .acknowledgment = flow->client_next };

  hold_recovered (agent, flow, &seen);
  flow->flags &= (guint16) ~WF_FLAG_ANSWERED;
  wf_turn_opened (agent, flow, handle);
}

void
wf_probe_due (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  if (agent->format->returns_packets)
    {
      hold_kept (agent, flow, handle);
      return;
    }
  if (flow->tries >= RECOVERY_TRIES)
    {
      give_up (agent, flow, handle);
      return;
    }
  flow->tries++;
  send_to_server (agent, &flow->key, WW_TCP_ACK, flow->client_next - 1, flow->client_ack);
  wf_table_set_due (agent->flows, handle, agent->now_us + RECOVERY_RETRY_US);
}

/* Frees the server's connection of a flow. */
void
wf_probe_reset_server (WfAgent *agent, const WfFlow *flow)
{
  if (!agent->format->originates_packets)
    return;
  send_to_server (agent, &flow->key, WW_TCP_RST, flow->server_ack, 0);
}

gint64
wf_probe_idle_due (const WfAgent *agent, const WfFlow *flow)
{
  return flow->activity_us + wf_idle_timeout (agent) + flow->probes * IDLE_INTERVAL_US;
}

/* Runs on a held flow that has been idle: probes both ends, and removes the flow only when one of
 * them is gone. */
void
wf_probe_idle (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  if (!agent->format->originates_packets || flow->key.protocol == WW_PROTOCOL_UDP ||
      !wf_enabled (agent, WF_DISABLE_SILENT_PROBE))
    {
      wf_flow_remove (agent, handle);
      return;
    }
  if (flow->server_probes >= SERVER_PROBES_MAX)
    {
      wf_count (agent, WF_COUNTER_IDLE_CLOSED);
      wf_flow_remove (agent, handle);
      return;
    }
  if (flow->probes >= CLIENT_PROBES_MAX)
    {
      wf_count (agent, WF_COUNTER_SILENT_RESET);
      wf_probe_reset_server (agent, flow);
      wf_flow_remove (agent, handle);
      return;
    }
  flow->probes++;
  flow->server_probes++;
  wf_count (agent, WF_COUNTER_IDLE_PROBES);
  send_to_server (agent, &flow->key, WW_TCP_ACK, flow->server_ack - 1, flow->client_ack);
  if (flow->flags & WF_FLAG_ANSWERED)
    probe_client (agent, flow);
  wf_turn_schedule (agent, flow, handle);
}
