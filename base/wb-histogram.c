#include "wb-histogram.h"

#include <math.h>

#define SUB_BUCKET_BITS 4
#define SUB_BUCKETS (1 << SUB_BUCKET_BITS)
#define N_BUCKETS ((64 - SUB_BUCKET_BITS + 1) * SUB_BUCKETS)

struct WbHistogram
{
  guint64 count;
  gdouble sum;
  gint64 max;
  guint64 buckets[N_BUCKETS];
};

WbHistogram *
wb_histogram_new (void)
{
  return g_new0 (WbHistogram, 1);
}

void
wb_histogram_free (WbHistogram *histogram)
{
  g_free (histogram);
}

static guint
bucket_index (guint64 value)
{
  guint exponent;

  if (value < SUB_BUCKETS)
    return (guint) value;
  exponent = 63 - (guint) __builtin_clzll (value);
  return (exponent - SUB_BUCKET_BITS + 1) * SUB_BUCKETS +
         (guint) ((value >> (exponent - SUB_BUCKET_BITS)) & (SUB_BUCKETS - 1));
}

static gint64
bucket_upper_bound (guint bucket)
{
  guint exponent;
  guint64 base;

  if (bucket < SUB_BUCKETS)
    return bucket;
  exponent = bucket / SUB_BUCKETS - 1;
  base = (guint64) (SUB_BUCKETS + bucket % SUB_BUCKETS);
  return (gint64) (((base + 1) << exponent) - 1);
}

void
wb_histogram_record (WbHistogram *histogram, gint64 value)
{
  guint64 clamped = value < 0 ? 0 : (guint64) value;

  histogram->buckets[bucket_index (clamped)]++;
  histogram->count++;
  histogram->sum += (gdouble) clamped;
  histogram->max = MAX (histogram->max, (gint64) clamped);
}

guint64
wb_histogram_count (const WbHistogram *histogram)
{
  return histogram->count;
}

gint64
wb_histogram_max (const WbHistogram *histogram)
{
  return histogram->max;
}

gint64
wb_histogram_quantile (const WbHistogram *histogram, gdouble quantile)
{
  guint64 rank;
  guint64 seen = 0;
  guint i;

  if (histogram->count == 0)
    return 0;
  rank = (guint64) ceil (CLAMP (quantile, 0.0, 1.0) * (gdouble) histogram->count);
  rank = MAX (rank, 1);
  for (i = 0; i < N_BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (seen >= rank)
        return MIN (bucket_upper_bound (i), histogram->max);
    }
  return histogram->max;
}

void
wb_histogram_append_text (const WbHistogram *histogram,
                          const gchar *name,
                          const gchar *labels,
                          GString *text)
{
  static const gdouble quantiles[] = { 0.5, 0.99, 0.999 };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (quantiles); i++)
    g_string_append_printf (text, "%s{%s,quantile=\"%g\"} %" G_GINT64_FORMAT "\n", name, labels,
                            quantiles[i], wb_histogram_quantile (histogram, quantiles[i]));
  g_string_append_printf (text, "%s_sum{%s} %.0f\n", name, labels, histogram->sum);
  g_string_append_printf (text, "%s_count{%s} %" G_GUINT64_FORMAT "\n", name, labels,
                          wb_histogram_count (histogram));
  g_string_append_printf (text, "%s_max{%s} %" G_GINT64_FORMAT "\n", name, labels,
                          wb_histogram_max (histogram));
}

void
wb_histogram_append_type (const gchar *name, GString *text)
{
  g_string_append_printf (text, "# TYPE %s summary\n", name);
}
