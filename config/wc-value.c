#include "wc-value.h"

#include <string.h>

G_DEFINE_QUARK (wc - error - quark, wc_error)

WcValue *
wc_value_new (WcValueKind kind, const gchar *key, gchar *file, guint line)
{
  WcValue *value = g_new0 (WcValue, 1);

  value->kind = kind;
  value->key = g_strdup (key);
  value->file = g_ref_string_acquire (file);
  value->line = line;
  if (kind == WC_VALUE_TABLE || kind == WC_VALUE_ARRAY)
    value->children = g_ptr_array_new_with_free_func ((GDestroyNotify) wc_value_free);
  return value;
}

void
wc_value_free (WcValue *value)
{
  if (value == NULL)
    return;
  g_free (value->key);
  g_ref_string_release (value->file);
  g_free (value->text);
  if (value->children != NULL)
    g_ptr_array_unref (value->children);
  g_free (value);
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
