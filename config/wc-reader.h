#pragma once

#include "wc-value.h"

/**
 * DOC: Typed access to a WcValue tree that collects every problem found.
 */

/**
 * struct WcReader - collector of problems
 * @path: prefix of the keys in messages, for example "service"
 */
typedef struct
{
  GPtrArray *problems; /* of gchar */
  guint count;
  WcError code;
  const gchar *path;
} WcReader;

void wc_reader_init (WcReader *reader);
void wc_reader_clear (WcReader *reader);

/**
 * wc_reader_problem() - adds a problem
 * @node: where it is
 * @key: the key, or NULL when it concerns the path itself
 */
void wc_reader_problem (
    WcReader *reader, const WcValue *node, const gchar *key, WcError code, const gchar *format, ...)
    G_GNUC_PRINTF (5, 6);

/** wc_set_file_error() - sets WC_ERROR_FILE from a failure to open or read @path; takes @cause */
void wc_set_file_error (GError **error, const gchar *path, GError *cause);

/** wc_reader_add_error() - adds the message of @error as a problem; takes @error */
void wc_reader_add_error (WcReader *reader, GError *error);

/**
 * wc_reader_finish() - TRUE when there was no problem
 * @error: all problems, one a line
 */
gboolean wc_reader_finish (const WcReader *reader, GError **error);

/** wc_reader_check_keys() - reports the keys of @table that are not in the NULL-terminated list */
void wc_reader_check_keys (WcReader *reader, const WcValue *table, const gchar *const *known);

/** wc_reader_string() - value of a string, or NULL; a missing key is a problem when @required */
const gchar *
wc_reader_string (WcReader *reader, const WcValue *table, const gchar *key, gboolean required);

/**
 * wc_name_is_valid() - whether @text has 1 to 63 letters, digits, dots, hyphens and underscores and
 * begins with a letter or digit
 */
gboolean wc_name_is_valid (const gchar *text);

/** wc_reader_name() - like wc_reader_string() for a required name */
const gchar *wc_reader_name (WcReader *reader, const WcValue *table, const gchar *key);

/** wc_reader_check_name() - whether a string node holds a name */
gboolean wc_reader_check_name (WcReader *reader, const WcValue *node, const gchar *key);

/** wc_reader_integer() - reads an integer into @value; a missing key leaves @value as it is */
void wc_reader_integer (WcReader *reader,
                        const WcValue *table,
                        const gchar *key,
                        gint64 minimum,
                        gint64 maximum,
                        gint64 *value);

/** wc_reader_duration() - like wc_reader_integer() for a time with a unit, in microseconds */
void wc_reader_duration (WcReader *reader,
                         const WcValue *table,
                         const gchar *key,
                         gint64 minimum_us,
                         gint64 maximum_us,
                         gint64 *value_us);

/** wc_reader_choice() - index of a string in a NULL-terminated list, or @otherwise */
guint wc_reader_choice (WcReader *reader,
                        const WcValue *table,
                        const gchar *key,
                        const gchar *const *choices,
                        guint otherwise);

/**
 * wc_reader_array() - an array whose elements have one kind, or NULL
 * @element: elements of another kind are reported, and then the result is NULL
 */
const WcValue *wc_reader_array (WcReader *reader,
                                const WcValue *table,
                                const gchar *key,
                                WcValueKind element,
                                gboolean required);

/** wc_duration_parse() - reads a time such as "20ms"; units are us, ms, s, m and h */
gboolean wc_duration_parse (const gchar *text, gint64 *duration_us);

/** wc_duration_format() - (transfer full): the time in the largest unit that is exact */
gchar *wc_duration_format (gint64 duration_us);
