#include "si-lwip.h"

#include "si.h"

#include <lwip/priv/tcp_priv.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib-unix.h>

/* Stand-in for a backend server: a TCP stack with the service address that serves the line protocol
 * of si.h on the ports of the service, with a fixed number of slots, and counts how often it runs
 * each request id. */

#define WORK_CHECK_INTERVAL_MS 1
#define SEND_CHUNK_BYTES 4096
#define MAX_LINE_BYTES 512
#define POLL_INTERVAL_HALF_SECONDS 1

typedef enum
{
  CONNECTION_IDLE,
  CONNECTION_WAITING,
  CONNECTION_WORKING,
  CONNECTION_SENDING,
} ConnectionState;

typedef struct
{
  struct tcp_pcb *pcb;
  GString *input;
  ConnectionState state;
  SiRequest request;
  gchar *header;
  gsize header_length;
  guint64 bytes_queued; /* header and body passed to TCP */
  guint64 bytes_acknowledged;
  gint64 work_end_us;
  gboolean client_closed; /* its FIN has arrived */
} Connection;

static struct
{
  GMainLoop *loop;
  WwSocket *control;
  GHashTable *runs; /* request id to number of runs */
  GQueue waiting;   /* of Connection */
  GQueue working;
  guint busy_slots;
  guint connections;
  guint max_waiting;
  guint64 accepted, accepted_draining, requests, requests_waited, malformed, aborted;
  gboolean draining;
} server;

static gchar *option_name = NULL;
static gchar *option_service = NULL;
static gchar *option_address = NULL;
static gchar **option_ports = NULL;
static gchar *option_listen = NULL;
static gchar *option_agent = NULL;
static gchar *option_control = NULL;
static gchar *option_report = NULL;
static gint option_slots = 4;
static gint option_stop_limit_ms = 30000;

static GOptionEntry option_entries[] = {
  { "name", 0, 0, G_OPTION_ARG_STRING, &option_name, "Name of the endpoint", "NAME" },
  { "service", 0, 0, G_OPTION_ARG_STRING, &option_service, "Name of the service", "NAME" },
  { "address", 0, 0, G_OPTION_ARG_STRING, &option_address, "Service address", "ADDRESS" },
  { "port", 0, 0, G_OPTION_ARG_STRING_ARRAY, &option_ports, "Service port", "PORT" },
  { "listen", 0, 0, G_OPTION_ARG_STRING, &option_listen, "Local UDP address for packets",
    "ADDRESS:PORT" },
  { "agent", 0, 0, G_OPTION_ARG_STRING, &option_agent, "UDP address of the agent for packets",
    "ADDRESS:PORT" },
  { "control", 0, 0, G_OPTION_ARG_STRING, &option_control,
    "UDP address for commands: report, stats, drain", "ADDRESS:PORT" },
  { "report", 0, 0, G_OPTION_ARG_STRING, &option_report,
    "File for request ids and run counts, written on command and at exit", "FILE" },
  { "slots", 0, 0, G_OPTION_ARG_INT, &option_slots, "Requests served at the same time", "N" },
  { "stop-limit", 0, 0, G_OPTION_ARG_INT, &option_stop_limit_ms,
    "Time limit for open connections to close after SIGTERM", "MS" },
  { NULL },
};

static void start_next_request (Connection *connection);

static void
connection_free (Connection *connection)
{
  g_queue_remove (&server.waiting, connection);
  g_queue_remove (&server.working, connection);
  if (connection->state == CONNECTION_WORKING || connection->state == CONNECTION_SENDING)
    server.busy_slots--;
  server.connections--;
  g_string_free (connection->input, TRUE);
  g_free (connection->header);
  g_free (connection);
}

static void
connection_close (Connection *connection)
{
  struct tcp_pcb *pcb = connection->pcb;

  tcp_arg (pcb, NULL);
  tcp_recv (pcb, NULL);
  tcp_sent (pcb, NULL);
  tcp_err (pcb, NULL);
  tcp_poll (pcb, NULL, 0);
  tcp_close (pcb);
  connection_free (connection);
}

static void
start_work (Connection *connection)
{
  server.busy_slots++;
  connection->state = CONNECTION_WORKING;
  connection->work_end_us =
      g_get_monotonic_time () + (gint64) connection->request.work_ms * WB_US_PER_MS;
  g_queue_push_tail (&server.working, connection);
}

static void
start_waiting_requests (void)
{
  while (server.busy_slots < (guint) option_slots && !g_queue_is_empty (&server.waiting))
    start_work (g_queue_pop_head (&server.waiting));
}

static void
count_run (guint64 id)
{
  guint64 *count = g_hash_table_lookup (server.runs, &id);

  server.requests++;
  if (count == NULL)
    {
      count = g_new0 (guint64, 1);
      g_hash_table_insert (server.runs, g_memdup2 (&id, sizeof id), count);
    }
  (*count)++;
}

static void
queue_request (Connection *connection)
{
  count_run (connection->request.id);
  connection->state = CONNECTION_WAITING;
  g_queue_push_tail (&server.waiting, connection);
  if (server.busy_slots >= (guint) option_slots)
    server.requests_waited++;
  start_waiting_requests ();
  server.max_waiting = MAX (server.max_waiting, server.waiting.length);
}

static gboolean
extract_line (Connection *connection, gchar **line)
{
  const gchar *end = strchr (connection->input->str, '\n');
  gssize length;

  if (end == NULL)
    return FALSE;
  length = end - connection->input->str;
  *line = g_strstrip (g_strndup (connection->input->str, (gsize) length));
  g_string_erase (connection->input, 0, length + 1);
  return TRUE;
}

static void
start_next_request (Connection *connection)
{
  g_autofree gchar *line = NULL;

  if (connection->state != CONNECTION_IDLE)
    return;
  if (!extract_line (connection, &line))
    {
      if (connection->client_closed || connection->input->len > MAX_LINE_BYTES)
        connection_close (connection);
      return;
    }
  if (si_request_parse (line, &connection->request))
    {
      queue_request (connection);
      return;
    }
  server.malformed++;
  connection_close (connection);
}

static void
send_more (Connection *connection)
{
  guint64 total = connection->header_length + connection->request.bytes;
  guint8 chunk[SEND_CHUNK_BYTES];

  while (connection->bytes_queued < total)
    {
      gsize length = MIN (tcp_sndbuf (connection->pcb), SEND_CHUNK_BYTES);
      gsize header_left = connection->header_length > connection->bytes_queued
                              ? connection->header_length - (gsize) connection->bytes_queued
                              : 0;

      length = (gsize) MIN (length, total - connection->bytes_queued);
      if (header_left > 0)
        {
          length = MIN (length, header_left);
          memcpy (chunk, connection->header + connection->bytes_queued, length);
        }
      else
        si_body_fill (connection->request.id, connection->bytes_queued - connection->header_length,
                      chunk, length);
      if (length == 0 ||
          tcp_write (connection->pcb, chunk, (u16_t) length, TCP_WRITE_FLAG_COPY) != ERR_OK)
        break;
      connection->bytes_queued += length;
    }
  tcp_output (connection->pcb);
}

static void
start_response (Connection *connection)
{
  SiResponse response = { .id = connection->request.id, .length = connection->request.bytes };

  g_strlcpy (response.endpoint, option_name, sizeof response.endpoint);
  g_strlcpy (response.service, option_service, sizeof response.service);
  g_free (connection->header);
  connection->header = si_response_format (&response);
  connection->header_length = strlen (connection->header);
  connection->bytes_queued = 0;
  connection->bytes_acknowledged = 0;
  connection->state = CONNECTION_SENDING;
  send_more (connection);
}

static gboolean
finish_due_work (gpointer data)
{
  gint64 now_us = g_get_monotonic_time ();
  GList *link, *next;

  si_stack_lock ();
  for (link = server.working.head; link != NULL; link = next)
    {
      Connection *connection = link->data;

      next = link->next;
      if (connection->work_end_us > now_us)
        continue;
      g_queue_delete_link (&server.working, link);
      start_response (connection);
    }
  if (server.draining && server.connections == 0)
    g_main_loop_quit (server.loop);
  si_stack_unlock ();
  return G_SOURCE_CONTINUE;
}

static err_t
connection_sent (void *arg, struct tcp_pcb *pcb, u16_t length)
{
  Connection *connection = arg;

  if (connection->state != CONNECTION_SENDING)
    return ERR_OK;
  connection->bytes_acknowledged += length;
  if (connection->bytes_acknowledged < connection->header_length + connection->request.bytes)
    {
      send_more (connection);
      return ERR_OK;
    }
  connection->state = CONNECTION_IDLE;
  server.busy_slots--;
  start_waiting_requests ();
  start_next_request (connection);
  return ERR_OK;
}

static err_t
connection_received (void *arg, struct tcp_pcb *pcb, struct pbuf *buffer, err_t status)
{
  Connection *connection = arg;
  struct pbuf *part;

  if (buffer == NULL)
    {
      connection->client_closed = TRUE;
      start_next_request (connection);
      return ERR_OK;
    }
  for (part = buffer; part != NULL; part = part->next)
    g_string_append_len (connection->input, part->payload, part->len);
  tcp_recved (pcb, buffer->tot_len);
  pbuf_free (buffer);
  start_next_request (connection);
  return ERR_OK;
}

/* Repeats a write for which lwIP had no memory. */
static err_t
connection_poll (void *arg, struct tcp_pcb *pcb)
{
  Connection *connection = arg;

  if (connection->state == CONNECTION_SENDING)
    send_more (connection);
  return ERR_OK;
}

/* lwIP has already freed the control block of the connection. */
static void
connection_failed (void *arg, err_t status)
{
  server.aborted++;
  connection_free (arg);
  start_waiting_requests ();
}

static err_t
connection_accepted (void *arg, struct tcp_pcb *pcb, err_t status)
{
  Connection *connection;

  if (status != ERR_OK || pcb == NULL)
    return ERR_VAL;
  connection = g_new0 (Connection, 1);
  connection->pcb = pcb;
  connection->input = g_string_new (NULL);
  server.connections++;
  server.accepted++;
  if (server.draining)
    server.accepted_draining++;
  tcp_nagle_disable (pcb);
  tcp_arg (pcb, connection);
  tcp_recv (pcb, connection_received);
  tcp_sent (pcb, connection_sent);
  tcp_err (pcb, connection_failed);
  tcp_poll (pcb, connection_poll, POLL_INTERVAL_HALF_SECONDS);
  return ERR_OK;
}

static void
listen_on_port (const gchar *text)
{
  struct tcp_pcb *pcb = tcp_new ();
  guint64 port;

  if (!g_ascii_string_to_unsigned (text, 10, 1, G_MAXUINT16, &port, NULL) ||
      tcp_bind (pcb, IP_ADDR_ANY, (u16_t) port) != ERR_OK)
    {
      fprintf (stderr, "backend: cannot listen on port %s\n", text);
      exit (EXIT_FAILURE);
    }
  tcp_accept (tcp_listen (pcb), connection_accepted);
}

static gboolean
write_report (void)
{
  g_autoptr (GString) text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer id, count;

  if (option_report == NULL)
    return FALSE;
  g_hash_table_iter_init (&iter, server.runs);
  while (g_hash_table_iter_next (&iter, &id, &count))
    g_string_append_printf (text, "%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT "\n", *(guint64 *) id,
                            *(guint64 *) count);
  return g_file_set_contents (option_report, text->str, (gssize) text->len, NULL);
}

/* Connections of which the client may have received the SYN-ACK, but whose acknowledgment has not
 * arrived. */
static guint
count_half_open (void)
{
  const struct tcp_pcb *pcb;
  guint count = 0;

  for (pcb = tcp_active_pcbs; pcb != NULL; pcb = pcb->next)
    count += pcb->state == SYN_RCVD;
  return count;
}

static gchar *
format_stats (void)
{
  return g_strdup_printf (
      "requests=%" G_GUINT64_FORMAT " connections=%u half_open=%u accepted=%" G_GUINT64_FORMAT
      " accepted_draining=%" G_GUINT64_FORMAT " busy=%u waited=%" G_GUINT64_FORMAT
      " max_waiting=%u aborted=%" G_GUINT64_FORMAT " malformed=%" G_GUINT64_FORMAT "\n",
      server.requests, server.connections, count_half_open (), server.accepted,
      server.accepted_draining, server.busy_slots, server.requests_waited, server.max_waiting,
      server.aborted, server.malformed);
}

static void
control_received (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  g_autofree gchar *line = g_strstrip (g_strndup ((const gchar *) data, length));
  g_autofree gchar *reply = NULL;

  si_stack_lock ();
  if (strcmp (line, "report") == 0)
    reply = g_strdup (write_report () ? "ok\n" : "report not written\n");
  else if (strcmp (line, "stats") == 0)
    reply = format_stats ();
  else if (strcmp (line, "drain") == 0)
    {
      server.draining = TRUE;
      reply = g_strdup ("ok\n");
    }
  else
    reply = g_strdup ("unknown command\n");
  si_stack_unlock ();
  ww_socket_send (server.control, address, port, (const guint8 *) reply, strlen (reply));
}

static gboolean
stop_limit_reached (gpointer data)
{
  g_main_loop_quit (server.loop);
  return G_SOURCE_REMOVE;
}

/* On SIGTERM the process exits when the clients have closed their connections, at the latest after
 * --stop-limit. */
static gboolean
stop_requested (gpointer data)
{
  server.draining = TRUE;
  g_timeout_add ((guint) option_stop_limit_ms, stop_limit_reached, NULL);
  return G_SOURCE_REMOVE;
}

static void
exit_with_error (const gchar *message)
{
  fprintf (stderr, "backend: %s\n", message);
  exit (EXIT_FAILURE);
}

static void
open_sockets (void)
{
  g_autoptr (GError) error = NULL;
  guint32 address, agent_address, service_address;
  guint16 port, agent_port;

  si_parse_address_option ("listen", option_listen, &address, &port);
  si_parse_address_option ("agent", option_agent, &agent_address, &agent_port);
  if (!ww_ipv4_parse (option_address, &service_address))
    exit_with_error ("--address needs an IPv4 address");
  if (!si_stack_open (address, port, agent_address, agent_port, 1400, &error))
    exit_with_error (error->message);
  si_stack_add_address (service_address);
  if (option_control == NULL)
    return;
  si_parse_address_option ("control", option_control, &address, &port);
  server.control = ww_socket_new (address, port, control_received, NULL, &error);
  if (server.control == NULL)
    exit_with_error (error->message);
}

static void
parse_options (gint argc, gchar **argv)
{
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, option_entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    exit_with_error (error->message);
  if (option_name == NULL || option_service == NULL || option_address == NULL ||
      option_ports == NULL)
    exit_with_error ("--name, --service, --address and --port are required");
}

int
main (int argc, char **argv)
{
  guint i;

  parse_options (argc, argv);
  server.loop = g_main_loop_new (NULL, FALSE);
  server.runs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  si_stack_init ();
  open_sockets ();
  si_stack_lock ();
  for (i = 0; option_ports[i] != NULL; i++)
    listen_on_port (option_ports[i]);
  si_stack_unlock ();
  g_unix_signal_add (SIGTERM, stop_requested, NULL);
  g_timeout_add (WORK_CHECK_INTERVAL_MS, finish_due_work, NULL);
  g_main_loop_run (server.loop);
  si_stack_lock ();
  write_report ();
  fprintf (stderr, "backend %s: %s", option_name, format_stats ());
  si_stack_unlock ();
  return EXIT_SUCCESS;
}
