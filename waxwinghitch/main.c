#include "cmd.h"

#include <argp.h>
#include <string.h>

typedef struct
{
  const gchar *name;
  const gchar *summary;
  int (*run) (int argc, char **argv);
} Command;

static const Command commands[] = {
  { "balancer", "run a balancer", bal_command },
  { "validate", "check the files of a configuration", cmd_validate },
  { "diff", "show what an apply would change", cmd_diff },
  { "apply", "put a configuration into effect", cmd_apply },
  { "status", "show the members and the version in effect on each", cmd_status },
  { "metrics", "show the counters of one node", cmd_metrics },
  { "explain", "show from logs what happened to one request or flow", cmd_explain },
};

static char *
list_commands (int key, const char *text, void *input)
{
  GString *list;
  guint i;

  if (key != ARGP_KEY_HELP_POST_DOC)
    return (char *) text;
  list = g_string_new ("Commands:\n");
  for (i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (list, "  %-10s %s\n", commands[i].name, commands[i].summary);
  g_string_append (list, "\nExit codes: 0 success, 1 failure, 2 usage, 3 invalid file, 4 conflict, "
                         "5 platform unreachable, 6 outcome unknown.\n"
                         "\"waxwinghitch COMMAND --help\" explains a command.");
  return g_string_free (list, FALSE);
}

/* Stops at the name of the command, which parses the arguments that follow. */
static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  gint *command_index = state->input;

  if (key == ARGP_KEY_ARG)
    {
      *command_index = state->next - 1;
      state->next = state->argc;
      return 0;
    }
  if (key == ARGP_KEY_NO_ARGS)
    argp_usage (state);
  return ARGP_ERR_UNKNOWN;
}

int
main (int argc, char **argv)
{
  struct argp argp = { .parser = parse_option,
                       .args_doc = "COMMAND [ARGUMENT...]",
                       .doc = "A layer-4 load balancer and its operator commands.\v",
                       .help_filter = list_commands };
  g_autofree gchar *name = NULL;
  gint index = 0;
  guint i;

  argp_err_exit_status = CMD_EXIT_USAGE;
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, &index);
  for (i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, argv[index]) == 0)
      {
        name = g_strdup_printf ("waxwinghitch %s", commands[i].name);
        argv[index] = name;
        return commands[i].run (argc - index, argv + index);
      }
  g_printerr ("waxwinghitch: unknown command \"%s\"; see waxwinghitch --help\n", argv[index]);
  return CMD_EXIT_USAGE;
}
