#pragma once

#include "wb.h"

/**
 * struct WbHistogram - log-linear histogram of non-negative integers
 *
 * Values are kept with a relative error of at most 1/16; 976 buckets cover the whole range of 64
 * bits.
 */
typedef struct WbHistogram WbHistogram;

WbHistogram *wb_histogram_new (void);
void wb_histogram_free (WbHistogram *histogram);

/** wb_histogram_record() - counts one value; a negative one counts as 0 */
void wb_histogram_record (WbHistogram *histogram, gint64 value);

guint64 wb_histogram_count (const WbHistogram *histogram);
gint64 wb_histogram_max (const WbHistogram *histogram);

/**
 * wb_histogram_quantile() - upper bound of the bucket that holds the quantile
 * @quantile: between 0 and 1
 *
 * Return: the value, never above the largest one recorded; 0 for an empty histogram
 */
gint64 wb_histogram_quantile (const WbHistogram *histogram, gdouble quantile);

/**
 * wb_histogram_append_text() - appends a summary in the exposition format: the quantiles 0.5, 0.99
 * and 0.999, name_sum and name_count; and name_max
 * @labels: key="value" pairs separated by commas
 *
 * The lines of one name follow wb_histogram_append_type().
 */
void wb_histogram_append_text (const WbHistogram *histogram,
                               const gchar *name,
                               const gchar *labels,
                               GString *text);

/** wb_histogram_append_type() - appends the line that announces a summary of this name */
void wb_histogram_append_type (const gchar *name, GString *text);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WbHistogram, wb_histogram_free)
