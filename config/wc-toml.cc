#include "wc-value.h"

#include <algorithm>
#include <string>
#include <string_view>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

/* toml++ 3.3 has undefined behaviour for characters beyond ASCII where it looks for white space,
 * for example after a backslash at the end of a line. So it only gets ASCII: each other byte is
 * replaced by this character and two hexadecimal digits, and restored in strings and keys. */
static const char ESCAPE_CHARACTER = '~';

static WcValue *convert_node (const gchar *key, const toml::node &node, gchar *file);

static std::string
unescape_non_ascii (std::string_view text)
{
  std::string result;
  std::size_t i;

  for (i = 0; i < text.size (); i++)
    if (text[i] == ESCAPE_CHARACTER && i + 2 < text.size ())
      {
        result += static_cast<char> (g_ascii_xdigit_value (text[i + 1]) << 4 |
                                     g_ascii_xdigit_value (text[i + 2]));
        i += 2;
      }
    else
      result += text[i];
  return result;
}

static WcValue *
convert_table (const gchar *key, const toml::table &table, gchar *file)
{
  WcValue *value = wc_value_new (WC_VALUE_TABLE, key, file, table.source ().begin.line);

  for (auto &&[name, node] : table)
    {
      const std::string text = unescape_non_ascii (name.str ());

      g_ptr_array_add (value->children, convert_node (text.c_str (), node, file));
    }
  return value;
}

static WcValue *
convert_array (const gchar *key, const toml::array &array, gchar *file)
{
  WcValue *value = wc_value_new (WC_VALUE_ARRAY, key, file, array.source ().begin.line);

  for (auto &&node : array)
    g_ptr_array_add (value->children, convert_node (nullptr, node, file));
  return value;
}

static WcValue *
convert_node (const gchar *key, const toml::node &node, gchar *file)
{
  const guint line = node.source ().begin.line;
  WcValue *value;

  if (const auto *table = node.as_table ())
    return convert_table (key, *table, file);
  if (const auto *array = node.as_array ())
    return convert_array (key, *array, file);
  /* A string with an embedded nul would be truncated in C, so it is treated as an invalid kind. */
  if (const auto *string = node.as_string ();
      string != nullptr && string->get ().find ('\0') == std::string::npos)
    {
      value = wc_value_new (WC_VALUE_STRING, key, file, line);
      value->text = g_strdup (unescape_non_ascii (string->get ()).c_str ());
      return value;
    }
  if (const auto *integer = node.as_integer ())
    {
      value = wc_value_new (WC_VALUE_INTEGER, key, file, line);
      value->number = integer->get ();
      return value;
    }
  if (const auto *boolean = node.as_boolean ())
    {
      value = wc_value_new (WC_VALUE_BOOLEAN, key, file, line);
      value->number = boolean->get () ? 1 : 0;
      return value;
    }
  return wc_value_new (WC_VALUE_OTHER, key, file, line);
}

/* Escapes bytes beyond ASCII, and the escape character itself. */
static std::string
escape_non_ascii (std::string_view text)
{
  static const char digits[] = "0123456789abcdef";
  std::string result;

  result.reserve (text.size ());
  for (const char c : text)
    {
      const auto byte = static_cast<unsigned char> (c);

      if (byte < 0x80 && c != ESCAPE_CHARACTER)
        {
          result += c;
          continue;
        }
      result += ESCAPE_CHARACTER;
      result += digits[byte >> 4];
      result += digits[byte & 15];
    }
  return result;
}

static guint
line_number (const gchar *text, const gchar *end)
{
  return 1 + static_cast<guint> (std::count (text, end, '\n'));
}

/* Returns the first position of invalid UTF-8, or of the escape character written as a TOML escape
 * sequence, which escape_non_ascii() cannot escape; NULL when there is none. */
static const gchar *
find_unsupported_text (const gchar *text, gsize length)
{
  const gchar *end;
  std::string lower (text, length);
  std::size_t at;

  if (!g_utf8_validate_len (text, length, &end))
    return end;
  std::transform (lower.begin (), lower.end (), lower.begin (), g_ascii_tolower);
  at = std::min (lower.find ("\\u007e"), lower.find ("\\u0000007e"));
  return at == std::string::npos ? nullptr : text + at;
}

WcValue *
wc_toml_parse (gchar *file, const gchar *text, gsize length, GError **error)
{
  const gchar *unsupported_at = find_unsupported_text (text, length);

  if (unsupported_at != nullptr)
    {
      g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX,
                   "%s:%u: not UTF-8, or \"~\" written as an escape sequence", file,
                   line_number (text, unsupported_at));
      return nullptr;
    }
  const toml::parse_result result =
      toml::parse (escape_non_ascii (std::string_view (text, length)));

  if (!result)
    {
      const std::string message (result.error ().description ());

      g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s:%u: %s", file,
                   static_cast<guint> (result.error ().source ().begin.line), message.c_str ());
      return nullptr;
    }
  return convert_table (nullptr, result.table (), file);
}
