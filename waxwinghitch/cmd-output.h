#pragma once

#include "cmd.h"
#include "wc-error.h"

#include <json-glib/json-glib.h>

/**
 * DOC: Output of operator commands as JSON.
 */

/** cmd_print_builder() - prints the document of @builder as one line of JSON */
void cmd_print_builder (JsonBuilder *builder);

void cmd_add_string (JsonBuilder *builder, const gchar *name, const gchar *value);
void cmd_add_number (JsonBuilder *builder, const gchar *name, guint64 value);
void cmd_add_boolean (JsonBuilder *builder, const gchar *name, gboolean value);

/** cmd_format_id() - (transfer full): formats a digest or id as 16 hexadecimal digits */
gchar *cmd_format_id (guint64 id);
