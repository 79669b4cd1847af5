#include "agt.h"

#include "wb-log.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_USAGE 2
#define EXIT_INVALID_FILE 3

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
run (const gchar *path)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (WcSettings) settings = wc_settings_load (path, WW_ROLE_AGENT, &error);
  AgtDaemon *daemon;

  if (settings == NULL)
    {
      fprintf (stderr, "waxwinghitch-agent: %s\n", error->message);
      return EXIT_INVALID_FILE;
    }
  wb_log_init ("waxwinghitch.agent");
  daemon = agt_daemon_new (settings, &error);
  if (daemon == NULL)
    fprintf (stderr, "waxwinghitch-agent: %s\n", error->message);
  else
    {
      agt_daemon_run (daemon);
      agt_daemon_free (daemon);
    }
  wb_log_fini ();
  return error == NULL ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  const struct argp_option options[] = {
    { "settings", 's', "FILE", 0, "Settings of this process (TOML)", 0 }, { 0 }
  };
  const struct argp argp = { .options = options,
                             .parser = parse_option,
                             .doc =
                                 "Runs the agent of one backend server until SIGTERM or SIGINT." };
  const gchar *path = NULL;

  argp_err_exit_status = EXIT_USAGE;
  if (argp_parse (&argp, argc, argv, 0, NULL, &path) != 0)
    return EXIT_USAGE;
  return run (path);
}
