#include "wd-reply.h"

#include <string.h>

/* Reads one page of metrics as an operator command does. Returns the total length. */
static guint
read_page (WdReply *reply, guint32 offset, const GString *text, GString *read)
{
  WwCall call = { .xid = 7, .procedure = WW_PROC_METRICS };
  ww_metrics_request request = { .offset = offset };
  ww_metrics_reply page = { 0 };
  g_autoptr (GByteArray) message =
      ww_call_encode (&call, (xdrproc_t) xdr_ww_metrics_request, &request, NULL);
  g_autoptr (GByteArray) answer = NULL;
  const guint8 *body;
  gsize length;
  guint total;

  g_assert_true (ww_call_decode (message->data, message->len, &call, &body, &length, NULL));
  answer = wd_reply_metrics (reply, call.xid, body, length, text);
  g_assert_nonnull (answer);
  g_assert_cmpuint (answer->len, <=, WW_DATAGRAM_MAX_BYTES);
  g_assert_true (ww_call_decode (answer->data, answer->len, &call, &body, &length, NULL));
  g_assert_true (call.is_reply);
  g_assert_cmpuint (call.xid, ==, 7);
  g_assert_true (ww_body_decode (body, length, (xdrproc_t) xdr_ww_metrics_reply, &page, NULL));
  g_assert_cmpuint (page.offset, ==, MIN (offset, page.total));
  g_string_append_len (read, page.text.text_val, page.text.text_len);
  total = page.total;
  ww_body_clear ((xdrproc_t) xdr_ww_metrics_reply, &page);
  return total;
}

/* Guards against an answer torn between two states: counters change while an operator reads. */
static void
test_metrics_pages (void)
{
  g_autoptr (WdReply) reply = wd_reply_new ();
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GString) later = g_string_new ("later 1\n");
  g_autoptr (GString) read = g_string_new (NULL);
  guint total;
  guint i;

  for (i = 0; i < 300; i++)
    g_string_append_printf (text, "counter_%u %u\n", i, i * i);
  total = read_page (reply, 0, text, read);
  g_assert_cmpuint (total, ==, text->len);
  while (read->len < total)
    g_assert_cmpuint (read_page (reply, (guint32) read->len, later, read), ==, total);
  g_assert_cmpstr (read->str, ==, text->str);
}

/* Guards against reading beyond the text when an offset comes from elsewhere. */
static void
test_metrics_offset (void)
{
  g_autoptr (WdReply) reply = wd_reply_new ();
  g_autoptr (GString) text = g_string_new ("counter 1\n");
  g_autoptr (GString) read = g_string_new (NULL);

  read_page (reply, G_MAXUINT32, text, read);
  g_assert_cmpuint (read->len, ==, 0);
  read_page (reply, 0, text, read);
  read_page (reply, G_MAXUINT32, text, read);
  g_assert_cmpstr (read->str, ==, "counter 1\n");
}

/* Guards against a crash on a call whose body is cut off. */
static void
test_malformed (void)
{
  g_autoptr (WdReply) reply = wd_reply_new ();
  g_autoptr (GString) text = g_string_new ("counter 1\n");
  const guint8 body[2] = { 0 };

  g_assert_null (wd_reply_metrics (reply, 1, body, sizeof body, text));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/daemon/metrics/pages", test_metrics_pages);
  g_test_add_func ("/daemon/metrics/offset", test_metrics_offset);
  g_test_add_func ("/daemon/metrics/malformed", test_malformed);
  return g_test_run ();
}
