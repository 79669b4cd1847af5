#include "wc-node.h"

#include <string>
#include <string_view>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

static WcNode *convert (const gchar *key, const toml::node &value, gchar *file);

static WcNode *
convert_table (const gchar *key, const toml::table &table, gchar *file)
{
  WcNode *node = wc_node_new (WC_NODE_TABLE, key, file, table.source ().begin.line);

  for (auto &&[name, value] : table)
    {
      const std::string text (name.str ());

      g_ptr_array_add (node->children, convert (text.c_str (), value, file));
    }
  return node;
}

static WcNode *
convert_array (const gchar *key, const toml::array &array, gchar *file)
{
  WcNode *node = wc_node_new (WC_NODE_ARRAY, key, file, array.source ().begin.line);

  for (auto &&value : array)
    g_ptr_array_add (node->children, convert (nullptr, value, file));
  return node;
}

static WcNode *
convert (const gchar *key, const toml::node &value, gchar *file)
{
  const guint line = value.source ().begin.line;
  WcNode *node;

  if (const auto *table = value.as_table ())
    return convert_table (key, *table, file);
  if (const auto *array = value.as_array ())
    return convert_array (key, *array, file);
  /* A nul inside a string would cut it short in C. */
  if (const auto *string = value.as_string ();
      string != nullptr && string->get ().find ('\0') == std::string::npos)
    {
      node = wc_node_new (WC_NODE_STRING, key, file, line);
      node->text = g_strndup (string->get ().data (), string->get ().size ());
      return node;
    }
  if (const auto *integer = value.as_integer ())
    {
      node = wc_node_new (WC_NODE_INTEGER, key, file, line);
      node->number = integer->get ();
      return node;
    }
  return wc_node_new (WC_NODE_OTHER, key, file, line);
}

WcNode *
wc_toml_parse (gchar *file, const gchar *text, gsize length, GError **error)
{
  const toml::parse_result result = toml::parse (std::string_view (text, length));

  if (!result)
    {
      const std::string message (result.error ().description ());

      g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s:%u: %s", file,
                   static_cast<guint> (result.error ().source ().begin.line), message.c_str ());
      return nullptr;
    }
  return convert_table (nullptr, result.table (), file);
}
