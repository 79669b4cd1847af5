#include "wc-settings.h"

#include "wc-reader.h"
#include "ww-sock.h"

#include <string.h>

/* Hosts are replaced within minutes, so flows that last longer are cut off. */
#define DEFAULT_STOP_LIMIT_US (60 * WB_US_PER_S)
#define MAX_STOP_LIMIT_US (3600 * WB_US_PER_S)

/* IFNAMSIZ without the final nul. */
#define MAX_DEVICE_NAME_LENGTH 15

/* A dead connection to the platform is detected after one such time-out. */
#define MAX_WATCH_TIMEOUT_US (30 * WB_US_PER_S)

#define DEFAULT_SERVER_INTERVAL_US WB_US_PER_S
#define MAX_SERVER_INTERVAL_US (60 * WB_US_PER_S)
/* Limit for a large fleet. In a small fleet with the same number of member changes each member
 * needs more, so only larger values are allowed. */
#define DEFAULT_CONTROL_BYTES_PER_S 2048
#define MAX_CONTROL_BYTES_PER_S 1048576

#define MAX_LEAVE_LINGER_US (60 * WB_US_PER_S)

#define MAX_LINK_MBPS 1e6

#define DEFAULT_COLD_OVERAGE 1
#define MAX_COLD_OVERAGE 1000
#define MAX_COLD_SLACK 1000000

#define DEFAULT_PLATFORM_PROTOCOL "native"

/* Keys that both roles have. */
#define COMMON_KEYS                                                                                \
  "name", "host", "availability_zone", "control_address", "data_address", "network", "platform",   \
      "platform_protocol", "platform_watch", "contacts", "contacts_control_port",                  \
      "readiness_address", "metrics_address", "servers_address", "leave_linger", "control_limit",  \
      "log_level", "evacuations", "zone_affinity"

static const gchar *const balancer_keys[] = { COMMON_KEYS, "link_capacity", NULL };
static const gchar *const agent_keys[] = { COMMON_KEYS,       "service",    "server",
                                           "server_interval", "stop_limit", "cold_overage",
                                           "flow_search",     "cold_slack", NULL };
static const gchar *const udp_keys[] = { "kind", "address", "peer", NULL };
static const gchar *const tun_keys[] = { "kind", "device", NULL };
static const gchar *const direct_keys[] = { "kind", "address", NULL };
static const gchar *const pktio_kind_names[] = { "udp", "direct", "tun", NULL };
static const gchar *const log_level_names[] = { "error", "info", "debug", NULL };

static gboolean
check_address (WcReader *reader, const WcValue *value, const gchar *key, WcAddress *address)
{
  if (ww_address_parse (value->text, &address->address, &address->port) && address->address != 0)
    return TRUE;
  address->address = 0;
  wc_reader_add_error (reader, value, key, WC_ERROR_RANGE,
                       "must be an IPv4 address with a port such as \"192.0.2.1:7000\", not \"%s\"",
                       value->text);
  return FALSE;
}

static void
read_address (
    WcReader *reader, const WcValue *table, const gchar *key, gboolean required, WcAddress *address)
{
  if (wc_reader_string (reader, table, key, required) != NULL)
    check_address (reader, wc_value_find (table, key), key, address);
}

/* A member record has one address and two ports. */
static void
check_socket_addresses (WcReader *reader, const WcValue *document, const WcSettings *settings)
{
  const WcValue *value = wc_value_find (document, "data_address");

  if (settings->control.address == 0 || settings->data.address == 0)
    return;
  if (settings->control.address != settings->data.address)
    wc_reader_add_error (reader, value, "data_address", WC_ERROR_RANGE,
                         "must have the same IPv4 address as control_address");
  else if (settings->control.port == settings->data.port)
    wc_reader_add_error (reader, value, "data_address", WC_ERROR_DUPLICATE,
                         "must have a port other than that of control_address");
}

static void
read_device (WcReader *reader, const WcValue *table, WcPktioSettings *pktio)
{
  const gchar *device = wc_reader_string (reader, table, "device", TRUE);

  if (device == NULL)
    return;
  if (strlen (device) < 1 || strlen (device) > MAX_DEVICE_NAME_LENGTH ||
      strchr (device, '/') != NULL)
    wc_reader_add_error (reader, wc_value_find (table, "device"), "device", WC_ERROR_RANGE,
                         "must be the name of a network device, not \"%s\"", device);
  pktio->device = g_strdup (device);
}

static void
read_pktio (WcReader *reader,
            const WcValue *document,
            const gchar *key,
            gboolean peer_required,
            WcPktioSettings *pktio)
{
  const WcValue *table = wc_value_find (document, key);

  if (table == NULL || table->kind != WC_VALUE_TABLE)
    {
      wc_reader_add_error (reader, table != NULL ? table : document, key,
                           table != NULL ? WC_ERROR_TYPE : WC_ERROR_MISSING, "must be a table");
      return;
    }
  reader->key_prefix = key;
  wc_reader_string (reader, table, "kind", TRUE);
  pktio->kind =
      (WcPktioKind) wc_reader_choice (reader, table, "kind", pktio_kind_names, WC_PKTIO_UDP);
  switch (pktio->kind)
    {
    case WC_PKTIO_TUN:
      wc_reader_check_keys (reader, table, tun_keys);
      read_device (reader, table, pktio);
      break;
    case WC_PKTIO_DIRECT:
      wc_reader_check_keys (reader, table, direct_keys);
      read_address (reader, table, "address", TRUE, &pktio->local);
      break;
    case WC_PKTIO_UDP:
    default:
      wc_reader_check_keys (reader, table, udp_keys);
      read_address (reader, table, "address", TRUE, &pktio->local);
      read_address (reader, table, "peer", peer_required, &pktio->peer);
      break;
    }
  reader->key_prefix = NULL;
}

static void
read_platform_url (WcReader *reader, const WcValue *document, WcSettings *settings)
{
  const gchar *url = wc_reader_string (reader, document, "platform", FALSE);
  g_autoptr (GUri) uri = NULL;

  if (url == NULL)
    return;
  uri = g_uri_parse (url, G_URI_FLAGS_NONE, NULL);
  if (uri == NULL || g_uri_get_host (uri) == NULL ||
      (strcmp (g_uri_get_scheme (uri), "http") != 0 &&
       strcmp (g_uri_get_scheme (uri), "https") != 0))
    wc_reader_add_error (reader, wc_value_find (document, "platform"), "platform", WC_ERROR_RANGE,
                         "must be an http or https URL, not \"%s\"", url);
  settings->platform_url = g_strdup (url);
}

static void
read_platform_protocol_and_timeout (WcReader *reader, const WcValue *document, WcSettings *settings)
{
  const gchar *protocol = wc_reader_string (reader, document, "platform_protocol", FALSE);

  settings->platform_protocol = g_strdup (protocol != NULL ? protocol : DEFAULT_PLATFORM_PROTOCOL);
  settings->platform_watch_timeout_us = WC_DEFAULT_WATCH_TIMEOUT_US;
  wc_reader_duration (reader, document, "platform_watch", WB_US_PER_MS, MAX_WATCH_TIMEOUT_US,
                      &settings->platform_watch_timeout_us);
}

static void
read_http_addresses (WcReader *reader, const WcValue *document, WcSettings *settings)
{
  read_address (reader, document, "readiness_address", FALSE, &settings->readiness_address);
  read_address (reader, document, "servers_address", FALSE, &settings->servers_address);
  read_address (reader, document, "metrics_address", FALSE, &settings->metrics_address);
}

static void
read_contacts (WcReader *reader, const WcValue *document, WcSettings *settings)
{
  const WcValue *array = wc_reader_array (reader, document, "contacts", WC_VALUE_STRING, FALSE);
  gint64 port = 0;
  WcAddress address;
  guint i;

  /* A contact may be listed with the address of one of its other sockets; this port replaces the
   * listed one. */
  wc_reader_integer (reader, document, "contacts_control_port", 1, G_MAXUINT16, &port);
  settings->contacts = g_array_new (FALSE, FALSE, sizeof (WcAddress));
  for (i = 0; array != NULL && i < array->children->len; i++)
    {
      if (!check_address (reader, g_ptr_array_index (array->children, i), "contacts", &address))
        continue;
      if (port != 0)
        address.port = (guint16) port;
      g_array_append_val (settings->contacts, address);
    }
}

static guint
read_control_limit (WcReader *reader, const WcValue *document)
{
  gint64 limit = DEFAULT_CONTROL_BYTES_PER_S;

  wc_reader_integer (reader, document, "control_limit", DEFAULT_CONTROL_BYTES_PER_S,
                     MAX_CONTROL_BYTES_PER_S, &limit);
  return (guint) limit;
}

/* The capacity may have decimals, as hypervisors assign shares of a link. */
static guint64
read_link_kbps (WcReader *reader, const WcValue *document)
{
  const gchar *text = wc_reader_string (reader, document, "link_capacity", FALSE);
  gdouble mbps;
  gchar *unit;

  if (text == NULL)
    return 0;
  mbps = g_ascii_strtod (text, &unit);
  if (unit != text && strcmp (unit, "Mbit/s") == 0 && mbps > 0 && mbps <= MAX_LINK_MBPS)
    return (guint64) MAX (1, mbps * 1000);
  wc_reader_add_error (reader, wc_value_find (document, "link_capacity"), "link_capacity",
                       WC_ERROR_RANGE,
                       "must be a number of Mbit/s such as \"23.5Mbit/s\", not \"%s\"", text);
  return 0;
}

static WcSettings *
read_settings (WcReader *reader, const WcValue *document, ww_role role)
{
  WcSettings *settings = g_new0 (WcSettings, 1);
  gboolean is_agent = role == WW_ROLE_AGENT;

  wc_reader_check_keys (reader, document, is_agent ? agent_keys : balancer_keys);
  settings->name = g_strdup (wc_reader_name (reader, document, "name"));
  settings->host = g_strdup (wc_reader_name (reader, document, "host"));
  settings->zone = g_strdup (wc_reader_name (reader, document, "availability_zone"));
  read_address (reader, document, "control_address", TRUE, &settings->control);
  read_address (reader, document, "data_address", TRUE, &settings->data);
  check_socket_addresses (reader, document, settings);
  /* An agent sends its server's packets to clients and needs a peer; a balancer only receives. */
  read_pktio (reader, document, "network", is_agent, &settings->network);
  if (!is_agent)
    settings->link_kbps = read_link_kbps (reader, document);
  if (is_agent)
    {
      settings->service = g_strdup (wc_reader_name (reader, document, "service"));
      read_pktio (reader, document, "server", TRUE, &settings->server);
      settings->flow_search = wc_reader_boolean (reader, document, "flow_search", FALSE);
      settings->stop_limit_us = DEFAULT_STOP_LIMIT_US;
      wc_reader_duration (reader, document, "stop_limit", 0, MAX_STOP_LIMIT_US,
                          &settings->stop_limit_us);
      settings->server_interval_us = DEFAULT_SERVER_INTERVAL_US;
      wc_reader_duration (reader, document, "server_interval", WB_US_PER_MS, MAX_SERVER_INTERVAL_US,
                          &settings->server_interval_us);
      settings->cold_overage = DEFAULT_COLD_OVERAGE;
      wc_reader_decimal (reader, document, "cold_overage", 0, MAX_COLD_OVERAGE,
                         &settings->cold_overage);
      wc_reader_decimal (reader, document, "cold_slack", 0, MAX_COLD_SLACK, &settings->cold_slack);
    }
  wc_reader_duration (reader, document, "leave_linger", 0, MAX_LEAVE_LINGER_US,
                      &settings->leave_linger_us);
  settings->control_bytes_per_s = read_control_limit (reader, document);
  settings->zone_affinity = wc_reader_boolean (reader, document, "zone_affinity", FALSE);
  read_platform_protocol_and_timeout (reader, document, settings);
  read_http_addresses (reader, document, settings);
  read_platform_url (reader, document, settings);
  read_contacts (reader, document, settings);
  settings->evacuations = wc_reader_boolean (reader, document, "evacuations", FALSE);
  settings->log_level =
      (WbLogLevel) wc_reader_choice (reader, document, "log_level", log_level_names, WB_LOG_INFO);
  return settings;
}

WcSettings *
wc_settings_load_text (const gchar *name, const gchar *text, ww_role role, GError **error)
{
  gchar *file = g_ref_string_new (name);
  g_autoptr (WcValue) document = wc_toml_parse (file, text, strlen (text), error);
  WcSettings *settings;
  WcReader reader;

  g_ref_string_release (file);
  if (document == NULL)
    return NULL;
  wc_reader_init (&reader);
  settings = read_settings (&reader, document, role);
  if (!wc_reader_finish (&reader, error))
    g_clear_pointer (&settings, wc_settings_free);
  wc_reader_clear (&reader);
  return settings;
}

WcSettings *
wc_settings_load (const gchar *path, ww_role role, GError **error)
{
  g_autofree gchar *text = NULL;
  GError *read_error = NULL;
  WcSettings *settings;

  if (!g_file_get_contents (path, &text, NULL, &read_error))
    {
      wc_set_file_error (error, path, read_error);
      return NULL;
    }
  settings = wc_settings_load_text (path, text, role, error);
  if (settings != NULL)
    settings->path = g_strdup (path);
  return settings;
}

void
wc_settings_free (WcSettings *settings)
{
  if (settings == NULL)
    return;
  g_free (settings->path);
  g_free (settings->name);
  g_free (settings->host);
  g_free (settings->zone);
  g_free (settings->network.device);
  g_free (settings->service);
  g_free (settings->server.device);
  g_free (settings->platform_url);
  g_free (settings->platform_protocol);
  if (settings->contacts != NULL)
    g_array_unref (settings->contacts);
  g_free (settings);
}
