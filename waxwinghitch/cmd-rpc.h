#pragma once

#include "ww-sock.h"

/**
 * DOC: Calls of operator commands to the control addresses of daemons, by ONC RPC over UDP.
 */

/** struct CmdRpc - a socket, and the outstanding calls by which replies are matched */
typedef struct CmdRpc CmdRpc;

/**
 * CmdRpcReplyFunc - called when a call has ended
 * @body: (transfer none): XDR body of the reply; NULL when the call timed out
 */
typedef void (*CmdRpcReplyFunc) (gpointer context, const guint8 *body, gsize length);

/**
 * cmd_rpc_new() - opens a socket on any free port
 * @error: WW_ERROR_SOCKET
 */
CmdRpc *cmd_rpc_new (GError **error);
void cmd_rpc_free (CmdRpc *rpc);

/**
 * cmd_rpc_call() - sends a call, and sends it again when no reply arrives
 * @encoder, @body: see ww_call_encode()
 * @callback: called once, not from within this function; it may start another call
 */
void cmd_rpc_call (CmdRpc *rpc,
                   guint32 address,
                   guint16 port,
                   ww_procedure procedure,
                   xdrproc_t encoder,
                   gpointer body,
                   CmdRpcReplyFunc callback,
                   gpointer context);
