#pragma once

#include "ww-sock.h"

/**
 * struct CmdRpc - sends calls to control addresses and matches the replies
 */
typedef struct CmdRpc CmdRpc;

/**
 * CmdRpcReplyFunc - end of a call
 * @body: XDR body of the reply; NULL when none came in time
 */
typedef void (*CmdRpcReplyFunc) (gpointer context, const guint8 *body, gsize length);

/** cmd_rpc_new() - opens a socket on any free port */
CmdRpc *cmd_rpc_new (GError **error);
void cmd_rpc_free (CmdRpc *rpc);

/**
 * cmd_rpc_call() - sends a call, again when no reply comes
 * @encoder, @body: see ww_call_encode()
 * @answer: called once, not from within this call; a further call may be made from it
 */
void cmd_rpc_call (CmdRpc *rpc,
                   guint32 address,
                   guint16 port,
                   ww_procedure procedure,
                   xdrproc_t encoder,
                   gpointer body,
                   CmdRpcReplyFunc answer,
                   gpointer context);
