#include "si.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_USAGE 2

gchar *
si_request_format (const SiRequest *request)
{
  return g_strdup_printf ("GET id=%" G_GUINT64_FORMAT " bytes=%" G_GUINT64_FORMAT " work_ms=%u\r\n",
                          request->id, request->bytes, request->work_ms);
}

/* Returns VALUE of the first "@key=VALUE" in a line of words, or NULL. */
static gchar *
find_value (const gchar *line, const gchar *key)
{
  g_auto (GStrv) words = g_strsplit (line, " ", -1);
  gsize length = strlen (key);
  guint i;

  for (i = 0; words[i] != NULL; i++)
    if (strncmp (words[i], key, length) == 0 && words[i][length] == '=')
      return g_strdup (words[i] + length + 1);
  return NULL;
}

static gboolean
find_number (const gchar *line, const gchar *key, guint64 *value)
{
  g_autofree gchar *word = find_value (line, key);

  return word != NULL && g_ascii_string_to_unsigned (word, 10, 0, G_MAXUINT64, value, NULL);
}

static gboolean
find_name (const gchar *line, const gchar *key, gchar *name)
{
  g_autofree gchar *word = find_value (line, key);

  return word != NULL && g_strlcpy (name, word, WW_MAX_NAME + 1) <= WW_MAX_NAME;
}

gboolean
si_request_parse (const gchar *line, SiRequest *request)
{
  guint64 work_ms;

  if (!g_str_has_prefix (line, "GET ") || !find_number (line, "id", &request->id) ||
      !find_number (line, "bytes", &request->bytes) || !find_number (line, "work_ms", &work_ms))
    return FALSE;
  request->work_ms = (guint) MIN (work_ms, G_MAXUINT);
  return TRUE;
}

gchar *
si_response_format (const SiResponse *response)
{
  return g_strdup_printf ("OK id=%" G_GUINT64_FORMAT " endpoint=%s service=%s length=%" //
                          G_GUINT64_FORMAT "\r\n",
                          response->id, response->endpoint, response->service, response->length);
}

gboolean
si_response_parse (const gchar *line, SiResponse *response)
{
  return g_str_has_prefix (line, "OK ") && find_number (line, "id", &response->id) &&
         find_number (line, "length", &response->length) &&
         find_name (line, "endpoint", response->endpoint) &&
         find_name (line, "service", response->service);
}

static guint8
body_byte (guint64 id, guint64 offset)
{
  return (guint8) (id * 37 + offset * 131 + (offset >> 8) * 17);
}

void
si_body_fill (guint64 id, guint64 offset, guint8 *data, gsize length)
{
  gsize i;

  for (i = 0; i < length; i++)
    data[i] = body_byte (id, offset + i);
}

gboolean
si_body_check (guint64 id, guint64 offset, const guint8 *data, gsize length)
{
  gsize i;

  for (i = 0; i < length; i++)
    if (data[i] != body_byte (id, offset + i))
      return FALSE;
  return TRUE;
}

void
si_parse_address_option (const gchar *option, const gchar *text, guint32 *address, guint16 *port)
{
  if (text != NULL && ww_address_parse (text, address, port))
    return;
  fprintf (stderr, "--%s needs an IPv4 address and port, such as 127.0.0.1:7000\n", option);
  exit (EXIT_USAGE);
}
