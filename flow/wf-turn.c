#include "wf-private.h"

/* Time for which a closed flow is kept, so that late segments reach the server. */
#define CLOSED_LINGER_US (10 * WB_US_PER_S)

/* Longer than a round trip to any client: what is not acknowledged by then is lost or not wanted.
 */
#define UNACKNOWLEDGED_US (250 * WB_US_PER_MS)

/* Keeps the next deadline of a held flow. */
void
wf_turn_schedule (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  gint64 due_us = wf_probe_idle_due (agent, flow);

  if (flow->flags & WF_FLAG_CLOSED)
    due_us = flow->activity_us + CLOSED_LINGER_US;
  wf_table_set_due (agent->flows, handle, due_us);
}

/* The packets of the first request are still in the queue: the initial packet, for UDP payload. */
void
wf_turn_opened (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  g_autoptr (GPtrArray) queue = g_steal_pointer (&flow->queue);
  guint i;

  wf_turn_schedule (agent, flow, handle);
  for (i = 0; queue != NULL && i < queue->len; i++)
    {
      WfInput input = { 0 };

      input.data = g_bytes_get_data (g_ptr_array_index (queue, i), &input.length);
      agent->queued_bytes -= input.length;
      input.status = agent->format->parse (input.data, input.length, &input.packet);
      input.key = flow->key;
      wf_turn_from_client (agent, flow, handle, &input);
      flow = wf_table_get (agent->flows, handle);
      if (flow == NULL)
        return;
    }
}

static void
request_done (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  if ((flow->flags & WF_FLAG_REQUEST) == 0)
    return;
  flow->flags &= (guint16) ~(WF_FLAG_REQUEST | WF_FLAG_SERVER_SENT | WF_FLAG_UNCERTAIN);
  wa_admission_finish_request (agent->admission, handle, agent->now_us);
}

static void
close_flow (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  flow->flags |= WF_FLAG_CLOSED;
  agent->held--;
  flow->flags &= (guint16) ~(WF_FLAG_REQUEST | WF_FLAG_REQUEST_WAITING | WF_FLAG_ADMISSION);
  wf_flow_clear_queue (agent, flow);
  wf_turn_schedule (agent, flow, handle);
  wa_admission_remove (agent->admission, handle, agent->now_us);
}

/* Before a configuration is known, the default of the service key applies. */
gint64
wf_turn_quiet (const WfAgent *agent)
{
  return agent->service == NULL ? 20 * WB_US_PER_MS : agent->service->turn_quiet_us;
}

/* A short response goes out at once, and a server that announces its slots queues what comes too
 * early: the slot need not wait for the client's acknowledgement. */
static gboolean
is_short_at_queueing_server (const WfAgent *agent, const WfFlow *flow)
{
  return !agent->format->originates_packets && flow->class == WC_CLASS_SHORT;
}

/* The response is complete when the server has been quiet and nothing is in flight. A client that
 * has gone acknowledges nothing; its slot is free when the server could only repeat. */
static gboolean
turn_complete (const WfAgent *agent, const WfFlow *flow)
{
  if ((flow->flags & WF_FLAG_REQUEST) == 0 || (flow->flags & WF_FLAG_SERVER_SENT) == 0)
    return FALSE;
  if (agent->now_us - flow->data_us < wf_turn_quiet (agent))
    return FALSE;
  if (flow->key.protocol == WW_PROTOCOL_UDP || is_short_at_queueing_server (agent, flow) ||
      agent->now_us - flow->data_us >= UNACKNOWLEDGED_US)
    return TRUE;
  return flow->client_ack == flow->server_next && flow->server_ack == flow->client_next;
}

/* Asks admission for the request that begins with the packet. Returns whether to deliver it. */
static gboolean
start_request (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfInput *input)
{
  guint retry_after_s = 1;
  WaVerdict verdict = WA_ADMITTED;

  flow->flags |= WF_FLAG_ADMISSION;
  if (!agent->format->originates_packets)
    wa_admission_start_request (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                                agent->now_us);
  else if (flow->flags & WF_FLAG_UNCERTAIN || !wf_enabled (agent, WF_DISABLE_REQUEST_QUEUE))
    wa_admission_recover_request (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                                  agent->now_us);
  else
    {
      flow->flags |= WF_FLAG_REQUEST_WAITING;
      verdict = wa_admission_request (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                                      &retry_after_s, agent->now_us);
      if ((flow->flags & WF_FLAG_REQUEST_WAITING) == 0)
        return (flow->flags & WF_FLAG_REQUEST) != 0;
    }
  if (verdict == WA_ADMITTED)
    {
      flow->flags &= (guint16) ~(WF_FLAG_REQUEST_WAITING | WF_FLAG_SERVER_SENT);
      flow->flags |= WF_FLAG_REQUEST;
      return TRUE;
    }
  (void) wf_flow_queue (agent, flow, input->data, input->length);
  if (verdict == WA_REFUSED)
    wf_refuse_request (agent, handle, retry_after_s);
  return FALSE;
}

/* Whether the packet brings payload that the server has not been given yet. */
static gboolean
has_new_payload (const WfFlow *flow, const WwPacket *packet)
{
  guint32 end = packet->sequence + (guint32) packet->payload_length;

  return packet->payload_length > 0 && wf_seq_diff (end, flow->client_next) > 0;
}

static void
track_client (WfFlow *flow, const WwPacket *packet)
{
  guint32 end = packet->sequence + ww_packet_sequence_length (packet);

  if ((packet->tcp_flags & WW_TCP_ACK) &&
      wf_seq_diff (packet->acknowledgment, flow->client_ack) > 0)
    flow->client_ack = packet->acknowledgment;
  if (packet->tcp_flags & WW_TCP_SYN)
    {
      if ((flow->flags & WF_FLAG_ANSWERED) == 0)
        flow->client_next = flow->server_ack = end;
      return;
    }
  /* An acknowledgement may carry the number after payload that is still on its way or queued. */
  if (end != packet->sequence && wf_seq_diff (end, flow->client_next) > 0)
    flow->client_next = end;
}

/* Names the request in the log, so that an operator finds the flow of an id. */
static void
log_request (const WfAgent *agent, const WfFlow *flow, const WwPacket *packet)
{
  gchar id[WW_REQUEST_ID_BYTES];

  if (agent->format->request_id_header == NULL ||
      !ww_request_id_find (packet->payload, packet->payload_length,
                           agent->format->request_id_header, id))
    return;
  WW_FLOW_LOG_ALWAYS ("request", &flow->key, WB_TEXT ("request", id),
                      WB_NUMBER ("held", agent->held),
                      WB_NUMBER ("config", agent->config == NULL ? 0 : agent->config->version));
}

/* Counts a packet that is about to be delivered, and ends the flow when it is the last one. */
static void
deliver_tracked (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfInput *input)
{
  const WwPacket *packet = &input->packet;

  if (has_new_payload (flow, packet))
    {
      if ((flow->flags & WF_FLAG_DELIVERED) == 0)
        log_request (agent, flow, packet);
      flow->flags |= WF_FLAG_DELIVERED;
      flow->flags &= (guint16) ~WF_FLAG_SERVER_SENT;
    }
  track_client (flow, packet);
  wf_deliver (agent, input->data, input->length);
  if (packet->tcp_flags & WW_TCP_FIN)
    flow->flags |= WF_FLAG_CLIENT_FIN;
  if (flow->flags & WF_FLAG_CLOSED)
    return;
  if ((packet->tcp_flags & WW_TCP_RST) ||
      ((flow->flags & WF_FLAG_CLIENT_FIN) && (flow->flags & WF_FLAG_SERVER_FIN)))
    close_flow (agent, flow, handle);
  else if (turn_complete (agent, flow))
    request_done (agent, flow, handle);
}

/* Whether a packet from the client can belong to the connection that this server has. A client that
 * completed the handshake with another endpoint's server acknowledges a different number. */
gboolean
wf_turn_belongs (WfFlow *flow, const WfInput *input)
{
  const WwPacket *packet = &input->packet;

  if ((flow->flags & WF_FLAG_CONFIRMED) || input->status != WW_PACKET_OK ||
      flow->key.protocol != WW_PROTOCOL_TCP ||
      (packet->tcp_flags & (WW_TCP_ACK | WW_TCP_RST)) != WW_TCP_ACK)
    return TRUE;
  if ((flow->flags & WF_FLAG_ANSWERED) == 0 ||
      wf_seq_diff (packet->acknowledgment, flow->client_ack) <= 0 ||
      wf_seq_diff (packet->acknowledgment, flow->server_next) > 0)
    return FALSE;
  flow->flags |= WF_FLAG_CONFIRMED;
  return TRUE;
}

/* A FIN that overtook the first payload of a request would make that payload look delivered. The
 * client sends it again. */
static gboolean
is_early_fin (const WfFlow *flow, const WwPacket *packet)
{
  return (packet->tcp_flags & WW_TCP_FIN) && packet->payload_length == 0 &&
         wf_seq_diff (packet->sequence, flow->client_next) > 0;
}

void
wf_turn_from_client (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfInput *input)
{
  const WwPacket *packet = &input->packet;

  flow->activity_us = agent->now_us;
  flow->probes = 0;
  flow->server_probes = 0;
  if (input->status == WW_PACKET_ICMP_ERROR)
    {
      wf_deliver (agent, input->data, input->length);
      return;
    }
  if (flow->key.protocol == WW_PROTOCOL_UDP)
    {
      wf_udp_from_client (agent, flow, handle, input);
      return;
    }
  if (flow->flags & WF_FLAG_REQUEST_WAITING)
    {
      if (packet->tcp_flags & WW_TCP_FIN)
        {
          (void) wf_flow_queue (agent, flow, input->data, input->length);
          wf_refuse_request (agent, handle, 1);
          return;
        }
      if (has_new_payload (flow, packet))
        {
          (void) wf_flow_queue (agent, flow, input->data, input->length);
          return;
        }
    }
  else if ((flow->flags & (WF_FLAG_REQUEST | WF_FLAG_CLOSED)) == 0 &&
           (is_early_fin (flow, packet) ||
            (has_new_payload (flow, packet) && !start_request (agent, flow, handle, input))))
    return;
  deliver_tracked (agent, flow, handle, input);
}

/* A queued request may go to the server. */
void
wf_turn_release_queue (WfAgent *agent, WbHandle handle)
{
  WfFlow *flow = wf_table_get (agent->flows, handle);

  if ((flow->flags & WF_FLAG_REQUEST_WAITING) == 0)
    return;
  flow->flags &= (guint16) ~(WF_FLAG_REQUEST_WAITING | WF_FLAG_SERVER_SENT);
  flow->flags |= WF_FLAG_REQUEST;
  wf_turn_opened (agent, flow, handle);
}

static void
track_server (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *packet)
{
  guint32 end = packet->sequence + ww_packet_sequence_length (packet);

  if ((flow->flags & WF_FLAG_ANSWERED) == 0 && (packet->tcp_flags & (WW_TCP_SYN | WW_TCP_RST)) == 0)
    {
      /* The server had the connection already: an agent that restarted took a repeated initial
       * packet for a new one. What was delivered before is unknown. */
      flow->flags |= WF_FLAG_CONFIRMED | WF_FLAG_DELIVERED | WF_FLAG_UNCERTAIN;
      flow->client_next = flow->server_ack = packet->acknowledgment;
    }
  if ((flow->flags & WF_FLAG_ANSWERED) == 0)
    {
      flow->flags |= WF_FLAG_ANSWERED;
      /* The process that answers holds the flow, also when an earlier one was given its first
       * initial packet. */
      flow->data_us = agent->now_us;
      flow->server_next = packet->sequence;
      flow->client_ack = packet->sequence;
      wa_admission_answered (agent->admission, handle, agent->now_us);
    }
  if ((packet->tcp_flags & WW_TCP_ACK) &&
      wf_seq_diff (packet->acknowledgment, flow->server_ack) > 0)
    flow->server_ack = packet->acknowledgment;
  if (packet->payload_length > 0 && wf_seq_diff (end, flow->server_next) > 0)
    {
      /* Data after a pause in the response: the request is still in progress. */
      if ((flow->flags & WF_FLAG_REQUEST) == 0 && (flow->flags & WF_FLAG_DELIVERED) &&
          (flow->flags & (WF_FLAG_CLOSED | WF_FLAG_REQUEST_WAITING)) == 0)
        {
          flow->flags |= WF_FLAG_REQUEST | WF_FLAG_ADMISSION;
          wa_admission_recover_request (agent->admission, handle, (WcClass) flow->class,
                                        flow->tenant, agent->now_us);
        }
    }
  if (wf_seq_diff (end, flow->server_next) > 0)
    flow->server_next = end;
  if (packet->payload_length > 0)
    {
      flow->data_us = agent->now_us;
      flow->flags |= WF_FLAG_SERVER_SENT;
      wf_table_advance_due (agent->flows, handle, agent->now_us + wf_turn_quiet (agent));
    }
}

/* An answer to a keepalive probe of the agent is not passed to the client. */
static gboolean
is_probe_answer (WfFlow *flow, const WwPacket *packet)
{
  if (flow->server_probes == 0 || packet->payload_length > 0 || packet->tcp_flags != WW_TCP_ACK)
    return FALSE;
  if (packet->sequence != flow->server_next || packet->acknowledgment != flow->server_ack)
    return FALSE;
  flow->server_probes = 0;
  return TRUE;
}

void
wf_turn_from_server (WfAgent *agent,
                     WfFlow *flow,
                     WbHandle handle,
                     const WwPacket *packet,
                     const guint8 *data,
                     gsize length)
{
  if (is_probe_answer (flow, packet))
    return;
  flow->activity_us = agent->now_us;
  flow->server_probes = 0;
  track_server (agent, flow, handle, packet);
  wf_to_client (agent, data, length);
  if (flow->flags & WF_FLAG_CLOSED)
    return;
  if (packet->tcp_flags & WW_TCP_FIN)
    flow->flags |= WF_FLAG_SERVER_FIN;
  if ((packet->tcp_flags & WW_TCP_RST) ||
      ((flow->flags & WF_FLAG_CLIENT_FIN) && (flow->flags & WF_FLAG_SERVER_FIN)))
    close_flow (agent, flow, handle);
  else if (packet->tcp_flags & WW_TCP_FIN)
    request_done (agent, flow, handle);
}

void
wf_turn_due (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  gint64 quiet_us = flow->data_us + wf_turn_quiet (agent);

  if (flow->flags & WF_FLAG_CLOSED)
    {
      if (agent->now_us - flow->activity_us >= CLOSED_LINGER_US)
        wf_flow_remove (agent, handle);
      else
        wf_turn_schedule (agent, flow, handle);
      return;
    }
  if (agent->now_us >= wf_probe_idle_due (agent, flow))
    {
      wf_probe_idle (agent, flow, handle);
      return;
    }
  wf_turn_schedule (agent, flow, handle);
  if ((flow->flags & WF_FLAG_SERVER_SENT) && quiet_us > agent->now_us)
    wf_table_advance_due (agent->flows, handle, quiet_us);
  if (turn_complete (agent, flow))
    request_done (agent, flow, handle);
  else if ((flow->flags & WF_FLAG_REQUEST) && (flow->flags & WF_FLAG_SERVER_SENT))
    wf_table_advance_due (agent->flows, handle, MAX (quiet_us, flow->data_us + UNACKNOWLEDGED_US));
}
