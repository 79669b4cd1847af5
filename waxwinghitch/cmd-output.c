#include "cmd-output.h"

void
cmd_print_builder (JsonBuilder *builder)
{
  g_autoptr (JsonNode) node = json_builder_get_root (builder);
  g_autofree gchar *text = json_to_string (node, FALSE);

  g_print ("%s\n", text);
}

void
cmd_add_string (JsonBuilder *builder, const gchar *name, const gchar *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

void
cmd_add_number (JsonBuilder *builder, const gchar *name, guint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, (gint64) value);
}

void
cmd_add_boolean (JsonBuilder *builder, const gchar *name, gboolean value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_boolean_value (builder, value);
}

gchar *
cmd_format_id (guint64 id)
{
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x", id);
}
