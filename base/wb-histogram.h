#pragma once

#include "wb.h"

/**
 * struct WbHistogram - log-linear histogram of non-negative integers
 *
 * Values are recorded with a relative error of at most 1/16; 976 buckets cover the 64-bit range.
 */
typedef struct WbHistogram WbHistogram;

WbHistogram *wb_histogram_new (void);
void wb_histogram_free (WbHistogram *histogram);

/** wb_histogram_record() - records one value; a negative value is recorded as 0 */
void wb_histogram_record (WbHistogram *histogram, gint64 value);

guint64 wb_histogram_count (const WbHistogram *histogram);
gint64 wb_histogram_max (const WbHistogram *histogram);

/**
 * wb_histogram_quantile() - upper bound of the bucket that contains the quantile
 * @quantile: between 0 and 1
 *
 * Return: the bound, at most the largest recorded value; 0 for an empty histogram
 */
gint64 wb_histogram_quantile (const WbHistogram *histogram, gdouble quantile);

/**
 * wb_histogram_append_text() - appends a summary in the Prometheus exposition format: the quantiles
 * 0.5, 0.99 and 0.999, name_sum and name_count, and also name_max
 * @labels: key="value" pairs separated by commas
 *
 * Call wb_histogram_append_type() once before the summaries of one name.
 */
void wb_histogram_append_text (const WbHistogram *histogram,
                               const gchar *name,
                               const gchar *labels,
                               GString *text);

/** wb_histogram_append_type() - appends the "# TYPE" line for the summaries of @name */
void wb_histogram_append_type (const gchar *name, GString *text);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WbHistogram, wb_histogram_free)
