#pragma once

#include "wc-error.h"

G_BEGIN_DECLS

/**
 * DOC: A tree of values with the file and line that each was read from.
 *
 * TOML files and JSON parts are parsed into the same kind of tree, so that both go through the same
 * validation.
 */

/**
 * enum WcValueKind - type of a value
 * @WC_VALUE_OTHER: a type that no key accepts, for example a date
 */
typedef enum
{
  WC_VALUE_TABLE,
  WC_VALUE_ARRAY,
  WC_VALUE_STRING,
  WC_VALUE_INTEGER,
  WC_VALUE_BOOLEAN,
  WC_VALUE_OTHER,
} WcValueKind;

/**
 * struct WcValue - a value and its children
 * @key: key in the table that contains the value; NULL for array elements and documents
 * @file: name of the file or part (a GRefString)
 * @line: line in the file; 0 when unknown
 * @text: content of a string
 * @number: content of an integer; 0 or 1 for a boolean
 * @children: array of WcValue; elements of a table or array
 */
typedef struct
{
  WcValueKind kind;
  gchar *key;
  gchar *file;
  guint line;
  gchar *text;
  gint64 number;
  GPtrArray *children;
} WcValue;

/** wc_value_new() - a value; adds a reference to @file, a GRefString */
WcValue *wc_value_new (WcValueKind kind, const gchar *key, gchar *file, guint line);
void wc_value_free (WcValue *value);

/** wc_value_find() - the value of a key of a table, or NULL */
const WcValue *wc_value_find (const WcValue *table, const gchar *key);

/**
 * wc_toml_parse() - parses a TOML document
 * @file: name used in messages (a GRefString)
 * @error: WC_ERROR_SYNTAX, with file and line
 */
WcValue *wc_toml_parse (gchar *file, const gchar *text, gsize length, GError **error);

/**
 * wc_json_parse() - parses a JSON document
 * @file: name used in messages (a GRefString)
 * @error: WC_ERROR_SYNTAX
 *
 * Documents that nest deeper than any configuration are rejected before they are parsed, because
 * the parser recurses.
 */
WcValue *wc_json_parse (gchar *file, const gchar *text, gsize length, GError **error);

/**
 * wc_json_parse_bytes() - like wc_json_parse() for an object from the network
 * @error: WC_ERROR_SYNTAX, WC_ERROR_TOO_LARGE
 */
WcValue *
wc_json_parse_bytes (const gchar *name, GBytes *bytes, gsize maximum_bytes, GError **error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WcValue, wc_value_free)

G_END_DECLS
