/*
 * Stand-in for two nodes of a fleet, for tests of the operator commands: a balancer and a draining
 * agent reply to operator calls on their control addresses. The other members that they list do not
 * exist; the first of these is listed as alive.
 */
#include "ww-sock.h"

#include <string.h>

/* Less than WW_MAX_MEMBERS, so one reply lists all of them. */
#define MEMBER_COUNT 18

static const gchar metrics_line[] = "packets_forwarded_total 1234567890\n";

typedef struct
{
  WwSocket *socket;
  gboolean draining;
} Node;

static WwSocket *balancer_socket;
static WwSocket *agent_socket;

static void
fill_members (const ww_list_request *request, ww_list_reply *reply)
{
  guint i;

  reply->offset = request->offset;
  reply->total = MEMBER_COUNT;
  reply->members.members_val = g_new0 (ww_member, WW_MAX_MEMBERS);
  for (i = request->offset; i < MEMBER_COUNT && i < request->offset + WW_MAX_MEMBERS; i++)
    {
      ww_member *member = &reply->members.members_val[reply->members.members_len++];
      guint16 port = i == 0 ? ww_socket_port (balancer_socket) : ww_socket_port (agent_socket);

      member->id = i + 1;
      member->address = 0x7f000001;
      member->ports = (guint32) (i < 2 ? port : 9) << 16;
      member->role = i == 0 ? WW_ROLE_BALANCER : WW_ROLE_AGENT;
      member->state = i < 3 ? WW_MEMBER_ALIVE : WW_MEMBER_DEAD;
    }
}

static void
fill_metrics (const ww_metrics_request *request, ww_metrics_reply *reply)
{
  static gchar text[60 * sizeof metrics_line];
  guint length;
  guint i;

  text[0] = '\0';
  for (i = 0; i < 60; i++)
    g_strlcat (text, metrics_line, sizeof text);
  length = (guint) strlen (text);
  reply->offset = request->offset;
  reply->total = length;
  reply->text.text_len = MIN (length - MIN (length, request->offset), WW_MAX_CHUNK);
  reply->text.text_val = text + MIN (length, request->offset);
}

static GByteArray *
handle_call (const Node *node, const WwCall *call, const guint8 *body, gsize length)
{
  WwCall header = { .xid = call->xid, .is_reply = TRUE };
  ww_status_reply status = { .name = node->draining ? "agent-1" : "balancer-1",
                             .id = node->draining ? 2 : 1,
                             .config_version = node->draining ? 6 : 7,
                             .flows_held = node->draining ? 3 : 0,
                             .draining = (guint) node->draining,
                             .refusals = node->draining ? 5 : 0 };
  ww_list_request members_request = { 0 };
  ww_metrics_request metrics_request = { 0 };
  ww_list_reply members = { 0 };
  ww_metrics_reply metrics = { 0 };
  GByteArray *reply;

  if (call->procedure == WW_PROC_STATUS)
    return ww_call_encode (&header, (xdrproc_t) xdr_ww_status_reply, &status, NULL);
  if (call->procedure == WW_PROC_LIST &&
      ww_body_decode (body, length, (xdrproc_t) xdr_ww_list_request, &members_request, NULL))
    {
      fill_members (&members_request, &members);
      reply = ww_call_encode (&header, (xdrproc_t) xdr_ww_list_reply, &members, NULL);
      g_free (members.members.members_val);
      return reply;
    }
  if (call->procedure == WW_PROC_METRICS &&
      ww_body_decode (body, length, (xdrproc_t) xdr_ww_metrics_request, &metrics_request, NULL))
    {
      fill_metrics (&metrics_request, &metrics);
      return ww_call_encode (&header, (xdrproc_t) xdr_ww_metrics_reply, &metrics, NULL);
    }
  return NULL;
}

static void
datagram_received (
    gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  const Node *node = context;
  g_autoptr (GByteArray) reply = NULL;
  const guint8 *body;
  gsize body_length;
  WwCall call;

  if (ww_call_decode (data, length, &call, &body, &body_length, NULL) && !call.is_reply)
    reply = handle_call (node, &call, body, body_length);
  if (reply != NULL)
    ww_socket_send (node->socket, address, port, reply->data, reply->len);
}

int
main (int argc, char **argv)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  Node balancer = { .draining = FALSE };
  Node agent = { .draining = TRUE };

  balancer_socket = balancer.socket =
      ww_socket_new (0x7f000001, 0, datagram_received, &balancer, NULL);
  agent_socket = agent.socket = ww_socket_new (0x7f000001, 0, datagram_received, &agent, NULL);
  if (balancer.socket == NULL || agent.socket == NULL)
    return 1;
  g_print ("127.0.0.1:%u\n", ww_socket_port (balancer.socket));
  g_main_loop_run (loop);
  return 0;
}
