#include "wb-log.h"

#include "wb-output.h"
#include "ww-flow-log.h"
#include "ww-request-id.h"

#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

/* More than a pipe and the buffer hold together. */
#define MANY_LINES 20000

/* Reads what is in the pipe now. */
static gchar *
read_all (gint fd)
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

/* Guards against a value from outside that ends the line or the string and forges another line. */
static void
test_hostile_text (void)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  g_autofree gchar *text = NULL;
  gint fds[2];

  open_pipe (fds, WB_LOG_INFO);
  wb_log_info ("request", WB_TEXT ("id", "a\"}\n{\"event\":\"forged\x01\xff"), WB_NUMBER ("n", -3));
  text = read_all (fds[0]);
  g_assert_cmpuint (strlen (text), ==, (guint) (strchr (text, '\n') - text) + 1);
  g_assert_true (json_parser_load_from_data (parser, text, -1, NULL));
  g_assert_cmpstr (
      json_object_get_string_member (json_node_get_object (json_parser_get_root (parser)), "event"),
      ==, "request");
  close_pipe (fds);
}

/* Guards against a rush of decisions that fills the log; the lines left out are told. */
static void
test_bounded (void)
{
  g_autofree gchar *text = NULL;
  guint lines = 0, i;
  gint fds[2];
  gchar *at;

  open_pipe (fds, WB_LOG_INFO);
  for (i = 0; i < MANY_LINES; i++)
    wb_log_info ("refused", WB_NUMBER ("number", i));
  text = read_all (fds[0]);
  for (at = text; (at = strchr (at, '\n')) != NULL; at++)
    lines++;
  g_assert_cmpuint (lines, >=, 50);
  g_assert_cmpuint (lines, <, MANY_LINES / 10);
  close_pipe (fds);
}

/* Guards against a write that blocks the packets when nobody reads. */
static void
test_full_pipe (void)
{
  guint i;
  gint fds[2];

  open_pipe (fds, WB_LOG_DEBUG);
  for (i = 0; i < MANY_LINES; i++)
    wb_log_info ("refused", WB_NUMBER ("number", i));
  g_assert_true (wb_log_has_pending ());
  g_assert_cmpuint (wb_log_dropped (), >, 0);
  close_pipe (fds);
}

/* Guards against a process that ends, or goes on trying, when its reader is gone. */
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

/* Guards against a flow that is logged on one process and not on the next one. */
static void
test_sample (void)
{
  guint wanted = 0, i;
  gint fds[2];

  open_pipe (fds, WB_LOG_INFO);
  for (i = 0; i < 6400; i++)
    {
      WwFlowKey key = { .client_address = i };

      wanted += wb_log_flow_enabled (ww_flow_key_hash (&key));
      g_assert_cmpint (wb_log_flow_enabled (ww_flow_key_hash (&key)), ==,
                       ww_flow_key_hash (&key) % 64 == 0);
    }
  g_assert_cmpuint (wanted, >, 60);
  g_assert_cmpuint (wanted, <, 140);
  close_pipe (fds);
}

/* Guards against ids read from the body or beyond the payload, and against hostile ones. */
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
  g_test_add_func ("/log/hostile-text", test_hostile_text);
  g_test_add_func ("/log/bounded", test_bounded);
  g_test_add_func ("/log/full-pipe", test_full_pipe);
  g_test_add_func ("/log/closed-pipe", test_closed_pipe);
  g_test_add_func ("/log/sample", test_sample);
  g_test_add_func ("/log/request-id", test_request_id);
  return g_test_run ();
}
