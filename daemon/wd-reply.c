#include "wd-reply.h"

struct WdReply
{
  GString *text;
  GArray *members; /* of ww_member */
};

WdReply *
wd_reply_new (void)
{
  WdReply *reply = g_new0 (WdReply, 1);

  reply->text = g_string_new (NULL);
  return reply;
}

void
wd_reply_free (WdReply *reply)
{
  if (reply == NULL)
    return;
  g_string_free (reply->text, TRUE);
  if (reply->members != NULL)
    g_array_unref (reply->members);
  g_free (reply);
}

gboolean
wd_reply_procedure (ww_procedure procedure)
{
  return procedure == WW_PROC_STATUS || procedure == WW_PROC_METRICS || procedure == WW_PROC_LIST;
}

static GByteArray *
encode (guint32 xid, xdrproc_t encoder, gpointer body)
{
  WwCall call = { .xid = xid, .is_reply = TRUE };

  return ww_call_encode (&call, encoder, body, NULL);
}

GByteArray *
wd_reply_status (guint32 xid, ww_status_reply *status)
{
  return encode (xid, (xdrproc_t) xdr_ww_status_reply, status);
}

GByteArray *
wd_reply_metrics (
    WdReply *reply, guint32 xid, const guint8 *body, gsize length, const GString *text)
{
  ww_metrics_request request = { 0 };
  ww_metrics_reply answer = { 0 };

  if (!ww_body_decode (body, length, (xdrproc_t) xdr_ww_metrics_request, &request, NULL))
    return NULL;
  if (request.offset == 0)
    g_string_assign (reply->text, text->str);
  answer.offset = (guint32) MIN (request.offset, reply->text->len);
  answer.total = (guint32) reply->text->len;
  answer.text.text_val = reply->text->str + answer.offset;
  answer.text.text_len = MIN (WW_MAX_CHUNK, answer.total - answer.offset);
  return encode (xid, (xdrproc_t) xdr_ww_metrics_reply, &answer);
}

GByteArray *
wd_reply_list (WdReply *reply, guint32 xid, const guint8 *body, gsize length, const WmNode *node)
{
  ww_list_request request = { 0 };
  ww_list_reply answer = { 0 };

  if (!ww_body_decode (body, length, (xdrproc_t) xdr_ww_list_request, &request, NULL))
    return NULL;
  if (request.offset == 0 || reply->members == NULL)
    {
      if (reply->members != NULL)
        g_array_unref (reply->members);
      reply->members = wm_node_members (node);
    }
  answer.offset = MIN (request.offset, reply->members->len);
  answer.total = reply->members->len;
  answer.members.members_val = &g_array_index (reply->members, ww_member, answer.offset);
  answer.members.members_len = MIN (WW_MAX_MEMBERS, answer.total - answer.offset);
  return encode (xid, (xdrproc_t) xdr_ww_list_reply, &answer);
}
