#pragma once

#include "cmd.h"

#include "ws-client.h"

/**
 * DOC: Command-line options that several operator commands share.
 */

/** Options that a command may have. */
typedef enum
{
  CMD_OPTION_JSON = 1 << 0,
  CMD_OPTION_PLATFORM = 1 << 1,
  CMD_OPTION_OPERATOR = 1 << 2,
  CMD_OPTION_EXPECT_VERSION = 1 << 3,
  CMD_OPTION_FROM = 1 << 4,
  CMD_OPTION_NODE = 1 << 5,
  CMD_OPTION_TIMEOUT = 1 << 6,
  CMD_OPTION_DIRECTORY = 1 << 7,
} CmdOption;

/**
 * struct CmdOptions - values of the options
 * @json: print JSON instead of text
 * @platform: base URL of the object API
 * @operator_name: name to record with a new version; NULL when not given
 * @expected_version: G_MAXUINT64 when not given
 * @from: directory of the configuration to compare with
 * @address, @port: of the option --node
 * @directory: the argument, when the command has one
 */
typedef struct
{
  gboolean json;
  const gchar *platform;
  const gchar *operator_name;
  guint64 expected_version;
  const gchar *from;
  guint32 address;
  guint16 port;
  gint64 timeout_us;
  const gchar *directory;
} CmdOptions;

/**
 * cmd_options_parse() - parses the command line; ends the process on --help and on usage errors
 * @allowed: CmdOption values that the command has
 * @required: those of @allowed that must be given
 * @doc: description of the command for --help
 */
void cmd_options_parse (
    CmdOptions *options, guint allowed, guint required, const gchar *doc, int argc, char **argv);

/**
 * cmd_open_client() - (transfer full): creates a client of the platform given by --platform
 *
 * Return: NULL on an error, which has been printed
 */
WsClient *cmd_open_client (const CmdOptions *options);
