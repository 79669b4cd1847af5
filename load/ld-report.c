#include "ld.h"

#include <string.h>

#include <json-glib/json-glib.h>

static gdouble
quantile_ms (const LdFlowClass *flow_class, gdouble quantile)
{
  return (gdouble) wb_histogram_quantile (flow_class->response_time_us, quantile) / WB_US_PER_MS;
}

static gint
compare_endpoints (gconstpointer a, gconstpointer b)
{
  const LdEndpoint *left = *(LdEndpoint *const *) a;
  const LdEndpoint *right = *(LdEndpoint *const *) b;
  gint order = strcmp (left->service, right->service);

  return order != 0 ? order : strcmp (left->name, right->name);
}

static GPtrArray *
sorted_endpoints (const LdRun *run)
{
  GPtrArray *result = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer endpoint;

  g_hash_table_iter_init (&iter, run->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &endpoint))
    g_ptr_array_add (result, endpoint);
  g_ptr_array_sort (result, compare_endpoints);
  return result;
}

gchar *
ld_report_table (const LdRun *run)
{
  g_autoptr (GPtrArray) endpoints = sorted_endpoints (run);
  GString *text = g_string_new (NULL);
  guint i;

  g_string_append_printf (text, "%-12s %8s %8s %8s %8s %8s %9s %10s %10s %10s\n", "class", "opened",
                          "whole", "refused", "no time", "broken", "misrouted", "responses",
                          "p50 ms", "p99 ms");
  for (i = 0; i < run->classes->len; i++)
    {
      const LdFlowClass *flow_class = g_ptr_array_index (run->classes, i);

      g_string_append_printf (text,
                              "%-12s %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
                              " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
                              " %9" G_GUINT64_FORMAT " %10" G_GUINT64_FORMAT " %10.1f %10.1f\n",
                              flow_class->name, flow_class->opened, flow_class->completed,
                              flow_class->refused, flow_class->refused_without_retry,
                              flow_class->broken, flow_class->misrouted, flow_class->responses,
                              quantile_ms (flow_class, 0.5), quantile_ms (flow_class, 0.99));
    }
  g_string_append_printf (text, "\n%-20s %-20s %10s %14s\n", "service", "endpoint", "responses",
                          "bytes");
  for (i = 0; i < endpoints->len; i++)
    {
      const LdEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      g_string_append_printf (text, "%-20s %-20s %10" G_GUINT64_FORMAT " %14" G_GUINT64_FORMAT "\n",
                              endpoint->service, endpoint->name, endpoint->responses,
                              endpoint->bytes);
    }
  return g_string_free (text, FALSE);
}

static void
add_number (JsonBuilder *builder, const gchar *name, guint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, (gint64) value);
}

static void
add_flow_class (JsonBuilder *builder, const LdFlowClass *flow_class)
{
  json_builder_set_member_name (builder, flow_class->name);
  json_builder_begin_object (builder);
  add_number (builder, "opened", flow_class->opened);
  add_number (builder, "whole", flow_class->completed);
  add_number (builder, "refused", flow_class->refused);
  add_number (builder, "refused_no_time", flow_class->refused_without_retry);
  add_number (builder, "broken", flow_class->broken);
  add_number (builder, "misrouted", flow_class->misrouted);
  add_number (builder, "responses", flow_class->responses);
  json_builder_set_member_name (builder, "p50_ms");
  json_builder_add_double_value (builder, quantile_ms (flow_class, 0.5));
  json_builder_set_member_name (builder, "p99_ms");
  json_builder_add_double_value (builder, quantile_ms (flow_class, 0.99));
  json_builder_end_object (builder);
}

gchar *
ld_report_json (const LdRun *run)
{
  g_autoptr (GPtrArray) endpoints = sorted_endpoints (run);
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  guint i;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "classes");
  json_builder_begin_object (builder);
  for (i = 0; i < run->classes->len; i++)
    add_flow_class (builder, g_ptr_array_index (run->classes, i));
  json_builder_end_object (builder);
  json_builder_set_member_name (builder, "endpoints");
  json_builder_begin_array (builder);
  for (i = 0; i < endpoints->len; i++)
    {
      const LdEndpoint *endpoint = g_ptr_array_index (endpoints, i);

      json_builder_begin_object (builder);
      json_builder_set_member_name (builder, "name");
      json_builder_add_string_value (builder, endpoint->name);
      json_builder_set_member_name (builder, "service");
      json_builder_add_string_value (builder, endpoint->service);
      add_number (builder, "responses", endpoint->responses);
      add_number (builder, "bytes", endpoint->bytes);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}
