#include "wb-counter.h"

struct WbCounters
{
  const WbCounterDef *definitions;
  guint count;
  guint64 values[];
};

WbCounters *
wb_counters_new (const WbCounterDef *definitions, guint count)
{
  WbCounters *counters = g_malloc0 (sizeof (WbCounters) + count * sizeof (guint64));

  counters->definitions = definitions;
  counters->count = count;
  return counters;
}

void
wb_counters_free (WbCounters *counters)
{
  g_free (counters);
}

void
wb_counters_add (WbCounters *counters, guint id, guint64 amount)
{
  g_assert (id < counters->count);
  counters->values[id] += amount;
}

guint64
wb_counters_get (const WbCounters *counters, guint id)
{
  g_assert (id < counters->count);
  return counters->values[id];
}

guint64
wb_counters_get_by_name (const WbCounters *counters, const gchar *name)
{
  guint i;

  for (i = 0; i < counters->count; i++)
    if (g_str_equal (counters->definitions[i].name, name))
      return counters->values[i];
  return 0;
}

void
wb_counters_append_text (const WbCounters *counters, GString *text)
{
  guint i;

  for (i = 0; i < counters->count; i++)
    g_string_append_printf (text, "# TYPE %s counter\n%s %" G_GUINT64_FORMAT "\n",
                            counters->definitions[i].name, counters->definitions[i].name,
                            counters->values[i]);
}
