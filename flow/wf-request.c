#include "wf-private.h"

/* Late segments of a closed flow still reach the server for this time. */
#define CLOSED_LINGER_US (10 * WB_US_PER_S)

/* Far more than the data that two packets of a connection can lie apart without one of the packets
 * between them passing through the agent, and far less than the range of sequence numbers. */
#define NEAR_BYTES 0x100000

/* Longer than a round trip to any client: data not acknowledged by then is lost, or the client no
 * longer wants it. */
#define ACKNOWLEDGMENT_TIMEOUT_US (250 * WB_US_PER_MS)

/* Sets the next deadline of a held flow. */
void
wf_request_schedule (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  gint64 due_us = wf_probe_idle_due_us (agent, flow);

  if (flow->flags & WF_FLAG_CLOSED)
    due_us = flow->last_activity_us + CLOSED_LINGER_US;
  wf_table_set_due (agent->flows, handle, due_us);
}

/* Delivers the queued packets of a flow that has become held or whose request was admitted. For a
 * new flow they begin with its initial packet, which is payload for UDP. */
void
wf_request_deliver_queue (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  g_autoptr (GPtrArray) queue = g_steal_pointer (&flow->queue);
  guint i;

  wf_request_schedule (agent, flow, handle);
  for (i = 0; queue != NULL && i < queue->len; i++)
    {
      WfReceivedPacket received = { 0 };

      received.data = g_bytes_get_data (g_ptr_array_index (queue, i), &received.length);
      agent->queued_bytes -= received.length;
      received.status = agent->format->parse (received.data, received.length, &received.packet);
      received.key = flow->key;
      wf_request_from_client (agent, flow, handle, &received);
      flow = wf_table_get (agent->flows, handle);
      if (flow == NULL)
        return;
    }
}

static void
finish_request (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  if ((flow->flags & WF_FLAG_REQUEST_ACTIVE) == 0)
    return;
  flow->flags &=
      (guint16) ~(WF_FLAG_REQUEST_ACTIVE | WF_FLAG_RESPONSE_DATA | WF_FLAG_REQUEST_UNKNOWN);
  wa_admission_finish_request (agent->admission, handle, agent->now_us);
}

static void
close_flow (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  flow->flags |= WF_FLAG_CLOSED;
  agent->flows_held--;
  flow->flags &=
      (guint16) ~(WF_FLAG_REQUEST_ACTIVE | WF_FLAG_REQUEST_WAITING | WF_FLAG_IN_ADMISSION);
  wf_flow_clear_queue (agent, flow);
  wf_request_schedule (agent, flow, handle);
  wa_admission_remove (agent->admission, handle, agent->now_us);
}

/* Time without data from the server after which a response counts as complete. Until a
 * configuration is known, the default of the key turn_quiet applies. */
gint64
wf_request_quiet_us (const WfAgent *agent)
{
  return agent->service == NULL ? 20 * WB_US_PER_MS : agent->service->turn_quiet_us;
}

/* In a format in which the agent originates no packets, the server announces its slots and queues
 * requests in excess of them. A short response is sent at once, so its slot can be freed before the
 * client has acknowledged it. */
static gboolean
is_short_at_queueing_server (const WfAgent *agent, const WfFlow *flow)
{
  return !agent->format->originates_packets && flow->class == WC_CLASS_SHORT;
}

/* Whether the server has been quiet for long enough and both sides have acknowledged everything.
 * When the client has gone, nothing is acknowledged; the request then counts as complete once the
 * server can only be retransmitting. */
static gboolean
is_response_complete (const WfAgent *agent, const WfFlow *flow)
{
  if ((flow->flags & WF_FLAG_REQUEST_ACTIVE) == 0 || (flow->flags & WF_FLAG_RESPONSE_DATA) == 0)
    return FALSE;
  if (agent->now_us - flow->last_data_us < wf_request_quiet_us (agent))
    return FALSE;
  if (flow->key.protocol == WW_PROTOCOL_UDP || is_short_at_queueing_server (agent, flow) ||
      agent->now_us - flow->last_data_us >= ACKNOWLEDGMENT_TIMEOUT_US)
    return TRUE;
  return flow->client_ack == flow->server_next && flow->server_ack == flow->client_next;
}

/* Asks admission for a slot for the request that begins with the packet. Returns whether to deliver
 * the packet. */
static gboolean
start_request (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfReceivedPacket *received)
{
  guint retry_after_s = 1;
  WaVerdict verdict = WA_ADMITTED;

  flow->flags |= WF_FLAG_IN_ADMISSION;
  if (!agent->format->originates_packets)
    wa_admission_start_request (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                                agent->now_us);
  else if (flow->flags & WF_FLAG_REQUEST_UNKNOWN || !wf_answer_has_ended (agent, flow) ||
           !wf_mechanism_enabled (agent, WF_DISABLE_REQUEST_QUEUE))
    {
      wa_admission_recover_request (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                                    agent->now_us);
      wa_admission_request_delivered (agent->admission, agent->now_us);
    }
  else
    {
      flow->flags |= WF_FLAG_REQUEST_WAITING;
      verdict = wa_admission_request (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                                      &retry_after_s, agent->now_us);
      if ((flow->flags & WF_FLAG_REQUEST_WAITING) == 0)
        return (flow->flags & WF_FLAG_REQUEST_ACTIVE) != 0;
    }
  if (verdict == WA_ADMITTED)
    {
      flow->flags &= (guint16) ~(WF_FLAG_REQUEST_WAITING | WF_FLAG_RESPONSE_DATA);
      flow->flags |= WF_FLAG_REQUEST_ACTIVE;
      return TRUE;
    }
  (void) wf_flow_queue_packet (agent, flow, received->data, received->length);
  if (verdict == WA_REFUSED)
    wf_refuse_request (agent, handle, retry_after_s);
  return FALSE;
}

/* Whether the packet has payload that was not delivered yet. */
static gboolean
has_new_payload (const WfFlow *flow, const WwPacket *packet)
{
  guint32 end = packet->sequence + (guint32) packet->payload_length;

  return packet->payload_length > 0 && wf_seq_diff (end, flow->client_next) > 0;
}

/* Updates the sequence numbers with a packet from the client. */
static void
track_client (WfFlow *flow, const WwPacket *packet)
{
  guint32 end = packet->sequence + ww_packet_sequence_length (packet);

  if ((packet->tcp_flags & WW_TCP_ACK) &&
      wf_seq_diff (packet->acknowledgment, flow->client_ack) > 0)
    flow->client_ack = packet->acknowledgment;
  if (packet->tcp_flags & WW_TCP_SYN)
    {
      if ((flow->flags & WF_FLAG_SERVER_RESPONDED) == 0)
        flow->client_next = flow->server_ack = end;
      return;
    }
  /* A bare acknowledgment may carry the sequence number after payload that is still on its way or
   * queued. */
  if (end != packet->sequence && wf_seq_diff (end, flow->client_next) > 0)
    flow->client_next = end;
}

/* Logs the request id, so that an operator can find the flow of a request. */
static void
log_request (const WfAgent *agent, const WfFlow *flow, const WwPacket *packet)
{
  gchar id[WW_REQUEST_ID_BYTES];

  if (agent->format->request_id_header == NULL ||
      !ww_request_id_find (packet->payload, packet->payload_length,
                           agent->format->request_id_header, id))
    return;
  WW_FLOW_LOG_ALWAYS ("request", &flow->key, WB_TEXT ("request", id),
                      WB_NUMBER ("held", agent->flows_held),
                      WB_NUMBER ("config", agent->config == NULL ? 0 : agent->config->version));
}

/* Delivers a packet and updates the flow; closes the flow with its last packet. */
static void
deliver_and_track (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfReceivedPacket *received)
{
  const WwPacket *packet = &received->packet;

  if (has_new_payload (flow, packet))
    {
      if ((flow->flags & WF_FLAG_PAYLOAD_DELIVERED) == 0)
        log_request (agent, flow, packet);
      flow->flags |= WF_FLAG_PAYLOAD_DELIVERED;
      flow->flags &= (guint16) ~WF_FLAG_RESPONSE_DATA;
    }
  track_client (flow, packet);
  wf_deliver_to_server (agent, received->data, received->length);
  if (packet->tcp_flags & WW_TCP_FIN)
    flow->flags |= WF_FLAG_CLIENT_FIN;
  if (flow->flags & WF_FLAG_CLOSED)
    return;
  if ((packet->tcp_flags & WW_TCP_RST) ||
      ((flow->flags & WF_FLAG_CLIENT_FIN) && (flow->flags & WF_FLAG_SERVER_FIN)))
    close_flow (agent, flow, handle);
  else if (is_response_complete (agent, flow))
    finish_request (agent, flow, handle);
}

/* Whether two sequence numbers of one direction can be those of packets that follow each other
 * closely. Two connections of the same ports begin at random numbers. */
static gboolean
is_near (guint32 sequence, guint32 reference)
{
  gint32 distance = wf_seq_diff (sequence, reference);

  return distance >= -NEAR_BYTES && distance <= NEAR_BYTES;
}

/* The first packet of the client on a flow that was recovered from a packet of the server. Returns
 * whether it belongs to the same connection. */
static gboolean
confirm_recovered (WfAgent *agent, WfFlow *flow, const WwPacket *packet)
{
  if (flow->key.protocol == WW_PROTOCOL_TCP &&
      (!is_near (packet->sequence, flow->client_next) ||
       ((packet->tcp_flags & WW_TCP_ACK) && !is_near (packet->acknowledgment, flow->client_ack))))
    return FALSE;
  flow->flags &= (guint16) ~WF_FLAG_CLIENT_UNSEEN;
  wf_registration_send (agent, flow);
  return TRUE;
}

/* Whether a packet from the client belongs to the connection of the local server. A client that
 * completed the handshake with another endpoint's server acknowledges a different number. The first
 * packet that matches confirms the connection. */
gboolean
wf_request_confirm_connection (WfAgent *agent, WfFlow *flow, const WfReceivedPacket *received)
{
  const WwPacket *packet = &received->packet;

  if (flow->flags & WF_FLAG_CLIENT_UNSEEN && received->status == WW_PACKET_OK)
    return confirm_recovered (agent, flow, packet);
  if ((flow->flags & WF_FLAG_CONFIRMED) || received->status != WW_PACKET_OK ||
      flow->key.protocol != WW_PROTOCOL_TCP ||
      (packet->tcp_flags & (WW_TCP_ACK | WW_TCP_RST)) != WW_TCP_ACK)
    return TRUE;
  if ((flow->flags & WF_FLAG_SERVER_RESPONDED) == 0 ||
      wf_seq_diff (packet->acknowledgment, flow->client_ack) <= 0 ||
      wf_seq_diff (packet->acknowledgment, flow->server_next) > 0)
    return FALSE;
  flow->flags |= WF_FLAG_CONFIRMED;
  return TRUE;
}

/* Whether a FIN has overtaken the first payload of a request. Its delivery would make that payload
 * look delivered; the client retransmits the FIN. */
static gboolean
is_early_fin (const WfFlow *flow, const WwPacket *packet)
{
  return (packet->tcp_flags & WW_TCP_FIN) && packet->payload_length == 0 &&
         wf_seq_diff (packet->sequence, flow->client_next) > 0;
}

void
wf_request_from_client (WfAgent *agent,
                        WfFlow *flow,
                        WbHandle handle,
                        const WfReceivedPacket *received)
{
  const WwPacket *packet = &received->packet;

  flow->last_activity_us = agent->now_us;
  flow->client_probes = 0;
  flow->server_probes = 0;
  if (received->status == WW_PACKET_ICMP_ERROR)
    {
      wf_deliver_to_server (agent, received->data, received->length);
      return;
    }
  if (flow->key.protocol == WW_PROTOCOL_UDP)
    {
      wf_udp_from_client (agent, flow, handle, received);
      return;
    }
  if (flow->flags & WF_FLAG_REQUEST_WAITING)
    {
      if (packet->tcp_flags & WW_TCP_FIN)
        {
          (void) wf_flow_queue_packet (agent, flow, received->data, received->length);
          wf_refuse_request (agent, handle, 1);
          return;
        }
      if (has_new_payload (flow, packet))
        {
          (void) wf_flow_queue_packet (agent, flow, received->data, received->length);
          return;
        }
    }
  else if ((flow->flags & (WF_FLAG_REQUEST_ACTIVE | WF_FLAG_CLOSED)) == 0 &&
           (is_early_fin (flow, packet) ||
            (has_new_payload (flow, packet) && !start_request (agent, flow, handle, received))))
    return;
  deliver_and_track (agent, flow, handle, received);
}

/* Delivers a queued request that admission has admitted. */
void
wf_request_deliver_admitted (WfAgent *agent, WbHandle handle)
{
  WfFlow *flow = wf_table_get (agent->flows, handle);

  if ((flow->flags & WF_FLAG_REQUEST_WAITING) == 0)
    return;
  flow->flags &= (guint16) ~(WF_FLAG_REQUEST_WAITING | WF_FLAG_RESPONSE_DATA);
  flow->flags |= WF_FLAG_REQUEST_ACTIVE;
  wf_request_deliver_queue (agent, flow, handle);
}

/* Updates the sequence numbers and the request with a packet from the server. */
static void
track_server (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *packet)
{
  guint32 end = packet->sequence + ww_packet_sequence_length (packet);

  if ((flow->flags & WF_FLAG_SERVER_RESPONDED) == 0 &&
      (packet->tcp_flags & (WW_TCP_SYN | WW_TCP_RST)) == 0)
    {
      /* The server had the connection already: the restarted agent took a retransmitted initial
       * packet for a new flow. What was delivered before is unknown. */
      flow->flags |= WF_FLAG_CONFIRMED | WF_FLAG_PAYLOAD_DELIVERED | WF_FLAG_REQUEST_UNKNOWN;
      flow->client_next = flow->server_ack = packet->acknowledgment;
    }
  if ((flow->flags & WF_FLAG_SERVER_RESPONDED) == 0)
    {
      flow->flags |= WF_FLAG_SERVER_RESPONDED;
      /* The server process that responds holds the flow, even if the initial packet was first
       * delivered to an earlier process. */
      flow->last_data_us = agent->now_us;
      flow->server_next = packet->sequence;
      flow->client_ack = packet->sequence;
      if (packet->tcp_flags & WW_TCP_SYN)
        {
          flow->server_next++;
          wf_answer_begin (agent, flow);
        }
      wa_admission_server_responded (agent->admission, handle, agent->now_us);
    }
  if ((packet->tcp_flags & WW_TCP_ACK) &&
      wf_seq_diff (packet->acknowledgment, flow->server_ack) > 0)
    flow->server_ack = packet->acknowledgment;
  wf_answer_track (flow, packet);
  if (packet->payload_length > 0 && wf_seq_diff (end, flow->server_next) > 0)
    {
      /* Data after a quiet period shows that the response is not complete. */
      if ((flow->flags & WF_FLAG_REQUEST_ACTIVE) == 0 &&
          (flow->flags & WF_FLAG_PAYLOAD_DELIVERED) &&
          (flow->flags & (WF_FLAG_CLOSED | WF_FLAG_REQUEST_WAITING)) == 0)
        {
          flow->flags |= WF_FLAG_REQUEST_ACTIVE | WF_FLAG_IN_ADMISSION;
          wa_admission_recover_request (agent->admission, handle, (WcClass) flow->class,
                                        flow->tenant, agent->now_us);
        }
    }
  if (wf_seq_diff (end, flow->server_next) > 0)
    flow->server_next = end;
  if (packet->payload_length > 0)
    {
      flow->last_data_us = agent->now_us;
      flow->flags |= WF_FLAG_RESPONSE_DATA;
      wf_table_advance_due (agent->flows, handle, agent->now_us + wf_request_quiet_us (agent));
    }
}

/* Recognises the response to a keepalive probe of the agent, which is not passed to the client. */
static gboolean
is_probe_response (WfFlow *flow, const WwPacket *packet)
{
  if (flow->server_probes == 0 || packet->payload_length > 0 || packet->tcp_flags != WW_TCP_ACK)
    return FALSE;
  if (packet->sequence != flow->server_next || packet->acknowledgment != flow->server_ack)
    return FALSE;
  flow->server_probes = 0;
  return TRUE;
}

/* Whether a packet of the server belongs to an earlier connection of the same ports: it
 * acknowledges data that the client of the present one has not sent. A bare acknowledgment passes,
 * since a client answers it by ending the server's old connection. */
static gboolean
is_of_earlier_connection (const WfFlow *flow, const WwPacket *packet)
{
  if (flow->key.protocol != WW_PROTOCOL_TCP ||
      (packet->tcp_flags & (WW_TCP_ACK | WW_TCP_SYN | WW_TCP_RST)) != WW_TCP_ACK ||
      ww_packet_sequence_length (packet) == 0)
    return FALSE;
  return wf_seq_diff (packet->acknowledgment, flow->server_ack) < -NEAR_BYTES ||
         wf_seq_diff (packet->acknowledgment, flow->client_next) > NEAR_BYTES;
}

void
wf_request_from_server (WfAgent *agent,
                        WfFlow *flow,
                        WbHandle handle,
                        const WwPacket *packet,
                        const guint8 *data,
                        gsize length)
{
  if (is_probe_response (flow, packet))
    return;
  if (is_of_earlier_connection (flow, packet))
    {
      WW_FLOW_LOG_ALWAYS ("packet_of_earlier_connection", &flow->key,
                          WB_NUMBER ("sequence", packet->sequence),
                          WB_NUMBER ("acknowledgment", packet->acknowledgment));
      wf_count (agent, WF_COUNTER_OUTGOING_EARLIER);
      return;
    }
  flow->last_activity_us = agent->now_us;
  flow->server_probes = 0;
  track_server (agent, flow, handle, packet);
  wf_send_to_client (agent, data, length);
  if (flow->flags & WF_FLAG_CLOSED)
    return;
  if (packet->tcp_flags & WW_TCP_FIN)
    flow->flags |= WF_FLAG_SERVER_FIN;
  if ((packet->tcp_flags & WW_TCP_RST) ||
      ((flow->flags & WF_FLAG_CLIENT_FIN) && (flow->flags & WF_FLAG_SERVER_FIN)))
    close_flow (agent, flow, handle);
  else if (packet->tcp_flags & WW_TCP_FIN)
    finish_request (agent, flow, handle);
}

/* Runs when a held flow is due: removes it some time after it was closed, probes it when it is
 * idle, or finishes its request when the response is complete. */
void
wf_request_handle_due (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  gint64 quiet_us = flow->last_data_us + wf_request_quiet_us (agent);

  if (flow->flags & WF_FLAG_CLOSED)
    {
      if (agent->now_us - flow->last_activity_us >= CLOSED_LINGER_US)
        wf_flow_remove (agent, handle);
      else
        wf_request_schedule (agent, flow, handle);
      return;
    }
  if (agent->now_us >= wf_probe_idle_due_us (agent, flow))
    {
      wf_probe_idle (agent, flow, handle);
      return;
    }
  wf_request_schedule (agent, flow, handle);
  if ((flow->flags & WF_FLAG_RESPONSE_DATA) && quiet_us > agent->now_us)
    wf_table_advance_due (agent->flows, handle, quiet_us);
  if (is_response_complete (agent, flow))
    finish_request (agent, flow, handle);
  else if ((flow->flags & WF_FLAG_REQUEST_ACTIVE) && (flow->flags & WF_FLAG_RESPONSE_DATA))
    wf_table_advance_due (agent->flows, handle,
                          MAX (quiet_us, flow->last_data_us + ACKNOWLEDGMENT_TIMEOUT_US));
}
