#include "wd-command.h"

#include "wb-log.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define EXIT_USAGE 2
#define EXIT_INVALID_SETTINGS 3

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  const gchar **path = state->input;

  if (key == 's')
    *path = argument;
  else if (key == ARGP_KEY_ARG)
    argp_error (state, "unexpected argument \"%s\"", argument);
  else if (key == ARGP_KEY_END && *path == NULL)
    argp_error (state, "--settings is required");
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

static gint
run_daemon (const WdCommand *command, const gchar *path)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (WcSettings) settings = wc_settings_load (path, command->role, &error);
  const WdPlatform *platform;
  gboolean ok;

  if (settings == NULL)
    {
      fprintf (stderr, "%s: %s\n", command->name, error->message);
      return EXIT_INVALID_SETTINGS;
    }
  platform = wd_platform_find (command->platforms, settings->platform_protocol);
  if (platform == NULL)
    {
      fprintf (stderr, "%s: %s: platform_protocol: unknown protocol \"%s\"\n", command->name, path,
               settings->platform_protocol);
      return EXIT_INVALID_SETTINGS;
    }
  /* The process must survive when the reader of its standard output closes the pipe. */
  signal (SIGPIPE, SIG_IGN);
  wb_log_init (command->log_name, settings->name, settings->log_level, STDOUT_FILENO);
  ok = command->run (settings, platform, &error);
  if (!ok)
    fprintf (stderr, "%s: %s\n", command->name, error->message);
  wb_log_fini ();
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

gint
wd_command_run (const WdCommand *command, int argc, char **argv)
{
  const struct argp_option options[] = {
    { "settings", 's', "FILE", 0, "Settings of this process (TOML)", 0 }, { 0 }
  };
  const struct argp argp = { .options = options, .parser = parse_option, .doc = command->doc };
  const gchar *path = NULL;

  argp_err_exit_status = EXIT_USAGE;
  if (argp_parse (&argp, argc, argv, 0, NULL, &path) != 0)
    return EXIT_USAGE;
  return run_daemon (command, path);
}
