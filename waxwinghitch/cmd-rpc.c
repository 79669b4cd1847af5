#include "cmd-rpc.h"

/* Datagrams may be lost, so that a call is sent up to three times, at an interval far beyond the
 * latency between regions. */
#define RESEND_INTERVAL_MS 300
#define MAX_SENDS 3

struct CmdRpc
{
  WwSocket *socket;
  GHashTable *calls; /* xid to Call */
  guint32 next_xid;
};

typedef struct
{
  CmdRpc *rpc;
  guint32 xid;
  guint32 address;
  guint16 port;
  GByteArray *datagram;
  guint sends;
  guint resend_timer;
  CmdRpcReplyFunc callback;
  gpointer context;
} Call;

static void
call_free (gpointer data)
{
  Call *call = data;

  if (call->resend_timer != 0)
    g_source_remove (call->resend_timer);
  g_byte_array_unref (call->datagram);
  g_free (call);
}

static void
finish_call (Call *call, const guint8 *body, gsize length)
{
  CmdRpcReplyFunc callback = call->callback;
  gpointer context = call->context;

  g_hash_table_remove (call->rpc->calls, GUINT_TO_POINTER (call->xid));
  callback (context, body, length);
}

static void
datagram_received (
    gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  CmdRpc *rpc = context;
  const guint8 *body;
  gsize body_length;
  WwCall header;
  Call *call;

  if (!ww_call_decode (data, length, &header, &body, &body_length, NULL) || !header.is_reply)
    return;
  call = g_hash_table_lookup (rpc->calls, GUINT_TO_POINTER (header.xid));
  if (call != NULL && call->address == address && call->port == port)
    finish_call (call, body, body_length);
}

static gboolean
send_or_time_out (gpointer data)
{
  Call *call = data;

  if (call->sends == MAX_SENDS)
    {
      call->resend_timer = 0;
      finish_call (call, NULL, 0);
      return G_SOURCE_REMOVE;
    }
  call->sends++;
  ww_socket_send (call->rpc->socket, call->address, call->port, call->datagram->data,
                  call->datagram->len);
  return G_SOURCE_CONTINUE;
}

CmdRpc *
cmd_rpc_new (GError **error)
{
  CmdRpc *rpc = g_new0 (CmdRpc, 1);

  rpc->socket = ww_socket_new (0, 0, datagram_received, rpc, error);
  if (rpc->socket == NULL)
    {
      g_free (rpc);
      return NULL;
    }
  rpc->calls = g_hash_table_new_full (NULL, NULL, NULL, call_free);
  rpc->next_xid = g_random_int ();
  return rpc;
}

void
cmd_rpc_free (CmdRpc *rpc)
{
  if (rpc == NULL)
    return;
  ww_socket_free (rpc->socket);
  g_hash_table_unref (rpc->calls);
  g_free (rpc);
}

void
cmd_rpc_call (CmdRpc *rpc,
              guint32 address,
              guint16 port,
              ww_procedure procedure,
              xdrproc_t encoder,
              gpointer body,
              CmdRpcReplyFunc callback,
              gpointer context)
{
  WwCall header = { .xid = rpc->next_xid++, .procedure = procedure };
  Call *call = g_new0 (Call, 1);

  call->rpc = rpc;
  call->xid = header.xid;
  call->address = address;
  call->port = port;
  /* The bodies of the operator calls have a few bytes, so that encoding cannot fail. */
  call->datagram = ww_call_encode (&header, encoder, body, NULL);
  call->callback = callback;
  call->context = context;
  g_hash_table_insert (rpc->calls, GUINT_TO_POINTER (call->xid), call);
  call->resend_timer = g_timeout_add (RESEND_INTERVAL_MS, send_or_time_out, call);
  send_or_time_out (call);
}
