#pragma once

#include <glib.h>

/**
 * DOC: The operator program "waxwinghitch": its commands validate, compare and apply
 * configurations, show the state of a fleet and explain logs. The balancer daemon is one of the
 * commands.
 */

/**
 * enum CmdExit - exit codes of all commands
 * @CMD_EXIT_INVALID: a configuration or settings file is invalid
 * @CMD_EXIT_CONFLICT: another apply came first
 * @CMD_EXIT_UNREACHABLE: the platform did not respond
 * @CMD_EXIT_UNKNOWN: a write got no response; it may have taken effect
 */
typedef enum
{
  CMD_EXIT_OK = 0,
  CMD_EXIT_FAILED = 1,
  CMD_EXIT_USAGE = 2,
  CMD_EXIT_INVALID = 3,
  CMD_EXIT_CONFLICT = 4,
  CMD_EXIT_UNREACHABLE = 5,
  CMD_EXIT_UNKNOWN = 6,
} CmdExit;

/*
 * The commands. Each parses its arguments and returns a CmdExit; argv[0] is the name for messages,
 * for example "waxwinghitch apply".
 */
int cmd_validate (int argc, char **argv);
int cmd_diff (int argc, char **argv);
int cmd_apply (int argc, char **argv);
int cmd_status (int argc, char **argv);
int cmd_metrics (int argc, char **argv);
int cmd_explain (int argc, char **argv);
int bal_command (int argc, char **argv);
