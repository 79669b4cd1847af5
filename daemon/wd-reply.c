#include "wd-reply.h"

struct WdReply
{
  GString *text;
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
  g_free (reply);
}

gboolean
wd_reply_procedure (ww_procedure procedure)
{
  return procedure == WW_PROC_STATUS || procedure == WW_PROC_METRICS;
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
