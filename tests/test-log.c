#include "wb-log.h"

#include "wb-output.h"
#include "ww-flow-log.h"
#include "ww-request-id.h"

#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

/* More lines than the pipe and the output buffer can hold together. */
#define LINE_COUNT 20000

/* Reads what is in the pipe without waiting for more. */
static gchar *
read_available (gint fd)
{
  GString *text = g_string_new (NULL);
  gchar buffer[65536];
  gssize length;

  while ((length = read (fd, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, length);
  return g_string_free (text, FALSE);
}

static void
open_pipe (gint *fds, WbLogLevel level)
{
  g_assert_cmpint (pipe (fds), ==, 0);
  g_assert_true (g_unix_set_fd_nonblocking (fds[0], TRUE, NULL));
  wb_log_init ("test", "node-1", level, fds[1]);
}

static void
close_pipe (const gint *fds)
{
  wb_log_fini ();
  close (fds[0]);
  close (fds[1]);
}

/* Guards against log injection: a value from a client that ends the string or the line and forges
 * another line. */
static void
test_escaped_text (void)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  g_autofree gchar *text = NULL;
  gint fds[2];

  open_pipe (fds, WB_LOG_INFO);
  wb_log_info ("request", WB_TEXT ("id", "a\"}\n{\"event\":\"forged\x01\xff"), WB_NUMBER ("n", -3));
  text = read_available (fds[0]);
  g_assert_cmpuint (strlen (text), ==, (guint) (strchr (text, '\n') - text) + 1);
  g_assert_true (json_parser_load_from_data (parser, text, -1, NULL));
  g_assert_cmpstr (
      json_object_get_string_member (json_node_get_object (json_parser_get_root (parser)), "event"),
      ==, "request");
  close_pipe (fds);
}

/* Guards against a surge of decisions that fills the log: lines beyond the rate limit are
 * suppressed, and their number is logged. */
static void
test_rate_limit (void)
{
  g_autofree gchar *text = NULL;
  guint lines = 0, i;
  gint fds[2];
  gchar *line_end;

  open_pipe (fds, WB_LOG_INFO);
  for (i = 0; i < LINE_COUNT; i++)
    wb_log_info ("refused", WB_NUMBER ("number", i));
  text = read_available (fds[0]);
  for (line_end = text; (line_end = strchr (line_end, '\n')) != NULL; line_end++)
    lines++;
  g_assert_cmpuint (lines, >=, 50);
  g_assert_cmpuint (lines, <, LINE_COUNT / 10);
  close_pipe (fds);
}

/* Guards against log output that blocks the processing of packets when nobody reads it. */
static void
test_full_pipe (void)
{
  guint i;
  gint fds[2];

  open_pipe (fds, WB_LOG_DEBUG);
  for (i = 0; i < LINE_COUNT; i++)
    wb_log_info ("refused", WB_NUMBER ("number", i));
  g_assert_true (wb_log_has_pending ());
  g_assert_cmpuint (wb_log_dropped (), >, 0);
  close_pipe (fds);
}

/* Guards against a process that ends, or tries to write forever, when the reader has closed the
 * pipe. */
static void
test_closed_pipe (void)
{
  gint fds[2];
  WbOutput *output;

  g_assert_cmpint (pipe (fds), ==, 0);
  close (fds[0]);
  output = wb_output_new (fds[1]);
  wb_output_append (output, "x\n", 2);
  wb_output_append (output, "y\n", 2);
  g_assert_cmpuint (wb_output_pending_bytes (output), ==, 0);
  g_assert_cmpuint (wb_output_dropped (output), ==, 1);
  wb_output_free (output);
  close (fds[1]);
}

/* Guards against processes that log different flows: each logs the same sample of one flow in 64,
 * chosen by the hash of the flow key. */
static void
test_sampled_flows (void)
{
  guint sampled = 0, i;
  gint fds[2];

  open_pipe (fds, WB_LOG_INFO);
  for (i = 0; i < 6400; i++)
    {
      WwFlowKey key = { .client_address = i };

      sampled += wb_log_flow_enabled (ww_flow_key_hash (&key));
      g_assert_cmpint (wb_log_flow_enabled (ww_flow_key_hash (&key)), ==,
                       ww_flow_key_hash (&key) % 64 == 0);
    }
  g_assert_cmpuint (sampled, >, 60);
  g_assert_cmpuint (sampled, <, 140);
  close_pipe (fds);
}

/* Guards against request ids that are read from the body or beyond the payload, and against ones
 * with characters that are not allowed. */
static void
test_request_id (void)
{
  static const struct
  {
    const gchar *payload;
    const gchar *id;
  } cases[] = {
    { "GET / HTTP/1.1\r\nHost: x\r\nrequest-id: a1-b2\r\n\r\n", "a1-b2" },
    { "GET / HTTP/1.1\r\nRequest-Id:a1", "a1" },
    { "GET / HTTP/1.1\r\nRequest-Id: \r\n\r\n", NULL },
    { "GET / HTTP/1.1\r\nRequest-Id: a\"b\r\n", NULL },
    { "GET / HTTP/1.1\r\nHost: x\r\n\r\nRequest-Id: body", NULL },
    { "GET / HTTP/1.1\r\nX-Request-Id: a\r\n", NULL },
    { "GET / HTTP/1.1\r\nReq", NULL },
    { "", NULL },
  };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const gchar *payload = cases[i].payload;
      gchar id[WW_REQUEST_ID_BYTES] = "";
      gboolean found =
          ww_request_id_find ((const guint8 *) payload, strlen (payload), "Request-Id", id);

      g_assert_cmpint (found, ==, cases[i].id != NULL);
      if (found)
        g_assert_cmpstr (id, ==, cases[i].id);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  signal (SIGPIPE, SIG_IGN);
  g_test_add_func ("/log/hostile-text", test_escaped_text);
  g_test_add_func ("/log/bounded", test_rate_limit);
  g_test_add_func ("/log/full-pipe", test_full_pipe);
  g_test_add_func ("/log/closed-pipe", test_closed_pipe);
  g_test_add_func ("/log/sample", test_sampled_flows);
  g_test_add_func ("/log/request-id", test_request_id);
  return g_test_run ();
}
