#include "ww-packet.h"
#include "ww-sock.h"

#include "si.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib-unix.h>

/* Stand-in for the network fabric: sprays packets of clients over the balancers and carries packets
 * of the backend hosts to the clients. */

typedef struct
{
  guint32 address;
  guint16 port;
} Target;

typedef struct
{
  gint64 due_us;
  guint64 sequence;
  Target target;
  gboolean to_client;
  GBytes *data;
} Delayed;

enum
{
  CHANCE_LOSS,
  CHANCE_DUPLICATE,
  CHANCE_REORDER,
  N_CHANCES,
};

static const gchar *const chance_names[N_CHANCES] = { "loss", "duplicate", "reorder" };

/* Additional delay of a packet that is reordered, in ms. */
#define REORDER_DELAY_MS 5

static struct
{
  GRand *random;
  WwSocket *client_socket;
  WwSocket *host_socket;
  WwSocket *control_socket;
  GArray *balancers;   /* of Target */
  GHashTable *clients; /* client address to Target, learned from packets */
  GSequence *delayed;
  GSource *timer;
  guint64 sequence;
  gdouble chance_percent[N_CHANCES];
  gdouble delay_ms;
  FILE *trace;
  guint64 to_balancers, to_clients, lost, duplicated, reordered, unknown;
} fabric;

static gchar *option_clients = NULL;
static gchar *option_hosts = NULL;
static gchar *option_control = NULL;
static gchar **option_balancers = NULL;
static gchar *option_trace = NULL;
static gint option_seed = 1;
static gdouble option_delay_ms = 0;
static gdouble option_chance[N_CHANCES] = { 0 };

static GOptionEntry option_entries[] = {
  { "clients", 0, 0, G_OPTION_ARG_STRING, &option_clients, "Socket for clients", "ADDRESS:PORT" },
  { "hosts", 0, 0, G_OPTION_ARG_STRING, &option_hosts, "Socket for hosts", "ADDRESS:PORT" },
  { "control", 0, 0, G_OPTION_ARG_STRING, &option_control,
    "Socket for commands: add ADDRESS:PORT, remove ADDRESS:PORT, delay MS, loss PERCENT, "
    "duplicate PERCENT, reorder PERCENT, stats",
    "ADDRESS:PORT" },
  { "balancer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &option_balancers, "A balancer", "ADDRESS:PORT" },
  { "trace", 0, 0, G_OPTION_ARG_STRING, &option_trace, "File for one line for each packet",
    "FILE" },
  { "seed", 0, 0, G_OPTION_ARG_INT, &option_seed, "Seed of all random choices", "N" },
  { "delay", 0, 0, G_OPTION_ARG_DOUBLE, &option_delay_ms, "One-way delay", "MS" },
  { "loss", 0, 0, G_OPTION_ARG_DOUBLE, &option_chance[CHANCE_LOSS], "Packets lost", "PERCENT" },
  { "duplicate", 0, 0, G_OPTION_ARG_DOUBLE, &option_chance[CHANCE_DUPLICATE], "Packets duplicated",
    "PERCENT" },
  { "reorder", 0, 0, G_OPTION_ARG_DOUBLE, &option_chance[CHANCE_REORDER], "Packets reordered",
    "PERCENT" },
  { NULL },
};

static void
delayed_free (gpointer data)
{
  Delayed *delayed = data;

  g_bytes_unref (delayed->data);
  g_free (delayed);
}

static gint
compare_delayed (gconstpointer a, gconstpointer b, gpointer context)
{
  const Delayed *left = a;
  const Delayed *right = b;

  if (left->due_us != right->due_us)
    return left->due_us < right->due_us ? -1 : 1;
  return left->sequence < right->sequence ? -1 : left->sequence > right->sequence;
}

static void
send_packet (gboolean to_client, const Target *target, const guint8 *data, gsize length)
{
  WwSocket *socket = to_client ? fabric.client_socket : fabric.host_socket;

  ww_socket_send (socket, target->address, target->port, data, length);
}

static void
set_timer (void)
{
  GSequenceIter *first = g_sequence_get_begin_iter (fabric.delayed);

  if (g_sequence_iter_is_end (first))
    g_source_set_ready_time (fabric.timer, -1);
  else
    g_source_set_ready_time (fabric.timer, ((Delayed *) g_sequence_get (first))->due_us);
}

static gboolean
send_due (gpointer data)
{
  gint64 now_us = g_get_monotonic_time ();

  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (fabric.delayed);
      Delayed *delayed;
      gconstpointer bytes;
      gsize length;

      if (g_sequence_iter_is_end (first))
        break;
      delayed = g_sequence_get (first);
      if (delayed->due_us > now_us)
        break;
      bytes = g_bytes_get_data (delayed->data, &length);
      send_packet (delayed->to_client, &delayed->target, bytes, length);
      g_sequence_remove (first);
    }
  set_timer ();
  return G_SOURCE_CONTINUE;
}

static gboolean
dispatch_timer (GSource *source, GSourceFunc callback, gpointer data)
{
  return send_due (data);
}

static GSourceFuncs timer_functions = { .dispatch = dispatch_timer };

static gboolean
happens (guint chance)
{
  gdouble percent = fabric.chance_percent[chance];

  return percent > 0 && g_rand_double (fabric.random) * 100 < percent;
}

static void
carry_once (gboolean to_client, const Target *target, const guint8 *data, gsize length)
{
  gdouble delay_ms = fabric.delay_ms;
  Delayed *delayed;

  if (happens (CHANCE_REORDER))
    {
      delay_ms += REORDER_DELAY_MS;
      fabric.reordered++;
    }
  if (delay_ms <= 0)
    {
      send_packet (to_client, target, data, length);
      return;
    }
  delayed = g_new0 (Delayed, 1);
  delayed->due_us = g_get_monotonic_time () + (gint64) (delay_ms * 1000);
  delayed->sequence = fabric.sequence++;
  delayed->target = *target;
  delayed->to_client = to_client;
  delayed->data = g_bytes_new (data, length);
  g_sequence_insert_sorted (fabric.delayed, delayed, compare_delayed, NULL);
  set_timer ();
}

static void
carry (gboolean to_client, const Target *target, const guint8 *data, gsize length)
{
  if (happens (CHANCE_LOSS))
    {
      fabric.lost++;
      return;
    }
  carry_once (to_client, target, data, length);
  if (!happens (CHANCE_DUPLICATE))
    return;
  fabric.duplicated++;
  carry_once (to_client, target, data, length);
}

static void
trace_packet (const WwPacket *packet, const gchar *direction)
{
  g_autofree gchar *source = NULL;
  g_autofree gchar *destination = NULL;

  if (fabric.trace == NULL)
    return;
  source = ww_address_format (packet->source_address, packet->source_port);
  destination = ww_address_format (packet->destination_address, packet->destination_port);
  fprintf (fabric.trace, "%.3f %s %s %s flags=%02x seq=%u ack=%u length=%" G_GSIZE_FORMAT "\n",
           (gdouble) g_get_real_time () / 1e6, direction, source, destination, packet->tcp_flags,
           packet->sequence, packet->acknowledgment, packet->payload_length);
}

static void
from_client (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  WwPacket packet;
  Target *client;
  guint index;

  if (ww_packet_parse (data, length, &packet) != WW_PACKET_OK)
    {
      fabric.unknown++;
      return;
    }
  trace_packet (&packet, "in");
  client = g_hash_table_lookup (fabric.clients, GUINT_TO_POINTER (packet.source_address));
  if (client == NULL)
    {
      client = g_new0 (Target, 1);
      g_hash_table_insert (fabric.clients, GUINT_TO_POINTER (packet.source_address), client);
    }
  client->address = address;
  client->port = port;
  if (fabric.balancers->len == 0)
    return;
  index = (guint) g_rand_int_range (fabric.random, 0, (gint32) fabric.balancers->len);
  fabric.to_balancers++;
  carry (FALSE, &g_array_index (fabric.balancers, Target, index), data, length);
}

static void
from_host (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  const Target *client = NULL;
  WwPacket packet;

  if (ww_packet_parse (data, length, &packet) == WW_PACKET_OK)
    client = g_hash_table_lookup (fabric.clients, GUINT_TO_POINTER (packet.destination_address));
  if (client == NULL)
    {
      fabric.unknown++;
      return;
    }
  trace_packet (&packet, "out");
  fabric.to_clients++;
  carry (TRUE, client, data, length);
}

static void
remove_balancer (const Target *target)
{
  guint i;

  for (i = fabric.balancers->len; i > 0; i--)
    {
      const Target *entry = &g_array_index (fabric.balancers, Target, i - 1);

      if (entry->address == target->address && entry->port == target->port)
        g_array_remove_index_fast (fabric.balancers, i - 1);
    }
}

static gboolean
change_number (const gchar *name, const gchar *text)
{
  gchar *end;
  gdouble value = g_ascii_strtod (text, &end);
  guint i;

  if (*end != '\0' || value < 0)
    return FALSE;
  if (strcmp (name, "delay") == 0)
    {
      fabric.delay_ms = value;
      return TRUE;
    }
  for (i = 0; i < N_CHANCES; i++)
    if (strcmp (name, chance_names[i]) == 0)
      {
        fabric.chance_percent[i] = value;
        return TRUE;
      }
  return FALSE;
}

static gboolean
run_command (gchar **words)
{
  Target target;

  if (words[0] == NULL || words[1] == NULL || words[2] != NULL)
    return FALSE;
  if (strcmp (words[0], "add") != 0 && strcmp (words[0], "remove") != 0)
    return change_number (words[0], words[1]);
  if (!ww_address_parse (words[1], &target.address, &target.port))
    return FALSE;
  remove_balancer (&target);
  if (strcmp (words[0], "add") == 0)
    g_array_append_val (fabric.balancers, target);
  return TRUE;
}

static void
control_received (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  g_autofree gchar *line = g_strstrip (g_strndup ((const gchar *) data, length));
  g_auto (GStrv) words = g_strsplit (line, " ", -1);
  g_autofree gchar *reply = NULL;

  if (strcmp (line, "stats") == 0)
    reply = g_strdup_printf ("balancers=%u to_balancers=%" G_GUINT64_FORMAT
                             " to_clients=%" G_GUINT64_FORMAT " lost=%" G_GUINT64_FORMAT
                             " duplicated=%" G_GUINT64_FORMAT " reordered=%" G_GUINT64_FORMAT
                             " unknown=%" G_GUINT64_FORMAT "\n",
                             fabric.balancers->len, fabric.to_balancers, fabric.to_clients,
                             fabric.lost, fabric.duplicated, fabric.reordered, fabric.unknown);
  else
    reply = g_strdup (run_command (words) ? "ok\n" : "unknown command\n");
  ww_socket_send (fabric.control_socket, address, port, (const guint8 *) reply, strlen (reply));
}

static WwSocket *
open_socket (const gchar *option, const gchar *text, WwSocketReceiveFunc received)
{
  g_autoptr (GError) error = NULL;
  WwSocket *socket;
  guint32 address;
  guint16 port;

  si_option_address (option, text, &address, &port);
  socket = ww_socket_new (address, port, received, NULL, &error);
  if (socket != NULL)
    return socket;
  fprintf (stderr, "fabric: %s\n", error->message);
  exit (EXIT_FAILURE);
}

static gboolean
stop (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

static void
parse_options (gint argc, gchar **argv)
{
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, option_entries, NULL);
  if (g_option_context_parse (context, &argc, &argv, &error))
    return;
  fprintf (stderr, "fabric: %s\n", error->message);
  exit (2);
}

int
main (int argc, char **argv)
{
  GMainLoop *loop = g_main_loop_new (NULL, FALSE);
  guint i;

  parse_options (argc, argv);
  fabric.random = g_rand_new_with_seed ((guint32) option_seed);
  fabric.balancers = g_array_new (FALSE, TRUE, sizeof (Target));
  fabric.clients = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  fabric.delayed = g_sequence_new (delayed_free);
  fabric.delay_ms = option_delay_ms;
  if (option_trace != NULL)
    fabric.trace = fopen (option_trace, "w");
  memcpy (fabric.chance_percent, option_chance, sizeof option_chance);
  fabric.timer = g_source_new (&timer_functions, sizeof (GSource));
  g_source_attach (fabric.timer, NULL);
  for (i = 0; option_balancers != NULL && option_balancers[i] != NULL; i++)
    {
      Target target;

      si_option_address ("balancer", option_balancers[i], &target.address, &target.port);
      g_array_append_val (fabric.balancers, target);
    }
  fabric.client_socket = open_socket ("clients", option_clients, from_client);
  fabric.host_socket = open_socket ("hosts", option_hosts, from_host);
  fabric.control_socket = open_socket ("control", option_control, control_received);
  g_unix_signal_add (SIGTERM, stop, loop);
  g_unix_signal_add (SIGINT, stop, loop);
  g_main_loop_run (loop);
  if (fabric.trace != NULL)
    fclose (fabric.trace);
  return EXIT_SUCCESS;
}
