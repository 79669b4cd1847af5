#include "wd-reply.h"

struct WdSnapshots
{
  GString *metrics;
  GArray *members; /* of ww_member */
};

WdSnapshots *
wd_snapshots_new (void)
{
  WdSnapshots *snapshots = g_new0 (WdSnapshots, 1);

  snapshots->metrics = g_string_new (NULL);
  return snapshots;
}

void
wd_snapshots_free (WdSnapshots *snapshots)
{
  if (snapshots == NULL)
    return;
  g_string_free (snapshots->metrics, TRUE);
  if (snapshots->members != NULL)
    g_array_unref (snapshots->members);
  g_free (snapshots);
}

gboolean
wd_reply_is_operator_procedure (ww_procedure procedure)
{
  return procedure == WW_PROC_STATUS || procedure == WW_PROC_METRICS || procedure == WW_PROC_LIST;
}

static GByteArray *
encode_reply (guint32 xid, xdrproc_t encoder, gpointer body)
{
  WwCall call = { .xid = xid, .is_reply = TRUE };

  return ww_call_encode (&call, encoder, body, NULL);
}

GByteArray *
wd_reply_status (guint32 xid, ww_status_reply *status)
{
  return encode_reply (xid, (xdrproc_t) xdr_ww_status_reply, status);
}

GByteArray *
wd_reply_metrics (
    WdSnapshots *snapshots, guint32 xid, const guint8 *body, gsize length, const GString *text)
{
  ww_metrics_request request = { 0 };
  ww_metrics_reply chunk = { 0 };

  if (!ww_body_decode (body, length, (xdrproc_t) xdr_ww_metrics_request, &request, NULL))
    return NULL;
  if (request.offset == 0)
    g_string_assign (snapshots->metrics, text->str);
  chunk.offset = (guint32) MIN (request.offset, snapshots->metrics->len);
  chunk.total = (guint32) snapshots->metrics->len;
  chunk.text.text_val = snapshots->metrics->str + chunk.offset;
  chunk.text.text_len = MIN (WW_MAX_CHUNK, chunk.total - chunk.offset);
  return encode_reply (xid, (xdrproc_t) xdr_ww_metrics_reply, &chunk);
}

GByteArray *
wd_reply_list (
    WdSnapshots *snapshots, guint32 xid, const guint8 *body, gsize length, const WmNode *node)
{
  ww_list_request request = { 0 };
  ww_list_reply chunk = { 0 };

  if (!ww_body_decode (body, length, (xdrproc_t) xdr_ww_list_request, &request, NULL))
    return NULL;
  if (request.offset == 0 || snapshots->members == NULL)
    {
      if (snapshots->members != NULL)
        g_array_unref (snapshots->members);
      snapshots->members = wm_node_members (node);
    }
  chunk.offset = MIN (request.offset, snapshots->members->len);
  chunk.total = snapshots->members->len;
  chunk.members.members_val = &g_array_index (snapshots->members, ww_member, chunk.offset);
  chunk.members.members_len = MIN (WW_MAX_MEMBERS, chunk.total - chunk.offset);
  return encode_reply (xid, (xdrproc_t) xdr_ww_list_reply, &chunk);
}
