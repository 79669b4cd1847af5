#include "wc-reader.h"

#include "wb.h"

#include <string.h>

/* Bounds the size of the error message for a document with very many errors. */
#define MAX_MESSAGES 100
#define MAX_NAME_LENGTH 63

static const gchar *const kind_names[] = { "table",   "array",   "string",
                                           "integer", "boolean", "other value" };

static const struct
{
  const gchar *unit;
  gint64 us;
} duration_units[] = {
  { "h", 3600 * WB_US_PER_S },
  { "m", 60 * WB_US_PER_S },
  { "s", WB_US_PER_S },
  { "ms", WB_US_PER_MS },
  { "us", 1 },
};

void
wc_reader_init (WcReader *reader)
{
  memset (reader, 0, sizeof *reader);
  reader->messages = g_ptr_array_new_with_free_func (g_free);
}

void
wc_reader_clear (WcReader *reader)
{
  g_ptr_array_unref (reader->messages);
}

static void
add_message (WcReader *reader, WcError code, gchar *message)
{
  if (reader->error_count++ == 0)
    reader->first_code = code;
  if (reader->error_count <= MAX_MESSAGES)
    g_ptr_array_add (reader->messages, message);
  else
    g_free (message);
}

void
wc_reader_add_error (WcReader *reader,
                     const WcValue *value,
                     const gchar *key,
                     WcError code,
                     const gchar *format,
                     ...)
{
  GString *message = g_string_new (value->file);
  va_list arguments;

  if (value->line > 0)
    g_string_append_printf (message, ":%u", value->line);
  g_string_append (message, ": ");
  if (reader->key_prefix != NULL)
    g_string_append (message, reader->key_prefix);
  if (reader->key_prefix != NULL && key != NULL)
    g_string_append_c (message, '.');
  if (key != NULL)
    g_string_append (message, key);
  if (reader->key_prefix != NULL || key != NULL)
    g_string_append (message, ": ");
  va_start (arguments, format);
  g_string_append_vprintf (message, format, arguments);
  va_end (arguments);
  add_message (reader, code, g_string_free (message, FALSE));
}

/* GLib's messages quote the path with characters that not every terminal can show, so only the part
 * after the last colon is used. */
void
wc_set_file_error (GError **error, const gchar *path, GError *cause)
{
  const gchar *colon = strrchr (cause->message, ':');

  g_set_error (error, WC_ERROR, WC_ERROR_FILE, "%s%s", path,
               colon != NULL ? colon : ": cannot be read");
  g_error_free (cause);
}

void
wc_reader_take_gerror (WcReader *reader, GError *error)
{
  add_message (reader, (WcError) error->code, g_strdup (error->message));
  g_error_free (error);
}

gboolean
wc_reader_finish (const WcReader *reader, GError **error)
{
  g_autoptr (GString) message = g_string_new (NULL);
  guint i;

  if (reader->error_count == 0)
    return TRUE;
  for (i = 0; i < reader->messages->len; i++)
    g_string_append_printf (message, "%s%s", i > 0 ? "\n" : "",
                            (const gchar *) g_ptr_array_index (reader->messages, i));
  if (reader->error_count > MAX_MESSAGES)
    g_string_append_printf (message, "\nand %u more", reader->error_count - MAX_MESSAGES);
  g_set_error_literal (error, WC_ERROR, (gint) reader->first_code, message->str);
  return FALSE;
}

void
wc_reader_check_keys (WcReader *reader, const WcValue *table, const gchar *const *allowed_keys)
{
  guint i;

  for (i = 0; i < table->children->len; i++)
    {
      const WcValue *child = g_ptr_array_index (table->children, i);

      if (!g_strv_contains (allowed_keys, child->key))
        wc_reader_add_error (reader, child, child->key, WC_ERROR_UNKNOWN_KEY, "unknown key");
    }
}

static const WcValue *
find_typed_value (
    WcReader *reader, const WcValue *table, const gchar *key, WcValueKind kind, gboolean required)
{
  const WcValue *value = wc_value_find (table, key);

  if (value == NULL)
    {
      if (required)
        wc_reader_add_error (reader, table, key, WC_ERROR_MISSING, "missing");
      return NULL;
    }
  if (value->kind == kind)
    return value;
  wc_reader_add_error (reader, value, key, WC_ERROR_TYPE, "must be of type %s, not %s",
                       kind_names[kind], kind_names[value->kind]);
  return NULL;
}

const gchar *
wc_reader_string (WcReader *reader, const WcValue *table, const gchar *key, gboolean required)
{
  const WcValue *value = find_typed_value (reader, table, key, WC_VALUE_STRING, required);

  return value != NULL ? value->text : NULL;
}

gboolean
wc_name_is_valid (const gchar *text)
{
  gsize length = strlen (text);
  gsize i;

  if (length < 1 || length > MAX_NAME_LENGTH || !g_ascii_isalnum (text[0]))
    return FALSE;
  for (i = 1; i < length; i++)
    if (!g_ascii_isalnum (text[i]) && strchr (".-_", text[i]) == NULL)
      return FALSE;
  return TRUE;
}

gboolean
wc_reader_check_name (WcReader *reader, const WcValue *value, const gchar *key)
{
  if (wc_name_is_valid (value->text))
    return TRUE;
  wc_reader_add_error (reader, value, key, WC_ERROR_RANGE,
                       "must be 1 to %d letters, digits, \".\", \"-\" or \"_\" and begin with a "
                       "letter or digit, not \"%s\"",
                       MAX_NAME_LENGTH, value->text);
  return FALSE;
}

const gchar *
wc_reader_name (WcReader *reader, const WcValue *table, const gchar *key)
{
  const WcValue *value = find_typed_value (reader, table, key, WC_VALUE_STRING, TRUE);

  return value != NULL && wc_reader_check_name (reader, value, key) ? value->text : NULL;
}

void
wc_reader_integer (WcReader *reader,
                   const WcValue *table,
                   const gchar *key,
                   gint64 minimum,
                   gint64 maximum,
                   gint64 *result)
{
  const WcValue *value = find_typed_value (reader, table, key, WC_VALUE_INTEGER, FALSE);

  if (value == NULL)
    return;
  if (value->number >= minimum && value->number <= maximum)
    *result = value->number;
  else
    wc_reader_add_error (reader, value, key, WC_ERROR_RANGE,
                         "must be between %" G_GINT64_FORMAT " and %" G_GINT64_FORMAT
                         ", not %" G_GINT64_FORMAT,
                         minimum, maximum, value->number);
}

void
wc_reader_boolean (WcReader *reader, const WcValue *table, const gchar *key, gboolean *result)
{
  const WcValue *value = find_typed_value (reader, table, key, WC_VALUE_BOOLEAN, FALSE);

  if (value != NULL)
    *result = value->number != 0;
}

void
wc_reader_duration (WcReader *reader,
                    const WcValue *table,
                    const gchar *key,
                    gint64 minimum_us,
                    gint64 maximum_us,
                    gint64 *result_us)
{
  const WcValue *value = find_typed_value (reader, table, key, WC_VALUE_STRING, FALSE);
  g_autofree gchar *minimum = NULL;
  g_autofree gchar *maximum = NULL;
  gint64 duration_us;

  if (value == NULL)
    return;
  if (!wc_duration_parse (value->text, &duration_us))
    {
      wc_reader_add_error (reader, value, key, WC_ERROR_RANGE,
                           "must be a number with unit us, ms, s, m or h, not \"%s\"", value->text);
      return;
    }
  if (duration_us >= minimum_us && duration_us <= maximum_us)
    {
      *result_us = duration_us;
      return;
    }
  minimum = wc_duration_format (minimum_us);
  maximum = wc_duration_format (maximum_us);
  wc_reader_add_error (reader, value, key, WC_ERROR_RANGE, "must be between %s and %s, not \"%s\"",
                       minimum, maximum, value->text);
}

guint
wc_reader_choice (WcReader *reader,
                  const WcValue *table,
                  const gchar *key,
                  const gchar *const *choices,
                  guint default_index)
{
  const WcValue *value = find_typed_value (reader, table, key, WC_VALUE_STRING, FALSE);
  g_autofree gchar *list = NULL;
  guint i;

  if (value == NULL)
    return default_index;
  for (i = 0; choices[i] != NULL; i++)
    if (strcmp (choices[i], value->text) == 0)
      return i;
  list = g_strjoinv (", ", (gchar **) choices);
  wc_reader_add_error (reader, value, key, WC_ERROR_RANGE, "must be one of %s, not \"%s\"", list,
                       value->text);
  return default_index;
}

const WcValue *
wc_reader_array (WcReader *reader,
                 const WcValue *table,
                 const gchar *key,
                 WcValueKind element_kind,
                 gboolean required)
{
  const WcValue *array = find_typed_value (reader, table, key, WC_VALUE_ARRAY, required);
  gboolean valid = TRUE;
  guint i;

  if (array == NULL)
    return NULL;
  for (i = 0; i < array->children->len; i++)
    {
      const WcValue *child = g_ptr_array_index (array->children, i);

      if (child->kind == element_kind)
        continue;
      wc_reader_add_error (reader, child, key, WC_ERROR_TYPE, "elements must be of type %s, not %s",
                           kind_names[element_kind], kind_names[child->kind]);
      valid = FALSE;
    }
  return valid ? array : NULL;
}

gboolean
wc_duration_parse (const gchar *text, gint64 *duration_us)
{
  gsize digits = strspn (text, "0123456789");
  g_autofree gchar *number = g_strndup (text, digits);
  guint64 value;
  guint i;

  /* Nine digits cannot overflow the result, even in hours. */
  if (digits == 0 || digits > 9 ||
      !g_ascii_string_to_unsigned (number, 10, 0, G_MAXINT64, &value, NULL))
    return FALSE;
  for (i = 0; i < G_N_ELEMENTS (duration_units); i++)
    if (strcmp (duration_units[i].unit, text + digits) == 0)
      {
        *duration_us = (gint64) value * duration_units[i].us;
        return TRUE;
      }
  return FALSE;
}

gchar *
wc_duration_format (gint64 duration_us)
{
  guint i = 0;

  if (duration_us == 0)
    return g_strdup ("0s");
  while (duration_us % duration_units[i].us != 0)
    i++;
  return g_strdup_printf ("%" G_GINT64_FORMAT "%s", duration_us / duration_units[i].us,
                          duration_units[i].unit);
}
