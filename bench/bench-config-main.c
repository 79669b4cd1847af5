/*
 * Measures reading, encoding, decoding and comparing of a configuration of the largest expected
 * size: 2,000 services, and as many tenants. Prints the shortest of several rounds; change_us is
 * the time to decode a version in which one service changed.
 */
#include "wc-diff.h"
#include "wc-load.h"
#include "wc-parts.h"

#include <string.h>

#define SERVICE_COUNT 2000
#define ROUND_COUNT 5

static gchar *
make_config_text (guint first_service_slots)
{
  GString *text = g_string_new (NULL);
  guint i;

  for (i = 0; i < SERVICE_COUNT; i++)
    g_string_append_printf (
        text,
        "[[service]]\nname = \"service-%u\"\naddress = \"198.18.%u.%u\"\nslots = %u\n"
        "ports = [{ port = 8080, class = \"short\" }, { port = 8081 }]\n"
        "[[tenant]]\nname = \"tenant-%u\"\nsources = [\"198.19.%u.%u/32\"]\n",
        i, i / 250, i % 250 + 1, i == 0 ? first_service_slots : 4, i, i / 250, i % 250 + 1);
  return g_string_free (text, FALSE);
}

static void
record_best (gint64 started_us, gint64 *best_us)
{
  gint64 elapsed_us = g_get_monotonic_time () - started_us;

  if (*best_us == 0 || elapsed_us < *best_us)
    *best_us = elapsed_us;
}

int
main (void)
{
  g_autofree gchar *text = make_config_text (4);
  g_autofree gchar *changed_text = make_config_text (5);
  g_autoptr (WcConfig) changed = wc_load_text ("bench.toml", changed_text, NULL);
  WcParts *changed_parts = wc_parts_encode (changed, NULL);
  WcRoot *changed_root = wc_root_new (NULL, "apply", "operator", changed_parts);
  g_autoptr (GBytes) changed_bytes = wc_root_encode (changed_root, NULL);
  gint64 load_us = 0, encode_us = 0, decode_us = 0, diff_us = 0;
  gint64 change_us = 0;
  guint i;

  for (i = 0; i < ROUND_COUNT; i++)
    {
      gint64 started_us = g_get_monotonic_time ();
      g_autoptr (WcConfig) config = wc_load_text ("bench.toml", text, NULL);
      g_autoptr (WcConfig) decoded = NULL;
      g_autoptr (GPtrArray) changes = NULL;
      g_autoptr (WcDecoder) decoder = wc_decoder_new ();
      g_autoptr (WcConfig) first = NULL;
      g_autoptr (WcConfig) second = NULL;
      g_autoptr (GBytes) bytes = NULL;
      WcRoot *root;
      WcParts *parts;

      record_best (started_us, &load_us);
      started_us = g_get_monotonic_time ();
      parts = wc_parts_encode (config, NULL);
      record_best (started_us, &encode_us);
      root = wc_root_new (NULL, "apply", "operator", parts);
      bytes = wc_root_encode (root, NULL);
      first = wc_decoder_decode (decoder, bytes, parts->bodies, NULL);
      started_us = g_get_monotonic_time ();
      second = wc_decoder_decode (decoder, changed_bytes, changed_parts->bodies, NULL);
      record_best (started_us, &change_us);
      wc_root_free (root);
      wc_parts_free (parts);
      started_us = g_get_monotonic_time ();
      decoded = wc_parts_decode (changed_bytes, changed_parts->bodies, NULL);
      record_best (started_us, &decode_us);
      started_us = g_get_monotonic_time ();
      changes = wc_diff (config, decoded);
      record_best (started_us, &diff_us);
      if (first == NULL || second == NULL || changes->len != 1)
        return 1;
    }
  g_print ("load_us %" G_GINT64_FORMAT "\nencode_us %" G_GINT64_FORMAT
           "\ndecode_us %" G_GINT64_FORMAT "\nchange_us %" G_GINT64_FORMAT
           "\ndiff_us %" G_GINT64_FORMAT "\nroot_bytes %" G_GSIZE_FORMAT "\n",
           load_us, encode_us, decode_us, change_us, diff_us, g_bytes_get_size (changed_bytes));
  wc_root_free (changed_root);
  wc_parts_free (changed_parts);
  return 0;
}
