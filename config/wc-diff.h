#pragma once

#include "wc.h"

/**
 * DOC: Compares two configurations and formats the differences for operator commands.
 */

/**
 * struct WcChange - one difference between two configurations
 * @object: kind and name, for example "service order-desk"
 * @key: key whose value differs; NULL when the whole object was added or removed
 * @before, @after: values; NULL when absent
 */
typedef struct
{
  gchar *object;
  gchar *key;
  gchar *before;
  gchar *after;
} WcChange;

/**
 * wc_diff() - compares two configurations
 * @before: NULL when there was no configuration
 *
 * Return: (transfer full): array of WcChange, sorted by object; empty when both are equal
 */
GPtrArray *wc_diff (const WcConfig *before, const WcConfig *after);

/** wc_diff_to_text() - (transfer full): one line per change */
gchar *wc_diff_to_text (GPtrArray *changes);

/** wc_diff_to_json() - (transfer full): JSON array of objects with the members of WcChange */
gchar *wc_diff_to_json (GPtrArray *changes);
