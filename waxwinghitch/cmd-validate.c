#include "cmd-options.h"
#include "cmd-output.h"
#include "wc-load.h"

static void
print_errors (const GError *error)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_auto (GStrv) lines = g_strsplit (error->message, "\n", -1);
  guint i;

  json_builder_begin_object (builder);
  cmd_add_boolean (builder, "valid", FALSE);
  json_builder_set_member_name (builder, "errors");
  json_builder_begin_array (builder);
  for (i = 0; lines[i] != NULL; i++)
    json_builder_add_string_value (builder, lines[i]);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  cmd_print_builder (builder);
}

static void
print_config (const WcConfig *config, gboolean json)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autofree gchar *digest = cmd_format_id (config->digest);
  guint tenants = config->tenants->len - 1;

  if (!json)
    {
      g_print ("valid: services %u, tenants %u, availability zones %u, drained hosts %u, digest "
               "%s\n",
               config->services->len, tenants, config->zones->len, config->drain_hosts->len,
               digest);
      return;
    }
  json_builder_begin_object (builder);
  cmd_add_boolean (builder, "valid", TRUE);
  cmd_add_number (builder, "services", config->services->len);
  cmd_add_number (builder, "tenants", tenants);
  cmd_add_number (builder, "availability_zones", config->zones->len);
  cmd_add_number (builder, "drain_hosts", config->drain_hosts->len);
  cmd_add_string (builder, "digest", digest);
  json_builder_end_object (builder);
  cmd_print_builder (builder);
}

int
cmd_validate (int argc, char **argv)
{
  g_autoptr (WcConfig) config = NULL;
  g_autoptr (GError) error = NULL;
  CmdOptions options;

  cmd_options_parse (&options, CMD_OPTION_JSON | CMD_OPTION_DIRECTORY, CMD_OPTION_DIRECTORY,
                     "Checks all files *.toml in DIR as one configuration and reports every error "
                     "with file, line and key.",
                     argc, argv);
  config = wc_load_directory (options.directory, &error);
  if (config != NULL)
    {
      print_config (config, options.json);
      return CMD_EXIT_OK;
    }
  if (options.json)
    print_errors (error);
  else
    g_printerr ("%s\n", error->message);
  return CMD_EXIT_INVALID;
}
