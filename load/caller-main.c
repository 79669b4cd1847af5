#include "ld.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 1
#define EXIT_USAGE 2

/* Runs with different seeds use different request ids. */
#define SEED_SHIFT 32

static gchar *option_listen = NULL;
static gchar *option_fabric = NULL;
static gchar *option_clients = NULL;
static gint option_client_count = 64;
static gchar **option_mixes = NULL;
static gint option_seed = 1;
static gdouble option_seconds = 10;
static gint option_max_flows = 1000000;
static gdouble option_grace = 30;
static gdouble option_stall = 60;
static gboolean option_json = FALSE;
static gchar *option_log = NULL;

static GOptionEntry option_entries[] = {
  { "listen", 0, 0, G_OPTION_ARG_STRING, &option_listen, "Packet socket", "ADDRESS:PORT" },
  { "fabric", 0, 0, G_OPTION_ARG_STRING, &option_fabric, "Packet socket of the fabric",
    "ADDRESS:PORT" },
  { "clients", 0, 0, G_OPTION_ARG_STRING, &option_clients, "First client address", "ADDRESS" },
  { "client-count", 0, 0, G_OPTION_ARG_INT, &option_client_count, "Client addresses, at most 200",
    "N" },
  { "mix", 0, 0, G_OPTION_ARG_STRING_ARRAY, &option_mixes,
    "A class of flows: name=TEXT,service=TEXT,target=ADDRESS:PORT,rate=PER_SECOND,bytes=N,"
    "work=MS,requests=N,idle=MS,pause=MS,pace=BYTES_PER_SECOND",
    "CLASS" },
  { "seed", 0, 0, G_OPTION_ARG_INT, &option_seed, "Seed of all random choices", "N" },
  { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &option_seconds, "Time in which flows are opened", "S" },
  { "max-flows", 0, 0, G_OPTION_ARG_INT, &option_max_flows, "Most flows opened", "N" },
  { "grace", 0, 0, G_OPTION_ARG_DOUBLE, &option_grace, "Time for open flows to end", "S" },
  { "stall", 0, 0, G_OPTION_ARG_DOUBLE, &option_stall,
    "Time without progress after which a flow counts as broken", "S" },
  { "json", 0, 0, G_OPTION_ARG_NONE, &option_json, "Print one JSON object", NULL },
  { "log", 0, 0, G_OPTION_ARG_STRING, &option_log, "File for the outcome of each request", "FILE" },
  { NULL },
};

static GMainLoop *main_loop;
static LdRun run_state;

static gboolean
set_mix_value (LdMix *mix, const gchar *key, const gchar *value)
{
  gchar *end;
  gdouble number;

  if (strcmp (key, "name") == 0)
    mix->name = g_strdup (value);
  else if (strcmp (key, "service") == 0)
    mix->service = g_strdup (value);
  if (strcmp (key, "name") == 0 || strcmp (key, "service") == 0)
    return TRUE;
  if (strcmp (key, "target") == 0)
    return ww_address_parse (value, &mix->address, &mix->port);
  number = g_ascii_strtod (value, &end);
  if (*end != '\0' || number < 0)
    return FALSE;
  if (strcmp (key, "rate") == 0)
    mix->rate = number;
  else if (strcmp (key, "bytes") == 0)
    mix->bytes = (guint64) number;
  else if (strcmp (key, "work") == 0)
    mix->work_ms = (guint) number;
  else if (strcmp (key, "requests") == 0)
    mix->requests = (guint) number;
  else if (strcmp (key, "idle") == 0)
    mix->idle_ms = (guint) number;
  else if (strcmp (key, "pause") == 0)
    mix->pause_ms = (guint) number;
  else if (strcmp (key, "pace") == 0)
    mix->pace = (guint64) number;
  else
    return FALSE;
  return TRUE;
}

static gboolean
mix_parse (LdMix *mix, const gchar *text)
{
  g_auto (GStrv) words = g_strsplit (text, ",", -1);
  guint i;

  mix->requests = 1;
  mix->bytes = 100;
  mix->rate = 1;
  mix->time_us = wb_histogram_new ();
  for (i = 0; words[i] != NULL; i++)
    {
      gchar *equals = strchr (words[i], '=');

      if (equals == NULL)
        return FALSE;
      *equals = '\0';
      if (!set_mix_value (mix, words[i], equals + 1))
        return FALSE;
    }
  return mix->name != NULL && mix->service != NULL && mix->port != 0 && mix->requests > 0 &&
         mix->rate > 0;
}

static void
open_due (LdMix *mix, gint64 now_us, guint64 *opened)
{
  while (mix->next_us <= now_us && *opened < (guint64) option_max_flows)
    {
      gdouble uniform = 1.0 - g_rand_double (run_state.random);

      ld_flow_open (&run_state, mix, now_us);
      (*opened)++;
      mix->next_us += (gint64) (-log (uniform) / mix->rate * 1e6);
    }
}

static gboolean
tick (gpointer data)
{
  gint64 now_us = g_get_monotonic_time ();
  gint64 elapsed_us = now_us - run_state.begin_us;
  gboolean opening = elapsed_us < (gint64) (option_seconds * 1e6);
  guint64 opened = 0;
  guint i;

  si_stack_lock ();
  for (i = 0; i < run_state.mixes->len; i++)
    opened += ((LdMix *) g_ptr_array_index (run_state.mixes, i))->opened;
  opening = opening && opened < (guint64) option_max_flows;
  for (i = 0; opening && i < run_state.mixes->len; i++)
    open_due (g_ptr_array_index (run_state.mixes, i), now_us, &opened);
  ld_flows_tick (&run_state, now_us);
  if (!opening && (g_queue_is_empty (&run_state.flows) ||
                   elapsed_us > (gint64) ((option_seconds + option_grace) * 1e6)))
    {
      ld_flows_abandon (&run_state);
      g_main_loop_quit (main_loop);
    }
  si_stack_unlock ();
  return G_SOURCE_CONTINUE;
}

static void
fail (const gchar *message)
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
    fail (error->message);
  if (option_clients == NULL || !ww_ipv4_parse (option_clients, &run_state.client_base))
    fail ("--clients needs an IPv4 address");
  if (option_client_count < 1 || option_client_count > 200)
    fail ("--client-count must be between 1 and 200");
  run_state.mixes = g_ptr_array_new ();
  for (i = 0; option_mixes != NULL && option_mixes[i] != NULL; i++)
    {
      LdMix *mix = g_new0 (LdMix, 1);

      g_ptr_array_add (run_state.mixes, mix);
      if (!mix_parse (mix, option_mixes[i]))
        fail ("--mix is not understood; see --help");
    }
  if (run_state.mixes->len == 0)
    fail ("--mix is required");
}

static void
open_stack (void)
{
  g_autoptr (GError) error = NULL;
  guint32 address, fabric_address;
  guint16 port, fabric_port;
  gint i;

  si_option_address ("listen", option_listen, &address, &port);
  si_option_address ("fabric", option_fabric, &fabric_address, &fabric_port);
  si_stack_init ();
  if (!si_stack_open (address, port, fabric_address, fabric_port, 1400, &error))
    fail (error->message);
  for (i = 0; i < option_client_count; i++)
    si_stack_add_address (run_state.client_base + (guint32) i);
}

static gint
report (void)
{
  g_autofree gchar *text = option_json ? ld_report_json (&run_state) : ld_report_table (&run_state);
  guint64 failed = 0;
  guint i;

  printf ("%s\n", text);
  if (option_log != NULL)
    g_file_set_contents (option_log, run_state.log->str, (gssize) run_state.log->len, NULL);
  for (i = 0; i < run_state.mixes->len; i++)
    {
      const LdMix *mix = g_ptr_array_index (run_state.mixes, i);

      failed += mix->broken + mix->misrouted + mix->refused_no_time;
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
  run_state.endpoints = g_hash_table_new (g_str_hash, g_str_equal);
  run_state.random = g_rand_new_with_seed ((guint32) option_seed);
  run_state.client_count = (guint) option_client_count;
  run_state.client_ports = g_new0 (guint16, run_state.client_count);
  run_state.last_id = (guint64) option_seed << SEED_SHIFT;
  run_state.stall_us = (gint64) (option_stall * 1e6);
  run_state.log = option_log != NULL ? g_string_new (NULL) : NULL;
  open_stack ();
  run_state.begin_us = g_get_monotonic_time ();
  for (i = 0; i < run_state.mixes->len; i++)
    ((LdMix *) g_ptr_array_index (run_state.mixes, i))->next_us = run_state.begin_us;
  g_timeout_add (TICK_MS, tick, NULL);
  g_main_loop_run (main_loop);
  si_stack_lock ();
  result = report ();
  si_stack_unlock ();
  return result;
}
