#include "ww-packet.h"
#include "ww-sock.h"

#include "si.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib-unix.h>

/* Stand-in for the network fabric: sends each packet of a client to a random balancer and packets
 * of balancers and agents to their client, with configurable delay, loss, duplication and
 * reordering. */

typedef struct
{
  guint32 address;
  guint16 port;
} UdpAddress;

typedef struct
{
  gint64 send_us;
  guint64 sequence;
  UdpAddress target;
  gboolean to_client;
  GBytes *data;
} DelayedPacket;

enum
{
  IMPAIRMENT_LOSS,
  IMPAIRMENT_DUPLICATE,
  IMPAIRMENT_REORDER,
  N_IMPAIRMENTS,
};

static const gchar *const impairment_names[N_IMPAIRMENTS] = { "loss", "duplicate", "reorder" };

/* Additional delay of a packet that is to be overtaken by later ones. */
#define REORDER_DELAY_MS 5

static struct
{
  GRand *random;
  WwSocket *client_socket;
  WwSocket *host_socket;
  WwSocket *control_socket;
  GArray *balancers;   /* of UdpAddress */
  GHashTable *clients; /* client IP address to UdpAddress, learned from source addresses */
  GSequence *delayed;
  GSource *timer;
  guint64 next_sequence;
  gdouble impairment_percent[N_IMPAIRMENTS];
  gdouble delay_ms;
  FILE *trace;
  guint64 to_balancers, to_clients, lost, duplicated, reordered, unroutable;
} fabric;

static gchar *option_clients = NULL;
static gchar *option_hosts = NULL;
static gchar *option_control = NULL;
static gchar **option_balancers = NULL;
static gchar *option_trace = NULL;
static gint option_seed = 1;
static gdouble option_delay_ms = 0;
static gdouble option_impairment_percent[N_IMPAIRMENTS] = { 0 };

static GOptionEntry option_entries[] = {
  { "clients", 0, 0, G_OPTION_ARG_STRING, &option_clients,
    "Local UDP address for packets of clients", "ADDRESS:PORT" },
  { "hosts", 0, 0, G_OPTION_ARG_STRING, &option_hosts,
    "Local UDP address for packets of balancers and agents", "ADDRESS:PORT" },
  { "control", 0, 0, G_OPTION_ARG_STRING, &option_control,
    "UDP address for commands: add ADDRESS:PORT, remove ADDRESS:PORT, delay MS, loss PERCENT, "
    "duplicate PERCENT, reorder PERCENT, stats",
    "ADDRESS:PORT" },
  { "balancer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &option_balancers,
    "UDP address of a balancer for packets", "ADDRESS:PORT" },
  { "trace", 0, 0, G_OPTION_ARG_STRING, &option_trace, "File that gets one line for each packet",
    "FILE" },
  { "seed", 0, 0, G_OPTION_ARG_INT, &option_seed, "Seed of all random choices", "N" },
  { "delay", 0, 0, G_OPTION_ARG_DOUBLE, &option_delay_ms, "One-way delay", "MS" },
  { "loss", 0, 0, G_OPTION_ARG_DOUBLE, &option_impairment_percent[IMPAIRMENT_LOSS],
    "Share of packets lost", "PERCENT" },
  { "duplicate", 0, 0, G_OPTION_ARG_DOUBLE, &option_impairment_percent[IMPAIRMENT_DUPLICATE],
    "Share of packets duplicated", "PERCENT" },
  { "reorder", 0, 0, G_OPTION_ARG_DOUBLE, &option_impairment_percent[IMPAIRMENT_REORDER],
    "Share of packets reordered", "PERCENT" },
  { NULL },
};

static void
delayed_packet_free (gpointer data)
{
  DelayedPacket *delayed = data;

  g_bytes_unref (delayed->data);
  g_free (delayed);
}

static gint
compare_delayed (gconstpointer a, gconstpointer b, gpointer context)
{
  const DelayedPacket *left = a;
  const DelayedPacket *right = b;

  if (left->send_us != right->send_us)
    return left->send_us < right->send_us ? -1 : 1;
  return left->sequence < right->sequence ? -1 : left->sequence > right->sequence;
}

static void
send_packet (gboolean to_client, const UdpAddress *target, const guint8 *data, gsize length)
{
  WwSocket *socket = to_client ? fabric.client_socket : fabric.host_socket;

  ww_socket_send (socket, target->address, target->port, data, length);
}

static void
update_timer (void)
{
  GSequenceIter *first = g_sequence_get_begin_iter (fabric.delayed);

  if (g_sequence_iter_is_end (first))
    g_source_set_ready_time (fabric.timer, -1);
  else
    g_source_set_ready_time (fabric.timer, ((DelayedPacket *) g_sequence_get (first))->send_us);
}

static gboolean
send_due (gpointer data)
{
  gint64 now_us = g_get_monotonic_time ();

  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (fabric.delayed);
      DelayedPacket *delayed;
      gconstpointer bytes;
      gsize length;

      if (g_sequence_iter_is_end (first))
        break;
      delayed = g_sequence_get (first);
      if (delayed->send_us > now_us)
        break;
      bytes = g_bytes_get_data (delayed->data, &length);
      send_packet (delayed->to_client, &delayed->target, bytes, length);
      g_sequence_remove (first);
    }
  update_timer ();
  return G_SOURCE_CONTINUE;
}

static gboolean
dispatch_timer (GSource *source, GSourceFunc callback, gpointer data)
{
  return send_due (data);
}

static GSourceFuncs timer_functions = { .dispatch = dispatch_timer };

static gboolean
impairment_occurs (guint impairment)
{
  gdouble percent = fabric.impairment_percent[impairment];

  return percent > 0 && g_rand_double (fabric.random) * 100 < percent;
}

static void
forward_copy (gboolean to_client, const UdpAddress *target, const guint8 *data, gsize length)
{
  gdouble delay_ms = fabric.delay_ms;
  DelayedPacket *delayed;

  if (impairment_occurs (IMPAIRMENT_REORDER))
    {
      delay_ms += REORDER_DELAY_MS;
      fabric.reordered++;
    }
  if (delay_ms <= 0)
    {
      send_packet (to_client, target, data, length);
      return;
    }
  delayed = g_new0 (DelayedPacket, 1);
  delayed->send_us = g_get_monotonic_time () + (gint64) (delay_ms * 1000);
  delayed->sequence = fabric.next_sequence++;
  delayed->target = *target;
  delayed->to_client = to_client;
  delayed->data = g_bytes_new (data, length);
  g_sequence_insert_sorted (fabric.delayed, delayed, compare_delayed, NULL);
  update_timer ();
}

static void
forward_packet (gboolean to_client, const UdpAddress *target, const guint8 *data, gsize length)
{
  if (impairment_occurs (IMPAIRMENT_LOSS))
    {
      fabric.lost++;
      return;
    }
  forward_copy (to_client, target, data, length);
  if (!impairment_occurs (IMPAIRMENT_DUPLICATE))
    return;
  fabric.duplicated++;
  forward_copy (to_client, target, data, length);
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
client_packet_received (
    gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  WwPacket packet;
  UdpAddress *client;
  guint index;

  if (ww_packet_parse (data, length, &packet) != WW_PACKET_OK)
    {
      fabric.unroutable++;
      return;
    }
  trace_packet (&packet, "in");
  client = g_hash_table_lookup (fabric.clients, GUINT_TO_POINTER (packet.source_address));
  if (client == NULL)
    {
      client = g_new0 (UdpAddress, 1);
      g_hash_table_insert (fabric.clients, GUINT_TO_POINTER (packet.source_address), client);
    }
  client->address = address;
  client->port = port;
  if (fabric.balancers->len == 0)
    return;
  index = (guint) g_rand_int_range (fabric.random, 0, (gint32) fabric.balancers->len);
  fabric.to_balancers++;
  forward_packet (FALSE, &g_array_index (fabric.balancers, UdpAddress, index), data, length);
}

static void
host_packet_received (
    gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  const UdpAddress *client = NULL;
  WwPacket packet;

  if (ww_packet_parse (data, length, &packet) == WW_PACKET_OK)
    client = g_hash_table_lookup (fabric.clients, GUINT_TO_POINTER (packet.destination_address));
  if (client == NULL)
    {
      fabric.unroutable++;
      return;
    }
  trace_packet (&packet, "out");
  fabric.to_clients++;
  forward_packet (TRUE, client, data, length);
}

static void
remove_balancer (const UdpAddress *target)
{
  guint i;

  for (i = fabric.balancers->len; i > 0; i--)
    {
      const UdpAddress *entry = &g_array_index (fabric.balancers, UdpAddress, i - 1);

      if (entry->address == target->address && entry->port == target->port)
        g_array_remove_index_fast (fabric.balancers, i - 1);
    }
}

static gboolean
set_parameter (const gchar *name, const gchar *text)
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
  for (i = 0; i < N_IMPAIRMENTS; i++)
    if (strcmp (name, impairment_names[i]) == 0)
      {
        fabric.impairment_percent[i] = value;
        return TRUE;
      }
  return FALSE;
}

static gboolean
run_command (gchar **words)
{
  UdpAddress target;

  if (words[0] == NULL || words[1] == NULL || words[2] != NULL)
    return FALSE;
  if (strcmp (words[0], "add") != 0 && strcmp (words[0], "remove") != 0)
    return set_parameter (words[0], words[1]);
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
                             fabric.lost, fabric.duplicated, fabric.reordered, fabric.unroutable);
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

  si_parse_address_option (option, text, &address, &port);
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
  fabric.balancers = g_array_new (FALSE, TRUE, sizeof (UdpAddress));
  fabric.clients = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  fabric.delayed = g_sequence_new (delayed_packet_free);
  fabric.delay_ms = option_delay_ms;
  if (option_trace != NULL)
    fabric.trace = fopen (option_trace, "w");
  memcpy (fabric.impairment_percent, option_impairment_percent, sizeof option_impairment_percent);
  fabric.timer = g_source_new (&timer_functions, sizeof (GSource));
  g_source_attach (fabric.timer, NULL);
  for (i = 0; option_balancers != NULL && option_balancers[i] != NULL; i++)
    {
      UdpAddress target;

      si_parse_address_option ("balancer", option_balancers[i], &target.address, &target.port);
      g_array_append_val (fabric.balancers, target);
    }
  fabric.client_socket = open_socket ("clients", option_clients, client_packet_received);
  fabric.host_socket = open_socket ("hosts", option_hosts, host_packet_received);
  fabric.control_socket = open_socket ("control", option_control, control_received);
  g_unix_signal_add (SIGTERM, stop, loop);
  g_unix_signal_add (SIGINT, stop, loop);
  g_main_loop_run (loop);
  if (fabric.trace != NULL)
    fclose (fabric.trace);
  return EXIT_SUCCESS;
}
