#include "ww-response.h"

#include <string.h>

#define STATUS_OFFSET 9 /* after "HTTP/1.1 " */
#define LENGTH_DIGITS_MAX 9

typedef struct
{
  const guint8 *cursor;
  const guint8 *end;
} HeaderText;

/* Takes the next line without its line end. Returns FALSE when it is not complete. */
static gboolean
next_line (HeaderText *text, const guint8 **line, gsize *length)
{
  const guint8 *newline = memchr (text->cursor, '\n', (gsize) (text->end - text->cursor));

  if (newline == NULL || newline == text->cursor || newline[-1] != '\r')
    return FALSE;
  *line = text->cursor;
  *length = (gsize) (newline - 1 - text->cursor);
  text->cursor = newline + 1;
  return TRUE;
}

static gboolean
has_name (const guint8 *line, gsize length, const gchar *name)
{
  gsize name_length = strlen (name);

  return length > name_length && line[name_length] == ':' &&
         g_ascii_strncasecmp ((const gchar *) line, name, name_length) == 0;
}

static gboolean
read_length (const guint8 *value, gsize length, guint32 *number)
{
  guint digits = 0;

  *number = 0;
  while (length > 0 && (*value == ' ' || *value == '\t'))
    value++, length--;
  while (length > 0 && (value[length - 1] == ' ' || value[length - 1] == '\t'))
    length--;
  for (; length > 0; value++, length--)
    {
      if (!g_ascii_isdigit (*value) || ++digits > LENGTH_DIGITS_MAX)
        return FALSE;
      *number = *number * 10 + (guint32) g_ascii_digit_value ((gchar) *value);
    }
  return digits > 0;
}

static gboolean
is_final_status (const guint8 *line, gsize length)
{
  return length > STATUS_OFFSET && memcmp (line, "HTTP/1.", 7) == 0 && line[STATUS_OFFSET] != '1';
}

gboolean
ww_response_length (const guint8 *data, gsize length, guint32 *total)
{
  static const gchar content_length[] = "Content-Length";
  HeaderText text = { data, data + length };
  gboolean length_known = FALSE;
  guint32 body_length = 0;
  const guint8 *line;
  gsize line_length;

  if (!next_line (&text, &line, &line_length) || !is_final_status (line, line_length))
    return FALSE;
  while (next_line (&text, &line, &line_length) && line_length > 0)
    {
      if (has_name (line, line_length, "Transfer-Encoding"))
        return FALSE;
      if (!has_name (line, line_length, content_length))
        continue;
      if (length_known || !read_length (line + sizeof content_length,
                                        line_length - sizeof content_length, &body_length))
        return FALSE;
      length_known = TRUE;
    }
  if (line_length > 0 || !length_known)
    return FALSE;
  *total = (guint32) (text.cursor - data) + body_length;
  return TRUE;
}
