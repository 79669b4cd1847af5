#include "wc-value.h"

#include <string.h>

G_DEFINE_QUARK (wc - error - quark, wc_error)

WcValue *
wc_value_new (WcValueKind kind, const gchar *key, gchar *file, guint line)
{
  WcValue *node = g_new0 (WcValue, 1);

  node->kind = kind;
  node->key = g_strdup (key);
  node->file = g_ref_string_acquire (file);
  node->line = line;
  if (kind == WC_VALUE_TABLE || kind == WC_VALUE_ARRAY)
    node->children = g_ptr_array_new_with_free_func ((GDestroyNotify) wc_value_free);
  return node;
}

void
wc_value_free (WcValue *node)
{
  if (node == NULL)
    return;
  g_free (node->key);
  g_ref_string_release (node->file);
  g_free (node->text);
  if (node->children != NULL)
    g_ptr_array_unref (node->children);
  g_free (node);
}

const WcValue *
wc_value_find (const WcValue *table, const gchar *key)
{
  guint i;

  for (i = 0; i < table->children->len; i++)
    {
      const WcValue *child = g_ptr_array_index (table->children, i);

      if (strcmp (child->key, key) == 0)
        return child;
    }
  return NULL;
}
