#include "wc.h"

#define DEFAULT_SLOTS 4
#define DEFAULT_QUEUE_LIMIT 256
#define DEFAULT_DEADLINE_US (10 * WB_US_PER_S)
#define DEFAULT_TURN_QUIET_US (20 * WB_US_PER_MS)
#define DEFAULT_OPEN_RESERVE_US (100 * WB_US_PER_MS)
#define DEFAULT_IDLE_TIMEOUT_US (300 * WB_US_PER_S)
#define DEFAULT_COLD_START_US (10 * WB_US_PER_S)
#define DEFAULT_REFUSAL_TEXT "busy, retry after {retry_after} s\r\n"

/* Seed of the hash that distributes flows over the targets of a route. The endpoint ranking uses
 * another seed, so that the two choices are independent. */
#define TARGET_HASH_SEED 1

static guint
route_hash (gconstpointer key)
{
  const WcRoute *route = key;

  return route->address * 31 + ((guint) route->port << 8) + route->protocol;
}

static gboolean
route_equal (gconstpointer a, gconstpointer b)
{
  const WcRoute *left = a;
  const WcRoute *right = b;

  return left->address == right->address && left->port == right->port &&
         left->protocol == right->protocol;
}

WcRoute *
wc_route_ref (WcRoute *route)
{
  g_atomic_ref_count_inc (&route->references);
  return route;
}

void
wc_route_unref (WcRoute *route)
{
  if (!g_atomic_ref_count_dec (&route->references))
    return;
  g_array_unref (route->targets);
  g_free (route);
}

static void
route_unref (gpointer data)
{
  wc_route_unref (data);
}

const gchar *
wc_class_name (WcClass class)
{
  static const gchar *const names[WC_N_CLASSES] = { "short", "long", "mixed" };

  return names[class];
}

static void
service_free (gpointer data)
{
  WcService *service = data;

  g_free (service->name);
  g_free (service->refusal_text);
  g_array_unref (service->ports);
  g_free (service);
}

static void
tenant_free (gpointer data)
{
  WcTenant *tenant = data;

  g_free (tenant->name);
  g_array_unref (tenant->sources);
  g_free (tenant);
}

static WcTenant *
add_tenant (WcConfig *config, const gchar *name, guint weight)
{
  WcTenant *tenant = g_new0 (WcTenant, 1);

  tenant->name = g_strdup (name);
  tenant->id = wb_name_id (name);
  tenant->weight = weight;
  tenant->sources = g_array_new (FALSE, FALSE, sizeof (WcPrefix));
  g_ptr_array_add (config->tenants, tenant);
  return tenant;
}

WcConfig *
wc_config_new (void)
{
  WcConfig *config = g_new0 (WcConfig, 1);

  g_atomic_ref_count_init (&config->references);
  config->services = g_ptr_array_new_with_free_func (service_free);
  config->tenants = g_ptr_array_new_with_free_func (tenant_free);
  config->zones = g_ptr_array_new_with_free_func (g_free);
  config->drain_hosts = g_ptr_array_new_with_free_func (g_free);
  config->routes = g_hash_table_new_full (route_hash, route_equal, route_unref, NULL);
  add_tenant (config, "other", 1);
  return config;
}

WcConfig *
wc_config_ref (WcConfig *config)
{
  g_atomic_ref_count_inc (&config->references);
  return config;
}

void
wc_config_unref (WcConfig *config)
{
  if (config == NULL || !g_atomic_ref_count_dec (&config->references))
    return;
  g_hash_table_unref (config->routes);
  g_ptr_array_unref (config->services);
  g_ptr_array_unref (config->tenants);
  g_ptr_array_unref (config->zones);
  g_ptr_array_unref (config->drain_hosts);
  g_clear_pointer (&config->entry_messages, g_ptr_array_unref);
  g_free (config);
}

WcService *
wc_service_new (const gchar *name, guint32 address)
{
  WcService *service = g_new0 (WcService, 1);

  service->name = g_strdup (name);
  service->id = wb_name_id (name);
  service->address = address;
  service->ports = g_array_new (FALSE, TRUE, sizeof (WcPort));
  service->slots = DEFAULT_SLOTS;
  service->queue_limit = DEFAULT_QUEUE_LIMIT;
  service->deadline_us = DEFAULT_DEADLINE_US;
  service->turn_quiet_us = DEFAULT_TURN_QUIET_US;
  service->open_reserve_us = DEFAULT_OPEN_RESERVE_US;
  service->idle_timeout_us = DEFAULT_IDLE_TIMEOUT_US;
  service->cold_start_us = DEFAULT_COLD_START_US;
  service->refusal_text = g_strdup (DEFAULT_REFUSAL_TEXT);
  return service;
}

void
wc_service_add_port (WcService *service, guint16 port, guint16 protocol, WcClass class)
{
  WcPort entry = { .port = port, .protocol = protocol, .class = class };

  g_array_append_val (service->ports, entry);
}

void
wc_config_add_service (WcConfig *config, WcService *service)
{
  guint i;

  g_ptr_array_add (config->services, service);
  for (i = 0; i < service->ports->len; i++)
    {
      const WcPort *port = &g_array_index (service->ports, WcPort, i);
      WcRoute *route = wc_route_new (service->address, port->port, port->protocol, port->class);

      wc_route_add_target (route, service->id, 1);
      wc_config_add_route (config, route);
    }
}

void
wc_config_add_tenant (
    WcConfig *config, const gchar *name, guint weight, guint32 address, guint prefix_length)
{
  WcTenant *tenant = add_tenant (config, name, weight);
  WcPrefix prefix = { .address = address, .prefix_length = prefix_length };

  g_array_append_val (tenant->sources, prefix);
}

WcRoute *
wc_route_new (guint32 address, guint16 port, guint16 protocol, WcClass class)
{
  WcRoute *route = g_new0 (WcRoute, 1);

  g_atomic_ref_count_init (&route->references);
  route->address = address;
  route->port = port;
  route->protocol = protocol;
  route->class = class;
  route->targets = g_array_new (FALSE, FALSE, sizeof (WcTarget));
  return route;
}

void
wc_route_add_target (WcRoute *route, guint64 service_id, guint weight)
{
  WcTarget target = { .service_id = service_id, .weight = weight };

  if (weight > 0)
    g_array_append_val (route->targets, target);
}

void
wc_config_add_route (WcConfig *config, WcRoute *route)
{
  config->has_uploads |= route->uploads;
  g_hash_table_replace (config->routes, route, route);
}

const WcRoute *
wc_config_find_route (const WcConfig *config, guint32 address, guint16 port, guint16 protocol)
{
  WcRoute key = { .address = address, .port = port, .protocol = protocol };

  return g_hash_table_lookup (config->routes, &key);
}

guint64
wc_route_choose (const WcRoute *route, const WwFlowKey *key)
{
  guint64 total = 0, remaining;
  guint i;

  for (i = 0; i < route->targets->len; i++)
    total += g_array_index (route->targets, WcTarget, i).weight;
  if (total == 0)
    return 0;
  remaining = wb_hash64 (key, sizeof *key, TARGET_HASH_SEED) % total;
  for (i = 0; i + 1 < route->targets->len; i++)
    {
      const WcTarget *target = &g_array_index (route->targets, WcTarget, i);

      if (remaining < target->weight)
        return target->service_id;
      remaining -= target->weight;
    }
  return g_array_index (route->targets, WcTarget, i).service_id;
}

gboolean
wc_route_has_target (const WcRoute *route, guint64 service_id)
{
  guint i;

  for (i = 0; i < route->targets->len; i++)
    if (g_array_index (route->targets, WcTarget, i).service_id == service_id)
      return TRUE;
  return FALSE;
}

const WcService *
wc_config_find_service (const WcConfig *config, guint32 address, guint16 port, guint16 protocol)
{
  const WcRoute *route = wc_config_find_route (config, address, port, protocol);

  if (route == NULL || route->targets->len == 0)
    return NULL;
  return wc_config_service_by_id (config, g_array_index (route->targets, WcTarget, 0).service_id);
}

const WcService *
wc_config_service_by_id (const WcConfig *config, guint64 id)
{
  guint i;

  for (i = 0; i < config->services->len; i++)
    {
      const WcService *service = g_ptr_array_index (config->services, i);

      if (service->id == id)
        return service;
    }
  return NULL;
}

static gboolean
prefix_contains (const WcPrefix *prefix, guint32 address)
{
  guint32 mask = prefix->prefix_length == 0 ? 0 : G_MAXUINT32 << (32 - prefix->prefix_length);

  return (address & mask) == (prefix->address & mask);
}

/* Longest prefix match, so that a subrange of one tenant's addresses can belong to another tenant.
 */
guint
wc_config_find_tenant (const WcConfig *config, guint32 client_address)
{
  guint best = WC_TENANT_OTHER;
  gint best_length = -1;
  guint i, j;

  for (i = 0; i < config->tenants->len; i++)
    {
      const WcTenant *tenant = g_ptr_array_index (config->tenants, i);

      for (j = 0; j < tenant->sources->len; j++)
        {
          const WcPrefix *prefix = &g_array_index (tenant->sources, WcPrefix, j);

          if ((gint) prefix->prefix_length <= best_length ||
              !prefix_contains (prefix, client_address))
            continue;
          best = i;
          best_length = (gint) prefix->prefix_length;
        }
    }
  return best;
}

gboolean
wc_config_host_is_drained (const WcConfig *config, guint64 host_id)
{
  guint i;

  for (i = 0; i < config->drain_hosts->len; i++)
    if (wb_name_id (g_ptr_array_index (config->drain_hosts, i)) == host_id)
      return TRUE;
  return FALSE;
}

const WcPort *
wc_service_find_port (const WcService *service, guint16 port, guint16 protocol)
{
  guint i;

  for (i = 0; i < service->ports->len; i++)
    {
      const WcPort *entry = &g_array_index (service->ports, WcPort, i);

      if (entry->port == port && entry->protocol == protocol)
        return entry;
    }
  return NULL;
}
