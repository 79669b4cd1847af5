#include "cmd-options.h"

#include "wc-reader.h"
#include "ww-sock.h"

#include <argp.h>

#define DEFAULT_TIMEOUT_US (30 * WB_US_PER_S)
#define MAX_TIMEOUT_US (3600 * WB_US_PER_S)

/* Time-out of one call to the platform; --timeout bounds the whole command. */
#define MAX_CALL_TIMEOUT_MS 5000

static const struct
{
  CmdOption option;
  struct argp_option argp;
} all_options[] = {
  { CMD_OPTION_JSON, { "json", 'j', NULL, 0, "print JSON", 0 } },
  { CMD_OPTION_PLATFORM,
    { "platform", 'p', "URL", 0, "base URL of the platform's object API", 0 } },
  { CMD_OPTION_OPERATOR,
    { "operator", 'o', "NAME", 0, "name recorded with the new version (default: user name)", 0 } },
  { CMD_OPTION_EXPECT_VERSION,
    { "expect-version", 'e', "N", 0,
      "fail with a conflict unless version N is in effect (0: none); see diff", 0 } },
  { CMD_OPTION_FROM,
    { "from", 'f', "DIR", 0, "compare with the configuration in DIR, not with the platform", 0 } },
  { CMD_OPTION_NODE, { "node", 'n', "ADDRESS:PORT", 0, "control address of a node", 0 } },
  { CMD_OPTION_TIMEOUT, { "timeout", 't', "TIME", 0, "longest wait (default: 30s)", 0 } },
};

typedef struct
{
  CmdOptions *options;
  guint allowed;
  guint required;
  guint given;
} Parser;

static void
parse_timeout (CmdOptions *options, const gchar *text, struct argp_state *state)
{
  if (!wc_duration_parse (text, &options->timeout_us) || options->timeout_us < WB_US_PER_MS ||
      options->timeout_us > MAX_TIMEOUT_US)
    argp_error (state, "--timeout: must be between 1ms and 1h, for example 10s, not \"%s\"", text);
}

static void
parse_directory (Parser *parser, char *argument, struct argp_state *state)
{
  if ((parser->allowed & CMD_OPTION_DIRECTORY) == 0 || parser->options->directory != NULL)
    argp_error (state, "unexpected argument \"%s\"", argument);
  parser->options->directory = argument;
  parser->given |= CMD_OPTION_DIRECTORY;
}

static void
check_required (const Parser *parser, struct argp_state *state)
{
  guint missing = parser->required & ~parser->given;
  guint i;

  if (missing & CMD_OPTION_DIRECTORY)
    argp_error (state, "DIR is missing");
  for (i = 0; i < G_N_ELEMENTS (all_options); i++)
    if (missing & all_options[i].option)
      argp_error (state, "--%s is missing", all_options[i].argp.name);
}

static void
mark_given (Parser *parser, int key)
{
  guint i;

  for (i = 0; i < G_N_ELEMENTS (all_options); i++)
    if (all_options[i].argp.key == key)
      parser->given |= all_options[i].option;
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Parser *parser = state->input;
  CmdOptions *options = parser->options;

  mark_given (parser, key);
  switch (key)
    {
    case 'j':
      options->json = TRUE;
      return 0;
    case 'p':
      options->platform = argument;
      return 0;
    case 'o':
      options->operator_name = argument;
      return 0;
    case 'e':
      if (!g_ascii_string_to_unsigned (argument, 10, 0, G_MAXINT64, &options->expected_version,
                                       NULL))
        argp_error (state, "--expect-version: must be a version, not \"%s\"", argument);
      return 0;
    case 'f':
      options->from = argument;
      return 0;
    case 'n':
      if (!ww_address_parse (argument, &options->address, &options->port))
        argp_error (state, "--node: must be an IPv4 address with a port, not \"%s\"", argument);
      return 0;
    case 't':
      parse_timeout (options, argument, state);
      return 0;
    case ARGP_KEY_ARG:
      parse_directory (parser, argument, state);
      return 0;
    case ARGP_KEY_END:
      check_required (parser, state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

WsClient *
cmd_open_client (const CmdOptions *options)
{
  g_autoptr (GError) error = NULL;
  WsClient *client = ws_client_new (options->platform, &ws_codec_native, &error);

  if (client == NULL)
    {
      g_printerr ("--platform: %s\n", error->message);
      return NULL;
    }
  ws_client_set_timeout (client,
                         (guint) MIN (options->timeout_us / WB_US_PER_MS, MAX_CALL_TIMEOUT_MS));
  return client;
}

void
cmd_options_parse (
    CmdOptions *options, guint allowed, guint required, const gchar *doc, int argc, char **argv)
{
  struct argp_option argp_options[G_N_ELEMENTS (all_options) + 1] = { 0 };
  struct argp argp = { .options = argp_options,
                       .parser = parse_option,
                       .args_doc = allowed & CMD_OPTION_DIRECTORY ? "DIR" : NULL,
                       .doc = doc };
  Parser parser = { .options = options, .allowed = allowed, .required = required };
  guint count = 0;
  guint i;

  *options = (CmdOptions){ .expected_version = G_MAXUINT64, .timeout_us = DEFAULT_TIMEOUT_US };
  for (i = 0; i < G_N_ELEMENTS (all_options); i++)
    if (allowed & all_options[i].option)
      argp_options[count++] = all_options[i].argp;
  argp_parse (&argp, argc, argv, 0, NULL, &parser);
}
