#pragma once

#include "wm.h"

/**
 * DOC: Replies to the calls of operator commands.
 *
 * A long answer is read in several calls. The first one, with offset 0, takes a copy that the
 * further ones continue from.
 */
typedef struct WdReply WdReply;

WdReply *wd_reply_new (void);
void wd_reply_free (WdReply *reply);

/** wd_reply_procedure() - whether the procedure is one of the operator calls */
gboolean wd_reply_procedure (ww_procedure procedure);

/** wd_reply_status() - (transfer full): the encoded reply */
GByteArray *wd_reply_status (guint32 xid, ww_status_reply *status);

/**
 * wd_reply_metrics() - (transfer full): the encoded reply, or NULL for a malformed call
 * @text: the metrics now; used when the call has offset 0
 */
GByteArray *wd_reply_metrics (
    WdReply *reply, guint32 xid, const guint8 *body, gsize length, const GString *text);

/** wd_reply_list() - (transfer full): the encoded reply, or NULL for a malformed call */
GByteArray *
wd_reply_list (WdReply *reply, guint32 xid, const guint8 *body, gsize length, const WmNode *node);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WdReply, wd_reply_free)
