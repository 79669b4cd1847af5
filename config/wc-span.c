#include "wc-span.h"

#include <string.h>

/* Limit of whole documents, whose reader recurses. A part nests at most five levels: document,
 * array, service, port list, port. */
#define MAX_DOCUMENT_DEPTH 8
/* Limit of values that are walked one by one. It is higher, so that a value that is not used, and
 * that others write, does not make the document around it unreadable. */
#define MAX_NESTING_DEPTH 256

static gboolean
is_space (gchar character)
{
  return character == ' ' || character == '\n' || character == '\t' || character == '\r';
}

static const gchar *
skip_space (const gchar *at, const gchar *end)
{
  while (at < end && is_space (*at))
    at++;
  return at;
}

/* The end of a string that begins at @at with its quote, or NULL. */
static const gchar *
skip_string (const gchar *at, const gchar *end)
{
  const gchar *quote = at;

  while ((quote = memchr (quote + 1, '"', (gsize) (end - quote - 1))) != NULL)
    {
      const gchar *escape = quote;

      while (escape[-1] == '\\')
        escape--;
      if ((quote - escape) % 2 == 0)
        return quote + 1;
    }
  return NULL;
}

/* Characters between brackets and strings, which are skipped. */
static gboolean
is_structural (gchar character)
{
  static const guint8 structural[256] = {
    ['"'] = 1, ['{'] = 1, ['['] = 1, ['}'] = 1, [']'] = 1,
  };

  return structural[(guchar) character];
}

/* The end of an object or array. Brackets inside strings do not count. */
static const gchar *
skip_container (const gchar *at, const gchar *end, guint max_depth)
{
  gchar open[MAX_NESTING_DEPTH];
  guint depth = 0;

  while (at != NULL && at < end)
    {
      gchar character = *at;

      if (!is_structural (character))
        {
          at++;
          continue;
        }
      if (character == '"')
        {
          at = skip_string (at, end);
          continue;
        }
      at++;
      if (character == '{' || character == '[')
        {
          if (depth == max_depth)
            return NULL;
          open[depth++] = character;
          continue;
        }
      if (open[--depth] != (character == '}' ? '{' : '['))
        return NULL;
      if (depth == 0)
        return at;
    }
  return NULL;
}

static const gchar *
skip_literal (const gchar *at, const gchar *end)
{
  const gchar *begin = at;

  while (at < end && (g_ascii_isalnum (*at) || *at == '-' || *at == '+' || *at == '.'))
    at++;
  return at > begin ? at : NULL;
}

/* The end of the value that begins at @at, or NULL. */
static const gchar *
skip_value (const gchar *at, const gchar *end, guint max_depth)
{
  if (at >= end)
    return NULL;
  if (*at == '"')
    return skip_string (at, end);
  if (*at == '{' || *at == '[')
    return skip_container (at, end, max_depth);
  return skip_literal (at, end);
}

WcSpan
wc_span_trim (const gchar *text, gsize length)
{
  const gchar *start = text != NULL ? text : "";
  const gchar *end = start + length;
  const gchar *begin = skip_space (start, end);

  while (end > begin && is_space (end[-1]))
    end--;
  return (WcSpan){ begin, (gsize) (end - begin) };
}

WcSpan
wc_span_whole (const gchar *text, gsize length)
{
  WcSpan span = wc_span_trim (text, length);

  if (skip_value (span.text, span.text + span.length, MAX_DOCUMENT_DEPTH) !=
      span.text + span.length)
    return (WcSpan){ span.text, 0 };
  return span;
}

gboolean
wc_span_iter_init (WcSpanIter *iter, WcSpan container)
{
  *iter = (WcSpanIter){ .next = container.text + 1,
                        .end = container.text + container.length,
                        .first = TRUE };
  if (wc_span_is (container, '{'))
    iter->close = '}';
  else if (wc_span_is (container, '['))
    iter->close = ']';
  return iter->close != '\0';
}

/* Moves past the comma between two values. Return: FALSE when no value follows */
static gboolean
begin_value (WcSpanIter *iter)
{
  gboolean first = iter->first;

  iter->first = FALSE;
  iter->next = skip_space (iter->next, iter->end);
  if (iter->next == iter->end)
    return FALSE;
  if (*iter->next == iter->close)
    {
      iter->finished = iter->next + 1 == iter->end;
      return FALSE;
    }
  if (first)
    return TRUE;
  if (*iter->next != ',')
    return FALSE;
  iter->next = skip_space (iter->next + 1, iter->end);
  return TRUE;
}

static gboolean
read_name (WcSpanIter *iter, WcSpan *name)
{
  const gchar *after =
      iter->next < iter->end && *iter->next == '"' ? skip_string (iter->next, iter->end) : NULL;

  if (after == NULL)
    return FALSE;
  *name = (WcSpan){ iter->next, (gsize) (after - iter->next) };
  iter->next = skip_space (after, iter->end);
  if (iter->next == iter->end || *iter->next != ':')
    return FALSE;
  iter->next = skip_space (iter->next + 1, iter->end);
  return TRUE;
}

gboolean
wc_span_iter_next (WcSpanIter *iter, WcSpan *name, WcSpan *value)
{
  const gchar *after;

  *name = (WcSpan){ iter->next, 0 };
  if (iter->finished || !begin_value (iter))
    return FALSE;
  if (iter->close == '}' && !read_name (iter, name))
    return FALSE;
  after = skip_value (iter->next, iter->end, MAX_NESTING_DEPTH);
  if (after == NULL)
    return FALSE;
  *value = (WcSpan){ iter->next, (gsize) (after - iter->next) };
  iter->next = after;
  return TRUE;
}

gboolean
wc_span_is_named (WcSpan name, const gchar *text)
{
  gsize length = strlen (text);

  return name.length == length + 2 && memcmp (name.text + 1, text, length) == 0;
}

gboolean
wc_span_find (WcSpan object, const gchar *name, WcSpan *value)
{
  WcSpanIter iter;
  WcSpan found;

  if (!wc_span_is (object, '{') || !wc_span_iter_init (&iter, object))
    return FALSE;
  while (wc_span_iter_next (&iter, &found, value))
    if (wc_span_is_named (found, name))
      return TRUE;
  return FALSE;
}

gboolean
wc_span_is (WcSpan span, gchar first)
{
  return span.length > 0 && span.text[0] == first;
}

gboolean
wc_span_integer (WcSpan span, gint64 *number)
{
  gboolean negative = wc_span_is (span, '-');
  gsize first = negative ? 1 : 0;
  gint64 value = 0;
  gsize i;

  if (span.length <= first || (span.text[first] == '0' && span.length > first + 1))
    return FALSE;
  for (i = first; i < span.length; i++)
    {
      gint digit = g_ascii_digit_value (span.text[i]);

      /* Negative, because the range of negative numbers is larger by one. */
      if (digit < 0 || __builtin_mul_overflow (value, 10, &value) ||
          __builtin_sub_overflow (value, digit, &value))
        return FALSE;
    }
  if (!negative && value == G_MININT64)
    return FALSE;
  *number = negative ? value : -value;
  return TRUE;
}

/* Decodes the four hexadecimal digits of an escape. Return: a value above 0xffff when malformed */
static guint32
decode_unit (const gchar *at, const gchar *end)
{
  guint32 unit = 0;
  guint i;

  if (end - at < 4)
    return G_MAXUINT32;
  for (i = 0; i < 4; i++)
    {
      gint digit = g_ascii_xdigit_value (at[i]);

      if (digit < 0)
        return G_MAXUINT32;
      unit = unit << 4 | (guint32) digit;
    }
  return unit;
}

/* Decodes the escape whose letter is at @at, and moves past it. Return: FALSE when malformed */
static gboolean
decode_escape (const gchar **at, const gchar *end, GString *out)
{
  static const gchar letters[] = "\"\\/bfnrt";
  static const gchar characters[] = "\"\\/\b\f\n\r\t";
  const gchar *letter = strchr (letters, **at);
  guint32 unit, low;

  (*at)++;
  if (letter != NULL && *letter != '\0')
    {
      g_string_append_c (out, characters[letter - letters]);
      return TRUE;
    }
  if ((*at)[-1] != 'u')
    return FALSE;
  unit = decode_unit (*at, end);
  *at += 4;
  if (unit >= 0xd800 && unit < 0xdc00 && end - *at >= 6 && (*at)[0] == '\\' && (*at)[1] == 'u')
    {
      low = decode_unit (*at + 2, end);
      if (low < 0xdc00 || low >= 0xe000)
        return FALSE;
      unit = 0x10000 + ((unit - 0xd800) << 10) + (low - 0xdc00);
      *at += 6;
    }
  if (unit == 0 || !g_unichar_validate (unit))
    return FALSE;
  g_string_append_unichar (out, unit);
  return TRUE;
}

static gchar *
decode_string (const gchar *at, const gchar *end)
{
  g_autoptr (GString) out = g_string_sized_new ((gsize) (end - at));

  while (at < end)
    if (*at != '\\')
      g_string_append_c (out, *at++);
    else if (++at == end || !decode_escape (&at, end, out))
      return NULL;
  return g_string_free (g_steal_pointer (&out), FALSE);
}

gchar *
wc_span_string (WcSpan span)
{
  gsize i;

  if (!wc_span_is (span, '"') || span.length < 2)
    return NULL;
  for (i = 1; i + 1 < span.length; i++)
    {
      if ((guchar) span.text[i] < ' ')
        return NULL;
      if (span.text[i] == '\\')
        return decode_string (span.text + 1, span.text + span.length - 1);
    }
  return g_strndup (span.text + 1, span.length - 2);
}

gboolean
wc_span_copy (WcSpan span, gchar *buffer, gsize size)
{
  gsize length = span.length - 2;
  gsize i;

  if (!wc_span_is (span, '"') || span.length < 2 || length >= size)
    return FALSE;
  for (i = 0; i < length; i++)
    {
      if (span.text[i + 1] == '\\' || (guchar) span.text[i + 1] < ' ')
        return FALSE;
      buffer[i] = span.text[i + 1];
    }
  buffer[length] = '\0';
  return TRUE;
}
