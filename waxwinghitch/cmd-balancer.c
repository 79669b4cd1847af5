#include "cmd.h"

/* Replaced by the daemon's definition when that is part of the build. */
__attribute__ ((weak)) int
bal_command (int argc, char **argv)
{
  g_printerr ("%s: not part of this build\n", argv[0]);
  return CMD_EXIT_FAILED;
}
