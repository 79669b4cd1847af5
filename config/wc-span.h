#pragma once

#include "wb.h"

G_BEGIN_DECLS

/**
 * DOC: Access to the members of a JSON text without building a tree.
 *
 * A configuration of a thousand routes is 200 KB of text, and most of it is the same as in the
 * version before. A span is the text of one value; objects and arrays are walked member by member,
 * so that only the values that are needed are decoded.
 */

/** struct WcSpan - the text of one JSON value, without surrounding white space */
typedef struct
{
  const gchar *text;
  gsize length;
} WcSpan;

/**
 * struct WcSpanIter - position in an object or array
 * @next: what follows the last value, or the text that is malformed
 */
typedef struct
{
  const gchar *next;
  const gchar *end;
  gchar close; /* '}' or ']' */
  gboolean first;
  gboolean finished; /* the closing bracket was reached, and nothing follows it */
} WcSpanIter;

/** wc_span_trim() - the text without surrounding white space; it need not be a JSON value */
WcSpan wc_span_trim (const gchar *text, gsize length);

/** wc_span_whole() - the value in a text, or an empty span when the text is not one value or
 * nests too deeply for a document */
WcSpan wc_span_whole (const gchar *text, gsize length);

/**
 * wc_span_iter_init() - starts to walk an object or an array
 *
 * Return: FALSE when @container is neither
 */
gboolean wc_span_iter_init (WcSpanIter *iter, WcSpan container);

/**
 * wc_span_iter_next() - moves to the next value
 * @name: (out): its name with quotes and escapes as in the text; empty in an array
 *
 * Return: FALSE at the end, when WcSpanIter.finished is set, and when the text is malformed
 */
gboolean wc_span_iter_next (WcSpanIter *iter, WcSpan *name, WcSpan *value);

/**
 * wc_span_find() - the first value with a name in an object
 * @name: without characters that JSON escapes
 *
 * Return: FALSE when there is none or the text before it is malformed
 */
gboolean wc_span_find (WcSpan object, const gchar *name, WcSpan *value);

/** wc_span_is_named() - whether @name, as found by wc_span_iter_next(), is @text, which has no
 * characters that JSON escapes */
gboolean wc_span_is_named (WcSpan name, const gchar *text);

/** wc_span_is() - whether a value begins with @first, the character that tells its type */
gboolean wc_span_is (WcSpan span, gchar first);

/** wc_span_integer() - decodes an integer; FALSE for other values and numbers out of range */
gboolean wc_span_integer (WcSpan span, gint64 *number);

/** wc_span_string() - (transfer full): decodes a string; NULL for other values */
gchar *wc_span_string (WcSpan span);

/** wc_span_copy() - copies a string without escapes into @buffer, terminated
 *
 * Return: FALSE for other values, for strings with escapes, and when @size is too small
 */
gboolean wc_span_copy (WcSpan span, gchar *buffer, gsize size);

G_END_DECLS
