#include "sk.h"

#include "wb.h"

#include <string.h>

/*
 * Clients that keep their flows open and send request after request on them, to a route that the
 * configurations move from service to service. Open flows stay with their servers; new ones follow
 * the configuration.
 */

#define SEED_OFFSET 400000
#define FLOW_COUNT 30
#define REQUESTS_MAX 30 /* on one flow */
#define THINK_TIME_MAX_MS 1500
#define RETRY_INTERVAL_US (200 * WB_US_PER_MS)
#define INITIAL_SENDS_MAX 3
#define OPEN_TIMEOUT_US (1400 * WB_US_PER_MS)
/* The users' stability window: who has had no fault in it now has had none since the request. */
#define RESPONSE_TIMEOUT_US (4 * WB_US_PER_S)
#define FIRST_PORT SK_FIRST_MOVED_CLIENT_PORT
#define LAST_PORT 65500

/* Users' setting: a configuration is in effect this long after the store has acknowledged it. */
#define CONFIG_BOUND_US (3 * WB_US_PER_S)

/* The users count a flow as misrouted when for this time at least so many of its packets reach
 * other servers and none its own. */
#define STRAYS_MIN 3
#define STRAYS_TIME_US (2 * WB_US_PER_S)

/* One packet may visit several servers. It takes less than this, and a client's retransmission
 * follows later. */
#define CHAIN_TIME_US (100 * WB_US_PER_MS)

typedef struct
{
  guint service;
  gint64 written_us;
} Owner;

typedef struct
{
  guint16 port; /* 0: not opened yet */
  gint64 opened_us;
  gint64 sent_us; /* last transmission */
  guint initial_sends;
  guint32 sequence;
  guint32 acknowledgment;
  gboolean established;
  guint requests_left;
  guint number;              /* of the last request; 0: none yet */
  gint64 request_started_us; /* 0: no request in progress */
  gint64 next_request_us;
  guint runs;           /* of that request */
  guint parts_received; /* bit mask of response packets */
  guint stray_count;    /* packets at other servers since the last at the flow's own */
  gint64 first_stray_us, last_stray_us;
} MovedFlow;

static GRand *generator; /* NULL when no route moves */
static GArray *owners;   /* of Owner, oldest first */
static MovedFlow flows[FLOW_COUNT];
static guint next_port = FIRST_PORT;
static guint next_number = 50000000;
static guint started_count, completed_count;
static guint64 request_total;

void
sk_moved_open (guint32 seed)
{
  generator = g_rand_new_with_seed (seed + SEED_OFFSET);
  owners = g_array_new (FALSE, FALSE, sizeof (Owner));
}

void
sk_moved_close (void)
{
  if (generator == NULL)
    return;
  g_clear_pointer (&generator, g_rand_free);
  g_array_unref (owners);
}

gboolean
sk_moved_is_on (void)
{
  return generator != NULL;
}

guint
sk_moved_draw_service (void)
{
  return (guint) g_rand_int_range (generator, 0, SK_SERVICE_COUNT);
}

void
sk_moved_written (guint service)
{
  Owner owner = { service, g_get_monotonic_time () };

  g_array_append_val (owners, owner);
}

void
sk_moved_take_counts (guint *started, guint *completed)
{
  *started = started_count;
  *completed = completed_count;
  started_count = completed_count = 0;
}

guint64
sk_moved_request_total (void)
{
  return request_total;
}

static MovedFlow *
find_flow (guint16 port)
{
  guint i;

  for (i = 0; i < FLOW_COUNT; i++)
    if (flows[i].port == port)
      return &flows[i];
  return NULL;
}

static gboolean
balancers_are_stable (gint64 now_us)
{
  guint i;

  for (i = 0; i < SK_BALANCER_COUNT; i++)
    if (!sk_balancer_is_stable (i, now_us))
      return FALSE;
  return TRUE;
}

/* Whether a configuration that may have been in effect since the flow's first packet was sent gives
 * the route to the service. */
static gboolean
may_open (const MovedFlow *flow, guint service)
{
  guint i;

  for (i = owners->len; i > 0; i--)
    {
      const Owner *owner = &g_array_index (owners, Owner, i - 1);

      if (owner->service == service)
        return TRUE;
      if (owner->written_us + CONFIG_BOUND_US < flow->opened_us)
        return FALSE;
    }
  return FALSE;
}

void
sk_moved_check_initial (guint16 client_port, guint server)
{
  const MovedFlow *flow = find_flow (client_port);

  if (flow != NULL && !may_open (flow, server % SK_SERVICE_COUNT) &&
      balancers_are_stable (flow->opened_us) && sk_host_is_stable (SK_AGENT_ADDRESS + server))
    sk_report_violation ("flow %u: opened at server %u, whose service had lost the route %d ms "
                         "before or earlier",
                         client_port, server, (gint) (CONFIG_BOUND_US / WB_US_PER_MS));
}

void
sk_moved_check_run (guint16 client_port, guint number)
{
  MovedFlow *flow = find_flow (client_port);

  if (flow == NULL || flow->number != number)
    return;
  if (++flow->runs > 1)
    sk_report_violation ("request %u ran %u times", number, flow->runs);
}

/* Counts a packet that a server has returned, if another server holds the flow, and a packet that
 * has reached that server. */
void
sk_moved_check_packet (guint16 client_port, guint server)
{
  MovedFlow *flow = find_flow (client_port);
  guint holder = sk_server_holder (client_port);
  gint64 now_us = g_get_monotonic_time ();

  if (flow == NULL || holder == SK_SERVER_COUNT)
    return;
  if (holder == server || !sk_host_is_stable (SK_AGENT_ADDRESS + holder) ||
      !balancers_are_stable (now_us))
    {
      flow->stray_count = 0;
      return;
    }
  if (flow->stray_count > 0 && now_us - flow->last_stray_us < CHAIN_TIME_US)
    return;
  if (flow->stray_count++ == 0)
    flow->first_stray_us = now_us;
  flow->last_stray_us = now_us;
  if (flow->stray_count >= STRAYS_MIN && now_us - flow->first_stray_us >= STRAYS_TIME_US)
    {
      sk_report_violation (
          "flow %u: %u packets in %d ms reached other servers, the last one server "
          "%u, and none server %u, which holds the flow",
          client_port, flow->stray_count, (gint) ((now_us - flow->first_stray_us) / WB_US_PER_MS),
          server, holder);
      flow->stray_count = 0;
    }
}

static void
send_packet (MovedFlow *flow, guint8 flags, guint32 acknowledgment, const gchar *text)
{
  SkPacket packet = { .source = SK_CLIENT_ADDRESS,
                      .destination = SK_ROUTE_ADDRESS,
                      .source_port = flow->port,
                      .destination_port = SK_MOVED_PORT,
                      .flags = flags,
                      .sequence = flow->sequence,
                      .acknowledgment = acknowledgment,
                      .payload = text,
                      .payload_length = text != NULL ? strlen (text) : 0 };

  flow->sent_us = g_get_monotonic_time ();
  sk_client_send (&packet);
}

static void
request_text (const MovedFlow *flow, GString *text)
{
  g_string_printf (text, "GET /%u HTTP/1.1\r\n\r\n", flow->number);
}

static void
send_request (MovedFlow *flow)
{
  g_autoptr (GString) text = g_string_new (NULL);

  request_text (flow, text);
  send_packet (flow, SK_FLAG_ACK, flow->acknowledgment, text->str);
}

/* The client gives the flow up, or has no further request. */
static void
end_flow (MovedFlow *flow, gint64 now_us)
{
  if (flow->established)
    send_packet (flow, SK_FLAG_RST, flow->acknowledgment, NULL);
  memset (flow, 0, sizeof *flow);
  flow->next_request_us =
      now_us + g_rand_int_range (generator, 0, THINK_TIME_MAX_MS) * WB_US_PER_MS;
}

static void
open_flow (MovedFlow *flow, gint64 now_us)
{
  flow->port = (guint16) next_port;
  next_port = next_port == LAST_PORT ? FIRST_PORT : next_port + 1;
  flow->opened_us = now_us;
  flow->sequence = g_rand_int (generator);
  flow->requests_left = (guint) g_rand_int_range (generator, 1, REQUESTS_MAX + 1);
  flow->initial_sends = 1;
  send_packet (flow, SK_FLAG_SYN, 0, NULL);
}

static void
start_request (MovedFlow *flow, gint64 now_us)
{
  flow->number = next_number++;
  flow->requests_left--;
  flow->request_started_us = now_us;
  flow->runs = flow->parts_received = 0;
  started_count++;
  request_total++;
  send_request (flow);
}

static void
handle_response_part (MovedFlow *flow, const SkPacket *packet)
{
  g_autoptr (GString) request = g_string_new (NULL);
  guint part;

  for (part = 0; part < SK_RESPONSE_PACKETS; part++)
    {
      g_autofree gchar *expected = g_strdup_printf ("%08u part %u", flow->number, part);

      if (packet->payload_length == strlen (expected) &&
          memcmp (packet->payload, expected, packet->payload_length) == 0)
        break;
    }
  /* Parts of an earlier response may be repeated. */
  if (part == SK_RESPONSE_PACKETS || flow->request_started_us == 0)
    return;
  flow->parts_received |= 1U << part;
  if (part == SK_RESPONSE_PACKETS - 1)
    flow->acknowledgment = packet->sequence + (guint32) packet->payload_length;
  if (flow->parts_received != (1U << SK_RESPONSE_PACKETS) - 1)
    return;
  request_text (flow, request);
  flow->sequence += (guint32) request->len;
  flow->request_started_us = 0;
  flow->next_request_us =
      g_get_monotonic_time () + g_rand_int_range (generator, 0, THINK_TIME_MAX_MS) * WB_US_PER_MS;
  completed_count++;
  send_packet (flow, SK_FLAG_ACK, flow->acknowledgment, NULL);
}

/* A reset of an open flow is a violation if a server still holds the flow and neither the sender
 * nor that server's agent had a recent fault. */
static void
handle_reset (MovedFlow *flow, guint32 address)
{
  guint holder = sk_server_holder (flow->port);

  if (flow->established && holder < SK_SERVER_COUNT && sk_host_is_stable (address) &&
      sk_host_is_stable (SK_AGENT_ADDRESS + holder))
    sk_report_violation ("flow %u: %x reset an open flow that server %u holds", flow->port, address,
                         holder);
  flow->established = FALSE;
  end_flow (flow, g_get_monotonic_time ());
}

gboolean
sk_moved_packet (guint32 address, const SkPacket *packet)
{
  MovedFlow *flow;

  if (packet->destination_port < FIRST_PORT)
    return FALSE;
  flow = find_flow (packet->destination_port);
  if (flow == NULL)
    return TRUE;
  if (packet->flags & SK_FLAG_RST)
    {
      handle_reset (flow, address);
      return TRUE;
    }
  if (!packet->checksum_valid)
    sk_report_violation ("flow %u: packet with a wrong checksum", flow->port);
  if ((packet->flags & SK_FLAG_SYN) && !flow->established)
    {
      flow->established = TRUE;
      flow->sequence++;
      flow->acknowledgment = packet->sequence + 1;
      start_request (flow, g_get_monotonic_time ());
    }
  else if (packet->payload_length > 0 && flow->established)
    handle_response_part (flow, packet);
  return TRUE;
}

/* A request on an open flow gets a response while its server runs and nobody has a fault. */
static void
give_up_request (MovedFlow *flow, gint64 now_us)
{
  guint holder = sk_server_holder (flow->port);

  if (holder < SK_SERVER_COUNT && balancers_are_stable (now_us) &&
      sk_host_is_stable (SK_AGENT_ADDRESS + holder))
    sk_report_violation ("request %u: no response in %d ms on open flow %u, which server %u holds",
                         flow->number, (gint) (RESPONSE_TIMEOUT_US / WB_US_PER_MS), flow->port,
                         holder);
  end_flow (flow, now_us);
}

static void
advance_flow (MovedFlow *flow, gint64 now_us)
{
  if (flow->port == 0)
    {
      if (now_us >= flow->next_request_us)
        open_flow (flow, now_us);
    }
  else if (!flow->established)
    {
      if (now_us - flow->opened_us > OPEN_TIMEOUT_US)
        end_flow (flow, now_us);
      else if (flow->initial_sends < INITIAL_SENDS_MAX &&
               now_us - flow->sent_us >= RETRY_INTERVAL_US * flow->initial_sends)
        send_packet (flow, SK_FLAG_SYN, flow->initial_sends++, NULL);
    }
  else if (flow->request_started_us != 0)
    {
      if (now_us - flow->request_started_us > RESPONSE_TIMEOUT_US)
        give_up_request (flow, now_us);
      else if (now_us - flow->sent_us >= RETRY_INTERVAL_US)
        send_request (flow);
    }
  else if (now_us >= flow->next_request_us)
    {
      if (flow->requests_left == 0)
        end_flow (flow, now_us);
      else
        start_request (flow, now_us);
    }
}

void
sk_moved_tick (gint64 now_us)
{
  guint i;

  for (i = 0; i < FLOW_COUNT && generator != NULL; i++)
    advance_flow (&flows[i], now_us);
}
