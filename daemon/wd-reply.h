#pragma once

#include "wm.h"

/**
 * DOC: Encodes the replies to calls of operator commands (status, metrics, list).
 *
 * A result that exceeds one datagram is read in several calls. The call with offset 0 takes a
 * snapshot of the result, and calls with a larger offset read on in that snapshot.
 */

/** struct WdSnapshots - metrics and member list, as they were at the last call with offset 0 */
typedef struct WdSnapshots WdSnapshots;

WdSnapshots *wd_snapshots_new (void);
void wd_snapshots_free (WdSnapshots *snapshots);

/** wd_reply_is_operator_procedure() - whether @procedure is called by operator commands */
gboolean wd_reply_is_operator_procedure (ww_procedure procedure);

/** wd_reply_status() - (transfer full): the encoded reply */
GByteArray *wd_reply_status (guint32 xid, ww_status_reply *status);

/**
 * wd_reply_metrics() - (transfer full): the encoded reply, or NULL for a malformed call
 * @text: the current metrics; used when the call has offset 0
 */
GByteArray *wd_reply_metrics (
    WdSnapshots *snapshots, guint32 xid, const guint8 *body, gsize length, const GString *text);

/** wd_reply_list() - (transfer full): the encoded reply, or NULL for a malformed call */
GByteArray *wd_reply_list (
    WdSnapshots *snapshots, guint32 xid, const guint8 *body, gsize length, const WmNode *node);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WdSnapshots, wd_snapshots_free)
