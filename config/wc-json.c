#include "wc-value.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* A part nests four levels deep: document, array, service, port list, port. */
#define MAX_DEPTH 8

static WcValue *convert (const gchar *key, JsonNode *value, gchar *file);

/* The parser recurses once per level without a limit of its own. */
static gboolean
depth_is_bounded (const gchar *text, gsize length)
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
          if (++depth > MAX_DEPTH)
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
  WcValue *node = wc_value_new (WC_VALUE_TABLE, key, file, 0);
  JsonObjectIter iter;
  const gchar *name;
  JsonNode *value;

  json_object_iter_init (&iter, object);
  while (json_object_iter_next (&iter, &name, &value))
    g_ptr_array_add (node->children, convert (name, value, file));
  return node;
}

static WcValue *
convert_array (const gchar *key, JsonArray *array, gchar *file)
{
  WcValue *node = wc_value_new (WC_VALUE_ARRAY, key, file, 0);
  guint i;

  for (i = 0; i < json_array_get_length (array); i++)
    g_ptr_array_add (node->children, convert (NULL, json_array_get_element (array, i), file));
  return node;
}

static WcValue *
convert (const gchar *key, JsonNode *value, gchar *file)
{
  WcValue *node;

  if (JSON_NODE_HOLDS_OBJECT (value))
    return convert_object (key, json_node_get_object (value), file);
  if (JSON_NODE_HOLDS_ARRAY (value))
    return convert_array (key, json_node_get_array (value), file);
  if (JSON_NODE_HOLDS_VALUE (value) && json_node_get_value_type (value) == G_TYPE_STRING)
    {
      node = wc_value_new (WC_VALUE_STRING, key, file, 0);
      node->text = json_node_dup_string (value);
      return node;
    }
  if (JSON_NODE_HOLDS_VALUE (value) && json_node_get_value_type (value) == G_TYPE_INT64)
    {
      node = wc_value_new (WC_VALUE_INTEGER, key, file, 0);
      node->number = json_node_get_int (value);
      return node;
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
      g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s: empty", file);
      return NULL;
    }
  if (!depth_is_bounded (text, length))
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
      g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s: no object", file);
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
