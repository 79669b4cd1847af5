#include "cmd-options.h"
#include "cmd-output.h"
#include "wc-diff.h"
#include "wc-load.h"
#include "wc-parts.h"
#include "ws-client.h"
#include "ws-watch.h"

/* State of reading the configuration from the platform. */
typedef struct
{
  GMainLoop *loop;
  WsWatcher *watcher;
  WcConfig *config; /* NULL when the platform has none */
  GError *error;
  gboolean reached;
} ConfigRead;

static void
config_read (gpointer context, guint64 version, GBytes *root, GHashTable *parts)
{
  ConfigRead *read = context;

  g_clear_pointer (&read->config, wc_config_unref);
  read->config = wc_parts_decode (root, parts, &read->error);
}

static void
root_invalid (gpointer context, const GError *error)
{
  ConfigRead *read = context;

  read->error = g_error_copy (error);
}

static GBytes *
ignore_start (gpointer context, const WsStart *start, gint64 *check_delay_us)
{
  return NULL;
}

/* Reads again while the platform is unreachable, until the time-out of the command. */
static void
read_finished (gpointer context, gboolean reached)
{
  ConfigRead *read = context;

  read->reached = reached;
  if (reached)
    g_main_loop_quit (read->loop);
  else
    ws_watcher_read (read->watcher);
}

static gboolean
timeout_expired (gpointer data)
{
  ConfigRead *read = data;

  g_main_loop_quit (read->loop);
  return G_SOURCE_REMOVE;
}

static int
read_platform_config (const CmdOptions *options,
                      const WcConfig *local_config,
                      WcConfig **platform_config)
{
  WsWatcherCallbacks callbacks = { .config = config_read,
                                   .start = ignore_start,
                                   .read_finished = read_finished,
                                   .invalid = root_invalid };
  ConfigRead read = { 0 };
  WsClient *client = cmd_open_client (options);
  WcParts *parts;
  WsStore store;

  if (client == NULL)
    return CMD_EXIT_USAGE;
  store = ws_client_store (client);
  callbacks.context = &read;
  read.loop = g_main_loop_new (NULL, FALSE);
  read.watcher = ws_watcher_new (&store, &wc_config_format_parts, &callbacks, g_random_int ());
  /* Parts that both configurations have need not be fetched. */
  parts = wc_parts_encode (local_config, NULL);
  ws_watcher_set_known_config (read.watcher, 0, parts->bodies);
  ws_watcher_read (read.watcher);
  g_timeout_add ((guint) (options->timeout_us / WB_US_PER_MS), timeout_expired, &read);
  g_main_loop_run (read.loop);
  ws_watcher_free (read.watcher);
  g_main_loop_unref (read.loop);
  wc_parts_free (parts);
  *platform_config = read.config;
  if (read.reached && read.error == NULL)
    return CMD_EXIT_OK;
  g_printerr ("%s\n", read.error != NULL ? read.error->message : "platform unreachable");
  g_clear_error (&read.error);
  return read.reached ? CMD_EXIT_FAILED : CMD_EXIT_UNREACHABLE;
}

static void
print_changes (const WcConfig *before, const WcConfig *after, const CmdOptions *options)
{
  guint64 version = before != NULL ? before->version : 0;
  g_autoptr (GPtrArray) changes = wc_diff (before, after);
  g_autofree gchar *text = options->json ? wc_diff_to_json (changes) : wc_diff_to_text (changes);

  if (options->json)
    g_print ("{\"version\":%" G_GUINT64_FORMAT ",\"changes\":%s}\n", version, text);
  else if (options->from != NULL)
    g_print ("compared with %s: changes %u\n%s", options->from, changes->len, text);
  else
    g_print ("compared with version %" G_GUINT64_FORMAT ": changes %u\n%s", version, changes->len,
             text);
}

int
cmd_diff (int argc, char **argv)
{
  g_autoptr (WcConfig) before = NULL;
  g_autoptr (WcConfig) after = NULL;
  g_autoptr (GError) error = NULL;
  CmdOptions options;
  int result;

  cmd_options_parse (&options,
                     CMD_OPTION_JSON | CMD_OPTION_PLATFORM | CMD_OPTION_FROM | CMD_OPTION_TIMEOUT |
                         CMD_OPTION_DIRECTORY,
                     CMD_OPTION_DIRECTORY,
                     "Shows how the configuration in DIR differs from the one that the platform "
                     "holds, or from the one in another directory. Changes nothing.",
                     argc, argv);
  if ((options.platform == NULL) == (options.from == NULL))
    {
      g_printerr ("%s: either --platform or --from is needed\n", argv[0]);
      return CMD_EXIT_USAGE;
    }
  after = wc_load_directory (options.directory, &error);
  if (after != NULL && options.from != NULL)
    before = wc_load_directory (options.from, &error);
  if (error != NULL)
    {
      g_printerr ("%s\n", error->message);
      return CMD_EXIT_INVALID;
    }
  if (options.platform != NULL)
    {
      result = read_platform_config (&options, after, &before);
      if (result != CMD_EXIT_OK)
        return result;
    }
  print_changes (before, after, &options);
  return CMD_EXIT_OK;
}
