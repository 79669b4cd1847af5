#include "wc-value.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* A part nests at most five levels: document, array, service, port list, port. */
#define MAX_NESTING_DEPTH 8

static WcValue *convert_node (const gchar *key, JsonNode *node, gchar *file);

/* JsonParser recurses once per level and has no limit, so a deeply nested document from the network
 * could overflow the stack. */
static gboolean
is_nesting_allowed (const gchar *text, gsize length)
{
  gboolean in_string = FALSE;
  guint depth = 0;
  gsize i;

  for (i = 0; i < length; i++)
    {
      if (in_string && text[i] == '\\')
        i++;
      else if (text[i] == '"')
        in_string = !in_string;
      else if (in_string)
        continue;
      else if (text[i] == '{' || text[i] == '[')
        {
          if (++depth > MAX_NESTING_DEPTH)
            return FALSE;
        }
      else if ((text[i] == '}' || text[i] == ']') && depth > 0)
        depth--;
    }
  return TRUE;
}

static WcValue *
convert_object (const gchar *key, JsonObject *object, gchar *file)
{
  WcValue *value = wc_value_new (WC_VALUE_TABLE, key, file, 0);
  JsonObjectIter iter;
  const gchar *name;
  JsonNode *node;

  json_object_iter_init (&iter, object);
  while (json_object_iter_next (&iter, &name, &node))
    g_ptr_array_add (value->children, convert_node (name, node, file));
  return value;
}

static WcValue *
convert_array (const gchar *key, JsonArray *array, gchar *file)
{
  WcValue *value = wc_value_new (WC_VALUE_ARRAY, key, file, 0);
  guint i;

  for (i = 0; i < json_array_get_length (array); i++)
    g_ptr_array_add (value->children, convert_node (NULL, json_array_get_element (array, i), file));
  return value;
}

static WcValue *
convert_node (const gchar *key, JsonNode *node, gchar *file)
{
  WcValue *value;

  if (JSON_NODE_HOLDS_OBJECT (node))
    return convert_object (key, json_node_get_object (node), file);
  if (JSON_NODE_HOLDS_ARRAY (node))
    return convert_array (key, json_node_get_array (node), file);
  if (JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_STRING)
    {
      value = wc_value_new (WC_VALUE_STRING, key, file, 0);
      value->text = json_node_dup_string (node);
      return value;
    }
  if (JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_INT64)
    {
      value = wc_value_new (WC_VALUE_INTEGER, key, file, 0);
      value->number = json_node_get_int (node);
      return value;
    }
  return wc_value_new (WC_VALUE_OTHER, key, file, 0);
}

WcValue *
wc_json_parse (gchar *file, const gchar *text, gsize length, GError **error)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  g_autoptr (GError) parse_error = NULL;
  JsonNode *root;

  if (length == 0)
    {
      g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s: document is empty", file);
      return NULL;
    }
  if (!is_nesting_allowed (text, length))
    {
      g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s: nested too deeply", file);
      return NULL;
    }
  if (!g_utf8_validate_len (text, length, NULL) ||
      !json_parser_load_from_data (parser, text, (gssize) length, &parse_error))
    {
      g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s: %s", file,
                   parse_error != NULL ? parse_error->message : "not UTF-8");
      return NULL;
    }
  root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s: not a JSON object", file);
      return NULL;
    }
  return convert_object (NULL, json_node_get_object (root), file);
}

WcValue *
wc_json_parse_bytes (const gchar *name, GBytes *bytes, gsize maximum_bytes, GError **error)
{
  gsize length;
  const gchar *text = g_bytes_get_data (bytes, &length);
  gchar *file = g_ref_string_new (name);
  WcValue *document = NULL;

  if (length > maximum_bytes)
    g_set_error (error, WC_ERROR, WC_ERROR_TOO_LARGE, "%s: more than %" G_GSIZE_FORMAT " bytes",
                 name, maximum_bytes);
  else
    document = wc_json_parse (file, text, length, error);
  g_ref_string_release (file);
  return document;
}
