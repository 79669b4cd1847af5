#include "cmd-options.h"
#include "cmd-output.h"
#include "wc-load.h"
#include "wc-reader.h"
#include "ws-apply-run.h"
#include "ws-client.h"

typedef struct
{
  GMainLoop *loop;
  gboolean json;
  const gchar *apply_id;
  CmdExit exit_code;
} Apply;

static const struct
{
  const gchar *name;
  CmdExit exit_code;
} outcomes[] = {
  [WS_APPLY_DONE] = { "applied", CMD_EXIT_OK },
  [WS_APPLY_UNCHANGED] = { "unchanged", CMD_EXIT_OK },
  [WS_APPLY_CONFLICT] = { "conflict", CMD_EXIT_CONFLICT },
  [WS_APPLY_UNREACHABLE] = { "unreachable", CMD_EXIT_UNREACHABLE },
  [WS_APPLY_UNKNOWN] = { "unknown", CMD_EXIT_UNKNOWN },
  [WS_APPLY_FAILED] = { "failed", CMD_EXIT_FAILED },
};

static void
print_json (const Apply *apply, const WsApplyResult *result)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  cmd_add_string (builder, "outcome", outcomes[result->outcome].name);
  cmd_add_string (builder, "apply_id", apply->apply_id);
  cmd_add_number (builder, "version", result->version);
  cmd_add_number (builder, "base_version", result->base_version);
  cmd_add_number (builder, "new_parts", result->new_parts);
  cmd_add_string (builder, "message", result->message);
  if (result->outcome == WS_APPLY_CONFLICT)
    {
      cmd_add_number (builder, "other_version", result->conflicting_apply.version);
      cmd_add_string (builder, "other_operator", result->conflicting_apply.operator_name);
      cmd_add_string (builder, "other_apply_id", result->conflicting_apply.apply_id);
    }
  json_builder_end_object (builder);
  cmd_print_builder (builder);
}

static void
print_text (const Apply *apply, const WsApplyResult *result)
{
  switch (result->outcome)
    {
    case WS_APPLY_DONE:
      g_print ("applied: version %" G_GUINT64_FORMAT ", replaces %" G_GUINT64_FORMAT
               ", new parts %u, apply id %s\n",
               result->version, result->base_version, result->new_parts, apply->apply_id);
      break;
    case WS_APPLY_UNCHANGED:
      g_print ("unchanged: version %" G_GUINT64_FORMAT " has this configuration\n",
               result->version);
      break;
    case WS_APPLY_CONFLICT:
      g_printerr ("conflict: %s; nothing was changed\n", result->message);
      break;
    case WS_APPLY_UNREACHABLE:
      g_printerr ("platform unreachable: %s; nothing was changed\n", result->message);
      break;
    case WS_APPLY_UNKNOWN:
      g_printerr ("outcome unknown: %s; it is safe to run the command again\n", result->message);
      break;
    case WS_APPLY_FAILED:
      g_printerr ("failed: %s; nothing was changed\n", result->message);
      break;
    }
}

static void
apply_done (gpointer context, const WsApplyResult *result)
{
  Apply *apply = context;

  if (apply->json)
    print_json (apply, result);
  else
    print_text (apply, result);
  apply->exit_code = outcomes[result->outcome].exit_code;
  g_main_loop_quit (apply->loop);
}

static int
run_apply (const CmdOptions *options, const WcParts *parts, const gchar *operator_name)
{
  g_autofree gchar *apply_id = g_uuid_string_random ();
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  Apply apply = { .loop = loop, .json = options->json, .apply_id = apply_id };
  WsApplyRequest request = { .parts = parts,
                             .apply_id = apply_id,
                             .operator_name = operator_name,
                             .expected_version = options->expected_version,
                             .timeout_us = options->timeout_us };
  WsClient *client = cmd_open_client (options);
  WsApplyRun *apply_run;
  WsStore store;

  if (client == NULL)
    return CMD_EXIT_USAGE;
  store = ws_client_store (client);
  apply_run = ws_apply_run_new (&store, &request, apply_done, &apply);
  g_main_loop_run (loop);
  ws_apply_run_free (apply_run);
  return (int) apply.exit_code;
}

int
cmd_apply (int argc, char **argv)
{
  g_autoptr (WcConfig) config = NULL;
  g_autoptr (WcParts) parts = NULL;
  g_autoptr (GError) error = NULL;
  const gchar *operator_name;
  CmdOptions options;

  cmd_options_parse (&options,
                     CMD_OPTION_JSON | CMD_OPTION_PLATFORM | CMD_OPTION_OPERATOR |
                         CMD_OPTION_EXPECT_VERSION | CMD_OPTION_TIMEOUT | CMD_OPTION_DIRECTORY,
                     CMD_OPTION_PLATFORM | CMD_OPTION_DIRECTORY,
                     "Validates the configuration in DIR and puts it into effect as a whole. When "
                     "the outcome is unknown, it is safe to run the command again.",
                     argc, argv);
  operator_name = options.operator_name != NULL ? options.operator_name : g_get_user_name ();
  if (!wc_name_is_valid (operator_name))
    {
      g_printerr ("%s: --operator: \"%s\" is no name of letters, digits, \".\", \"-\" and \"_\"\n",
                  argv[0], operator_name);
      return CMD_EXIT_USAGE;
    }
  config = wc_load_directory (options.directory, &error);
  parts = config != NULL ? wc_parts_encode (config, &error) : NULL;
  if (parts != NULL)
    return run_apply (&options, parts, operator_name);
  g_printerr ("%s\n", error->message);
  return CMD_EXIT_INVALID;
}
