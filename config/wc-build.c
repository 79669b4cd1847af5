#include "wc-build.h"

#include "ww-packet.h"
#include "ww-sock.h"

#include <string.h>

#define MAX_SLOTS 10000
#define MAX_QUEUE_LIMIT 65536
#define MAX_WEIGHT 1000
#define MAX_PORTS_PER_SERVICE 64
#define MAX_REFUSAL_TEXT_BYTES 1000
#define HOUR_US (3600 * WB_US_PER_S)

/* Default for services that have only UDP ports. */
#define DEFAULT_UDP_IDLE_TIMEOUT_US (60 * WB_US_PER_S)

#define FIRST_MULTICAST_ADDRESS 0xe0000000

static const gchar *const document_keys[] = { "service", "tenant", "availability_zones",
                                              "drain_hosts", NULL };
static const gchar *const service_keys[] = {
  "name",         "address",    "ports",        "slots",      "reserve_short", "queue_limit",
  "deadline",     "turn_quiet", "open_reserve", "cold_start", "cold_per_s",    "idle_timeout",
  "refusal_text", NULL
};
static const gchar *const port_keys[] = { "port", "protocol", "class", NULL };
static const gchar *const tenant_keys[] = { "name", "weight", "sources", NULL };
static const gchar *const protocol_names[] = { "tcp", "udp", NULL };
static const gchar *const class_names[] = { "short", "long", "mixed", NULL };

/* State of one validation. Each hash table maps a number that must be unique to the WcValue that
 * used it first. */
typedef struct
{
  WcReader *reader;
  WcConfig *config;
  GHashTable *service_ids;
  GHashTable *addresses;
  GHashTable *tenant_ids;
  GHashTable *prefixes;
  GHashTable *zones;
  GHashTable *hosts;
} Builder;

/* Reports an error when @number has been used before. @number is an address, a prefix or the hash
 * of a name. Returns whether it is new. */
static gboolean
check_unique (
    Builder *self, GHashTable *seen, guint64 number, const WcValue *value, const gchar *key)
{
  const WcValue *first = g_hash_table_lookup (seen, &number);

  if (first == NULL)
    {
      g_hash_table_insert (seen, g_memdup2 (&number, sizeof number), (gpointer) value);
      return TRUE;
    }
  /* Different names can have the same id. This is rare, but objects are identified by it alone. */
  if (strcmp (first->text, value->text) != 0)
    wc_reader_add_error (self->reader, value, key, WC_ERROR_DUPLICATE,
                         "\"%s\" has the same value or id as \"%s\" at %s:%u; choose another",
                         value->text, first->text, first->file, first->line);
  else if (first->line > 0)
    wc_reader_add_error (self->reader, value, key, WC_ERROR_DUPLICATE,
                         "\"%s\" is used already at %s:%u", value->text, first->file, first->line);
  else
    wc_reader_add_error (self->reader, value, key, WC_ERROR_DUPLICATE,
                         "\"%s\" is used already in %s", value->text, first->file);
  return FALSE;
}

static guint32
read_address (Builder *self, const WcValue *table)
{
  const gchar *text = wc_reader_string (self->reader, table, "address", TRUE);
  const WcValue *value;
  guint32 address = 0;

  if (text == NULL)
    return 0;
  value = wc_value_find (table, "address");
  if (!ww_ipv4_parse (text, &address) || address == 0 || address >= FIRST_MULTICAST_ADDRESS)
    wc_reader_add_error (self->reader, value, "address", WC_ERROR_RANGE,
                         "must be a unicast IPv4 address, not \"%s\"", text);
  else
    check_unique (self, self->addresses, address, value, "address");
  return address;
}

static void
read_port (Builder *self, const WcValue *table, WcService *service)
{
  gint64 number = 0;
  guint protocol, class;

  wc_reader_check_keys (self->reader, table, port_keys);
  wc_reader_integer (self->reader, table, "port", 1, G_MAXUINT16, &number);
  if (wc_value_find (table, "port") == NULL)
    wc_reader_add_error (self->reader, table, "port", WC_ERROR_MISSING, "missing");
  protocol = wc_reader_choice (self->reader, table, "protocol", protocol_names, 0) == 0
                 ? WW_PROTOCOL_TCP
                 : WW_PROTOCOL_UDP;
  class = wc_reader_choice (self->reader, table, "class", class_names, WC_CLASS_MIXED);
  if (number == 0)
    return;
  if (wc_service_find_port (service, (guint16) number, (guint16) protocol) != NULL)
    wc_reader_add_error (self->reader, table, "port", WC_ERROR_DUPLICATE,
                         "%s port %u is used already in this service",
                         protocol == WW_PROTOCOL_TCP ? "tcp" : "udp", (guint) number);
  else
    wc_service_add_port (service, (guint16) number, (guint16) protocol, (WcClass) class);
}

static void
read_ports (Builder *self, const WcValue *table, WcService *service)
{
  const WcValue *ports = wc_reader_array (self->reader, table, "ports", WC_VALUE_TABLE, TRUE);
  guint i;

  if (ports == NULL)
    return;
  if (ports->children->len < 1 || ports->children->len > MAX_PORTS_PER_SERVICE)
    {
      wc_reader_add_error (self->reader, ports, "ports", WC_ERROR_RANGE,
                           "must have 1 to %d entries, not %u", MAX_PORTS_PER_SERVICE,
                           ports->children->len);
      return;
    }
  self->reader->key_prefix = "service.ports";
  for (i = 0; i < ports->children->len; i++)
    read_port (self, g_ptr_array_index (ports->children, i), service);
  self->reader->key_prefix = "service";
}

/* Whether the service has a port with this protocol and class; a negative argument matches any. */
static gboolean
has_port (const WcService *service, gint protocol, gint class)
{
  guint i;

  for (i = 0; i < service->ports->len; i++)
    {
      const WcPort *port = &g_array_index (service->ports, WcPort, i);

      if ((protocol < 0 || port->protocol == protocol) &&
          (class < 0 || (gint) port->class == class))
        return TRUE;
    }
  return FALSE;
}

static void
read_slots (Builder *self, const WcValue *table, WcService *service)
{
  gint64 slots = service->slots;
  gint64 queue_limit = service->queue_limit;
  gint64 reserve;

  wc_reader_integer (self->reader, table, "slots", 1, MAX_SLOTS, &slots);
  wc_reader_integer (self->reader, table, "queue_limit", 1, MAX_QUEUE_LIMIT, &queue_limit);
  reserve = has_port (service, -1, WC_CLASS_SHORT) && slots > 1 ? 1 : 0;
  wc_reader_integer (self->reader, table, "reserve_short", 0, MAX_SLOTS, &reserve);
  if (reserve >= slots)
    wc_reader_add_error (self->reader, wc_value_find (table, "reserve_short"), "reserve_short",
                         WC_ERROR_RANGE, "must be less than slots (%u), not %u", (guint) slots,
                         (guint) reserve);
  service->slots = (guint) slots;
  service->queue_limit = (guint) queue_limit;
  service->reserve_short = (guint) reserve;
}

static void
read_times (Builder *self, const WcValue *table, WcService *service)
{
  WcReader *reader = self->reader;

  if (has_port (service, WW_PROTOCOL_UDP, -1) && !has_port (service, WW_PROTOCOL_TCP, -1))
    service->idle_timeout_us = DEFAULT_UDP_IDLE_TIMEOUT_US;
  wc_reader_duration (reader, table, "deadline", 10 * WB_US_PER_MS, HOUR_US, &service->deadline_us);
  wc_reader_duration (reader, table, "turn_quiet", WB_US_PER_MS, 10 * WB_US_PER_S,
                      &service->turn_quiet_us);
  wc_reader_duration (reader, table, "open_reserve", WB_US_PER_MS, 10 * WB_US_PER_S,
                      &service->open_reserve_us);
  wc_reader_duration (reader, table, "idle_timeout", WB_US_PER_S, 24 * HOUR_US,
                      &service->idle_timeout_us);
  wc_reader_duration (reader, table, "cold_start", 0, HOUR_US, &service->cold_start_us);
  wc_reader_decimal (reader, table, "cold_per_s", 0, WC_COLD_PER_S_MAX, &service->cold_per_s);
}

static void
read_refusal_text (Builder *self, const WcValue *table, WcService *service)
{
  const gchar *text = wc_reader_string (self->reader, table, "refusal_text", FALSE);
  const WcValue *value = wc_value_find (table, "refusal_text");

  if (text == NULL)
    return;
  if (strstr (text, "{retry_after}") == NULL)
    wc_reader_add_error (self->reader, value, "refusal_text", WC_ERROR_RANGE,
                         "must contain {retry_after}");
  if (strlen (text) > MAX_REFUSAL_TEXT_BYTES)
    wc_reader_add_error (self->reader, value, "refusal_text", WC_ERROR_RANGE,
                         "must have at most %d bytes, not %" G_GSIZE_FORMAT, MAX_REFUSAL_TEXT_BYTES,
                         strlen (text));
  g_free (service->refusal_text);
  service->refusal_text = g_strdup (text);
}

static void
read_service (Builder *self, const WcValue *table)
{
  const gchar *name;
  WcService *service;

  wc_reader_check_keys (self->reader, table, service_keys);
  name = wc_reader_name (self->reader, table, "name");
  if (name != NULL)
    check_unique (self, self->service_ids, wb_name_id (name), wc_value_find (table, "name"),
                  "name");
  service = wc_service_new (name != NULL ? name : "", read_address (self, table));
  read_ports (self, table, service);
  read_slots (self, table, service);
  read_times (self, table, service);
  read_refusal_text (self, table, service);
  wc_config_add_service (self->config, service);
}

static gboolean
parse_prefix (const gchar *text, WcPrefix *prefix)
{
  const gchar *slash = strchr (text, '/');
  g_autofree gchar *address = NULL;
  guint64 length;

  if (slash == NULL || !g_ascii_string_to_unsigned (slash + 1, 10, 0, 32, &length, NULL))
    return FALSE;
  address = g_strndup (text, (gsize) (slash - text));
  prefix->prefix_length = (guint) length;
  return ww_ipv4_parse (address, &prefix->address);
}

static void
read_source_prefix (Builder *self, const WcValue *value, WcTenant *tenant)
{
  WcPrefix prefix;
  guint32 host_mask;

  if (!parse_prefix (value->text, &prefix))
    {
      wc_reader_add_error (self->reader, value, "sources", WC_ERROR_RANGE,
                           "must be an IPv4 prefix such as \"192.0.2.0/24\", not \"%s\"",
                           value->text);
      return;
    }
  host_mask = prefix.prefix_length == 0 ? G_MAXUINT32
                                        : (guint32) ((1ULL << (32 - prefix.prefix_length)) - 1);
  if ((prefix.address & host_mask) != 0)
    wc_reader_add_error (self->reader, value, "sources", WC_ERROR_RANGE,
                         "\"%s\" has address bits beyond the prefix length", value->text);
  /* The longest matching prefix selects the tenant, and prefixes of equal length overlap only when
   * they are the same. So it is enough that each prefix is unique. */
  else if (check_unique (self, self->prefixes,
                         ((guint64) prefix.prefix_length << 32) | prefix.address, value, "sources"))
    g_array_append_val (tenant->sources, prefix);
}

static void
read_tenant (Builder *self, const WcValue *table)
{
  const WcValue *sources;
  const gchar *name;
  gint64 weight = 1;
  WcTenant *tenant;
  guint i;

  wc_reader_check_keys (self->reader, table, tenant_keys);
  name = wc_reader_name (self->reader, table, "name");
  if (g_strcmp0 (name, "other") == 0)
    wc_reader_add_error (self->reader, wc_value_find (table, "name"), "name", WC_ERROR_RANGE,
                         "\"other\" is reserved for clients of no tenant");
  else if (name != NULL)
    check_unique (self, self->tenant_ids, wb_name_id (name), wc_value_find (table, "name"), "name");
  wc_reader_integer (self->reader, table, "weight", 1, MAX_WEIGHT, &weight);
  sources = wc_reader_array (self->reader, table, "sources", WC_VALUE_STRING, TRUE);
  if (sources == NULL)
    return;
  if (sources->children->len == 0)
    wc_reader_add_error (self->reader, sources, "sources", WC_ERROR_RANGE, "must not be empty");
  wc_config_add_tenant (self->config, name != NULL ? name : "", (guint) weight, 0, 0);
  tenant = g_ptr_array_index (self->config->tenants, self->config->tenants->len - 1);
  /* Removes the placeholder prefix that was passed to wc_config_add_tenant(). */
  g_array_set_size (tenant->sources, 0);
  for (i = 0; i < sources->children->len; i++)
    read_source_prefix (self, g_ptr_array_index (sources->children, i), tenant);
}

static void
read_names (
    Builder *self, const WcValue *document, const gchar *key, GHashTable *seen, GPtrArray *names)
{
  const WcValue *array = wc_reader_array (self->reader, document, key, WC_VALUE_STRING, FALSE);
  guint i;

  for (i = 0; array != NULL && i < array->children->len; i++)
    {
      const WcValue *value = g_ptr_array_index (array->children, i);
      /* Member records contain only the low 32 bits of the id, so these must differ. */
      guint64 id = (guint32) wb_name_id (value->text);

      if (wc_reader_check_name (self->reader, value, key) &&
          check_unique (self, seen, id, value, key))
        g_ptr_array_add (names, g_strdup (value->text));
    }
}

static void
read_tables (Builder *self,
             const WcValue *document,
             const gchar *key,
             void (*read) (Builder *self, const WcValue *table))
{
  const WcValue *array = wc_reader_array (self->reader, document, key, WC_VALUE_TABLE, FALSE);
  guint i;

  if (array == NULL)
    return;
  self->reader->key_prefix = key;
  for (i = 0; i < array->children->len; i++)
    read (self, g_ptr_array_index (array->children, i));
  self->reader->key_prefix = NULL;
}

static void
read_document (Builder *self, const WcValue *document)
{
  wc_reader_check_keys (self->reader, document, document_keys);
  read_tables (self, document, "service", read_service);
  read_tables (self, document, "tenant", read_tenant);
  read_names (self, document, "availability_zones", self->zones, self->config->zones);
  read_names (self, document, "drain_hosts", self->hosts, self->config->drain_hosts);
}

static GHashTable *
new_unique_table (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

WcConfig *
wc_build_config (GPtrArray *documents, WcReader *reader)
{
  Builder self = { .reader = reader, .config = wc_config_new () };
  GHashTable **tables[] = { &self.service_ids, &self.addresses, &self.tenant_ids,
                            &self.prefixes,    &self.zones,     &self.hosts };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (tables); i++)
    *tables[i] = new_unique_table ();
  for (i = 0; i < documents->len; i++)
    read_document (&self, g_ptr_array_index (documents, i));
  /* Applying an empty configuration would remove every service, so it is treated as a mistake. */
  if (self.config->services->len == 0 && reader->error_count == 0)
    wc_reader_take_gerror (reader, g_error_new (WC_ERROR, WC_ERROR_MISSING,
                                                "service: none in the whole configuration"));
  for (i = 0; i < G_N_ELEMENTS (tables); i++)
    g_hash_table_unref (*tables[i]);
  wc_config_sort (self.config);
  return self.config;
}

static gint
compare_services (gconstpointer a, gconstpointer b)
{
  const WcService *const *left = a;
  const WcService *const *right = b;

  return strcmp ((*left)->name, (*right)->name);
}

static gint
compare_tenants (gconstpointer a, gconstpointer b)
{
  const WcTenant *const *left = a;
  const WcTenant *const *right = b;

  return strcmp ((*left)->name, (*right)->name);
}

static gint
compare_strings (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const gchar *const *) a, *(const gchar *const *) b);
}

static gint
compare_ports (gconstpointer a, gconstpointer b)
{
  const WcPort *left = a;
  const WcPort *right = b;

  if (left->port != right->port)
    return left->port < right->port ? -1 : 1;
  return (gint) left->protocol - (gint) right->protocol;
}

static gint
compare_prefixes (gconstpointer a, gconstpointer b)
{
  const WcPrefix *left = a;
  const WcPrefix *right = b;

  if (left->address != right->address)
    return left->address < right->address ? -1 : 1;
  return (gint) left->prefix_length - (gint) right->prefix_length;
}

void
wc_config_sort (WcConfig *config)
{
  guint i;

  for (i = 0; i < config->services->len; i++)
    g_array_sort (((WcService *) g_ptr_array_index (config->services, i))->ports, compare_ports);
  for (i = 0; i < config->tenants->len; i++)
    g_array_sort (((WcTenant *) g_ptr_array_index (config->tenants, i))->sources, compare_prefixes);
  g_ptr_array_sort (config->services, compare_services);
  g_ptr_array_sort (config->zones, compare_strings);
  g_ptr_array_sort (config->drain_hosts, compare_strings);
  /* The first element is the tenant "other", whose index must stay WC_TENANT_OTHER. */
  qsort (config->tenants->pdata + 1, config->tenants->len - 1, sizeof (gpointer), compare_tenants);
}
