#include "si-lwip.h"

#include "ld.h"

#include <stdio.h>
#include <string.h>

#define FIRST_PORT 10000
#define LAST_PORT 60000
#define MAX_LINE_BYTES 1500
/* Opening the receive window by less would send an acknowledgment for every few bytes read. */
#define MIN_PACED_READ_BYTES 8192

typedef enum
{
  FLOW_CONNECTING,
  FLOW_PAUSING,
  FLOW_READING_HEADER,
  FLOW_READING_BODY,
} FlowState;

typedef enum
{
  OUTCOME_COMPLETED,
  OUTCOME_REFUSED,
  OUTCOME_BROKEN,
  OUTCOME_MISROUTED,
} Outcome;

static const gchar *const outcome_names[] = { "whole", "refused", "broken", "misrouted" };

typedef struct
{
  LdRun *run;
  LdFlowClass *flow_class;
  GList *queue_link;
  struct tcp_pcb *pcb;
  guint32 client_address;
  guint16 client_port;
  FlowState state;
  SiRequest request;
  guint requests_sent;
  gint64 request_start_us; /* of the request in progress, see response_time_us */
  gint64 next_request_us;  /* when the next request is sent */
  gint64 last_progress_us;
  GString *header_line;
  SiResponse response;
  guint64 body_received;
  gchar *endpoint;      /* of the first response */
  guint64 unread_bytes; /* received while the client reads slowly; not yet returned to the window */
  gint64 last_read_us;  /* when the receive window was last opened */
} Flow;

static void
flow_detach (Flow *flow)
{
  if (flow->pcb == NULL)
    return;
  tcp_arg (flow->pcb, NULL);
  tcp_recv (flow->pcb, NULL);
  tcp_err (flow->pcb, NULL);
}

static void
flow_free (Flow *flow)
{
  g_queue_delete_link (&flow->run->flows, flow->queue_link);
  g_string_free (flow->header_line, TRUE);
  g_free (flow->endpoint);
  g_free (flow);
}

/* Writes the line described at LdRun. The begin is relative to the begin of the run. */
static void
log_request (const Flow *flow, Outcome outcome)
{
  gint64 now_us = g_get_monotonic_time ();
  g_autofree gchar *client = NULL;

  if (flow->run->log == NULL || flow->requests_sent == 0)
    return;
  client = ww_address_format (flow->client_address, flow->client_port);
  g_string_append_printf (flow->run->log,
                          "%" G_GUINT64_FORMAT " %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT
                          " %s %s %s\n",
                          flow->request.id, outcome_names[outcome],
                          (flow->request_start_us - flow->run->start_us) / WB_US_PER_MS,
                          (now_us - flow->request_start_us) / WB_US_PER_MS, flow->flow_class->name,
                          flow->endpoint != NULL ? flow->endpoint : "-", client);
}

static void
print_failure (const Flow *flow, Outcome outcome, const gchar *reason)
{
  g_autofree gchar *client = ww_address_format (flow->client_address, flow->client_port);
  gdouble now_s = (gdouble) (g_get_monotonic_time () - flow->run->start_us) / 1e6;
  gdouble request_start_s = (gdouble) (flow->request_start_us - flow->run->start_us) / 1e6;

  fprintf (stderr,
           "caller: %s %s: %s; client=%s id=%" G_GUINT64_FORMAT
           " request=%u begin_s=%.3f now_s=%.3f received=%" G_GUINT64_FORMAT " endpoint=%s\n",
           flow->flow_class->name, outcome_names[outcome], reason, client, flow->request.id,
           flow->requests_sent, request_start_s, now_s, flow->body_received,
           flow->endpoint != NULL ? flow->endpoint : "-");
}

/* Counts, closes and frees a flow. Its control block is valid, or NULL if lwIP has freed it. */
static void
flow_end (Flow *flow, Outcome outcome, const gchar *reason)
{
  LdFlowClass *flow_class = flow->flow_class;

  if (outcome == OUTCOME_COMPLETED)
    flow_class->completed++;
  else if (outcome == OUTCOME_REFUSED)
    flow_class->refused++;
  else if (outcome == OUTCOME_BROKEN)
    flow_class->broken++;
  else
    flow_class->misrouted++;
  if (outcome != OUTCOME_COMPLETED)
    log_request (flow, outcome);
  if (outcome == OUTCOME_BROKEN || outcome == OUTCOME_MISROUTED)
    print_failure (flow, outcome, reason);
  flow_detach (flow);
  /* Opens the window completely, because lwIP resets a connection closed with unread data. */
  for (; flow->pcb != NULL && flow->unread_bytes > 0;
       flow->unread_bytes -= MIN (flow->unread_bytes, G_MAXUINT16))
    tcp_recved (flow->pcb, (u16_t) MIN (flow->unread_bytes, G_MAXUINT16));
  if (flow->pcb != NULL)
    tcp_close (flow->pcb);
  flow_free (flow);
}

static void
send_request (Flow *flow, gint64 now_us)
{
  g_autofree gchar *request_line = NULL;

  flow->request.id = ++flow->run->last_id;
  flow->request.bytes = flow->flow_class->bytes;
  flow->request.work_ms = flow->flow_class->work_ms;
  if (flow->requests_sent > 0 || flow->flow_class->idle_ms > 0)
    flow->request_start_us = now_us;
  flow->requests_sent++;
  flow->state = FLOW_READING_HEADER;
  flow->last_progress_us = now_us;
  flow->body_received = 0;
  g_string_truncate (flow->header_line, 0);
  request_line = si_request_format (&flow->request);
  if (tcp_write (flow->pcb, request_line, (u16_t) strlen (request_line), TCP_WRITE_FLAG_COPY) !=
      ERR_OK)
    fprintf (stderr, "caller: cannot queue a request\n");
  tcp_output (flow->pcb);
}

static void
count_response (Flow *flow, gint64 now_us)
{
  GHashTable *endpoints = flow->run->endpoints;
  LdEndpoint *endpoint = g_hash_table_lookup (endpoints, flow->response.endpoint);

  if (endpoint == NULL)
    {
      endpoint = g_new0 (LdEndpoint, 1);
      endpoint->name = g_strdup (flow->response.endpoint);
      endpoint->service = g_strdup (flow->response.service);
      g_hash_table_insert (endpoints, endpoint->name, endpoint);
    }
  endpoint->responses++;
  endpoint->bytes += flow->response.length;
  flow->flow_class->responses++;
  wb_histogram_record (flow->flow_class->response_time_us, now_us - flow->request_start_us);
  log_request (flow, OUTCOME_COMPLETED);
}

/* Returns TRUE when the flow has ended. */
static gboolean
response_complete (Flow *flow, gint64 now_us)
{
  count_response (flow, now_us);
  if (flow->requests_sent >= flow->flow_class->requests)
    {
      flow_end (flow, OUTCOME_COMPLETED, NULL);
      return TRUE;
    }
  flow->state = FLOW_PAUSING;
  flow->next_request_us = now_us + (gint64) flow->flow_class->pause_ms * WB_US_PER_MS;
  return FALSE;
}

/* Returns what is wrong with the header, or NULL. */
static const gchar *
check_header (Flow *flow)
{
  if (strcmp (flow->response.service, flow->flow_class->service) != 0)
    return "response of another service";
  if (flow->response.id != flow->request.id)
    return "response to another request";
  if (flow->response.length != flow->request.bytes)
    return "response of another length";
  if (flow->endpoint != NULL && strcmp (flow->endpoint, flow->response.endpoint) != 0)
    return "responses of two endpoints on one connection";
  if (flow->endpoint == NULL)
    flow->endpoint = g_strdup (flow->response.endpoint);
  return NULL;
}

/* Appends bytes to the header line. A line that is no header is a refusal text, which goes on until
 * the FIN. Returns the number of bytes consumed. */
static gsize
read_header (Flow *flow, const gchar *data, gsize length)
{
  const gchar *end = memchr (data, '\n', length);
  gsize consumed = end != NULL ? (gsize) (end - data) + 1 : length;

  g_string_append_len (flow->header_line, data, (gssize) consumed);
  if (end != NULL && g_str_has_prefix (flow->header_line->str, "OK "))
    flow->state = FLOW_READING_BODY;
  return consumed;
}

/* Returns FALSE when the flow has ended. */
static gboolean
read_response (Flow *flow, const guint8 *data, gsize length, gint64 now_us)
{
  const gchar *mismatch;
  gsize consumed;

  while (length > 0)
    {
      if (flow->state == FLOW_READING_HEADER)
        {
          consumed = read_header (flow, (const gchar *) data, length);
          data += consumed;
          length -= consumed;
          if (flow->header_line->len > MAX_LINE_BYTES)
            {
              flow_end (flow, OUTCOME_BROKEN, "header line too long");
              return FALSE;
            }
          if (flow->state != FLOW_READING_BODY)
            continue;
          g_strchomp (flow->header_line->str);
          mismatch = si_response_parse (flow->header_line->str, &flow->response)
                         ? check_header (flow)
                         : "header line malformed";
          if (mismatch != NULL)
            {
              flow_end (flow, OUTCOME_MISROUTED, mismatch);
              return FALSE;
            }
        }
      else if (flow->state != FLOW_READING_BODY)
        {
          flow_end (flow, OUTCOME_BROKEN, "data outside of a response");
          return FALSE;
        }
      consumed = (gsize) MIN (length, flow->response.length - flow->body_received);
      if (!si_body_check (flow->request.id, flow->body_received, data, consumed))
        {
          flow_end (flow, OUTCOME_BROKEN, "response body differs");
          return FALSE;
        }
      flow->body_received += consumed;
      data += consumed;
      length -= consumed;
      if (flow->body_received == flow->response.length && response_complete (flow, now_us))
        return FALSE;
    }
  return TRUE;
}

/* Whether a refusal has a positive number after the word "retry". */
static gboolean
has_retry_time (const gchar *text)
{
  g_autofree gchar *lower = g_ascii_strdown (text, -1);
  const gchar *retry = strstr (lower, "retry");

  return retry != NULL && strpbrk (retry, "123456789") != NULL;
}

static void
closed_by_server (Flow *flow)
{
  if (flow->state == FLOW_READING_HEADER && flow->header_line->len > 0)
    {
      if (!has_retry_time (flow->header_line->str))
        flow->flow_class->refused_without_retry++;
      flow_end (flow, OUTCOME_REFUSED, NULL);
      return;
    }
  flow_end (flow, OUTCOME_BROKEN, "closed by the server");
}

static err_t
flow_received (void *arg, struct tcp_pcb *pcb, struct pbuf *buffer, err_t status)
{
  gint64 now_us = g_get_monotonic_time ();
  Flow *flow = arg;
  struct pbuf *part;

  if (buffer == NULL)
    {
      closed_by_server (flow);
      return ERR_OK;
    }
  if (flow->flow_class->read_bytes_per_s == 0)
    tcp_recved (pcb, buffer->tot_len);
  else
    flow->unread_bytes += buffer->tot_len;
  flow->last_progress_us = now_us;
  for (part = buffer; part != NULL; part = part->next)
    if (!read_response (flow, part->payload, part->len, now_us))
      break;
  pbuf_free (buffer);
  return ERR_OK;
}

static err_t
flow_connected (void *arg, struct tcp_pcb *pcb, err_t status)
{
  gint64 now_us = g_get_monotonic_time ();
  Flow *flow = arg;

  flow->last_progress_us = now_us;
  if (flow->flow_class->idle_ms == 0)
    {
      send_request (flow, now_us);
      return ERR_OK;
    }
  flow->state = FLOW_PAUSING;
  flow->next_request_us = now_us + (gint64) flow->flow_class->idle_ms * WB_US_PER_MS;
  return ERR_OK;
}

/* lwIP has already freed the control block of the connection. */
static void
flow_failed (void *arg, err_t status)
{
  Flow *flow = arg;

  flow->pcb = NULL;
  flow_end (flow, OUTCOME_BROKEN, status == ERR_RST ? "reset" : "aborted by TCP");
}

static struct tcp_pcb *
bind_client (LdRun *run, Flow *flow)
{
  guint client = (guint) g_rand_int_range (run->random, 0, (gint32) run->client_count);
  struct tcp_pcb *pcb = tcp_new ();
  ip_addr_t address;

  flow->client_address = run->client_base + client;
  ip_addr_set_ip4_u32_val (address, lwip_htonl (flow->client_address));
  do
    {
      run->last_client_ports[client] =
          run->last_client_ports[client] < FIRST_PORT || run->last_client_ports[client] >= LAST_PORT
              ? FIRST_PORT
              : run->last_client_ports[client] + 1;
      flow->client_port = run->last_client_ports[client];
    }
  while (tcp_bind (pcb, &address, flow->client_port) != ERR_OK);
  return pcb;
}

void
ld_flow_open (LdRun *run, LdFlowClass *flow_class, gint64 now_us)
{
  Flow *flow = g_new0 (Flow, 1);
  ip_addr_t address;

  flow->run = run;
  flow->flow_class = flow_class;
  flow->header_line = g_string_new (NULL);
  flow->request_start_us = now_us;
  flow->last_progress_us = now_us;
  flow->pcb = bind_client (run, flow);
  g_queue_push_tail (&run->flows, flow);
  flow->queue_link = run->flows.tail;
  flow_class->opened++;
  tcp_nagle_disable (flow->pcb);
  tcp_arg (flow->pcb, flow);
  tcp_recv (flow->pcb, flow_received);
  tcp_err (flow->pcb, flow_failed);
  ip_addr_set_ip4_u32_val (address, lwip_htonl (flow_class->address));
  if (tcp_connect (flow->pcb, &address, flow_class->port, flow_connected) != ERR_OK)
    flow_end (flow, OUTCOME_BROKEN, "cannot connect");
}

/* Opens the receive window at the rate of the class: a client that reads slowly keeps it small. */
static void
open_window_paced (Flow *flow, gint64 now_us)
{
  guint64 allowed =
      flow->flow_class->read_bytes_per_s * (guint64) (now_us - flow->last_read_us) / WB_US_PER_S;
  guint64 length = MIN (MIN (allowed, flow->unread_bytes), G_MAXUINT16);

  if (flow->last_read_us == 0 || flow->unread_bytes == 0)
    flow->last_read_us = now_us;
  else if (length >= MIN (MIN_PACED_READ_BYTES, flow->unread_bytes))
    {
      flow->unread_bytes -= length;
      flow->last_read_us = now_us;
      tcp_recved (flow->pcb, (u16_t) length);
    }
}

void
ld_flows_tick (LdRun *run, gint64 now_us)
{
  GList *link, *next;

  for (link = run->flows.head; link != NULL; link = next)
    {
      Flow *flow = link->data;

      next = link->next;
      if (flow->flow_class->read_bytes_per_s > 0 && flow->state == FLOW_READING_BODY)
        open_window_paced (flow, now_us);
      if (flow->state != FLOW_PAUSING && now_us - flow->last_progress_us > run->stall_timeout_us)
        flow_end (flow, OUTCOME_BROKEN, "no progress");
      else if (flow->state == FLOW_PAUSING && flow->next_request_us <= now_us)
        send_request (flow, now_us);
    }
}

void
ld_flows_abort (LdRun *run)
{
  GList *link, *next;

  for (link = run->flows.head; link != NULL; link = next)
    {
      next = link->next;
      flow_end (link->data, OUTCOME_BROKEN, "not finished when the run ended");
    }
}
