#include "ld.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 1
#define EXIT_USAGE 2

/* The seed is the upper half of request ids, so that they differ between runs. */
#define SEED_SHIFT 32

static gchar *option_listen = NULL;
static gchar *option_fabric = NULL;
static gchar *option_clients = NULL;
static gint option_client_count = 64;
static gchar **option_classes = NULL;
static gint option_seed = 1;
static gdouble option_seconds = 10;
static gint option_max_flows = 1000000;
static gdouble option_grace = 30;
static gdouble option_stall = 60;
static gboolean option_json = FALSE;
static gchar *option_log = NULL;

static GOptionEntry option_entries[] = {
  { "listen", 0, 0, G_OPTION_ARG_STRING, &option_listen, "Local UDP address for packets",
    "ADDRESS:PORT" },
  { "fabric", 0, 0, G_OPTION_ARG_STRING, &option_fabric, "UDP address of the fabric for packets",
    "ADDRESS:PORT" },
  { "clients", 0, 0, G_OPTION_ARG_STRING, &option_clients, "First client address", "ADDRESS" },
  { "client-count", 0, 0, G_OPTION_ARG_INT, &option_client_count,
    "Number of client addresses, at most 200", "N" },
  { "mix", 0, 0, G_OPTION_ARG_STRING_ARRAY, &option_classes,
    "A class of flows: name=TEXT,service=TEXT,target=ADDRESS:PORT,rate=PER_SECOND,bytes=N,"
    "work=MS,requests=N,idle=MS,pause=MS,pace=BYTES_PER_SECOND",
    "CLASS" },
  { "seed", 0, 0, G_OPTION_ARG_INT, &option_seed, "Seed of all random choices", "N" },
  { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &option_seconds, "Time in which flows are opened", "S" },
  { "max-flows", 0, 0, G_OPTION_ARG_INT, &option_max_flows, "Limit of flows opened", "N" },
  { "grace", 0, 0, G_OPTION_ARG_DOUBLE, &option_grace, "Time after --seconds for open flows to end",
    "S" },
  { "stall", 0, 0, G_OPTION_ARG_DOUBLE, &option_stall,
    "Time without progress after which a flow counts as broken", "S" },
  { "json", 0, 0, G_OPTION_ARG_NONE, &option_json, "Print one JSON object", NULL },
  { "log", 0, 0, G_OPTION_ARG_STRING, &option_log, "File for the outcome of each request", "FILE" },
  { NULL },
};

static GMainLoop *main_loop;
static LdRun run;

static gboolean
set_class_value (LdFlowClass *flow_class, const gchar *key, const gchar *value)
{
  gchar *end;
  gdouble number;

  if (strcmp (key, "name") == 0)
    flow_class->name = g_strdup (value);
  else if (strcmp (key, "service") == 0)
    flow_class->service = g_strdup (value);
  if (strcmp (key, "name") == 0 || strcmp (key, "service") == 0)
    return TRUE;
  if (strcmp (key, "target") == 0)
    return ww_address_parse (value, &flow_class->address, &flow_class->port);
  number = g_ascii_strtod (value, &end);
  if (*end != '\0' || number < 0)
    return FALSE;
  if (strcmp (key, "rate") == 0)
    flow_class->flows_per_s = number;
  else if (strcmp (key, "bytes") == 0)
    flow_class->bytes = (guint64) number;
  else if (strcmp (key, "work") == 0)
    flow_class->work_ms = (guint) number;
  else if (strcmp (key, "requests") == 0)
    flow_class->requests = (guint) number;
  else if (strcmp (key, "idle") == 0)
    flow_class->idle_ms = (guint) number;
  else if (strcmp (key, "pause") == 0)
    flow_class->pause_ms = (guint) number;
  else if (strcmp (key, "pace") == 0)
    flow_class->read_bytes_per_s = (guint64) number;
  else
    return FALSE;
  return TRUE;
}

static gboolean
flow_class_parse (LdFlowClass *flow_class, const gchar *text)
{
  g_auto (GStrv) words = g_strsplit (text, ",", -1);
  guint i;

  flow_class->requests = 1;
  flow_class->bytes = 100;
  flow_class->flows_per_s = 1;
  flow_class->response_time_us = wb_histogram_new ();
  for (i = 0; words[i] != NULL; i++)
    {
      gchar *equals = strchr (words[i], '=');

      if (equals == NULL)
        return FALSE;
      *equals = '\0';
      if (!set_class_value (flow_class, words[i], equals + 1))
        return FALSE;
    }
  return flow_class->name != NULL && flow_class->service != NULL && flow_class->port != 0 &&
         flow_class->requests > 0 && flow_class->flows_per_s > 0;
}

static void
open_due_flows (LdFlowClass *flow_class, gint64 now_us, guint64 *opened)
{
  while (flow_class->next_open_us <= now_us && *opened < (guint64) option_max_flows)
    {
      gdouble uniform = 1.0 - g_rand_double (run.random);

      ld_flow_open (&run, flow_class, now_us);
      (*opened)++;
      flow_class->next_open_us += (gint64) (-log (uniform) / flow_class->flows_per_s * 1e6);
    }
}

static gboolean
tick (gpointer data)
{
  gint64 now_us = g_get_monotonic_time ();
  gint64 elapsed_us = now_us - run.start_us;
  gboolean opening = elapsed_us < (gint64) (option_seconds * 1e6);
  guint64 opened = 0;
  guint i;

  si_stack_lock ();
  for (i = 0; i < run.classes->len; i++)
    opened += ((LdFlowClass *) g_ptr_array_index (run.classes, i))->opened;
  opening = opening && opened < (guint64) option_max_flows;
  for (i = 0; opening && i < run.classes->len; i++)
    open_due_flows (g_ptr_array_index (run.classes, i), now_us, &opened);
  ld_flows_tick (&run, now_us);
  if (!opening && (g_queue_is_empty (&run.flows) ||
                   elapsed_us > (gint64) ((option_seconds + option_grace) * 1e6)))
    {
      ld_flows_abort (&run);
      g_main_loop_quit (main_loop);
    }
  si_stack_unlock ();
  return G_SOURCE_CONTINUE;
}

static void
exit_with_usage_error (const gchar *message)
{
  fprintf (stderr, "caller: %s\n", message);
  exit (EXIT_USAGE);
}

static void
parse_options (gint argc, gchar **argv)
{
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  guint i;

  g_option_context_add_main_entries (context, option_entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    exit_with_usage_error (error->message);
  if (option_clients == NULL || !ww_ipv4_parse (option_clients, &run.client_base))
    exit_with_usage_error ("--clients needs an IPv4 address");
  if (option_client_count < 1 || option_client_count > 200)
    exit_with_usage_error ("--client-count must be between 1 and 200");
  run.classes = g_ptr_array_new ();
  for (i = 0; option_classes != NULL && option_classes[i] != NULL; i++)
    {
      LdFlowClass *flow_class = g_new0 (LdFlowClass, 1);

      g_ptr_array_add (run.classes, flow_class);
      if (!flow_class_parse (flow_class, option_classes[i]))
        exit_with_usage_error ("--mix is malformed; see --help");
    }
  if (run.classes->len == 0)
    exit_with_usage_error ("--mix is required");
}

static void
open_stack (void)
{
  g_autoptr (GError) error = NULL;
  guint32 address, fabric_address;
  guint16 port, fabric_port;
  gint i;

  si_parse_address_option ("listen", option_listen, &address, &port);
  si_parse_address_option ("fabric", option_fabric, &fabric_address, &fabric_port);
  si_stack_init ();
  if (!si_stack_open (address, port, fabric_address, fabric_port, 1400, &error))
    exit_with_usage_error (error->message);
  for (i = 0; i < option_client_count; i++)
    si_stack_add_address (run.client_base + (guint32) i);
}

static gint
report (void)
{
  g_autofree gchar *text = option_json ? ld_report_json (&run) : ld_report_table (&run);
  guint64 failed = 0;
  guint i;

  printf ("%s\n", text);
  if (option_log != NULL)
    g_file_set_contents (option_log, run.log->str, (gssize) run.log->len, NULL);
  for (i = 0; i < run.classes->len; i++)
    {
      const LdFlowClass *flow_class = g_ptr_array_index (run.classes, i);

      failed += flow_class->broken + flow_class->misrouted + flow_class->refused_without_retry;
    }
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  gint result;
  guint i;

  parse_options (argc, argv);
  main_loop = g_main_loop_new (NULL, FALSE);
  run.endpoints = g_hash_table_new (g_str_hash, g_str_equal);
  run.random = g_rand_new_with_seed ((guint32) option_seed);
  run.client_count = (guint) option_client_count;
  run.last_client_ports = g_new0 (guint16, run.client_count);
  run.last_id = (guint64) option_seed << SEED_SHIFT;
  run.stall_timeout_us = (gint64) (option_stall * 1e6);
  run.log = option_log != NULL ? g_string_new (NULL) : NULL;
  open_stack ();
  run.start_us = g_get_monotonic_time ();
  for (i = 0; i < run.classes->len; i++)
    ((LdFlowClass *) g_ptr_array_index (run.classes, i))->next_open_us = run.start_us;
  g_timeout_add (TICK_MS, tick, NULL);
  g_main_loop_run (main_loop);
  si_stack_lock ();
  result = report ();
  si_stack_unlock ();
  return result;
}
