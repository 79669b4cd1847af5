#include "ww-request-id.h"

#include <string.h>

static gboolean
is_id_character (guint8 c)
{
  return g_ascii_isalnum (c) || c == '.' || c == '-' || c == '_';
}

static gboolean
read_value (const guint8 *cursor, const guint8 *end, gchar *id)
{
  guint count = 0;

  while (cursor < end && (*cursor == ' ' || *cursor == '\t'))
    cursor++;
  for (; cursor < end && *cursor != '\r' && *cursor != '\n'; cursor++)
    {
      if (!is_id_character (*cursor) || count == WW_REQUEST_ID_BYTES - 1)
        return FALSE;
      id[count++] = (gchar) *cursor;
    }
  id[count] = '\0';
  return count > 0;
}

gboolean
ww_request_id_find (const guint8 *payload, gsize length, const gchar *header_name, gchar *id)
{
  const guint8 *cursor = payload;
  const guint8 *end = payload + length;
  gsize name_length = strlen (header_name);

  while ((cursor = memchr (cursor, '\n', (gsize) (end - cursor))) != NULL)
    {
      cursor++;
      if ((gsize) (end - cursor) <= name_length || *cursor == '\r')
        return FALSE;
      if (g_ascii_strncasecmp ((const gchar *) cursor, header_name, name_length) == 0 &&
          cursor[name_length] == ':')
        return read_value (cursor + name_length + 1, end, id);
    }
  return FALSE;
}
