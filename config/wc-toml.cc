#include "wc-value.h"

#include <algorithm>
#include <string>
#include <string_view>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

/* toml++ 3.3 has undefined behaviour for characters beyond ASCII where it looks for white space,
 * for example after a backslash at the end of a line. It is given ASCII only: such bytes are
 * written as the escape character and two hexadecimal digits, and put back into strings and keys.
 */
static const char ESCAPE = '~';

static WcValue *convert (const gchar *key, const toml::node &value, gchar *file);

static std::string
from_ascii (std::string_view text)
{
  std::string result;
  std::size_t i;

  for (i = 0; i < text.size (); i++)
    if (text[i] == ESCAPE && i + 2 < text.size ())
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
  WcValue *node = wc_value_new (WC_VALUE_TABLE, key, file, table.source ().begin.line);

  for (auto &&[name, value] : table)
    {
      const std::string text = from_ascii (name.str ());

      g_ptr_array_add (node->children, convert (text.c_str (), value, file));
    }
  return node;
}

static WcValue *
convert_array (const gchar *key, const toml::array &array, gchar *file)
{
  WcValue *node = wc_value_new (WC_VALUE_ARRAY, key, file, array.source ().begin.line);

  for (auto &&value : array)
    g_ptr_array_add (node->children, convert (nullptr, value, file));
  return node;
}

static WcValue *
convert (const gchar *key, const toml::node &value, gchar *file)
{
  const guint line = value.source ().begin.line;
  WcValue *node;

  if (const auto *table = value.as_table ())
    return convert_table (key, *table, file);
  if (const auto *array = value.as_array ())
    return convert_array (key, *array, file);
  /* A nul inside a string would cut it short in C. */
  if (const auto *string = value.as_string ();
      string != nullptr && string->get ().find ('\0') == std::string::npos)
    {
      node = wc_value_new (WC_VALUE_STRING, key, file, line);
      node->text = g_strdup (from_ascii (string->get ()).c_str ());
      return node;
    }
  if (const auto *integer = value.as_integer ())
    {
      node = wc_value_new (WC_VALUE_INTEGER, key, file, line);
      node->number = integer->get ();
      return node;
    }
  return wc_value_new (WC_VALUE_OTHER, key, file, line);
}

/* Replaces the bytes beyond ASCII, and the escape character itself. */
static std::string
to_ascii (std::string_view text)
{
  static const char digits[] = "0123456789abcdef";
  std::string result;

  result.reserve (text.size ());
  for (const char c : text)
    {
      const auto byte = static_cast<unsigned char> (c);

      if (byte < 0x80 && c != ESCAPE)
        {
          result += c;
          continue;
        }
      result += ESCAPE;
      result += digits[byte >> 4];
      result += digits[byte & 15];
    }
  return result;
}

static guint
line_of (const gchar *text, const gchar *end)
{
  return 1 + static_cast<guint> (std::count (text, end, '\n'));
}

/* An escape sequence of TOML would bring the escape character back unreplaced. */
static const gchar *
find_unsupported (const gchar *text, gsize length)
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
  const gchar *unsupported = find_unsupported (text, length);

  if (unsupported != nullptr)
    {
      g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX,
                   "%s:%u: not UTF-8, or \"~\" written as an escape sequence", file,
                   line_of (text, unsupported));
      return nullptr;
    }
  const toml::parse_result result = toml::parse (to_ascii (std::string_view (text, length)));

  if (!result)
    {
      const std::string message (result.error ().description ());

      g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s:%u: %s", file,
                   static_cast<guint> (result.error ().source ().begin.line), message.c_str ());
      return nullptr;
    }
  return convert_table (nullptr, result.table (), file);
}
