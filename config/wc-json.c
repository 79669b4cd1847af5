#include "wc-span.h"
#include "wc-value.h"

#include <string.h>

static WcValue *convert (WcSpan name, WcSpan span, gchar *file);

static gboolean
convert_members (WcValue *value, WcSpan span, gchar *file)
{
  WcSpan name, member;
  WcSpanIter iter;

  wc_span_iter_init (&iter, span);
  while (wc_span_iter_next (&iter, &name, &member))
    {
      WcValue *child = convert (name, member, file);

      if (child == NULL)
        return FALSE;
      g_ptr_array_add (value->children, child);
    }
  return iter.finished;
}

static gboolean
is_fraction (WcSpan span)
{
  g_autofree gchar *text = g_strndup (span.text, span.length);
  gchar *end;

  if (!g_ascii_isdigit (text[text[0] == '-']))
    return FALSE;
  (void) g_ascii_strtod (text, &end);
  return *end == '\0' && strpbrk (text, "xX") == NULL;
}

/* Types that no key accepts, which are not decoded. */
static gboolean
is_other (WcSpan span)
{
  static const gchar *const words[] = { "true", "false", "null" };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (words); i++)
    if (span.length == strlen (words[i]) && memcmp (span.text, words[i], span.length) == 0)
      return TRUE;
  return is_fraction (span);
}

/* Sets the content of @value from the text. Return: FALSE when the text is malformed */
static gboolean
convert_content (WcValue *value, WcSpan span, gchar *file)
{
  switch (value->kind)
    {
    case WC_VALUE_TABLE:
    case WC_VALUE_ARRAY:
      return convert_members (value, span, file);
    case WC_VALUE_STRING:
      value->text = wc_span_string (span);
      return value->text != NULL;
    case WC_VALUE_INTEGER:
    case WC_VALUE_BOOLEAN:
    case WC_VALUE_OTHER:
    default:
      if (wc_span_integer (span, &value->number))
        return TRUE;
      value->kind = WC_VALUE_OTHER;
      return is_other (span);
    }
}

static WcValueKind
kind_of (WcSpan span)
{
  switch (span.text[0])
    {
    case '{':
      return WC_VALUE_TABLE;
    case '[':
      return WC_VALUE_ARRAY;
    case '"':
      return WC_VALUE_STRING;
    default:
      return WC_VALUE_INTEGER;
    }
}

static WcValue *
convert (WcSpan name, WcSpan span, gchar *file)
{
  g_autoptr (WcValue) value = wc_value_new (kind_of (span), NULL, file, 0);

  if (name.length > 0)
    {
      value->key = wc_span_string (name);
      if (value->key == NULL)
        return NULL;
    }
  return convert_content (value, span, file) ? g_steal_pointer (&value) : NULL;
}

WcValue *
wc_json_parse (gchar *file, const gchar *text, gsize length, GError **error)
{
  WcSpan span = wc_span_whole (text, length);
  WcValue *document = NULL;

  if (length == 0)
    g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s: document is empty", file);
  else if (!g_utf8_validate_len (text, length, NULL))
    g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s: not UTF-8", file);
  else if (span.length == 0)
    g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s: not a JSON value, or nested too deeply",
                 file);
  else if (!wc_span_is (span, '{'))
    g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s: not a JSON object", file);
  else
    {
      document = convert ((WcSpan){ text, 0 }, span, file);
      if (document == NULL)
        g_set_error (error, WC_ERROR, WC_ERROR_SYNTAX, "%s: malformed JSON", file);
    }
  return document;
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
