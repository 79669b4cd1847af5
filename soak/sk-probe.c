#include "sk.h"

#include "wb.h"

/*
 * Flows that test which configuration a balancer has in effect, as the users' platform sends them:
 * to a route that was just added and to one that was just dropped, directly to each balancer.
 */

/* Users' setting: a configuration is in effect this long after the store has acknowledged it. */
#define CONFIG_BOUND_US (3 * WB_US_PER_S)
#define PROBE_INTERVAL_US (100 * WB_US_PER_MS)
/* Probes have client ports of their own, above those of the requests. */
#define FIRST_PROBE_PORT 60001
#define LAST_PROBE_PORT 65000
/* Time after which no response to a probe is awaited. */
#define PROBE_LIFETIME_US (1 * WB_US_PER_S)

typedef struct
{
  guint64 version;
  guint route_count;
  gint64 written_us;
} Config;

/* Probes of one balancer that were sent at the same time. */
typedef struct
{
  guint balancer;
  gint64 sent_us;
  guint64 version;      /* oldest one that the balancer may have in effect */
  guint16 added_port;   /* client port of the probe to the last route that must exist */
  guint16 kept_port;    /* of the one to the same service's first route */
  guint16 dropped_port; /* of the one to the first route that must not exist */
  gboolean added_reset, kept_reset;
} Probe;

static GArray *configs;            /* of Config, oldest first */
static GHashTable *probes;         /* client port to Probe; each Probe has three ports */
static GQueue sent = G_QUEUE_INIT; /* of Probe (owned), oldest first */
static gint64 next_probe_us;
static guint next_port = FIRST_PROBE_PORT;
static guint64 probe_total;

void
sk_probe_open (void)
{
  configs = g_array_new (FALSE, FALSE, sizeof (Config));
  probes = g_hash_table_new (NULL, NULL);
}

void
sk_probe_close (void)
{
  g_queue_clear_full (&sent, g_free);
  g_hash_table_unref (probes);
  g_array_unref (configs);
}

guint64
sk_probe_total (void)
{
  return probe_total;
}

void
sk_probe_config_written (guint64 version, guint route_count)
{
  Config config = { version, route_count, g_get_monotonic_time () };

  g_array_append_val (configs, config);
}

/* Index of the oldest configuration that may still be in effect. */
static guint
oldest_allowed (gint64 now_us)
{
  guint index = configs->len - 1;

  while (index > 0 && now_us - g_array_index (configs, Config, index).written_us < CONFIG_BOUND_US)
    index--;
  return index;
}

static guint16
send_probe (guint balancer, guint route)
{
  guint16 port = (guint16) next_port;
  SkPacket packet = { .source = SK_CLIENT_ADDRESS,
                      .destination = SK_ROUTE_ADDRESS,
                      .source_port = port,
                      .destination_port = (guint16) (SK_FIRST_SERVICE_PORT + route),
                      .flags = SK_FLAG_SYN,
                      .sequence = next_port };

  next_port = next_port == LAST_PROBE_PORT ? FIRST_PROBE_PORT : next_port + 1;
  sk_client_send_to_balancer (balancer, &packet);
  return port;
}

static void
probe_balancer (guint balancer, gint64 now_us)
{
  guint oldest = oldest_allowed (now_us);
  guint fewest = G_MAXUINT, most = 0, i;
  Probe *probe = g_new0 (Probe, 1);

  for (i = oldest; i < configs->len; i++)
    {
      fewest = MIN (fewest, g_array_index (configs, Config, i).route_count);
      most = MAX (most, g_array_index (configs, Config, i).route_count);
    }
  probe->balancer = balancer;
  probe->sent_us = now_us;
  probe->version = g_array_index (configs, Config, oldest).version;
  probe->added_port = send_probe (balancer, fewest - 1);
  probe->kept_port = send_probe (balancer, (fewest - 1) % SK_SERVICE_COUNT);
  probe->dropped_port = send_probe (balancer, most);
  g_hash_table_insert (probes, GUINT_TO_POINTER (probe->added_port), probe);
  g_hash_table_insert (probes, GUINT_TO_POINTER (probe->kept_port), probe);
  g_hash_table_insert (probes, GUINT_TO_POINTER (probe->dropped_port), probe);
  g_queue_push_tail (&sent, probe);
  probe_total++;
}

/* A balancer also resets a flow to a service without an endpoint, but then the flow to the kept
 * route of that service too. */
static void
finish_probe (Probe *probe)
{
  if (probe->added_reset && !probe->kept_reset)
    sk_report_violation ("balancer %u: refused a route that version %" G_GUINT64_FORMAT
                         " has, more than %d ms after it was acknowledged",
                         probe->balancer, probe->version, (gint) (CONFIG_BOUND_US / WB_US_PER_MS));
  g_hash_table_remove (probes, GUINT_TO_POINTER (probe->added_port));
  g_hash_table_remove (probes, GUINT_TO_POINTER (probe->kept_port));
  g_hash_table_remove (probes, GUINT_TO_POINTER (probe->dropped_port));
  g_free (probe);
}

/* Ends the flow that a server has opened for a probe. */
static void
reset_flow (const Probe *probe, const SkPacket *packet)
{
  SkPacket reset = { .source = SK_CLIENT_ADDRESS,
                     .destination = packet->source,
                     .source_port = packet->destination_port,
                     .destination_port = packet->source_port,
                     .flags = SK_FLAG_RST,
                     .sequence = packet->acknowledgment };

  sk_client_send_to_balancer (probe->balancer, &reset);
}

gboolean
sk_probe_packet (guint32 address, const SkPacket *packet)
{
  Probe *probe = g_hash_table_lookup (probes, GUINT_TO_POINTER (packet->destination_port));

  if (packet->destination_port < FIRST_PROBE_PORT)
    return FALSE;
  if (probe == NULL)
    return TRUE;
  if (packet->flags & SK_FLAG_RST)
    {
      gboolean by_balancer = address == SK_BALANCER_ADDRESS + probe->balancer;

      probe->added_reset |= by_balancer && packet->destination_port == probe->added_port;
      probe->kept_reset |= by_balancer && packet->destination_port == probe->kept_port;
      return TRUE;
    }
  if (packet->destination_port == probe->dropped_port)
    sk_report_violation ("balancer %u: a route that version %" G_GUINT64_FORMAT
                         " does not have was served more than %d ms after it was acknowledged",
                         probe->balancer, probe->version, (gint) (CONFIG_BOUND_US / WB_US_PER_MS));
  reset_flow (probe, packet);
  return TRUE;
}

void
sk_probe_tick (gint64 now_us)
{
  guint i;

  while (!g_queue_is_empty (&sent) &&
         now_us - ((Probe *) g_queue_peek_head (&sent))->sent_us > PROBE_LIFETIME_US)
    finish_probe (g_queue_pop_head (&sent));
  if (now_us < next_probe_us || configs->len == 0)
    return;
  next_probe_us = now_us + PROBE_INTERVAL_US;
  for (i = 0; i < SK_BALANCER_COUNT; i++)
    if (sk_balancer_is_stable (i, now_us))
      probe_balancer (i, now_us);
}
