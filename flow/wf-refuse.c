#include "wf-private.h"

#include <string.h>

/* The refusal fits one segment on every path. */
#define TEXT_MAX 1200
#define RETRANSMIT_US (500 * WB_US_PER_MS)
#define RETRANSMIT_MAX 6

/* Time that a client has between the handshake and its first payload. */
#define FIRST_PAYLOAD_US (10 * WB_US_PER_S)
#define FINISHED_LINGER_US (2 * WB_US_PER_S)

/* Longer than a client goes on sending copies of an initial packet. */
#define RESET_LINGER_US (2 * WB_US_PER_S)
#define REFUSAL_WINDOW 8192

/* The predicted wait was lost with the rows of the agent that refused the flow. */
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
  if (text->len > TEXT_MAX)
    g_string_truncate (text, TEXT_MAX);
  return g_string_free (text, FALSE);
}

/* Sequence number of the agent's own SYN-ACK. It follows from the flow and the client's first
 * sequence number, so that any agent of the service, also one that has restarted, recognises a
 * client that completed such a handshake. */
static guint32
handshake_sequence (const WfAgent *agent, const WwFlowKey *key, guint32 client_sequence)
{
  struct
  {
    WwFlowKey key;
    guint64 service_id;
    guint64 client_sequence;
  } input = { *key, agent->service_id, client_sequence };

  return (guint32) wb_hash64 (&input, sizeof input, 0);
}

static WwPacket
towards_client (const WfFlow *flow)
{
  WwPacket packet = ww_packet_to_client (&flow->key);

  packet.acknowledgment = flow->client_next;
  packet.window = REFUSAL_WINDOW;
  return packet;
}

static void
send_segment (WfAgent *agent, const WfFlow *flow, guint8 flags, guint32 sequence, const gchar *text)
{
  WwPacket packet = towards_client (flow);
  g_autoptr (GByteArray) bytes = NULL;

  packet.tcp_flags = flags;
  packet.sequence = sequence;
  packet.payload = (const guint8 *) text;
  packet.payload_length = text == NULL ? 0 : strlen (text);
  bytes = agent->format->build (&packet);
  wf_to_client (agent, bytes->data, bytes->len);
}

/* server_next is the first sequence number of the text, or of the SYN while the agent's own
 * handshake is under way. */
static void
send_handshake (WfAgent *agent, const WfFlow *flow)
{
  send_segment (agent, flow, WW_TCP_SYN | WW_TCP_ACK, flow->server_next - 1, NULL);
}

static guint32
text_end (const WfAgent *agent, const WfFlow *flow)
{
  g_autofree gchar *text = refusal_text (agent, flow->retry_after_s);

  return flow->server_next + (guint32) strlen (text) + 1;
}

static void
send_text (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  g_autofree gchar *text = refusal_text (agent, flow->retry_after_s);

  flow->flags |= WF_FLAG_TEXT_SENT;
  send_segment (agent, flow, WW_TCP_PSH | WW_TCP_ACK | WW_TCP_FIN, flow->server_next, text);
  wf_table_set_due (agent->flows, handle, agent->now_us + RETRANSMIT_US);
}

/* A refused datagram gets the text as its answer. */
void
wf_refuse_datagram (WfAgent *agent, const WfFlow *flow, guint retry_after_s)
{
  g_autofree gchar *text = refusal_text (agent, retry_after_s);
  WwPacket packet = towards_client (flow);
  g_autoptr (GByteArray) bytes = NULL;

  wf_count (agent, WF_COUNTER_R3_REFUSED_REQUEST);
  packet.payload = (const guint8 *) text;
  packet.payload_length = strlen (text);
  bytes = agent->format->build (&packet);
  wf_to_client (agent, bytes->data, bytes->len);
}

/* The sequence number after the contiguous payload in the queue. */
static guint32
queued_end (const WfAgent *agent, const WfFlow *flow, gboolean *fin)
{
  guint32 end = flow->client_next;
  guint i;

  *fin = FALSE;
  for (i = 0; flow->queue != NULL && i < flow->queue->len; i++)
    {
      WwPacket packet;

      if (!wf_flow_read_queued (agent, flow, i, &packet))
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

/* The agent answers the client itself from now on. */
static void
begin_handshake (WfAgent *agent, WfFlow *flow, guint32 client_sequence, guint retry_after_s)
{
  wf_flow_set_state (agent, flow, WF_FLOW_REFUSING);
  flow->flags = (guint16) ((flow->flags & WF_FLAG_REGISTERED) | WF_FLAG_OWN_HANDSHAKE);
  flow->client_next = client_sequence + 1;
  flow->server_next = handshake_sequence (agent, &flow->key, client_sequence) + 1;
  flow->client_ack = flow->server_next - 1;
  flow->retry_after_s = (guint16) MIN (retry_after_s, G_MAXUINT16);
  flow->tries = 0;
  wf_flow_clear_queue (agent, flow);
}

/* Whether the client has completed a handshake with an agent that refuses it. */
gboolean
wf_refuse_is_handshake (const WfAgent *agent, const WfInput *input)
{
  const WwPacket *packet = &input->packet;

  return agent->format->originates_packets && input->status == WW_PACKET_OK &&
         input->key.protocol == WW_PROTOCOL_TCP &&
         (packet->tcp_flags & (WW_TCP_SYN | WW_TCP_ACK | WW_TCP_RST)) == WW_TCP_ACK &&
         packet->acknowledgment ==
             handshake_sequence (agent, &input->key, packet->sequence - 1) + 1;
}

/* Continues the refusal of an agent that has lost its rows. No server has seen the request: the
 * client acknowledges the agent's SYN-ACK, not a server's. */
void
wf_refuse_resume (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfInput *input)
{
  wf_count (agent, WF_COUNTER_R3_RESUMED);
  begin_handshake (agent, flow, input->packet.sequence - 1, RESUMED_RETRY_AFTER_S);
  wf_register_flow (agent, flow);
  wf_table_set_due (agent->flows, handle, agent->now_us + FIRST_PAYLOAD_US);
  (void) wf_refuse_from_client (agent, flow, handle, input);
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
  wf_to_client (agent, bytes->data, bytes->len);
}

/* Ends an open flow whose server has lost it, so that the client does not wait for its own timeout.
 * @sequence is the last number that the client has acknowledged. */
void
wf_refuse_lost (WfAgent *agent, const WwFlowKey *key, guint32 sequence)
{
  send_reset (agent, key, sequence);
}

/* Only the first copy of an initial packet is answered: a later one may follow a copy that reached
 * a server by another way. Returns whether a reset was sent. */
gboolean
wf_refuse_with_reset (WfAgent *agent, const WwPacket *initial)
{
  WwFlowKey key = ww_packet_key_from_client (initial);

  if (initial->retransmission != 0)
    return FALSE;
  send_reset (agent, &key, 0);
  return TRUE;
}

/* Refuses a flow that no server has, in a format in which the system cannot answer with text. The
 * row stays for a while and takes the copies that are still on their way. */
static void
refuse_by_reset (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *initial)
{
  (void) wf_refuse_with_reset (agent, initial);
  wf_flow_set_state (agent, flow, WF_FLOW_REFUSING);
  flow->flags &= WF_FLAG_REGISTERED;
  flow->client_next = initial->sequence + 1;
  wf_flow_clear_queue (agent, flow);
  wf_table_set_due (agent->flows, handle, agent->now_us + RESET_LINGER_US);
}

/* Refuses a flow of which the server has seen nothing: the agent completes the handshake. */
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
  WW_FLOW_LOG_ALWAYS ("flow_refused", &flow->key, WB_NUMBER ("retry_after_s", retry_after_s),
                      WB_NUMBER ("waited_ms", (agent->now_us - flow->activity_us) / WB_US_PER_MS),
                      WB_NUMBER ("held", agent->held), WB_NUMBER ("waiting", agent->waiting),
                      WB_TEXT ("server", wf_server_state_name (agent->server)));
  wf_count (agent, WF_COUNTER_R3_REFUSED_INITIAL);
  if (!wf_flow_read_queued (agent, flow, 0, &packet))
    {
      wf_flow_remove (agent, handle);
      return;
    }
  if (!agent->format->originates_packets)
    {
      gboolean admission = (flow->flags & WF_FLAG_ADMISSION) != 0;

      refuse_by_reset (agent, flow, handle, &packet);
      if (admission)
        wa_admission_remove (agent->admission, handle, agent->now_us);
      return;
    }
  begin_handshake (agent, flow, packet.sequence, retry_after_s);
  send_handshake (agent, flow);
  wf_table_set_due (agent->flows, handle, agent->now_us + FIRST_PAYLOAD_US);
}

/* Refuses a later request: the text goes into the server's sequence space, and the server, which
 * has not seen the payload, loses the connection. */
void
wf_refuse_request (WfAgent *agent, WbHandle handle, guint retry_after_s)
{
  WfFlow *flow = wf_table_get (agent->flows, handle);
  gboolean fin;

  if ((flow->flags & WF_FLAG_REQUEST) || !agent->format->originates_packets)
    {
      wf_count (agent, WF_COUNTER_R3_PREVENTED);
      return;
    }
  wf_count (agent, WF_COUNTER_R3_REFUSED_REQUEST);
  wf_probe_reset_server (agent, flow);
  flow->client_next = queued_end (agent, flow, &fin);
  wf_flow_clear_queue (agent, flow);
  wf_flow_set_state (agent, flow, WF_FLOW_REFUSING);
  flow->flags &= (guint16) (WF_FLAG_REGISTERED | WF_FLAG_DELIVERED);
  if (fin)
    flow->flags |= WF_FLAG_CLIENT_FIN;
  flow->retry_after_s = (guint16) MIN (retry_after_s, G_MAXUINT16);
  flow->tries = 0;
  send_text (agent, flow, handle);
  wa_admission_remove (agent->admission, handle, agent->now_us);
}

/* Takes the client's payload and FIN into account, in order only. */
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
is_acknowledged (const WfAgent *agent, const WfFlow *flow)
{
  return (flow->flags & WF_FLAG_TEXT_SENT) &&
         wf_seq_diff (flow->client_ack, text_end (agent, flow)) >= 0;
}

static void
answer_segment (WfAgent *agent, WfFlow *flow, WbHandle handle, const WwPacket *packet)
{
  guint32 before = flow->client_next;

  accept_segment (flow, packet);
  if ((flow->flags & WF_FLAG_TEXT_SENT) == 0)
    {
      if (flow->client_next != before)
        send_text (agent, flow, handle);
      return;
    }
  if (packet->payload_length > 0 || (packet->tcp_flags & WW_TCP_FIN))
    send_segment (agent, flow, WW_TCP_ACK, text_end (agent, flow), NULL);
  if (is_acknowledged (agent, flow) && (flow->flags & WF_FLAG_CLIENT_FIN))
    wf_table_set_due (agent->flows, handle, agent->now_us + FINISHED_LINGER_US);
}

/* Returns FALSE when the packet begins a new connection of the same 5-tuple. */
gboolean
wf_refuse_from_client (WfAgent *agent, WfFlow *flow, WbHandle handle, const WfInput *input)
{
  const WwPacket *packet = &input->packet;

  if (input->status != WW_PACKET_OK)
    return TRUE;
  /* The flow of a packet that is no copy of the refused one is open somewhere else. */
  if (!agent->format->originates_packets)
    return (packet->tcp_flags & WW_TCP_SYN) && packet->sequence + 1 == flow->client_next;
  if (packet->tcp_flags & WW_TCP_RST)
    {
      wf_flow_remove (agent, handle);
      return TRUE;
    }
  if (packet->tcp_flags & WW_TCP_SYN)
    {
      if ((flow->flags & WF_FLAG_OWN_HANDSHAKE) == 0 || packet->sequence + 1 != flow->client_next)
        return (flow->flags & WF_FLAG_TEXT_SENT) == 0 || !is_acknowledged (agent, flow);
      send_handshake (agent, flow);
      return TRUE;
    }
  if ((packet->tcp_flags & WW_TCP_ACK) &&
      wf_seq_diff (packet->acknowledgment, flow->client_ack) > 0)
    flow->client_ack = packet->acknowledgment;
  answer_segment (agent, flow, handle, packet);
  return TRUE;
}

void
wf_refuse_due (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  if (!agent->format->originates_packets || (flow->flags & WF_FLAG_TEXT_SENT) == 0 ||
      is_acknowledged (agent, flow) || ++flow->tries > RETRANSMIT_MAX)
    {
      wf_flow_remove (agent, handle);
      return;
    }
  send_text (agent, flow, handle);
}
