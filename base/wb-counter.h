#pragma once

#include "wb.h"

/**
 * struct WbCounterDef - a counter's name and meaning
 * @name: lower case with underscores; operators see it in the metrics
 * @help: one sentence for the documentation of counters
 */
typedef struct
{
  const gchar *name;
  const gchar *help;
} WbCounterDef;

/**
 * struct WbCounters - the counters of one instance of a package
 *
 * A package declares an enum of counter ids, which are indices into its WbCounterDef array.
 */
typedef struct WbCounters WbCounters;

/** wb_counters_new() - creates @count counters at zero; @definitions must outlive the result */
WbCounters *wb_counters_new (const WbCounterDef *definitions, guint count);
void wb_counters_free (WbCounters *counters);

void wb_counters_add (WbCounters *counters, guint id, guint64 amount);
guint64 wb_counters_get (const WbCounters *counters, guint id);

/** wb_counters_get_by_name() - value of the counter, or 0 when no counter has that name */
guint64 wb_counters_get_by_name (const WbCounters *counters, const gchar *name);

/** wb_counters_append_text() - appends the counters in the Prometheus exposition format */
void wb_counters_append_text (const WbCounters *counters, GString *text);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WbCounters, wb_counters_free)
