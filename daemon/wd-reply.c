#include "wd-reply.h"

struct WdReply
{
  GString *metrics_snapshot;
  GArray *members_snapshot; /* of ww_member */
};

WdReply *
wd_reply_new (void)
{
  WdReply *reply = g_new0 (WdReply, 1);

  reply->metrics_snapshot = g_string_new (NULL);
  return reply;
}

void
wd_reply_free (WdReply *reply)
{
  if (reply == NULL)
    return;
  g_string_free (reply->metrics_snapshot, TRUE);
  if (reply->members_snapshot != NULL)
    g_array_unref (reply->members_snapshot);
  g_free (reply);
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
    WdReply *reply, guint32 xid, const guint8 *body, gsize length, const GString *text)
{
  ww_metrics_request request = { 0 };
  ww_metrics_reply chunk = { 0 };

  if (!ww_body_decode (body, length, (xdrproc_t) xdr_ww_metrics_request, &request, NULL))
    return NULL;
  if (request.offset == 0)
    g_string_assign (reply->metrics_snapshot, text->str);
  chunk.offset = (guint32) MIN (request.offset, reply->metrics_snapshot->len);
  chunk.total = (guint32) reply->metrics_snapshot->len;
  chunk.text.text_val = reply->metrics_snapshot->str + chunk.offset;
  chunk.text.text_len = MIN (WW_MAX_CHUNK, chunk.total - chunk.offset);
  return encode_reply (xid, (xdrproc_t) xdr_ww_metrics_reply, &chunk);
}

GByteArray *
wd_reply_list (WdReply *reply, guint32 xid, const guint8 *body, gsize length, const WmNode *node)
{
  ww_list_request request = { 0 };
  ww_list_reply chunk = { 0 };

  if (!ww_body_decode (body, length, (xdrproc_t) xdr_ww_list_request, &request, NULL))
    return NULL;
  if (request.offset == 0 || reply->members_snapshot == NULL)
    {
      if (reply->members_snapshot != NULL)
        g_array_unref (reply->members_snapshot);
      reply->members_snapshot = wm_node_members (node);
    }
  chunk.offset = MIN (request.offset, reply->members_snapshot->len);
  chunk.total = reply->members_snapshot->len;
  chunk.members.members_val = &g_array_index (reply->members_snapshot, ww_member, chunk.offset);
  chunk.members.members_len = MIN (WW_MAX_MEMBERS, chunk.total - chunk.offset);
  return encode_reply (xid, (xdrproc_t) xdr_ww_list_reply, &chunk);
}
