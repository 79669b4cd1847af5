#include "wf-private.h"
#include "ww-response.h"

/*
 * The refusal of a later request on a flow follows the server's last response in the same byte
 * stream. While that response has not ended, a client would take the refusal for the rest of it.
 * For services that are refused with an HTTP response, the end of each response is read from its
 * header; for others, the time turn_quiet of the configuration decides.
 */

static gboolean
is_http_service (const WfAgent *agent)
{
  return agent->service != NULL && agent->service->refusal_text != NULL &&
         g_str_has_prefix (agent->service->refusal_text, "HTTP/");
}

/* The server has accepted the connection and sent nothing yet. */
void
wf_answer_begin (const WfAgent *agent, WfFlow *flow)
{
  flow->answer_end = flow->server_next;
  flow->answer_end_known = agent->format->originates_packets && is_http_service (agent);
}

/* Follows the responses with a packet of the server, before server_next is updated. Once the end of
 * a response is not known, it stays so for the rest of the flow. */
void
wf_answer_track (WfFlow *flow, const WwPacket *packet)
{
  const guint8 *data = packet->payload;
  gsize length = packet->payload_length;
  guint32 position = flow->server_next;
  gint32 repeated = wf_seq_diff (position, packet->sequence);

  if (!flow->answer_end_known || (repeated >= 0 && (gsize) repeated >= length))
    return;
  if (repeated < 0)
    {
      flow->answer_end_known = FALSE;
      return;
    }
  data += repeated;
  length -= (gsize) repeated;
  while (length > 0)
    {
      guint32 left = flow->answer_end - position;
      guint32 total;

      if (left == 0 && !ww_response_length (data, length, &total))
        {
          flow->answer_end_known = FALSE;
          return;
        }
      if (left == 0)
        {
          flow->answer_end = position + total;
          left = total;
        }
      left = (guint32) MIN (left, length);
      data += left;
      length -= left;
      position += left;
    }
}

/* Whether the server's last response has certainly ended, as far as that can be told. */
gboolean
wf_answer_has_ended (const WfAgent *agent, const WfFlow *flow)
{
  if (!is_http_service (agent))
    return TRUE;
  return flow->answer_end_known && flow->answer_end == flow->server_next;
}
