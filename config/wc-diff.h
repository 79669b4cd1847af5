#pragma once

#include "wc.h"

/**
 * struct WcChange - one difference between two configurations
 * @object: for example "service order-desk"
 * @key: what differs in the object; NULL when the whole object was added or removed
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
 * wc_diff() - differences in the order of the objects' names
 * @before: NULL when there was no configuration
 *
 * Return: (transfer full): array of WcChange; empty when both are the same
 */
GPtrArray *wc_diff (const WcConfig *before, const WcConfig *after);

/** wc_diff_to_text() - (transfer full): one line for each change */
gchar *wc_diff_to_text (GPtrArray *changes);

/** wc_diff_to_json() - (transfer full): JSON array of objects with the members of WcChange */
gchar *wc_diff_to_json (GPtrArray *changes);
