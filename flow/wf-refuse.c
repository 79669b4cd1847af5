#include "wf-private.h"

#include <string.h>

/* The refusal fits into one segment on every path. */
#define TEXT_MAX_BYTES 1200
#define RETRANSMISSION_INTERVAL_US (500 * WB_US_PER_MS)
#define RETRANSMISSIONS_MAX 6

/* Longest time between the handshake and the client's first payload. */
#define FIRST_PAYLOAD_TIMEOUT_US (10 * WB_US_PER_S)

/* For this time after a refusal has ended, retransmissions of the client are acknowledged. */
#define FINISHED_LINGER_US (2 * WB_US_PER_S)

/* Longer than a client retransmits an initial packet. */
#define RESET_LINGER_US (2 * WB_US_PER_S)
#define REFUSAL_WINDOW_BYTES 8192

/* Sent after a restart, which loses the predicted wait of the refused flow. */
#define RESUMED_RETRY_AFTER_S 1

static gchar *
refusal_text (const WfAgent *agent, guint retry_after_s)
{
  const gchar *pattern = agent->service == NULL || agent->service->refusal_text == NULL
                             ? ""
                             : agent->service->refusal_text;
  GString *text = g_string_new (pattern);
  g_autofree gchar *number = g_strdup_printf ("%u", retry_after_s);

  g_string_replace (text, "{retry_after}", number, 0);
  if (text->len > TEXT_MAX_BYTES)
    g_string_truncate (text, TEXT_MAX_BYTES);
  return g_string_free (text, FALSE);
}

/* Sequence number of the SYN-ACK that the agent sends to refuse a flow. It follows from the flow
 * and the client's first sequence number, so that every agent of the service, also a restarted one,
 * recognises a client that has completed this handshake. */
static guint32
handshake_sequence (const WfAgent *agent, const WwFlowKey *key, guint32 client_sequence)
{
  struct
  {
    WwFlowKey key;
    guint64 service_id;
    guint64 client_sequence;
  } hash_input = { *key, agent->service_id, client_sequence };

  return (guint32) wb_hash64 (&hash_input, sizeof hash_input, 0);
}

static WwPacket
packet_to_client (const WfFlow *flow)
{
  WwPacket packet = ww_packet_to_client (&flow->key);

  packet.acknowledgment = flow->client_next;
  packet.window = REFUSAL_WINDOW_BYTES;
  return packet;
}

static void
send_segment (WfAgent *agent, const WfFlow *flow, guint8 flags, guint32 sequence, const gchar *text)
{
  WwPacket packet = packet_to_client (flow);
  g_autoptr (GByteArray) bytes = NULL;

  packet.tcp_flags = flags;
  packet.sequence = sequence;
  packet.payload = (const guint8 *) text;
  packet.payload_length = text == NULL ? 0 : strlen (text);
  bytes = agent->format->build (&packet);
  wf_send_to_client (agent, bytes->data, bytes->len);
}

/* Sends the SYN-ACK. server_next is the first sequence number of the refusal text, one after that
 * of the SYN-ACK. */
static void
send_syn_ack (WfAgent *agent, const WfFlow *flow)
{
  send_segment (agent, flow, WW_TCP_SYN | WW_TCP_ACK, flow->server_next - 1, NULL);
}

static guint32
refusal_text_end (const WfAgent *agent, const WfFlow *flow)
{
  g_autofree gchar *text = refusal_text (agent, flow->retry_after_s);

  return flow->server_next + (guint32) strlen (text) + 1;
}

static void
send_refusal_text (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  g_autofree gchar *text = refusal_text (agent, flow->retry_after_s);

  flow->flags |= WF_FLAG_REFUSAL_SENT;
  send_segment (agent, flow, WW_TCP_PSH | WW_TCP_ACK | WW_TCP_FIN, flow->server_next, text);
  wf_table_set_due (agent->flows, handle, agent->now_us + RETRANSMISSION_INTERVAL_US);
}

/* Sends the refusal text as the response to a datagram. */
void
wf_refuse_datagram (WfAgent *agent, const WfFlow *flow, guint retry_after_s)
{
  g_autofree gchar *text = refusal_text (agent, retry_after_s);
  WwPacket packet = packet_to_client (flow);
  g_autoptr (GByteArray) bytes = NULL;

  wf_count (agent, WF_COUNTER_REFUSED_REQUEST);
  packet.payload = (const guint8 *) text;
  packet.payload_length = strlen (text);
  bytes = agent->format->build (&packet);
  wf_send_to_client (agent, bytes->data, bytes->len);
}

/* Returns the sequence number after the contiguous payload in the queue; @fin tells whether a FIN
 * ends it. */
static guint32
queued_payload_end (const WfAgent *agent, const WfFlow *flow, gboolean *fin)
{
  guint32 end = flow->client_next;
  guint i;

  *fin = FALSE;
  for (i = 0; flow->queue != NULL && i < flow->queue->len; i++)
    {
      WwPacket packet;

      if (!wf_flow_parse_queued (agent, flow, i, &packet))
        continue;
      if (wf_seq_diff (packet.sequence, end) > 0)
        continue;
      if (wf_seq_diff (packet.sequence + ww_packet_sequence_length (&packet), end) <= 0)
        continue;
      end = packet.sequence + ww_packet_sequence_length (&packet);
      if (packet.tcp_flags & WW_TCP_FIN)
        *fin = TRUE;
    }
  return end;
}

/* Starts a handshake between the agent and the client, so that the client can receive a refusal. */
static void
begin_refusal_handshake (WfAgent *agent, WfFlow *flow, guint32 client_sequence, guint retry_after_s)
{
  wf_flow_set_state (agent, flow, WF_FLOW_REFUSING);
  flow->flags = (guint16) ((flow->flags & WF_FLAG_REGISTERED) | WF_FLAG_AGENT_HANDSHAKE);
  flow->client_next = client_sequence + 1;
  flow->server_next = handshake_sequence (agent, &flow->key, client_sequence) + 1;
  flow->client_ack = flow->server_next - 1;
  flow->retry_after_s = (guint16) MIN (retry_after_s, G_MAXUINT16);
  flow->attempts = 0;
  wf_flow_clear_queue (agent, flow);
}

/* Whether the packet completes a handshake with an agent of the service, which refuses the flow. */
gboolean
wf_refuse_completes_handshake (const WfAgent *agent, const WfReceivedPacket *received)
{
  const WwPacket *packet = &received->packet;

  return agent->format->originates_packets && received->status == WW_PACKET_OK &&
         received->key.protocol == WW_PROTOCOL_TCP &&
         (packet->tcp_flags & (WW_TCP_SYN | WW_TCP_ACK | WW_TCP_RST)) == WW_TCP_ACK &&
         packet->acknowledgment ==
             handshake_sequence (agent, &received->key, packet->sequence - 1) + 1;
}

/* Continues the refusal of an agent that has lost its rows. No server has received the request: the
 * client acknowledges an agent's SYN-ACK, not a server's. */
void
wf_refuse_resume (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfReceivedPacket *received)
{
  wf_count (agent, WF_COUNTER_REFUSAL_RESUMED);
  begin_refusal_handshake (agent, flow, received->packet.sequence - 1, RESUMED_RETRY_AFTER_S);
  wf_registration_send (agent, flow);
  wf_table_set_due (agent->flows, handle, agent->now_us + FIRST_PAYLOAD_TIMEOUT_US);
  (void) wf_refuse_from_client (agent, flow, handle, received);
}

static void
send_reset (WfAgent *agent, const WwFlowKey *key, guint32 sequence)
{
  WwPacket packet = ww_packet_to_client (key);
  g_autoptr (GByteArray) bytes = NULL;

  packet.tcp_flags = WW_TCP_RST;
  packet.sequence = sequence;
  bytes = agent->format->build (&packet);
  wf_count (agent, WF_COUNTER_RESET_SENT);
  wf_send_to_client (agent, bytes->data, bytes->len);
}

/* Resets an open flow that the server has lost, so that the client need not wait for its time-out.
 * @sequence is the last number that the client has acknowledged. */
void
wf_refuse_reset_lost (WfAgent *agent, const WwFlowKey *key, guint32 sequence)
{
  send_reset (agent, key, sequence);
}

/* Resets a new flow, but only in response to the first transmission of its initial packet: before a
 * retransmission, an earlier one may have reached a server on another path. Returns whether a reset
 * was sent. */
gboolean
wf_refuse_reset_initial (WfAgent *agent, const WwPacket *initial)
{
  WwFlowKey key = ww_packet_key_from_client (initial);

  if (initial->retransmission != 0)
    return FALSE;
  send_reset (agent, &key, 0);
  return TRUE;
}

/* Refuses a new flow with a reset, in a format in which the agent cannot send a text. The row stays
 * for a while to absorb retransmissions that are still on their way. */
static void
refuse_by_reset (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *initial)
{
  (void) wf_refuse_reset_initial (agent, initial);
  wf_flow_set_state (agent, flow, WF_FLOW_REFUSING);
  flow->flags &= WF_FLAG_REGISTERED;
  flow->client_next = initial->sequence + 1;
  wf_flow_clear_queue (agent, flow);
  wf_table_set_due (agent->flows, handle, agent->now_us + RESET_LINGER_US);
}

/* Refuses a flow of which nothing was delivered. For TCP the agent completes the handshake itself,
 * to send the refusal text, or resets the flow in a format in which it cannot. */
void
wf_refuse_initial (WfAgent *agent, WbHandle handle, guint retry_after_s)
{
  WfFlow *flow = wf_table_get (agent->flows, handle);
  WwPacket packet;

  if (flow->key.protocol == WW_PROTOCOL_UDP)
    {
      wf_refuse_datagram (agent, flow, retry_after_s);
      wf_flow_remove (agent, handle);
      return;
    }
  WW_FLOW_LOG_ALWAYS (
      "flow_refused", &flow->key, WB_NUMBER ("retry_after_s", retry_after_s),
      WB_NUMBER ("waited_ms", (agent->now_us - flow->last_activity_us) / WB_US_PER_MS),
      WB_NUMBER ("held", agent->flows_held), WB_NUMBER ("waiting", agent->flows_waiting),
      WB_TEXT ("server", wf_server_state_name (agent->server_state)));
  wf_count (agent, WF_COUNTER_REFUSED_INITIAL);
  if (!wf_flow_parse_queued (agent, flow, 0, &packet))
    {
      wf_flow_remove (agent, handle);
      return;
    }
  if (!agent->format->originates_packets)
    {
      gboolean in_admission = (flow->flags & WF_FLAG_IN_ADMISSION) != 0;

      refuse_by_reset (agent, flow, handle, &packet);
      if (in_admission)
        wa_admission_remove (agent->admission, handle, agent->now_us);
      return;
    }
  begin_refusal_handshake (agent, flow, packet.sequence, retry_after_s);
  send_syn_ack (agent, flow);
  wf_table_set_due (agent->flows, handle, agent->now_us + FIRST_PAYLOAD_TIMEOUT_US);
}

/* Delivers a request that cannot be refused, because the server has sent data while it waited. */
static void
deliver_instead (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  wf_count (agent, WF_COUNTER_REFUSAL_PREVENTED);
  wa_admission_recover_request (agent->admission, handle, (WcClass) flow->class, flow->tenant,
                                agent->now_us);
  wa_admission_request_delivered (agent->admission, agent->now_us);
  wf_request_deliver_admitted (agent, handle);
}

/* Refuses a later request. The text continues the server's sequence numbers; the server, which has
 * not received the payload, gets a reset. */
void
wf_refuse_request (WfAgent *agent, WbHandle handle, guint retry_after_s)
{
  WfFlow *flow = wf_table_get (agent->flows, handle);
  gboolean fin;

  if ((flow->flags & WF_FLAG_REQUEST_ACTIVE) || !agent->format->originates_packets)
    {
      wf_count (agent, WF_COUNTER_REFUSAL_PREVENTED);
      return;
    }
  if (!wf_answer_has_ended (agent, flow))
    {
      deliver_instead (agent, flow, handle);
      return;
    }
  wf_count (agent, WF_COUNTER_REFUSED_REQUEST);
  wf_probe_reset_server (agent, flow);
  flow->client_next = queued_payload_end (agent, flow, &fin);
  wf_flow_clear_queue (agent, flow);
  wf_flow_set_state (agent, flow, WF_FLOW_REFUSING);
  flow->flags &= (guint16) (WF_FLAG_REGISTERED | WF_FLAG_PAYLOAD_DELIVERED);
  if (fin)
    flow->flags |= WF_FLAG_CLIENT_FIN;
  flow->retry_after_s = (guint16) MIN (retry_after_s, G_MAXUINT16);
  flow->attempts = 0;
  send_refusal_text (agent, flow, handle);
  wa_admission_remove (agent->admission, handle, agent->now_us);
}

/* Accepts the client's payload and FIN, in order only. */
static void
accept_segment (WfFlow *flow, const WwPacket *packet)
{
  guint32 payload_end = packet->sequence + (guint32) packet->payload_length;

  if (wf_seq_diff (packet->sequence, flow->client_next) > 0 || (flow->flags & WF_FLAG_CLIENT_FIN))
    return;
  if (wf_seq_diff (payload_end, flow->client_next) > 0)
    flow->client_next = payload_end;
  if ((packet->tcp_flags & WW_TCP_FIN) && payload_end == flow->client_next)
    {
      flow->client_next++;
      flow->flags |= WF_FLAG_CLIENT_FIN;
    }
}

static gboolean
is_refusal_acknowledged (const WfAgent *agent, const WfFlow *flow)
{
  return (flow->flags & WF_FLAG_REFUSAL_SENT) &&
         wf_seq_diff (flow->client_ack, refusal_text_end (agent, flow)) >= 0;
}

static void
respond_to_segment (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *packet)
{
  guint32 before = flow->client_next;

  accept_segment (flow, packet);
  if ((flow->flags & WF_FLAG_REFUSAL_SENT) == 0)
    {
      if (flow->client_next != before)
        send_refusal_text (agent, flow, handle);
      return;
    }
  if (packet->payload_length > 0 || (packet->tcp_flags & WW_TCP_FIN))
    send_segment (agent, flow, WW_TCP_ACK, refusal_text_end (agent, flow), NULL);
  if (is_refusal_acknowledged (agent, flow) && (flow->flags & WF_FLAG_CLIENT_FIN))
    wf_table_set_due (agent->flows, handle, agent->now_us + FINISHED_LINGER_US);
}

/* Whether the client has accepted the SYN-ACK of a server instead of this agent's. A flow that
 * enters through two zones can be refused by one home and placed by the other. */
static gboolean
acknowledges_other_handshake (const WfAgent *agent, const WfFlow *flow, const WwPacket *packet)
{
  return flow->entry_zone != 0 && (flow->flags & WF_FLAG_AGENT_HANDSHAKE) &&
         (packet->tcp_flags & WW_TCP_ACK) &&
         (wf_seq_diff (packet->acknowledgment, flow->server_next) < 0 ||
          wf_seq_diff (packet->acknowledgment, refusal_text_end (agent, flow)) > 0);
}

/* Handles a packet of a flow that is being refused. Returns FALSE when it belongs to another
 * connection of the same 5-tuple. */
gboolean
wf_refuse_from_client (WfAgent *agent,
                       WfFlow *flow,
                       WbHandle handle,
                       const WfReceivedPacket *received)
{
  const WwPacket *packet = &received->packet;

  if (received->status != WW_PACKET_OK)
    return TRUE;
  /* A packet that is no retransmission of the refused one belongs to a flow that another endpoint
   * has opened. */
  if (!agent->format->originates_packets)
    return (packet->tcp_flags & WW_TCP_SYN) && packet->sequence + 1 == flow->client_next;
  if (acknowledges_other_handshake (agent, flow, packet))
    return FALSE;
  if (packet->tcp_flags & WW_TCP_RST)
    {
      wf_flow_remove (agent, handle);
      return TRUE;
    }
  if (packet->tcp_flags & WW_TCP_SYN)
    {
      /* Another initial packet begins a new connection, but only after the refusal has been
       * acknowledged. */
      if ((flow->flags & WF_FLAG_AGENT_HANDSHAKE) == 0 || packet->sequence + 1 != flow->client_next)
        return (flow->flags & WF_FLAG_REFUSAL_SENT) == 0 || !is_refusal_acknowledged (agent, flow);
      send_syn_ack (agent, flow);
      return TRUE;
    }
  if ((packet->tcp_flags & WW_TCP_ACK) &&
      wf_seq_diff (packet->acknowledgment, flow->client_ack) > 0)
    flow->client_ack = packet->acknowledgment;
  respond_to_segment (agent, flow, handle, packet);
  return TRUE;
}

/* Retransmits the refusal text, or removes the row when the refusal has ended. */
void
wf_refuse_handle_due (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  if (!agent->format->originates_packets || (flow->flags & WF_FLAG_REFUSAL_SENT) == 0 ||
      is_refusal_acknowledged (agent, flow) || ++flow->attempts > RETRANSMISSIONS_MAX)
    {
      wf_flow_remove (agent, handle);
      return;
    }
  send_refusal_text (agent, flow, handle);
}
