#pragma once

#include "wc-settings.h"
#include "wd-platform.h"

/**
 * DOC: Command line of the daemons: parses the arguments, loads the settings file and starts the
 * log before the daemon runs.
 */

/**
 * struct WdCommand - a command that runs a daemon and has the option --settings
 * @name: name of the command in error messages
 * @log_name: category of its log lines
 * @doc: one sentence for --help
 * @role: role for which the settings are validated
 * @platforms: the platforms that settings may name; NULL-terminated
 * @run: runs the daemon until a planned stop is complete; returns FALSE with an error when it
 *   cannot start
 */
typedef struct
{
  const gchar *name;
  const gchar *log_name;
  const gchar *doc;
  ww_role role;
  const WdPlatform *const *platforms;
  gboolean (*run) (const WcSettings *settings, const WdPlatform *platform, GError **error);
} WdCommand;

/**
 * wd_command_run() - parses the arguments, loads the settings file and runs the daemon
 *
 * Return: exit code: 0 success, 1 failure, 2 usage, 3 invalid settings
 */
gint wd_command_run (const WdCommand *command, int argc, char **argv);
