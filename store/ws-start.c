#include "ws-start.h"

#include "wc-span.h"
#include "ww-sock.h"

/* Longest text of an address and port. */
#define ADDRESS_BYTES 64

static void
append_bytes (GString *text, const gchar *name, GBytes *bytes)
{
  g_autofree gchar *encoded = NULL;
  const guchar *data;
  gsize length;

  if (bytes == NULL)
    return;
  data = g_bytes_get_data (bytes, &length);
  encoded = g_base64_encode (data, length);
  g_string_append_printf (text, ",\"%s\":\"%s\"", name, encoded);
}

GBytes *
ws_start_encode (const WsStart *start)
{
  GString *text = g_string_new ("{\"contacts\":[");
  guint i;

  for (i = 0; i < start->n_contacts; i++)
    {
      g_autofree gchar *address =
          ww_address_format (start->contacts[i].address, start->contacts[i].port);

      g_string_append_printf (text, "%s\"%s\"", i > 0 ? "," : "", address);
    }
  g_string_append_c (text, ']');
  append_bytes (text, "members", start->members);
  if (start->config != NULL)
    g_string_append_printf (text, ",\"position\":%" G_GUINT64_FORMAT ",\"era\":%" G_GUINT64_FORMAT,
                            start->position, start->era);
  append_bytes (text, "config", start->config);
  g_string_append_c (text, '}');
  return g_string_free_to_bytes (text);
}

static void
decode_contacts (WcSpan array, WsStart *start)
{
  gchar text[ADDRESS_BYTES];
  WcSpan name, element;
  WcSpanIter iter;

  if (!wc_span_iter_init (&iter, array))
    return;
  while (start->n_contacts < WS_MAX_CONTACTS && wc_span_iter_next (&iter, &name, &element))
    {
      WcAddress *contact = &start->contacts[start->n_contacts];

      if (wc_span_copy (element, text, sizeof text) &&
          ww_address_parse (text, &contact->address, &contact->port))
        start->n_contacts++;
    }
}

static GBytes *
decode_bytes (WcSpan span)
{
  g_autofree gchar *text = wc_span_string (span);
  guchar *data;
  gsize length;

  if (text == NULL)
    return NULL;
  data = g_base64_decode (text, &length);
  return g_bytes_new_take (data, length);
}

static guint64
decode_number (WcSpan span)
{
  gint64 number = 0;

  return wc_span_integer (span, &number) ? (guint64) MAX (number, 0) : 0;
}

gboolean
ws_start_decode (GBytes *text, WsStart *start)
{
  gsize length;
  const gchar *data = g_bytes_get_data (text, &length);
  WcSpan name, value;
  WcSpanIter iter;

  *start = (WsStart){ 0 };
  if (!wc_span_iter_init (&iter, wc_span_trim (data, length)) || iter.close != '}')
    return FALSE;
  while (wc_span_iter_next (&iter, &name, &value))
    if (wc_span_is_named (name, "contacts"))
      decode_contacts (value, start);
    else if (wc_span_is_named (name, "members") && start->members == NULL)
      start->members = decode_bytes (value);
    else if (wc_span_is_named (name, "config") && start->config == NULL)
      start->config = decode_bytes (value);
    else if (wc_span_is_named (name, "position"))
      start->position = decode_number (value);
    else if (wc_span_is_named (name, "era"))
      start->era = decode_number (value);
  if (iter.finished)
    return TRUE;
  ws_start_clear (start);
  return FALSE;
}

void
ws_start_clear (WsStart *start)
{
  g_clear_pointer (&start->members, g_bytes_unref);
  g_clear_pointer (&start->config, g_bytes_unref);
}

static gboolean
same_bytes (GBytes *a, GBytes *b)
{
  return a == NULL || b == NULL ? a == b : g_bytes_equal (a, b);
}

gboolean
ws_start_equal (const WsStart *a, const WsStart *b)
{
  guint i;

  if (a->n_contacts != b->n_contacts || a->era != b->era || !same_bytes (a->members, b->members) ||
      !same_bytes (a->config, b->config))
    return FALSE;
  for (i = 0; i < a->n_contacts; i++)
    if (a->contacts[i].address != b->contacts[i].address ||
        a->contacts[i].port != b->contacts[i].port)
      return FALSE;
  return TRUE;
}
