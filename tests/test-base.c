#include "wb-counter.h"
#include "wb-histogram.h"
#include "wb-table.h"

/* Guards against a stale handle that returns the row of a later entity which uses the same index.
 */
static void
test_stale_handle (void)
{
  g_autoptr (WbTable) table = wb_table_new (sizeof (guint));
  guint *row;
  WbHandle first = wb_table_add (table, (gpointer *) &row);
  WbHandle second;

  *row = 7;
  wb_table_remove (table, first);
  second = wb_table_add (table, (gpointer *) &row);
  g_assert_cmpuint (*row, ==, 0);
  g_assert_cmpuint (second.index, ==, first.index);
  g_assert_null (wb_table_get (table, first));
  g_assert_nonnull (wb_table_get (table, second));
  g_assert_null (wb_table_get (table, WB_HANDLE_NONE));
}

/* Guards against an iteration that skips or repeats rows when the current one is removed. */
static void
test_iteration_with_removal (void)
{
  g_autoptr (WbTable) table = wb_table_new (sizeof (guint));
  guint visited = 0;
  guint32 cursor = 0;
  WbHandle handle;
  guint i;

  for (i = 0; i < 100; i++)
    wb_table_add (table, NULL);
  while (wb_table_next (table, &cursor, &handle) != NULL)
    {
      visited++;
      if (visited % 2 == 0)
        wb_table_remove (table, handle);
    }
  g_assert_cmpuint (visited, ==, 100);
  g_assert_cmpuint (wb_table_count (table), ==, 50);
}

/* Guards against a table that returns one row for two live handles. */
static void
test_random_operations (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (20261204);
  g_autoptr (WbTable) table = wb_table_new (sizeof (guint));
  g_autoptr (GArray) live_handles = g_array_new (FALSE, FALSE, sizeof (WbHandle));
  guint step;

  for (step = 0; step < 20000; step++)
    {
      guint *row;

      if (live_handles->len == 0 || g_rand_int_range (rand, 0, 5) < 3)
        {
          WbHandle handle = wb_table_add (table, (gpointer *) &row);

          *row = handle.index;
          g_array_append_val (live_handles, handle);
        }
      else
        {
          guint position = (guint) g_rand_int_range (rand, 0, (gint) live_handles->len);
          WbHandle handle = g_array_index (live_handles, WbHandle, position);

          row = wb_table_get (table, handle);
          g_assert_nonnull (row);
          g_assert_cmpuint (*row, ==, handle.index);
          wb_table_remove (table, handle);
          g_array_remove_index_fast (live_handles, position);
        }
      g_assert_cmpuint (wb_table_count (table), ==, live_handles->len);
    }
}

/* Guards against quantiles with more than the documented relative error of 1/16. */
static void
test_quantile_error (void)
{
  g_autoptr (WbHistogram) histogram = wb_histogram_new ();
  gint64 value;

  for (value = 1; value <= 100000; value++)
    wb_histogram_record (histogram, value);
  g_assert_cmpint (wb_histogram_quantile (histogram, 0.5), >=, 50000);
  g_assert_cmpint (wb_histogram_quantile (histogram, 0.5), <=, 50000 + 50000 / 16);
  g_assert_cmpint (wb_histogram_quantile (histogram, 0.99), >=, 99000);
  g_assert_cmpint (wb_histogram_quantile (histogram, 1.0), ==, 100000);
}

/* Guards against accesses beyond the buckets for extreme values. */
static void
test_histogram_extremes (void)
{
  g_autoptr (WbHistogram) histogram = wb_histogram_new ();

  wb_histogram_record (histogram, -5);
  wb_histogram_record (histogram, G_MAXINT64);
  g_assert_cmpuint (wb_histogram_count (histogram), ==, 2);
  g_assert_cmpint (wb_histogram_quantile (histogram, 0.5), ==, 0);
  g_assert_cmpint (wb_histogram_max (histogram), ==, G_MAXINT64);
}

/* Guards against changes of the metrics format, which scripts parse. */
static void
test_histogram_text (void)
{
  g_autoptr (WbHistogram) histogram = wb_histogram_new ();
  GString *text = g_string_new (NULL);

  wb_histogram_record (histogram, 3);
  wb_histogram_record (histogram, 5);
  wb_histogram_append_type ("wait_us", text);
  wb_histogram_append_text (histogram, "wait_us", "class=\"short\"", text);
  g_assert_cmpstr (text->str, ==,
                   "# TYPE wait_us summary\n"
                   "wait_us{class=\"short\",quantile=\"0.5\"} 3\n"
                   "wait_us{class=\"short\",quantile=\"0.99\"} 5\n"
                   "wait_us{class=\"short\",quantile=\"0.999\"} 5\n"
                   "wait_us_sum{class=\"short\"} 8\n"
                   "wait_us_count{class=\"short\"} 2\n"
                   "wait_us_max{class=\"short\"} 5\n");
  g_string_free (text, TRUE);
}

/* Guards against a change of the name hash: processes of different program versions exchange ids of
 * members and services. */
static void
test_name_id_is_fixed (void)
{
  g_assert_cmphex (wb_name_id ("order-desk"), ==, wb_hash64 ("order-desk", 10, 0));
  g_assert_cmphex (wb_name_id (""), ==, G_GUINT64_CONSTANT (0x2d06800538d394c2));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/base/table/stale-handle", test_stale_handle);
  g_test_add_func ("/base/table/walk-with-removal", test_iteration_with_removal);
  g_test_add_func ("/base/table/random", test_random_operations);
  g_test_add_func ("/base/histogram/quantile-error", test_quantile_error);
  g_test_add_func ("/base/histogram/extremes", test_histogram_extremes);
  g_test_add_func ("/base/histogram/text", test_histogram_text);
  g_test_add_func ("/base/name-id", test_name_id_is_fixed);
  return g_test_run ();
}
