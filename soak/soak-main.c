#include "sk.h"

#include "wb.h"

#include <argp.h>
#include <fcntl.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>

#define TICK_MS 2
#define READINESS_PROBE_INTERVAL_MS 500
#define STARTUP_US (6 * WB_US_PER_S)

/* The users require recovery within this time after the last fault; the served share of requests is
 * then measured for MEASURE_US. */
#define RECOVERY_US (12 * WB_US_PER_S)
#define MEASURE_US (3 * WB_US_PER_S)
#define MIN_SERVED_PERCENT 90
/* A longer gap between two iterations of the main loop means that the machine does not schedule the
 * processes, which no guarantee covers. The recovery time then starts again, up to
 * STALL_RESTART_LIMIT_US after the last fault. */
#define STALL_THRESHOLD_US (100 * WB_US_PER_MS)
#define STALL_RESTART_LIMIT_US (120 * WB_US_PER_S)
/* Users' setting: a host without a fault for this long has to meet all guarantees. */
#define STABILITY_WINDOW_US (4 * WB_US_PER_S)

/* 180 KB. */
#define LARGE_ROUTE_COUNT 1100
#define RETURN_SEED_OFFSET 100000
#define SILENCE_SEED_OFFSET 200000
/* Longer than a configuration takes to all watchers. */
#define SILENCE_DELAY_US (100 * WB_US_PER_MS)
/* No other fault follows a silence for this time: a process that starts reads the store and passes
 * on what it has, which would hide that the others have not noticed. */
#define SILENCE_CALM_US (7 * WB_US_PER_S)
#define SILENCES_IN_SERIES 3

/* With moves: a period of planned work only, followed by one with all faults. */
#define PLANNED_WORK_US (12 * WB_US_PER_S)
#define PERIOD_US (18 * WB_US_PER_S)

typedef struct
{
  gboolean is_agent;
  guint index;
  GSubprocess *process;     /* NULL while none runs */
  gint64 paused_until_us;   /* 0: not paused */
  gint64 restart_us;        /* 0: no restart is due */
  gint64 started_us;        /* of the process that runs */
  gint64 last_fault_end_us; /* of the last unplanned fault */
  gint64 last_pause_end_us;
  gchar *settings_file;
} Host;

typedef enum
{
  FAULT_KILL,
  FAULT_TERMINATE,
  FAULT_PAUSE,
  FAULT_HANG_UP,
  FAULT_STORE,
  FAULT_STORE_COMPACTION,
  FAULT_CONFIG_CHANGE,
  FAULT_SERVER_CRASH,
  FAULT_SERVER_DRAIN,
  FAULT_KILL_ALL,
  N_FAULTS,
} Fault;

static const gchar *const fault_names[N_FAULTS] = {
  "kill",
  "terminate",
  "pause",
  "hang up",
  "store fault",
  "compact store",
  "change configuration",
  "crash",
  "drain",
  "kill all",
};

static const gchar *binaries = "build";
static guint32 seed = 1;
static gint fault_seconds = 10;
static guint16 first_port = 21000;
static gboolean verbose;
static gboolean store_returns; /* from older copies, and configurations are large */

static Host hosts[SK_BALANCER_COUNT + SK_SERVER_COUNT];
static gchar *run_directory;
static GRand *random_generator;
static SoupSession *session;
static GMainLoop *loop;
static guint violation_count;
static guint fault_counts[N_FAULTS];
static gint64 soak_start_us, faults_end_us, recovery_start_us, next_fault_us, store_fault_end_us;
static gint64 last_tick_us; /* last iteration of the main loop */
static guint stall_count;
static gint64 server_restart_us[SK_SERVER_COUNT];
static guint route_count = 6;
static GRand *return_generator; /* separate, so that the schedule of the other faults is the same */
static gint64 next_return_us, return_us, rewrite_us;
static guint return_count;
static gboolean connections_fall_silent; /* those to the store, all at the same moment */
static GRand *silence_generator;
static gint64 next_silence_us, silence_us, silence_change_us, last_silence_us;
static gint64 last_store_fault_us; /* last moment at which the store was seen to misbehave */
static guint silence_count;
static gboolean measuring;
static gboolean evacuations; /* availability zones are evacuated */
static gboolean moves;       /* a route moves between the services */
static gboolean restarts;    /* with moves: agents are restarted too */

guint16
sk_port_number (SkPortPurpose purpose)
{
  return (guint16) (first_port + purpose);
}

void
sk_report_violation (const gchar *format, ...)
{
  g_autofree gchar *text = NULL;
  va_list arguments;

  va_start (arguments, format);
  text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  violation_count++;
  g_print ("seed %u, %.3f s: %s\n", seed,
           (gdouble) (g_get_monotonic_time () - soak_start_us) / WB_US_PER_S, text);
}

guint
sk_violation_count (void)
{
  return violation_count;
}

static guint32
host_address (const Host *host)
{
  return (host->is_agent ? SK_AGENT_ADDRESS : SK_BALANCER_ADDRESS) + host->index;
}

static void
write_settings (Host *host)
{
  guint32 address = host_address (host);
  const gchar *role = host->is_agent ? "agent" : "balancer";
  g_autofree gchar *ip = ww_ipv4_format (address);
  g_autofree gchar *store = ww_ipv4_format (SK_STORE_ADDRESS);
  g_autofree gchar *contact = ww_ipv4_format (SK_BALANCER_ADDRESS);
  g_autoptr (GString) text = g_string_new (NULL);

  g_string_append_printf (
      text,
      "name = \"%s-%u\"\nhost = \"%s-%u\"\navailability_zone = \"%s\"\n"
      "control_address = \"%s:%u\"\ndata_address = \"%s:%u\"\nplatform = \"http://%s:%u\"\n"
      "platform_protocol = \"objects-v1\"\ncontacts = [\"%s:%u\"]\ncontrol_limit = 8192\n"
      "readiness_address = \"%s:%u\"\nleave_linger = \"1500ms\"\nlog_level = \"debug\"\n",
      role, host->index, role, host->index, sk_zone_names[host->index % SK_ZONE_COUNT], ip,
      sk_port_number (SK_PORT_CONTROL), ip, sk_port_number (SK_PORT_DATA), store,
      sk_port_number (SK_PORT_STORE), contact, sk_port_number (SK_PORT_CONTROL), ip,
      sk_port_number (SK_PORT_READINESS));
  if (evacuations)
    g_string_append (text, "evacuations = true\n");
  if (host->is_agent)
    g_string_append_printf (text,
                            "service = \"service-%u\"\nservers_address = \"%s:%u\"\n"
                            "server_interval = \"300ms\"\nstop_limit = \"2s\"\n",
                            host->index % SK_SERVICE_COUNT, ip,
                            sk_port_number (SK_PORT_ANNOUNCEMENTS));
  g_string_append_printf (text, "[network]\nkind = \"direct\"\naddress = \"%s:%u\"\n", ip,
                          sk_port_number (SK_PORT_NETWORK));
  if (host->is_agent)
    g_string_append_printf (
        text, "[server]\nkind = \"udp\"\naddress = \"%s:%u\"\npeer = \"%s:%u\"\n", ip,
        sk_port_number (SK_PORT_FROM_SERVER), ip, sk_port_number (SK_PORT_TO_SERVER));
  host->settings_file = g_strdup_printf ("%s/%s-%u.toml", run_directory, role, host->index);
  if (!g_file_set_contents (host->settings_file, text->str, -1, NULL))
    g_error ("soak: cannot write %s", host->settings_file);
}

static void
start_host (Host *host)
{
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_autofree gchar *log = g_strconcat (host->settings_file, ".log", NULL);
  g_autofree gchar *program =
      g_strdup_printf ("%s/%s", binaries, host->is_agent ? "waxwinghitch-agent" : "waxwinghitch");
  g_autoptr (GPtrArray) arguments = g_ptr_array_new ();
  g_autoptr (GError) error = NULL;

  g_ptr_array_add (arguments, program);
  if (!host->is_agent)
    g_ptr_array_add (arguments, (gpointer) "balancer");
  g_ptr_array_add (arguments, (gpointer) "--settings");
  g_ptr_array_add (arguments, host->settings_file);
  g_ptr_array_add (arguments, NULL);
  g_subprocess_launcher_take_stdout_fd (
      launcher, open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  host->restart_us = 0;
  host->paused_until_us = 0;
  host->started_us = g_get_monotonic_time ();
  host->process =
      g_subprocess_launcher_spawnv (launcher, (const gchar *const *) arguments->pdata, &error);
  if (host->process == NULL)
    g_error ("soak: %s", error->message);
}

/* Sends a signal that ends the process and schedules its restart after @delay_us. A planned stop
 * (SIGTERM) does not count as a fault of the host. */
static void
stop_host (Host *host, gint signal_number, gint64 delay_us)
{
  if (host->process == NULL)
    return;
  if (host->paused_until_us != 0)
    g_subprocess_send_signal (host->process, SIGCONT);
  g_subprocess_send_signal (host->process, signal_number);
  if (signal_number == SIGKILL)
    host->last_fault_end_us = g_get_monotonic_time () + delay_us;
  host->paused_until_us = 0;
  host->restart_us = g_get_monotonic_time () + delay_us;
}

/* Restarts the process once it has exited and the restart is due. */
static void
restart_exited (Host *host, gint64 now_us)
{
  if (host->process == NULL || host->restart_us == 0 || now_us < host->restart_us)
    return;
  if (g_subprocess_get_identifier (host->process) != NULL)
    return;
  g_clear_object (&host->process);
  start_host (host);
}

/* Returns NULL for the address of a stand-in. */
static const Host *
find_host (guint32 address)
{
  guint i;

  for (i = 0; i < G_N_ELEMENTS (hosts); i++)
    if (host_address (&hosts[i]) == address)
      return &hosts[i];
  return NULL;
}

gboolean
sk_host_is_stable (guint32 address)
{
  const Host *host = find_host (address);

  return host == NULL || g_get_monotonic_time () - host->last_fault_end_us > STABILITY_WINDOW_US;
}

gint64
sk_host_paused_until_us (guint32 address)
{
  return find_host (address)->last_pause_end_us;
}

gboolean
sk_balancer_is_stable (guint balancer, gint64 now_us)
{
  const Host *host = &hosts[balancer];
  gint64 disturbed_us = MAX (host->started_us, host->last_fault_end_us);

  disturbed_us = MAX (disturbed_us, MAX (last_silence_us, last_store_fault_us));
  return host->process != NULL && host->restart_us == 0 && host->paused_until_us == 0 &&
         now_us - disturbed_us > STABILITY_WINDOW_US;
}

static gint64
random_duration_us (gint min_ms, gint max_ms)
{
  return g_rand_int_range (random_generator, min_ms, max_ms) * WB_US_PER_MS;
}

static void
pause_host (Host *host, gint64 duration_us)
{
  if (host->process == NULL || host->paused_until_us != 0 || host->restart_us != 0)
    return;
  host->paused_until_us = g_get_monotonic_time () + duration_us;
  host->last_fault_end_us = host->last_pause_end_us = host->paused_until_us;
  g_subprocess_send_signal (host->process, SIGSTOP);
}

static void
stop_server (guint index, gboolean drain)
{
  if (!sk_server_is_running (index) || server_restart_us[index] != 0)
    return;
  if (drain)
    sk_server_drain (index);
  else
    sk_server_crash (index);
  server_restart_us[index] = g_get_monotonic_time () + (drain ? random_duration_us (4000, 5000)
                                                              : random_duration_us (300, 2000));
}

/* A configuration in four is large. */
static void
change_config (void)
{
  route_count = (guint) g_rand_int_range (random_generator, 4, 60);
  if (store_returns && g_rand_int_range (return_generator, 0, 4) == 0)
    route_count = LARGE_ROUTE_COUNT;
  sk_probe_config_written (sk_store_set_config (route_count), route_count);
}

static void
start_store_fault (void)
{
  /* Silence is tested with a store that works otherwise: the bound of configurations does not hold
   * while it does not. */
  if (connections_fall_silent)
    {
      change_config ();
      return;
    }
  sk_store_set_fault ((SkStoreFault) g_rand_int_range (random_generator, SK_STORE_FAULT_UNAVAILABLE,
                                                       SK_STORE_FAULT_LOST_WRITE_RESPONSE + 1));
  store_fault_end_us = g_get_monotonic_time () + random_duration_us (500, 4000);
}

static gboolean
ends_agent (Fault fault, const Host *host)
{
  return fault == FAULT_KILL_ALL ||
         (host->is_agent && (fault == FAULT_KILL || fault == FAULT_TERMINATE));
}

/* Open flows are checked while no host has had an unplanned fault for some time, so that with moves
 * there are periods of planned work only. */
static gboolean
is_planned_work_only (gint64 now_us)
{
  gint64 elapsed_us = now_us - soak_start_us - STARTUP_US;

  return elapsed_us % PERIOD_US < PLANNED_WORK_US;
}

static gboolean
is_planned_work (Fault fault)
{
  return fault == FAULT_CONFIG_CHANGE || fault == FAULT_SERVER_DRAIN || fault == FAULT_HANG_UP;
}

static void
inject_fault (void)
{
  /* Their sum is 97. */
  static const guint weights[N_FAULTS] = { 20, 15, 12, 5, 12, 5, 10, 8, 8, 2 };
  guint draw = (guint) g_rand_int_range (random_generator, 0, 97);
  Host *host = &hosts[g_rand_int_range (random_generator, 0, G_N_ELEMENTS (hosts))];
  guint fault, i;

  for (fault = 0; draw >= weights[fault]; fault++)
    draw -= weights[fault];
  if (moves && !restarts && ends_agent ((Fault) fault, host))
    fault = FAULT_CONFIG_CHANGE;
  if (moves && is_planned_work_only (g_get_monotonic_time ()) && !is_planned_work ((Fault) fault))
    return;
  fault_counts[fault]++;
  if (verbose)
    g_print ("%.3f s: %s, %s %u\n",
             (gdouble) (g_get_monotonic_time () - soak_start_us) / WB_US_PER_S, fault_names[fault],
             host->is_agent ? "agent" : "balancer", host->index);
  switch ((Fault) fault)
    {
    case FAULT_KILL:
      stop_host (host, SIGKILL, random_duration_us (100, 1500));
      break;
    case FAULT_TERMINATE:
      stop_host (host, SIGTERM, random_duration_us (100, 500));
      break;
    case FAULT_PAUSE:
      pause_host (host, random_duration_us (100, 6000));
      break;
    case FAULT_HANG_UP:
      if (host->process != NULL)
        g_subprocess_send_signal (host->process, SIGHUP);
      break;
    case FAULT_STORE:
      start_store_fault ();
      break;
    case FAULT_STORE_COMPACTION:
      sk_store_compact ();
      break;
    case FAULT_CONFIG_CHANGE:
      change_config ();
      break;
    case FAULT_SERVER_CRASH:
    case FAULT_SERVER_DRAIN:
      stop_server ((guint) g_rand_int_range (random_generator, 0, SK_SERVER_COUNT),
                   fault == FAULT_SERVER_DRAIN);
      break;
    case FAULT_KILL_ALL:
    default:
      sk_evacuation_all_killed (g_get_monotonic_time ());
      for (i = 0; i < G_N_ELEMENTS (hosts); i++)
        stop_host (&hosts[i], SIGKILL, random_duration_us (100, 1000));
      break;
    }
}

/* The store is away for a moment and returns from a copy; the operator writes what it has lost. */
static void
return_store (gint64 now_us)
{
  if (!store_returns)
    return;
  if (return_us == 0 && now_us >= next_return_us && now_us < faults_end_us)
    {
      next_return_us = now_us + g_rand_int_range (return_generator, 2, 6) * WB_US_PER_S;
      return_us = now_us + g_rand_int_range (return_generator, 50, 800) * WB_US_PER_MS;
      sk_store_set_fault (SK_STORE_FAULT_UNAVAILABLE);
      return_count++;
    }
  if (return_us != 0 && now_us >= return_us)
    {
      return_us = 0;
      rewrite_us = now_us + g_rand_int_range (return_generator, 0, 600) * WB_US_PER_MS;
      sk_store_return_from_copy ();
      if (store_fault_end_us == 0)
        sk_store_set_fault (SK_STORE_FAULT_NONE);
      if (verbose)
        g_print ("%.3f s: store returns from a copy\n",
                 (gdouble) (now_us - soak_start_us) / WB_US_PER_S);
    }
  if (rewrite_us != 0 && now_us >= rewrite_us)
    {
      rewrite_us = 0;
      sk_store_rewrite_config ();
      sk_evacuation_rewrite ();
    }
}

/* All connections to the store become silent at the same moment, some times in a row. A change
 * right before lets all watches begin together, as late as possible; one within a second after is
 * what they miss. */
static void
silence_store (gint64 now_us)
{
  if (!connections_fall_silent)
    return;
  if (now_us >= next_silence_us && now_us < faults_end_us)
    {
      gint64 pause_us = g_rand_int_range (silence_generator, 3000, 5000) * WB_US_PER_MS;

      if (++silence_count % SILENCES_IN_SERIES == 0)
        pause_us += SILENCE_CALM_US;
      next_silence_us = now_us + pause_us;
      silence_us = now_us + SILENCE_DELAY_US;
      next_fault_us = now_us + SILENCE_CALM_US;
      change_config ();
    }
  if (silence_us != 0 && now_us >= silence_us)
    {
      silence_us = 0;
      silence_change_us = now_us + g_rand_int_range (silence_generator, 0, 1000) * WB_US_PER_MS;
      last_silence_us = now_us;
      sk_store_silence_connections ();
      if (verbose)
        g_print ("%.3f s: connections to the store become silent\n",
                 (gdouble) (now_us - soak_start_us) / WB_US_PER_S);
    }
  if (silence_change_us != 0 && now_us >= silence_change_us)
    {
      silence_change_us = 0;
      change_config ();
    }
}

/* The bound of configurations holds again some time after the last fault of the store. */
static void
note_store_faults (gint64 now_us)
{
  if (store_fault_end_us != 0 || return_us != 0 || rewrite_us != 0)
    last_store_fault_us = now_us;
}

/* Ends the faults whose time is over, or all of them, so that none lasts into the recovery. */
static void
end_faults (gint64 now_us, gboolean end_all)
{
  guint i;

  if (store_fault_end_us != 0 && (end_all || now_us >= store_fault_end_us))
    {
      store_fault_end_us = 0;
      if (return_us == 0)
        sk_store_set_fault (SK_STORE_FAULT_NONE);
    }
  for (i = 0; i < SK_SERVER_COUNT; i++)
    if (server_restart_us[i] != 0 && (end_all || now_us >= server_restart_us[i]))
      {
        server_restart_us[i] = 0;
        sk_server_start (i);
      }
  for (i = 0; i < G_N_ELEMENTS (hosts); i++)
    {
      Host *host = &hosts[i];

      if (host->paused_until_us != 0 && (end_all || now_us >= host->paused_until_us))
        {
          host->paused_until_us = 0;
          g_subprocess_send_signal (host->process, SIGCONT);
        }
      restart_exited (host, now_us);
    }
}

static void
check_served (const gchar *what, guint started, guint completed)
{
  if (started == 0 || completed * 100 < started * MIN_SERVED_PERCENT)
    sk_report_violation ("%u of %u %s were served after the recovery", completed, started, what);
}

static void
finish_measurement (void)
{
  guint started, completed;

  sk_client_take_counts (&started, &completed);
  check_served ("requests", started, completed);
  if (moves)
    {
      sk_moved_take_counts (&started, &completed);
      check_served ("requests on open flows", started, completed);
    }
  g_main_loop_quit (loop);
}

/* Treats a stall of the machine as a fault of every host. */
static void
detect_stall (gint64 now_us)
{
  gboolean stalled = last_tick_us != 0 && now_us - last_tick_us > STALL_THRESHOLD_US;
  guint i;

  last_tick_us = now_us;
  if (!stalled)
    return;
  stall_count++;
  for (i = 0; i < G_N_ELEMENTS (hosts); i++)
    hosts[i].last_pause_end_us = hosts[i].last_fault_end_us =
        MAX (hosts[i].last_fault_end_us, now_us);
  if (now_us < faults_end_us || now_us - faults_end_us > STALL_RESTART_LIMIT_US)
    return;
  recovery_start_us = now_us;
  measuring = FALSE;
}

static gboolean
tick (gpointer data)
{
  gint64 now_us = g_get_monotonic_time ();
  guint started, completed;

  detect_stall (now_us);
  sk_server_tick (now_us);
  sk_client_tick (now_us);
  sk_moved_tick (now_us);
  sk_probe_tick (now_us);
  return_store (now_us);
  silence_store (now_us);
  note_store_faults (now_us);
  sk_evacuation_tick (now_us, last_store_fault_us != now_us, now_us >= faults_end_us);
  end_faults (now_us, now_us >= faults_end_us);
  if (now_us >= next_fault_us && now_us < faults_end_us)
    {
      next_fault_us = now_us + random_duration_us (100, 900);
      inject_fault ();
    }
  if (!measuring && now_us >= recovery_start_us + RECOVERY_US)
    {
      measuring = TRUE;
      sk_client_take_counts (&started, &completed);
      sk_moved_take_counts (&started, &completed);
    }
  if (now_us >= recovery_start_us + RECOVERY_US + MEASURE_US)
    finish_measurement ();
  return G_SOURCE_CONTINUE;
}

static void
readiness_probed (GObject *source, GAsyncResult *result, gpointer data)
{
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  sk_client_set_balancer_ready (
      GPOINTER_TO_UINT (data), body != NULL && soup_message_get_status (message) == SOUP_STATUS_OK);
}

static gboolean
probe_readiness (gpointer data)
{
  guint i;

  for (i = 0; i < SK_BALANCER_COUNT; i++)
    {
      g_autofree gchar *host = ww_ipv4_format (SK_BALANCER_ADDRESS + i);
      g_autofree gchar *url =
          g_strdup_printf ("http://%s:%u/v1/readiness", host, sk_port_number (SK_PORT_READINESS));
      g_autoptr (SoupMessage) message = soup_message_new ("GET", url);

      soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL,
                                        readiness_probed, GUINT_TO_POINTER (i));
    }
  return G_SOURCE_CONTINUE;
}

static void
start_soak (void)
{
  guint i;

  run_directory = g_dir_make_tmp ("soak-XXXXXX", NULL);
  random_generator = g_rand_new_with_seed (seed);
  return_generator = g_rand_new_with_seed (seed + RETURN_SEED_OFFSET);
  silence_generator = g_rand_new_with_seed (seed + SILENCE_SEED_OFFSET);
  session = soup_session_new_with_options ("timeout", 1, "proxy-resolver", NULL, NULL);
  loop = g_main_loop_new (NULL, FALSE);
  soak_start_us = g_get_monotonic_time ();
  next_fault_us = soak_start_us + STARTUP_US;
  next_return_us = next_silence_us = next_fault_us + 2 * WB_US_PER_S;
  faults_end_us = recovery_start_us = next_fault_us + fault_seconds * WB_US_PER_S;
  sk_store_open ();
  if (moves)
    sk_moved_open (seed);
  sk_probe_open ();
  sk_probe_config_written (sk_store_set_config (route_count), route_count);
  sk_client_open ();
  if (evacuations)
    sk_evacuation_open (seed, next_fault_us);
  for (i = 0; i < SK_SERVER_COUNT; i++)
    sk_server_start (i);
  for (i = 0; i < G_N_ELEMENTS (hosts); i++)
    {
      hosts[i].is_agent = i >= SK_BALANCER_COUNT;
      hosts[i].index = hosts[i].is_agent ? i - SK_BALANCER_COUNT : i;
      write_settings (&hosts[i]);
      start_host (&hosts[i]);
    }
  g_timeout_add (TICK_MS, tick, NULL);
  g_timeout_add (READINESS_PROBE_INTERVAL_MS, probe_readiness, NULL);
}

/* Ends only the processes that it has started. */
static void
stop_soak (void)
{
  guint i;

  for (i = 0; i < G_N_ELEMENTS (hosts); i++)
    if (hosts[i].process != NULL)
      {
        g_subprocess_force_exit (hosts[i].process);
        g_subprocess_wait (hosts[i].process, NULL, NULL);
        g_object_unref (hosts[i].process);
      }
  for (i = 0; i < SK_SERVER_COUNT; i++)
    sk_server_close (i);
  sk_client_close ();
  sk_probe_close ();
  sk_moved_close ();
  sk_evacuation_close ();
  sk_store_close ();
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  if (key == 's')
    seed = (guint32) g_ascii_strtoull (argument, NULL, 10);
  else if (key == 't')
    fault_seconds = atoi (argument);
  else if (key == 'p')
    first_port = (guint16) atoi (argument);
  else if (key == 'b')
    binaries = argument;
  else if (key == 'v')
    verbose = TRUE;
  else if (key == 'r')
    store_returns = TRUE;
  else if (key == 'c')
    connections_fall_silent = TRUE;
  else if (key == 'e')
    evacuations = TRUE;
  else if (key == 'm')
    moves = TRUE;
  else if (key == 'a')
    restarts = TRUE;
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

int
main (int argc, char **argv)
{
  const struct argp_option options[] = {
    { "seed", 's', "N", 0, "Seed of the schedule", 0 },
    { "seconds", 't', "N", 0, "Seconds during which faults are injected", 0 },
    { "port", 'p', "N", 0, "First of the ports used", 0 },
    { "binaries", 'b', "DIR", 0, "Directory of the programs under test", 0 },
    { "store-returns", 'r', NULL, 0,
      "The store also returns from older copies, and configurations are large", 0 },
    { "silent-connections", 'c', NULL, 0,
      "Connections to the store become silent, in place of its other faults", 0 },
    { "evacuations", 'e', NULL, 0, "Availability zones are evacuated, one at a time", 0 },
    { "moves", 'm', NULL, 0,
      "Configurations move a route between the services, and clients keep flows to it open", 0 },
    { "agent-restarts", 'a', NULL, 0, "With --moves: agents are killed and stopped too", 0 },
    { "verbose", 'v', NULL, 0, "Prints each fault as it is injected", 0 },
    { 0 }
  };
  const struct argp argp = { .options = options,
                             .parser = parse_option,
                             .doc = "Injects faults into running programs and checks what clients "
                                    "and backend servers observe." };
  guint i;

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  start_soak ();
  g_main_loop_run (loop);
  stop_soak ();
  g_print ("seed %u: %" G_GUINT64_FORMAT " requests, %" G_GUINT64_FORMAT
           " probes, %u violations; faults injected:",
           seed, sk_client_request_total (), sk_probe_total (), violation_count);
  for (i = 0; i < N_FAULTS; i++)
    if (fault_counts[i] > 0)
      g_print (" %s %u", fault_names[i], fault_counts[i]);
  if (return_count > 0)
    g_print (" store returns %u", return_count);
  if (silence_count > 0)
    g_print (" silent connections %u", silence_count);
  if (moves)
    g_print (" requests on open flows %" G_GUINT64_FORMAT, sk_moved_request_total ());
  if (evacuations)
    g_print (" evacuations %u", sk_evacuation_total ());
  g_print ("; machine stalled %u times; logs in %s\n", stall_count, run_directory);
  return violation_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
