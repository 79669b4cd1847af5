#include "wl.h"

#include "wc-history.h"
#include "ww-flow-log.h"

enum
{
  COUNTER_FORWARDED,
  COUNTER_NO_SERVICE,
  COUNTER_NO_ENDPOINT,
  COUNTER_MALFORMED,
  COUNTER_FRAGMENT,
  COUNTER_UNSUPPORTED,
  COUNTER_CONFIG_OLDER,
  COUNTER_REFUSED,
  N_COUNTERS,
};

static const WbCounterDef counter_definitions[N_COUNTERS] = {
  { "balancer_forwarded", "Packets forwarded to an agent." },
  { "balancer_no_service", "Packets dropped because no route matches their destination." },
  { "balancer_no_endpoint", "Packets dropped because the service has no endpoint." },
  { "balancer_malformed", "Packets dropped because they are malformed." },
  { "balancer_fragment", "IP fragments dropped." },
  { "balancer_unsupported",
    "Packets dropped because their protocol or ICMP type is not supported." },
  { "balancer_config_older", "Configurations ignored because a newer one is in effect." },
  { "balancer_refused", "Flows refused because their destination has no service or endpoint." },
};

/* The endpoints of one service. The arrays have the same order; ids and zones have arrays of their
 * own because ranking reads nothing else. */
typedef struct
{
  GArray *ids;
  GArray *zones;
  GArray *endpoints;
} ServiceEndpoints;

struct WlBalancer
{
  guint64 self_id;
  guint32 entry_zone;
  WlCallbacks callbacks;
  WcConfig *config;
  WcHistory *history;   /* earlier targets of the routes */
  GHashTable *services; /* service id to ServiceEndpoints */
  gboolean endpoints_complete;
  GByteArray *datagram;
  const WwPacketFormat *format;
  WbCounters *counters;
};

static void
service_endpoints_free (gpointer data)
{
  ServiceEndpoints *service = data;

  g_array_unref (service->ids);
  g_array_unref (service->zones);
  g_array_unref (service->endpoints);
  g_free (service);
}

WlBalancer *
wl_balancer_new (guint64 self_id, const WlCallbacks *callbacks)
{
  WlBalancer *balancer = g_new0 (WlBalancer, 1);

  balancer->self_id = self_id;
  balancer->callbacks = *callbacks;
  balancer->format = &ww_packet_format_ip;
  balancer->services =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, service_endpoints_free);
  balancer->datagram = g_byte_array_sized_new (WW_PACKET_MAX_BYTES + WW_ENCAP_ZONE_BYTES);
  balancer->history = wc_history_new ();
  balancer->counters = wb_counters_new (counter_definitions, N_COUNTERS);
  return balancer;
}

void
wl_balancer_free (WlBalancer *balancer)
{
  if (balancer == NULL)
    return;
  wc_config_unref (balancer->config);
  wc_history_free (balancer->history);
  g_hash_table_unref (balancer->services);
  g_byte_array_unref (balancer->datagram);
  wb_counters_free (balancer->counters);
  g_free (balancer);
}

void
wl_balancer_set_format (WlBalancer *balancer, const WwPacketFormat *format)
{
  balancer->format = format;
}

void
wl_balancer_set_entry_zone (WlBalancer *balancer, guint32 zone)
{
  balancer->entry_zone = zone;
}

void
wl_balancer_set_endpoints_complete (WlBalancer *balancer, gboolean complete)
{
  balancer->endpoints_complete = complete;
}

void
wl_balancer_set_config (WlBalancer *balancer, WcConfig *config)
{
  if (balancer->config != NULL && config->version < balancer->config->version)
    {
      wb_counters_add (balancer->counters, COUNTER_CONFIG_OLDER, 1);
      return;
    }
  if (balancer->config != NULL)
    (void) wc_history_record (balancer->history, balancer->config, config, 0);
  wc_config_ref (config);
  wc_config_unref (balancer->config);
  balancer->config = config;
}

static ServiceEndpoints *
ensure_service (WlBalancer *balancer, guint64 service_id)
{
  ServiceEndpoints *service = g_hash_table_lookup (balancer->services, &service_id);

  if (service != NULL)
    return service;
  service = g_new0 (ServiceEndpoints, 1);
  service->ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  service->zones = g_array_new (FALSE, FALSE, sizeof (guint32));
  service->endpoints = g_array_new (FALSE, FALSE, sizeof (WlEndpoint));
  g_hash_table_insert (balancer->services, g_memdup2 (&service_id, sizeof service_id), service);
  return service;
}

void
wl_balancer_set_endpoints (WlBalancer *balancer, const WlEndpoint *endpoints, guint count)
{
  guint i;

  g_hash_table_remove_all (balancer->services);
  for (i = 0; i < count; i++)
    {
      ServiceEndpoints *service = ensure_service (balancer, endpoints[i].service_id);

      g_array_append_val (service->ids, endpoints[i].id);
      g_array_append_val (service->zones, endpoints[i].zone);
      g_array_append_val (service->endpoints, endpoints[i]);
    }
}

static gboolean
count_if_unusable (WlBalancer *balancer, WwPacketStatus status)
{
  switch (status)
    {
    case WW_PACKET_OK:
    case WW_PACKET_ICMP_ERROR:
      return FALSE;
    case WW_PACKET_FRAGMENT:
      wb_counters_add (balancer->counters, COUNTER_FRAGMENT, 1);
      return TRUE;
    case WW_PACKET_UNSUPPORTED:
      wb_counters_add (balancer->counters, COUNTER_UNSUPPORTED, 1);
      return TRUE;
    case WW_PACKET_MALFORMED:
    default:
      wb_counters_add (balancer->counters, COUNTER_MALFORMED, 1);
      return TRUE;
    }
}

static void
forward (WlBalancer *balancer, const WlEndpoint *home, const guint8 *packet, gsize length)
{
  ww_encap header = {
    .kind = WW_ENCAP_FORWARD,
    .hops = 1,
    .service_id = home->service_id,
    .config_version = balancer->config->version,
    .home_id = home->id,
    .sender_id = balancer->self_id,
    .entry_zone = balancer->entry_zone,
  };

  g_byte_array_set_size (balancer->datagram, 0);
  ww_encap_append (balancer->datagram, &header, packet, length);
  balancer->callbacks.to_agent (balancer->callbacks.context, home->address, home->data_port,
                                balancer->datagram->data, balancer->datagram->len);
  wb_counters_add (balancer->counters, COUNTER_FORWARDED, 1);
}

/* Resets a new flow that cannot be served, so that the client learns it at once. Retransmissions of
 * an initial packet are dropped instead: an earlier one may have reached a server through another
 * balancer. */
static void
refuse_by_reset (WlBalancer *balancer,
                 const WwPacket *packet,
                 const WwFlowKey *key,
                 const gchar *reason)
{
  WwPacket reset_packet = ww_packet_to_client (key);
  g_autoptr (GByteArray) reset = NULL;

  if (balancer->callbacks.to_client == NULL || balancer->format->originates_packets ||
      packet->tcp_flags != WW_TCP_SYN || packet->retransmission != 0)
    return;
  WW_FLOW_LOG_ALWAYS ("flow_refused", key, WB_TEXT ("reason", reason),
                      WB_NUMBER ("config", balancer->config->version));
  reset_packet.tcp_flags = WW_TCP_RST;
  reset = balancer->format->build (&reset_packet);
  wb_counters_add (balancer->counters, COUNTER_REFUSED, 1);
  balancer->callbacks.to_client (balancer->callbacks.context, reset->data, reset->len);
}

static void
log_forwarded (const WlBalancer *balancer,
               const WwFlowKey *key,
               const WlEndpoint *home,
               guint endpoint_count,
               guint retransmission)
{
  gchar service[WW_ID_NAME_BYTES];
  gchar endpoint[WW_ID_NAME_BYTES];

  WW_FLOW_LOG ("flow_forwarded", key, WB_TEXT ("service", ww_id_name (home->service_id, service)),
               WB_TEXT ("home", ww_id_name (home->id, endpoint)),
               WB_NUMBER ("endpoints", endpoint_count),
               WB_NUMBER ("config", balancer->config->version), WB_NUMBER ("copy", retransmission));
}

static const ServiceEndpoints *
find_endpoints (const WlBalancer *balancer, guint64 service_id)
{
  const ServiceEndpoints *service = g_hash_table_lookup (balancer->services, &service_id);

  return service != NULL && service->ids->len > 0 ? service : NULL;
}

/* Returns the endpoints to one of which a packet is forwarded, or NULL. While the service of the
 * route has none, packets of open flows go to the service that had the route before. */
static const ServiceEndpoints *
choose_endpoints (const WlBalancer *balancer,
                  const WcRoute *route,
                  const WwFlowKey *key,
                  const WwPacket *packet)
{
  const ServiceEndpoints *endpoints = find_endpoints (balancer, wc_route_choose (route, key));

  if (endpoints != NULL || key->protocol != WW_PROTOCOL_TCP || (packet->tcp_flags & WW_TCP_SYN))
    return endpoints;
  return find_endpoints (balancer,
                         wc_history_service (balancer->history, balancer->config, key, G_MININT64));
}

void
wl_balancer_packet (WlBalancer *balancer, const guint8 *packet, gsize length)
{
  const WcRoute *route;
  const ServiceEndpoints *service_endpoints;
  const WlEndpoint *home;
  WwPacket parsed;
  WwFlowKey key;
  guint home_index;

  if (count_if_unusable (balancer, balancer->format->parse (packet, length, &parsed)))
    return;
  if (balancer->config == NULL)
    {
      wb_counters_add (balancer->counters, COUNTER_NO_SERVICE, 1);
      return;
    }
  key = ww_packet_key_from_client (&parsed);
  route = wc_config_find_route (balancer->config, key.service_address, key.service_port,
                                (guint16) key.protocol);
  if (route == NULL)
    {
      wb_counters_add (balancer->counters, COUNTER_NO_SERVICE, 1);
      refuse_by_reset (balancer, &parsed, &key, "no route");
      return;
    }
  service_endpoints = choose_endpoints (balancer, route, &key, &parsed);
  if (service_endpoints == NULL)
    {
      wb_counters_add (balancer->counters, COUNTER_NO_ENDPOINT, 1);
      if (balancer->endpoints_complete)
        refuse_by_reset (balancer, &parsed, &key, "no endpoint");
      return;
    }
  home_index = ww_rank_first_in_zone (
      &key, balancer->entry_zone, (const guint64 *) service_endpoints->ids->data,
      (const guint32 *) (gpointer) service_endpoints->zones->data, service_endpoints->ids->len);
  home = &g_array_index (service_endpoints->endpoints, WlEndpoint, home_index);
  if (parsed.tcp_flags == WW_TCP_SYN)
    log_forwarded (balancer, &key, home, service_endpoints->ids->len, parsed.retransmission);
  forward (balancer, home, packet, length);
}

const WbCounters *
wl_balancer_counters (const WlBalancer *balancer)
{
  return balancer->counters;
}
