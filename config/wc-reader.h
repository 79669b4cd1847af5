#pragma once

#include "wc-value.h"

/**
 * DOC: Typed access to a WcValue tree.
 *
 * The functions report missing keys, wrong types and values out of range to a WcReader, which
 * collects them, so that an operator sees all errors of a file at once.
 */

/**
 * struct WcReader - collected validation errors
 * @messages: array of strings; bounded
 * @error_count: all errors, those without a message included
 * @first_code: code of the first error
 * @key_prefix: precedes the keys in messages, for example "service"; NULL at the top level
 */
typedef struct
{
  GPtrArray *messages;
  guint error_count;
  WcError first_code;
  const gchar *key_prefix;
} WcReader;

void wc_reader_init (WcReader *reader);
void wc_reader_clear (WcReader *reader);

/**
 * wc_reader_add_error() - adds an error
 * @value: gives file and line
 * @key: the key, or NULL when the error concerns the table as a whole
 */
void wc_reader_add_error (WcReader *reader,
                          const WcValue *value,
                          const gchar *key,
                          WcError code,
                          const gchar *format,
                          ...) G_GNUC_PRINTF (5, 6);

/** wc_set_file_error() - sets WC_ERROR_FILE for a failure to open or read @path; takes ownership of
 * @cause */
void wc_set_file_error (GError **error, const gchar *path, GError *cause);

/** wc_reader_take_gerror() - adds the code and message of @error; takes ownership of @error */
void wc_reader_take_gerror (WcReader *reader, GError *error);

/**
 * wc_reader_finish() - ends the validation
 * @error: WC_ERROR; one line per collected error
 *
 * Return: TRUE when there was no error
 */
gboolean wc_reader_finish (const WcReader *reader, GError **error);

/** wc_reader_check_keys() - reports keys of @table that are not in the NULL-terminated
 * @allowed_keys */
void
wc_reader_check_keys (WcReader *reader, const WcValue *table, const gchar *const *allowed_keys);

/** wc_reader_string() - text of a string, or NULL; a missing key is an error when @required */
const gchar *
wc_reader_string (WcReader *reader, const WcValue *table, const gchar *key, gboolean required);

/**
 * wc_name_is_valid() - whether @text has 1 to 63 letters, digits, dots, hyphens and underscores and
 * begins with a letter or digit
 */
gboolean wc_name_is_valid (const gchar *text);

/** wc_reader_name() - like wc_reader_string() for a required name */
const gchar *wc_reader_name (WcReader *reader, const WcValue *table, const gchar *key);

/** wc_reader_check_name() - whether a string is a valid name; reports an error when not */
gboolean wc_reader_check_name (WcReader *reader, const WcValue *value, const gchar *key);

/** wc_reader_integer() - reads an optional integer; leaves @result unchanged when the key is
 * missing or the value is invalid */
void wc_reader_integer (WcReader *reader,
                        const WcValue *table,
                        const gchar *key,
                        gint64 minimum,
                        gint64 maximum,
                        gint64 *result);

/** wc_reader_boolean() - like wc_reader_integer() for a boolean */
void wc_reader_boolean (WcReader *reader, const WcValue *table, const gchar *key, gboolean *result);

/** wc_reader_duration() - like wc_reader_integer() for a duration with a unit, such as "20ms" */
void wc_reader_duration (WcReader *reader,
                         const WcValue *table,
                         const gchar *key,
                         gint64 minimum_us,
                         gint64 maximum_us,
                         gint64 *result_us);

/** wc_reader_choice() - index of a string in @choices, or @default_index when the key is missing or
 * the value is invalid; @choices is NULL-terminated */
guint wc_reader_choice (WcReader *reader,
                        const WcValue *table,
                        const gchar *key,
                        const gchar *const *choices,
                        guint default_index);

/**
 * wc_reader_array() - an array whose elements all have one kind, or NULL
 * @element_kind: elements of another kind are reported, and then the result is NULL
 * @required: whether a missing key is an error
 */
const WcValue *wc_reader_array (WcReader *reader,
                                const WcValue *table,
                                const gchar *key,
                                WcValueKind element_kind,
                                gboolean required);

/** wc_duration_parse() - parses a duration such as "20ms"; units are us, ms, s, m and h */
gboolean wc_duration_parse (const gchar *text, gint64 *duration_us);

/** wc_duration_format() - (transfer full): the duration in the largest unit that is exact */
gchar *wc_duration_format (gint64 duration_us);
