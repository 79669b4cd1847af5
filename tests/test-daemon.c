#include "wd-http.h"
#include "wd-reply.h"

#include <gio/gio.h>
#include <string.h>

#define SILENT_CONNECTIONS 8

/* Reads one page of metrics as the operator command does and appends it to @read_text. Returns the
 * length of all pages. */
static guint
read_metrics_page (WdSnapshots *snapshots, guint32 offset, const GString *text, GString *read_text)
{
  WwCall call = { .xid = 7, .procedure = WW_PROC_METRICS };
  ww_metrics_request request = { .offset = offset };
  ww_metrics_reply page = { 0 };
  g_autoptr (GByteArray) call_bytes =
      ww_call_encode (&call, (xdrproc_t) xdr_ww_metrics_request, &request, NULL);
  g_autoptr (GByteArray) reply_bytes = NULL;
  const guint8 *body;
  gsize length;
  guint total;

  g_assert_true (ww_call_decode (call_bytes->data, call_bytes->len, &call, &body, &length, NULL));
  reply_bytes = wd_reply_metrics (snapshots, call.xid, body, length, text);
  g_assert_nonnull (reply_bytes);
  g_assert_cmpuint (reply_bytes->len, <=, WW_DATAGRAM_MAX_BYTES);
  g_assert_true (ww_call_decode (reply_bytes->data, reply_bytes->len, &call, &body, &length, NULL));
  g_assert_true (call.is_reply);
  g_assert_cmpuint (call.xid, ==, 7);
  g_assert_true (ww_body_decode (body, length, (xdrproc_t) xdr_ww_metrics_reply, &page, NULL));
  g_assert_cmpuint (page.offset, ==, MIN (offset, page.total));
  g_string_append_len (read_text, page.text.text_val, page.text.text_len);
  total = page.total;
  ww_body_clear ((xdrproc_t) xdr_ww_metrics_reply, &page);
  return total;
}

/* Guards against pages from different states of the counters, which change while an operator reads
 * one page after another. */
static void
test_metrics_pages (void)
{
  g_autoptr (WdSnapshots) snapshots = wd_snapshots_new ();
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GString) later_text = g_string_new ("later 1\n");
  g_autoptr (GString) read_text = g_string_new (NULL);
  guint total;
  guint i;

  for (i = 0; i < 300; i++)
    g_string_append_printf (text, "counter_%u %u\n", i, i * i);
  total = read_metrics_page (snapshots, 0, text, read_text);
  g_assert_cmpuint (total, ==, text->len);
  while (read_text->len < total)
    g_assert_cmpuint (
        read_metrics_page (snapshots, (guint32) read_text->len, later_text, read_text), ==, total);
  g_assert_cmpstr (read_text->str, ==, text->str);
}

/* Guards against a read beyond the end of the text when a call has an invalid offset. */
static void
test_invalid_offset (void)
{
  g_autoptr (WdSnapshots) snapshots = wd_snapshots_new ();
  g_autoptr (GString) text = g_string_new ("counter 1\n");
  g_autoptr (GString) read_text = g_string_new (NULL);

  read_metrics_page (snapshots, G_MAXUINT32, text, read_text);
  g_assert_cmpuint (read_text->len, ==, 0);
  read_metrics_page (snapshots, 0, text, read_text);
  read_metrics_page (snapshots, G_MAXUINT32, text, read_text);
  g_assert_cmpstr (read_text->str, ==, "counter 1\n");
}

/* Guards against a crash by a call with a truncated body. */
static void
test_malformed_call (void)
{
  g_autoptr (WdSnapshots) snapshots = wd_snapshots_new ();
  g_autoptr (GString) text = g_string_new ("counter 1\n");
  const guint8 body[2] = { 0 };

  g_assert_null (wd_reply_metrics (snapshots, 1, body, sizeof body, text));
}

static void
respond_ok (gpointer context,
            const gchar *method,
            const gchar *path,
            GBytes *body,
            WdHttpResponse *response)
{
  response->status = 200;
}

static GSocketConnection *
connect_and_send (const WcAddress *address, const gchar *text)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GError) error = NULL;
  GSocketConnection *connection =
      g_socket_client_connect_to_host (client, "127.0.0.1", address->port, NULL, &error);

  g_assert_no_error (error);
  g_assert_true (
      g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (connection)), text,
                                 strlen (text), NULL, NULL, NULL));
  return connection;
}

static void
response_read (GObject *source, GAsyncResult *result, gpointer data)
{
  g_assert_cmpint (g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL), >, 0);
  g_main_loop_quit (data);
}

/* Guards against a server process whose announcements get no response because earlier connections
 * to the agent have become silent, in the middle of a request or between two. */
static void
test_silent_connections (void)
{
  static const gchar *const texts[] = { "", "PUT /servers/a HTT",
                                        "PUT /servers/a HTTP/1.1\r\nHost: a\r\n"
                                        "Content-Length: 100\r\n\r\n{",
                                        "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n" };
  g_autoptr (GPtrArray) silent = g_ptr_array_new_with_free_func (g_object_unref);
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (GSocketConnection) connection = NULL;
  WdHttp *http = wd_http_new (respond_ok, NULL);
  WcAddress address = { .address = 0x7f000001 };
  gchar chunk[256];
  guint i;

  for (address.port = 28000; !wd_http_listen (http, &address, NULL); address.port++)
    g_assert_cmpuint (address.port, <, 28100);
  for (i = 0; i < SILENT_CONNECTIONS; i++)
    {
      g_ptr_array_add (silent, connect_and_send (&address, texts[i % G_N_ELEMENTS (texts)]));
      while (g_main_context_iteration (NULL, FALSE))
        ;
    }
  connection = connect_and_send (&address, texts[G_N_ELEMENTS (texts) - 1]);
  g_input_stream_read_async (g_io_stream_get_input_stream (G_IO_STREAM (connection)), chunk,
                             sizeof chunk, G_PRIORITY_DEFAULT, NULL, response_read, loop);
  g_main_loop_run (loop);
  wd_http_free (http);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/daemon/metrics/pages", test_metrics_pages);
  g_test_add_func ("/daemon/metrics/offset", test_invalid_offset);
  g_test_add_func ("/daemon/metrics/malformed", test_malformed_call);
  g_test_add_func ("/daemon/silent-connections", test_silent_connections);
  return g_test_run ();
}
