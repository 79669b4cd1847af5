#include "si-lwip.h"

#include "ld.h"

#include <stdio.h>
#include <string.h>

#define FIRST_PORT 10000
#define LAST_PORT 60000
#define LINE_MAX_BYTES 1500
/* Opening the window by less would send a segment for every few bytes read. */
#define PACED_READ_BYTES 8192

typedef enum
{
  FLOW_CONNECTING,
  FLOW_PAUSING,
  FLOW_HEADER,
  FLOW_BODY,
} FlowState;

typedef enum
{
  OUTCOME_WHOLE,
  OUTCOME_REFUSED,
  OUTCOME_BROKEN,
  OUTCOME_MISROUTED,
} Outcome;

static const gchar *const outcome_names[] = { "whole", "refused", "broken", "misrouted" };

typedef struct
{
  LdRun *run;
  LdMix *mix;
  GList *link;
  struct tcp_pcb *pcb;
  guint32 client_address;
  guint16 client_port;
  FlowState state;
  SiRequest request;
  guint requests_sent;
  gint64 begin_us; /* of the request in progress */
  gint64 due_us;   /* of the next request */
  gint64 progress_us;
  GString *line;
  SiAnswer answer;
  guint64 received;
  gchar *endpoint; /* of the first response */
  guint64 unread;  /* received bytes that the window has not been opened for */
  gint64 read_us;  /* last time at which the window was opened */
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
  g_queue_delete_link (&flow->run->flows, flow->link);
  g_string_free (flow->line, TRUE);
  g_free (flow->endpoint);
  g_free (flow);
}

/* One line: id, outcome, begin of the request since the begin of the run and duration in ms, class,
 * endpoint, client. */
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
                          (flow->begin_us - flow->run->begin_us) / WB_US_PER_MS,
                          (now_us - flow->begin_us) / WB_US_PER_MS, flow->mix->name,
                          flow->endpoint != NULL ? flow->endpoint : "-", client);
}

static void
print_failure (const Flow *flow, Outcome outcome, const gchar *reason)
{
  g_autofree gchar *client = ww_address_format (flow->client_address, flow->client_port);
  gdouble now_s = (gdouble) (g_get_monotonic_time () - flow->run->begin_us) / 1e6;
  gdouble begin_s = (gdouble) (flow->begin_us - flow->run->begin_us) / 1e6;

  fprintf (stderr,
           "caller: %s %s: %s; client=%s id=%" G_GUINT64_FORMAT
           " request=%u begin_s=%.3f now_s=%.3f received=%" G_GUINT64_FORMAT " endpoint=%s\n",
           flow->mix->name, outcome_names[outcome], reason, client, flow->request.id,
           flow->requests_sent, begin_s, now_s, flow->received,
           flow->endpoint != NULL ? flow->endpoint : "-");
}

/* Ends a flow whose control block is still valid or already NULL. */
static void
flow_end (Flow *flow, Outcome outcome, const gchar *reason)
{
  LdMix *mix = flow->mix;

  if (outcome == OUTCOME_WHOLE)
    mix->whole++;
  else if (outcome == OUTCOME_REFUSED)
    mix->refused++;
  else if (outcome == OUTCOME_BROKEN)
    mix->broken++;
  else
    mix->misrouted++;
  if (outcome != OUTCOME_WHOLE)
    log_request (flow, outcome);
  if (outcome == OUTCOME_BROKEN || outcome == OUTCOME_MISROUTED)
    print_failure (flow, outcome, reason);
  flow_detach (flow);
  /* lwIP resets a connection that is closed with unread data. */
  for (; flow->pcb != NULL && flow->unread > 0; flow->unread -= MIN (flow->unread, G_MAXUINT16))
    tcp_recved (flow->pcb, (u16_t) MIN (flow->unread, G_MAXUINT16));
  if (flow->pcb != NULL)
    tcp_close (flow->pcb);
  flow_free (flow);
}

static void
send_request (Flow *flow, gint64 now_us)
{
  g_autofree gchar *line = NULL;

  flow->request.id = ++flow->run->last_id;
  flow->request.bytes = flow->mix->bytes;
  flow->request.work_ms = flow->mix->work_ms;
  if (flow->requests_sent > 0 || flow->mix->idle_ms > 0)
    flow->begin_us = now_us;
  flow->requests_sent++;
  flow->state = FLOW_HEADER;
  flow->progress_us = now_us;
  flow->received = 0;
  g_string_truncate (flow->line, 0);
  line = si_request_format (&flow->request);
  if (tcp_write (flow->pcb, line, (u16_t) strlen (line), TCP_WRITE_FLAG_COPY) != ERR_OK)
    fprintf (stderr, "caller: cannot queue a request\n");
  tcp_output (flow->pcb);
}

static void
count_response (Flow *flow, gint64 now_us)
{
  GHashTable *endpoints = flow->run->endpoints;
  LdEndpoint *endpoint = g_hash_table_lookup (endpoints, flow->answer.endpoint);

  if (endpoint == NULL)
    {
      endpoint = g_new0 (LdEndpoint, 1);
      endpoint->name = g_strdup (flow->answer.endpoint);
      endpoint->service = g_strdup (flow->answer.service);
      g_hash_table_insert (endpoints, endpoint->name, endpoint);
    }
  endpoint->responses++;
  endpoint->bytes += flow->answer.length;
  flow->mix->responses++;
  wb_histogram_record (flow->mix->time_us, now_us - flow->begin_us);
  log_request (flow, OUTCOME_WHOLE);
}

/* Returns TRUE when the flow has ended. */
static gboolean
response_complete (Flow *flow, gint64 now_us)
{
  count_response (flow, now_us);
  if (flow->requests_sent >= flow->mix->requests)
    {
      flow_end (flow, OUTCOME_WHOLE, NULL);
      return TRUE;
    }
  flow->state = FLOW_PAUSING;
  flow->due_us = now_us + (gint64) flow->mix->pause_ms * WB_US_PER_MS;
  return FALSE;
}

static const gchar *
check_header (Flow *flow)
{
  if (strcmp (flow->answer.service, flow->mix->service) != 0)
    return "response of another service";
  if (flow->answer.id != flow->request.id)
    return "response to another request";
  if (flow->answer.length != flow->request.bytes)
    return "response of another length";
  if (flow->endpoint != NULL && strcmp (flow->endpoint, flow->answer.endpoint) != 0)
    return "responses of two endpoints on one connection";
  if (flow->endpoint == NULL)
    flow->endpoint = g_strdup (flow->answer.endpoint);
  return NULL;
}

/* Reads bytes of the header line. A line that is no header is a refusal, which ends with FIN.
 * Returns the number of bytes used. */
static gsize
take_header (Flow *flow, const gchar *data, gsize length)
{
  const gchar *end = memchr (data, '\n', length);
  gsize used = end != NULL ? (gsize) (end - data) + 1 : length;

  g_string_append_len (flow->line, data, (gssize) used);
  if (end != NULL && g_str_has_prefix (flow->line->str, "OK "))
    flow->state = FLOW_BODY;
  return used;
}

/* Returns FALSE when the flow has ended. */
static gboolean
take_bytes (Flow *flow, const guint8 *data, gsize length, gint64 now_us)
{
  const gchar *wrong;
  gsize used;

  while (length > 0)
    {
      if (flow->state == FLOW_HEADER)
        {
          used = take_header (flow, (const gchar *) data, length);
          data += used;
          length -= used;
          if (flow->line->len > LINE_MAX_BYTES)
            {
              flow_end (flow, OUTCOME_BROKEN, "header line too long");
              return FALSE;
            }
          if (flow->state != FLOW_BODY)
            continue;
          g_strchomp (flow->line->str);
          wrong = si_answer_parse (flow->line->str, &flow->answer) ? check_header (flow)
                                                                   : "header line malformed";
          if (wrong != NULL)
            {
              flow_end (flow, OUTCOME_MISROUTED, wrong);
              return FALSE;
            }
        }
      else if (flow->state != FLOW_BODY)
        {
          flow_end (flow, OUTCOME_BROKEN, "data outside of a response");
          return FALSE;
        }
      used = (gsize) MIN (length, flow->answer.length - flow->received);
      if (!si_body_check (flow->request.id, flow->received, data, used))
        {
          flow_end (flow, OUTCOME_BROKEN, "response body differs");
          return FALSE;
        }
      flow->received += used;
      data += used;
      length -= used;
      if (flow->received == flow->answer.length && response_complete (flow, now_us))
        return FALSE;
    }
  return TRUE;
}

/* Whether a refusal has a positive number after the word "retry". */
static gboolean
names_time (const gchar *text)
{
  g_autofree gchar *lower = g_ascii_strdown (text, -1);
  const gchar *retry = strstr (lower, "retry");

  return retry != NULL && strpbrk (retry, "123456789") != NULL;
}

static void
peer_closed (Flow *flow)
{
  if (flow->state == FLOW_HEADER && flow->line->len > 0)
    {
      if (!names_time (flow->line->str))
        flow->mix->refused_no_time++;
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
      peer_closed (flow);
      return ERR_OK;
    }
  if (flow->mix->pace == 0)
    tcp_recved (pcb, buffer->tot_len);
  else
    flow->unread += buffer->tot_len;
  flow->progress_us = now_us;
  for (part = buffer; part != NULL; part = part->next)
    if (!take_bytes (flow, part->payload, part->len, now_us))
      break;
  pbuf_free (buffer);
  return ERR_OK;
}

static err_t
flow_connected (void *arg, struct tcp_pcb *pcb, err_t status)
{
  gint64 now_us = g_get_monotonic_time ();
  Flow *flow = arg;

  flow->progress_us = now_us;
  if (flow->mix->idle_ms == 0)
    {
      send_request (flow, now_us);
      return ERR_OK;
    }
  flow->state = FLOW_PAUSING;
  flow->due_us = now_us + (gint64) flow->mix->idle_ms * WB_US_PER_MS;
  return ERR_OK;
}

/* lwIP has freed the connection's control block already. */
static void
flow_failed (void *arg, err_t status)
{
  Flow *flow = arg;

  flow->pcb = NULL;
  flow_end (flow, OUTCOME_BROKEN, status == ERR_RST ? "reset" : "given up by TCP");
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
      run->client_ports[client] =
          run->client_ports[client] < FIRST_PORT || run->client_ports[client] >= LAST_PORT
              ? FIRST_PORT
              : run->client_ports[client] + 1;
      flow->client_port = run->client_ports[client];
    }
  while (tcp_bind (pcb, &address, flow->client_port) != ERR_OK);
  return pcb;
}

void
ld_flow_open (LdRun *run, LdMix *mix, gint64 now_us)
{
  Flow *flow = g_new0 (Flow, 1);
  ip_addr_t address;

  flow->run = run;
  flow->mix = mix;
  flow->line = g_string_new (NULL);
  flow->begin_us = now_us;
  flow->progress_us = now_us;
  flow->pcb = bind_client (run, flow);
  g_queue_push_tail (&run->flows, flow);
  flow->link = run->flows.tail;
  mix->opened++;
  tcp_nagle_disable (flow->pcb);
  tcp_arg (flow->pcb, flow);
  tcp_recv (flow->pcb, flow_received);
  tcp_err (flow->pcb, flow_failed);
  ip_addr_set_ip4_u32_val (address, lwip_htonl (mix->address));
  if (tcp_connect (flow->pcb, &address, mix->port, flow_connected) != ERR_OK)
    flow_end (flow, OUTCOME_BROKEN, "cannot connect");
}

/* A client that reads slowly keeps the window of the connection small. */
static void
read_paced (Flow *flow, gint64 now_us)
{
  guint64 allowed = flow->mix->pace * (guint64) (now_us - flow->read_us) / WB_US_PER_S;
  guint64 length = MIN (MIN (allowed, flow->unread), G_MAXUINT16);

  if (flow->read_us == 0 || flow->unread == 0)
    flow->read_us = now_us;
  else if (length >= MIN (PACED_READ_BYTES, flow->unread))
    {
      flow->unread -= length;
      flow->read_us = now_us;
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
      if (flow->mix->pace > 0 && flow->state == FLOW_BODY)
        read_paced (flow, now_us);
      if (flow->state != FLOW_PAUSING && now_us - flow->progress_us > run->stall_us)
        flow_end (flow, OUTCOME_BROKEN, "no progress");
      else if (flow->state == FLOW_PAUSING && flow->due_us <= now_us)
        send_request (flow, now_us);
    }
}

void
ld_flows_abandon (LdRun *run)
{
  GList *link, *next;

  for (link = run->flows.head; link != NULL; link = next)
    {
      next = link->next;
      flow_end (link->data, OUTCOME_BROKEN, "not finished when the run ended");
    }
}
