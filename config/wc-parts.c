#include "wc-parts.h"

#include "wc-build.h"
#include "ww-packet.h"
#include "ww-sock.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define HASH_HEX_DIGITS 64

static void
add_string (JsonBuilder *builder, const gchar *key, const gchar *value)
{
  json_builder_set_member_name (builder, key);
  json_builder_add_string_value (builder, value);
}

static void
add_integer (JsonBuilder *builder, const gchar *key, gint64 value)
{
  json_builder_set_member_name (builder, key);
  json_builder_add_int_value (builder, value);
}

static void
add_duration (JsonBuilder *builder, const gchar *key, gint64 value_us)
{
  g_autofree gchar *text = wc_duration_format (value_us);

  add_string (builder, key, text);
}

static void
begin_array (JsonBuilder *builder, const gchar *key)
{
  json_builder_set_member_name (builder, key);
  json_builder_begin_array (builder);
}

static void
add_strings (JsonBuilder *builder, const gchar *key, GPtrArray *values)
{
  guint i;

  begin_array (builder, key);
  for (i = 0; i < values->len; i++)
    json_builder_add_string_value (builder, g_ptr_array_index (values, i));
  json_builder_end_array (builder);
}

static GBytes *
generate_json (JsonBuilder *builder)
{
  g_autoptr (JsonGenerator) generator = json_generator_new ();
  g_autoptr (JsonNode) node = json_builder_get_root (builder);
  gchar *text;
  gsize length;

  json_generator_set_root (generator, node);
  text = json_generator_to_data (generator, &length);
  return g_bytes_new_take (text, length);
}

static void
add_port (JsonBuilder *builder, const WcPort *port)
{
  json_builder_begin_object (builder);
  add_integer (builder, "port", port->port);
  add_string (builder, "protocol", port->protocol == WW_PROTOCOL_UDP ? "udp" : "tcp");
  add_string (builder, "class", wc_class_name (port->class));
  json_builder_end_object (builder);
}

static GBytes *
encode_service (const WcService *service)
{
  g_autoptr (JsonBuilder) builder = json_builder_new_immutable ();
  g_autofree gchar *address = ww_ipv4_format (service->address);
  guint i;

  json_builder_begin_object (builder);
  begin_array (builder, "service");
  json_builder_begin_object (builder);
  add_string (builder, "name", service->name);
  add_string (builder, "address", address);
  begin_array (builder, "ports");
  for (i = 0; i < service->ports->len; i++)
    add_port (builder, &g_array_index (service->ports, WcPort, i));
  json_builder_end_array (builder);
  add_integer (builder, "slots", service->slots);
  add_integer (builder, "reserve_short", service->reserve_short);
  add_integer (builder, "queue_limit", service->queue_limit);
  add_duration (builder, "deadline", service->deadline_us);
  add_duration (builder, "turn_quiet", service->turn_quiet_us);
  add_duration (builder, "open_reserve", service->open_reserve_us);
  add_duration (builder, "idle_timeout", service->idle_timeout_us);
  add_duration (builder, "cold_start", service->cold_start_us);
  /* Left out when not set, so that members of earlier releases, which reject unknown keys, can read
   * the part. */
  if (service->cold_per_s > 0)
    {
      json_builder_set_member_name (builder, "cold_per_s");
      json_builder_add_double_value (builder, service->cold_per_s);
    }
  add_string (builder, "refusal_text", service->refusal_text);
  json_builder_end_object (builder);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return generate_json (builder);
}

static void
add_tenant (JsonBuilder *builder, const WcTenant *tenant)
{
  guint i;

  json_builder_begin_object (builder);
  add_string (builder, "name", tenant->name);
  add_integer (builder, "weight", tenant->weight);
  begin_array (builder, "sources");
  for (i = 0; i < tenant->sources->len; i++)
    {
      const WcPrefix *prefix = &g_array_index (tenant->sources, WcPrefix, i);
      g_autofree gchar *address = ww_ipv4_format (prefix->address);
      g_autofree gchar *text = g_strdup_printf ("%s/%u", address, prefix->prefix_length);

      json_builder_add_string_value (builder, text);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
}

static GBytes *
encode_tenants (const WcConfig *config)
{
  g_autoptr (JsonBuilder) builder = json_builder_new_immutable ();
  guint i;

  json_builder_begin_object (builder);
  begin_array (builder, "tenant");
  for (i = WC_TENANT_OTHER + 1; i < config->tenants->len; i++)
    add_tenant (builder, g_ptr_array_index (config->tenants, i));
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return generate_json (builder);
}

static GBytes *
encode_topology (const WcConfig *config)
{
  g_autoptr (JsonBuilder) builder = json_builder_new_immutable ();

  json_builder_begin_object (builder);
  add_strings (builder, "availability_zones", config->zones);
  add_strings (builder, "drain_hosts", config->drain_hosts);
  json_builder_end_object (builder);
  return generate_json (builder);
}

gchar *
wc_part_hash (GBytes *part)
{
  return g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, part);
}

static gboolean
add_part (WcParts *parts, GBytes *body, const gchar *description, GError **error)
{
  gchar *hash;

  if (g_bytes_get_size (body) > WC_PART_MAX_BYTES)
    {
      g_set_error (error, WC_ERROR, WC_ERROR_TOO_LARGE,
                   "%s: %" G_GSIZE_FORMAT " bytes when encoded; at most %d are allowed",
                   description, g_bytes_get_size (body), WC_PART_MAX_BYTES);
      g_bytes_unref (body);
      return FALSE;
    }
  hash = wc_part_hash (body);
  g_ptr_array_add (parts->hashes, hash);
  g_hash_table_insert (parts->bodies, g_strdup (hash), body);
  return TRUE;
}

static guint64
compute_digest (GPtrArray *hashes)
{
  g_autoptr (GChecksum) checksum = g_checksum_new (G_CHECKSUM_SHA256);
  guint8 bytes[32];
  gsize length = sizeof bytes;
  guint64 digest = 0;
  guint i;

  for (i = 0; i < hashes->len; i++)
    g_checksum_update (checksum, g_ptr_array_index (hashes, i), HASH_HEX_DIGITS);
  g_checksum_get_digest (checksum, bytes, &length);
  for (i = 0; i < sizeof digest; i++)
    digest = digest << 8 | bytes[i];
  return digest;
}

static gboolean
add_parts (WcParts *parts, const WcConfig *config, GError **error)
{
  guint i;

  if (!add_part (parts, encode_topology (config), "availability zones and hosts to drain", error) ||
      !add_part (parts, encode_tenants (config), "tenants", error))
    return FALSE;
  for (i = 0; i < config->services->len; i++)
    {
      const WcService *service = g_ptr_array_index (config->services, i);

      if (!add_part (parts, encode_service (service), service->name, error))
        return FALSE;
    }
  return TRUE;
}

WcParts *
wc_parts_encode (const WcConfig *config, GError **error)
{
  WcParts *parts;

  if (config->services->len + 2 > WC_MAX_PARTS)
    {
      g_set_error (error, WC_ERROR, WC_ERROR_TOO_LARGE, "%u services; at most %d are allowed",
                   config->services->len, WC_MAX_PARTS - 2);
      return NULL;
    }
  parts = g_new0 (WcParts, 1);
  parts->hashes = g_ptr_array_new_with_free_func (g_free);
  parts->bodies =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  if (add_parts (parts, config, error))
    parts->digest = compute_digest (parts->hashes);
  else
    g_clear_pointer (&parts, wc_parts_free);
  return parts;
}

void
wc_parts_free (WcParts *parts)
{
  if (parts == NULL)
    return;
  g_ptr_array_unref (parts->hashes);
  g_hash_table_unref (parts->bodies);
  g_free (parts);
}

static void
apply_record_clear (WcApplyRecord *record)
{
  g_free (record->apply_id);
  g_free (record->operator_name);
}

static void
apply_record_free (gpointer data)
{
  apply_record_clear (data);
  g_free (data);
}

static void
add_history (WcRoot *root, const WcApplyRecord *record)
{
  WcApplyRecord *copy = g_new0 (WcApplyRecord, 1);

  copy->version = record->version;
  copy->apply_id = g_strdup (record->apply_id);
  copy->operator_name = g_strdup (record->operator_name);
  g_ptr_array_add (root->history, copy);
}

static WcRoot *
new_root (void)
{
  WcRoot *root = g_new0 (WcRoot, 1);

  root->history = g_ptr_array_new_with_free_func (apply_record_free);
  root->hashes = g_ptr_array_new_with_free_func (g_free);
  return root;
}

WcRoot *
wc_root_new (const WcRoot *previous,
             const gchar *apply_id,
             const gchar *operator_name,
             const WcParts *parts)
{
  WcRoot *root = new_root ();
  guint i;

  root->last_apply.version = previous != NULL ? previous->last_apply.version + 1 : 1;
  root->last_apply.apply_id = g_strdup (apply_id);
  root->last_apply.operator_name = g_strdup (operator_name);
  if (previous != NULL)
    add_history (root, &previous->last_apply);
  for (i = 0; previous != NULL && i < previous->history->len; i++)
    if (root->history->len < WC_ROOT_MAX_HISTORY)
      add_history (root, g_ptr_array_index (previous->history, i));
  for (i = 0; i < parts->hashes->len; i++)
    g_ptr_array_add (root->hashes, g_strdup (g_ptr_array_index (parts->hashes, i)));
  root->digest = parts->digest;
  return root;
}

void
wc_root_free (WcRoot *root)
{
  if (root == NULL)
    return;
  apply_record_clear (&root->last_apply);
  g_ptr_array_unref (root->history);
  g_ptr_array_unref (root->hashes);
  g_free (root);
}

static void
add_apply_record (JsonBuilder *builder, const WcApplyRecord *record)
{
  add_integer (builder, "version", (gint64) record->version);
  add_string (builder, "apply_id", record->apply_id);
  add_string (builder, "operator", record->operator_name);
}

GBytes *
wc_root_encode (const WcRoot *root, GError **error)
{
  g_autoptr (JsonBuilder) builder = json_builder_new_immutable ();
  g_autoptr (GBytes) bytes = NULL;
  guint i;

  /* A root object that does not decode would make every later apply fail. */
  if (!wc_name_is_valid (root->last_apply.apply_id) ||
      !wc_name_is_valid (root->last_apply.operator_name))
    {
      g_set_error (error, WC_ERROR, WC_ERROR_RANGE,
                   "apply id \"%s\" or operator \"%s\" is not a valid name",
                   root->last_apply.apply_id, root->last_apply.operator_name);
      return NULL;
    }
  json_builder_begin_object (builder);
  add_apply_record (builder, &root->last_apply);
  begin_array (builder, "history");
  for (i = 0; i < root->history->len; i++)
    {
      json_builder_begin_object (builder);
      add_apply_record (builder, g_ptr_array_index (root->history, i));
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  add_strings (builder, "parts", root->hashes);
  json_builder_end_object (builder);
  bytes = generate_json (builder);
  if (g_bytes_get_size (bytes) <= WC_PART_MAX_BYTES)
    return g_steal_pointer (&bytes);
  g_set_error (error, WC_ERROR, WC_ERROR_TOO_LARGE,
               "root object: too large with %" G_GSIZE_FORMAT " bytes", g_bytes_get_size (bytes));
  return NULL;
}

static void
read_apply_record (WcReader *reader, const WcValue *table, WcApplyRecord *record)
{
  gint64 version = 0;

  wc_reader_integer (reader, table, "version", 1, G_MAXINT64, &version);
  if (wc_value_find (table, "version") == NULL)
    wc_reader_add_error (reader, table, "version", WC_ERROR_MISSING, "missing");
  record->version = (guint64) version;
  record->apply_id = g_strdup (wc_reader_name (reader, table, "apply_id"));
  record->operator_name = g_strdup (wc_reader_name (reader, table, "operator"));
}

static void
read_history (WcReader *reader, const WcValue *document, WcRoot *root)
{
  const WcValue *array = wc_reader_array (reader, document, "history", WC_VALUE_TABLE, FALSE);
  guint i;

  if (array == NULL)
    return;
  if (array->children->len > WC_ROOT_MAX_HISTORY)
    {
      wc_reader_add_error (reader, array, "history", WC_ERROR_RANGE, "has too many entries");
      return;
    }
  for (i = 0; i < array->children->len; i++)
    {
      WcApplyRecord *record = g_new0 (WcApplyRecord, 1);

      g_ptr_array_add (root->history, record);
      read_apply_record (reader, g_ptr_array_index (array->children, i), record);
    }
}

static gboolean
is_sha256_hex (const gchar *text)
{
  return strlen (text) == HASH_HEX_DIGITS && strspn (text, "0123456789abcdef") == HASH_HEX_DIGITS;
}

static void
read_part_hashes (WcReader *reader, const WcValue *document, WcRoot *root)
{
  const WcValue *array = wc_reader_array (reader, document, "parts", WC_VALUE_STRING, TRUE);
  guint i;

  if (array == NULL)
    return;
  if (array->children->len > WC_MAX_PARTS)
    {
      wc_reader_add_error (reader, array, "parts", WC_ERROR_RANGE, "has too many entries");
      return;
    }
  for (i = 0; i < array->children->len; i++)
    {
      const WcValue *child = g_ptr_array_index (array->children, i);

      if (is_sha256_hex (child->text))
        g_ptr_array_add (root->hashes, g_strdup (child->text));
      else
        wc_reader_add_error (reader, child, "parts", WC_ERROR_RANGE,
                             "not a SHA-256 in hexadecimal");
    }
}

WcRoot *
wc_root_parse (GBytes *bytes, GError **error)
{
  g_autoptr (WcValue) document =
      wc_json_parse_bytes ("root object", bytes, WC_PART_MAX_BYTES, error);
  WcRoot *root;
  WcReader reader;

  if (document == NULL)
    return NULL;
  root = new_root ();
  wc_reader_init (&reader);
  read_apply_record (&reader, document, &root->last_apply);
  read_history (&reader, document, root);
  read_part_hashes (&reader, document, root);
  root->digest = compute_digest (root->hashes);
  if (!wc_reader_finish (&reader, error))
    g_clear_pointer (&root, wc_root_free);
  wc_reader_clear (&reader);
  return root;
}

GPtrArray *
wc_root_part_hashes (const WcConfigFormat *format, GBytes *root)
{
  WcRoot *parsed;
  GPtrArray *hashes;

  if (format->has_no_parts)
    return g_ptr_array_new ();
  parsed = format->parse_root (root, NULL);
  hashes = parsed != NULL ? g_ptr_array_ref (parsed->hashes) : NULL;
  wc_root_free (parsed);
  return hashes;
}

GPtrArray *
wc_root_missing_parts (const WcRoot *root, GHashTable *parts)
{
  GPtrArray *missing = g_ptr_array_new ();
  guint i;

  for (i = 0; i < root->hashes->len; i++)
    {
      gchar *hash = g_ptr_array_index (root->hashes, i);

      if (!g_hash_table_contains (parts, hash))
        g_ptr_array_add (missing, hash);
    }
  return missing;
}

const WcConfigFormat wc_config_format_parts = {
  .parse_root = wc_root_parse,
  .decode = wc_decoder_decode,
};
