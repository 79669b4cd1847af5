#include "cmd-options.h"
#include "cmd-output.h"
#include "cmd-rpc.h"

#include <string.h>

/* Bounds the text that a faulty node can make the command read. */
#define MAX_TEXT_BYTES (1024 * 1024)

typedef struct
{
  const CmdOptions *options;
  CmdRpc *rpc;
  GMainLoop *loop;
  GString *text;
  gboolean complete;
} Metrics;

static void request_chunk (Metrics *self);

/* A reply whose offset is not the end of the text belongs to an earlier request, or is invalid. */
static gboolean
append_reply (Metrics *self, const ww_metrics_reply *reply)
{
  if (reply->offset != self->text->len || reply->total > MAX_TEXT_BYTES ||
      (reply->text.text_len == 0 && reply->total > self->text->len))
    return FALSE;
  g_string_append_len (self->text, reply->text.text_val, reply->text.text_len);
  self->complete = self->text->len >= reply->total;
  return TRUE;
}

static void
reply_received (gpointer context, const guint8 *body, gsize length)
{
  Metrics *self = context;
  ww_metrics_reply reply = { 0 };
  gboolean valid;

  valid =
      body != NULL && ww_body_decode (body, length, (xdrproc_t) xdr_ww_metrics_reply, &reply, NULL);
  if (valid)
    {
      valid = append_reply (self, &reply);
      ww_body_clear ((xdrproc_t) xdr_ww_metrics_reply, &reply);
    }
  if (valid && !self->complete)
    request_chunk (self);
  else
    g_main_loop_quit (self->loop);
}

static void
request_chunk (Metrics *self)
{
  ww_metrics_request request = { .offset = (guint) self->text->len };

  cmd_rpc_call (self->rpc, self->options->address, self->options->port, WW_PROC_METRICS,
                (xdrproc_t) xdr_ww_metrics_request, &request, reply_received, self);
}

static void
print_json (const gchar *text)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  guint i;

  json_builder_begin_object (builder);
  for (i = 0; lines[i] != NULL; i++)
    {
      gchar *space = strchr (lines[i], ' ');

      if (space == NULL)
        continue;
      *space = '\0';
      cmd_add_number (builder, lines[i], g_ascii_strtoull (space + 1, NULL, 10));
    }
  json_builder_end_object (builder);
  cmd_print_builder (builder);
}

static gboolean
timeout_expired (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

int
cmd_metrics (int argc, char **argv)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  Metrics self = { .loop = loop, .text = text };
  CmdOptions options;

  cmd_options_parse (&options, CMD_OPTION_JSON | CMD_OPTION_NODE | CMD_OPTION_TIMEOUT,
                     CMD_OPTION_NODE, "Shows the counters of one node.", argc, argv);
  self.options = &options;
  self.rpc = cmd_rpc_new (&error);
  if (self.rpc == NULL)
    {
      g_printerr ("%s\n", error->message);
      return CMD_EXIT_FAILED;
    }
  request_chunk (&self);
  g_timeout_add ((guint) (options.timeout_us / WB_US_PER_MS), timeout_expired, loop);
  g_main_loop_run (loop);
  cmd_rpc_free (self.rpc);
  if (!self.complete)
    {
      g_printerr ("%s: no complete reply from the node\n", argv[0]);
      return CMD_EXIT_FAILED;
    }
  if (options.json)
    print_json (text->str);
  else
    g_print ("%s", text->str);
  return CMD_EXIT_OK;
}
