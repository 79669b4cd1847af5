#include "wc-diff.h"

#include "wc-reader.h"
#include "ww-packet.h"
#include "ww-sock.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* An object of a configuration, flattened to a list of keys and values for the comparison. */
typedef struct
{
  gchar *name;
  GPtrArray *keys;
  GPtrArray *values;
} FlatObject;

static void
object_free (gpointer data)
{
  FlatObject *object = data;

  g_free (object->name);
  g_ptr_array_unref (object->keys);
  g_ptr_array_unref (object->values);
  g_free (object);
}

static FlatObject *
add_object (GPtrArray *objects, const gchar *kind, const gchar *name)
{
  FlatObject *object = g_new0 (FlatObject, 1);

  object->name = g_strdup_printf ("%s %s", kind, name);
  object->keys = g_ptr_array_new_with_free_func (g_free);
  object->values = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (objects, object);
  return object;
}

/* Takes ownership of both strings. */
static void
add_value (FlatObject *object, gchar *key, gchar *value)
{
  g_ptr_array_add (object->keys, key);
  g_ptr_array_add (object->values, value);
}

static void
add_number (FlatObject *object, const gchar *key, guint value)
{
  add_value (object, g_strdup (key), g_strdup_printf ("%u", value));
}

static void
add_time (FlatObject *object, const gchar *key, gint64 value_us)
{
  add_value (object, g_strdup (key), wc_duration_format (value_us));
}

static void
add_service (GPtrArray *objects, const WcService *service)
{
  FlatObject *object = add_object (objects, "service", service->name);
  guint i;

  add_value (object, g_strdup ("address"), ww_ipv4_format (service->address));
  for (i = 0; i < service->ports->len; i++)
    {
      const WcPort *port = &g_array_index (service->ports, WcPort, i);

      add_value (object,
                 g_strdup_printf ("port %u/%s", port->port,
                                  port->protocol == WW_PROTOCOL_UDP ? "udp" : "tcp"),
                 g_strdup (wc_class_name (port->class)));
    }
  add_number (object, "slots", service->slots);
  add_number (object, "reserve_short", service->reserve_short);
  add_number (object, "queue_limit", service->queue_limit);
  add_time (object, "deadline", service->deadline_us);
  add_time (object, "turn_quiet", service->turn_quiet_us);
  add_time (object, "open_reserve", service->open_reserve_us);
  add_time (object, "idle_timeout", service->idle_timeout_us);
  add_time (object, "cold_start", service->cold_start_us);
  if (service->cold_per_s > 0)
    add_value (object, g_strdup ("cold_per_s"), g_strdup_printf ("%.17g", service->cold_per_s));
  add_value (object, g_strdup ("refusal_text"), g_strescape (service->refusal_text, NULL));
}

static void
add_tenant (GPtrArray *objects, const WcTenant *tenant)
{
  FlatObject *object = add_object (objects, "tenant", tenant->name);
  guint i;

  add_number (object, "weight", tenant->weight);
  for (i = 0; i < tenant->sources->len; i++)
    {
      const WcPrefix *prefix = &g_array_index (tenant->sources, WcPrefix, i);
      g_autofree gchar *address = ww_ipv4_format (prefix->address);

      add_value (object, g_strdup_printf ("source %s/%u", address, prefix->prefix_length),
                 g_strdup ("present"));
    }
}

static gint
compare_objects (gconstpointer a, gconstpointer b)
{
  const FlatObject *const *left = a;
  const FlatObject *const *right = b;

  return strcmp ((*left)->name, (*right)->name);
}

static GPtrArray *
list_objects (const WcConfig *config)
{
  GPtrArray *objects = g_ptr_array_new_with_free_func (object_free);
  guint i;

  if (config == NULL)
    return objects;
  for (i = 0; i < config->services->len; i++)
    add_service (objects, g_ptr_array_index (config->services, i));
  for (i = WC_TENANT_OTHER + 1; i < config->tenants->len; i++)
    add_tenant (objects, g_ptr_array_index (config->tenants, i));
  for (i = 0; i < config->zones->len; i++)
    add_object (objects, "availability zone", g_ptr_array_index (config->zones, i));
  for (i = 0; i < config->drain_hosts->len; i++)
    add_object (objects, "drained host", g_ptr_array_index (config->drain_hosts, i));
  g_ptr_array_sort (objects, compare_objects);
  return objects;
}

static void
change_free (gpointer data)
{
  WcChange *change = data;

  g_free (change->object);
  g_free (change->key);
  g_free (change->before);
  g_free (change->after);
  g_free (change);
}

static void
add_change (GPtrArray *changes,
            const gchar *object,
            const gchar *key,
            const gchar *before,
            const gchar *after)
{
  WcChange *change = g_new0 (WcChange, 1);

  change->object = g_strdup (object);
  change->key = g_strdup (key);
  change->before = g_strdup (before);
  change->after = g_strdup (after);
  g_ptr_array_add (changes, change);
}

static const gchar *
find_value (const FlatObject *object, const gchar *key)
{
  guint i;

  for (i = 0; i < object->keys->len; i++)
    if (strcmp (g_ptr_array_index (object->keys, i), key) == 0)
      return g_ptr_array_index (object->values, i);
  return NULL;
}

static void
compare_values (GPtrArray *changes, const FlatObject *before, const FlatObject *after)
{
  guint i;

  for (i = 0; i < before->keys->len; i++)
    {
      const gchar *key = g_ptr_array_index (before->keys, i);
      const gchar *old_value = g_ptr_array_index (before->values, i);
      const gchar *new_value = find_value (after, key);

      if (g_strcmp0 (old_value, new_value) != 0)
        add_change (changes, before->name, key, old_value, new_value);
    }
  for (i = 0; i < after->keys->len; i++)
    {
      const gchar *key = g_ptr_array_index (after->keys, i);

      if (find_value (before, key) == NULL)
        add_change (changes, after->name, key, NULL, g_ptr_array_index (after->values, i));
    }
}

static const FlatObject *
object_or_null (GPtrArray *objects, guint index)
{
  return index < objects->len ? g_ptr_array_index (objects, index) : NULL;
}

GPtrArray *
wc_diff (const WcConfig *before, const WcConfig *after)
{
  g_autoptr (GPtrArray) old_objects = list_objects (before);
  g_autoptr (GPtrArray) new_objects = list_objects (after);
  GPtrArray *changes = g_ptr_array_new_with_free_func (change_free);
  const FlatObject *left = object_or_null (old_objects, 0);
  const FlatObject *right = object_or_null (new_objects, 0);
  guint i = 0;
  guint j = 0;

  while (left != NULL || right != NULL)
    if (left != NULL && (right == NULL || strcmp (left->name, right->name) < 0))
      {
        add_change (changes, left->name, NULL, "present", NULL);
        left = object_or_null (old_objects, ++i);
      }
    else if (left == NULL || strcmp (left->name, right->name) > 0)
      {
        add_change (changes, right->name, NULL, NULL, "present");
        right = object_or_null (new_objects, ++j);
      }
    else
      {
        compare_values (changes, left, right);
        left = object_or_null (old_objects, ++i);
        right = object_or_null (new_objects, ++j);
      }
  return changes;
}

gchar *
wc_diff_to_text (GPtrArray *changes)
{
  GString *text = g_string_new (NULL);
  guint i;

  for (i = 0; i < changes->len; i++)
    {
      const WcChange *change = g_ptr_array_index (changes, i);

      g_string_append_printf (text, "%s: ", change->object);
      if (change->key != NULL)
        g_string_append_printf (text, "%s: ", change->key);
      if (change->before != NULL && change->after != NULL)
        g_string_append_printf (text, "%s -> %s\n", change->before, change->after);
      else if (change->key == NULL ||
               strcmp (change->before != NULL ? change->before : change->after, "present") == 0)
        g_string_append_printf (text, "%s\n", change->after != NULL ? "added" : "removed");
      else
        g_string_append_printf (text, "%s (%s)\n", change->after != NULL ? "added" : "removed",
                                change->after != NULL ? change->after : change->before);
    }
  return g_string_free (text, FALSE);
}

static void
add_member (JsonBuilder *builder, const gchar *name, const gchar *value)
{
  json_builder_set_member_name (builder, name);
  if (value != NULL)
    json_builder_add_string_value (builder, value);
  else
    json_builder_add_null_value (builder);
}

gchar *
wc_diff_to_json (GPtrArray *changes)
{
  g_autoptr (JsonBuilder) builder = json_builder_new_immutable ();
  g_autoptr (JsonNode) node = NULL;
  guint i;

  json_builder_begin_array (builder);
  for (i = 0; i < changes->len; i++)
    {
      const WcChange *change = g_ptr_array_index (changes, i);

      json_builder_begin_object (builder);
      add_member (builder, "object", change->object);
      add_member (builder, "key", change->key);
      add_member (builder, "before", change->before);
      add_member (builder, "after", change->after);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  node = json_builder_get_root (builder);
  return json_to_string (node, FALSE);
}
