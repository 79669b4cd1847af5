#include "wc-load.h"
#include "wc-parts.h"
#include "wc-settings.h"

#include <string.h>

/* Fuzzes the parsers of configurations and settings. The first byte of the input selects the
 * parser, and the rest is the text. */

int LLVMFuzzerTestOneInput (const guint8 *data, gsize size);

/* Checks that an accepted configuration has the same digest after encoding and decoding. */
static void
check_round_trip (const WcConfig *config)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (WcConfig) decoded = NULL;
  g_autoptr (GBytes) bytes = NULL;
  WcParts *parts = wc_parts_encode (config, NULL);
  WcRoot *root;

  if (parts == NULL)
    return;
  root = wc_root_new (NULL, "apply", "operator", parts);
  bytes = wc_root_encode (root, NULL);
  decoded = wc_parts_decode (bytes, parts->bodies, &error);
  g_assert_no_error (error);
  g_assert_cmpuint (decoded->digest, ==, parts->digest);
  wc_root_free (root);
  wc_parts_free (parts);
}

/* Decodes the lines of @text as parts. The root is built with their hashes, so that decoding gets
 * past the comparison of hashes. */
static void
fuzz_parts (const gchar *text)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", 64);
  WcParts parts = { .hashes = g_ptr_array_new_with_free_func (g_free),
                    .bodies = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                     (GDestroyNotify) g_bytes_unref) };
  g_autoptr (WcConfig) config = NULL;
  g_autoptr (GBytes) bytes = NULL;
  WcRoot *root;
  guint i;

  for (i = 0; lines[i] != NULL; i++)
    {
      GBytes *body = g_bytes_new (lines[i], strlen (lines[i]));
      gchar *hash = wc_part_hash (body);

      g_ptr_array_add (parts.hashes, hash);
      g_hash_table_replace (parts.bodies, g_strdup (hash), body);
    }
  root = wc_root_new (NULL, "apply", "operator", &parts);
  bytes = wc_root_encode (root, NULL);
  config = wc_parts_decode (bytes, parts.bodies, NULL);
  if (config != NULL)
    check_round_trip (config);
  wc_root_free (root);
  g_ptr_array_unref (parts.hashes);
  g_hash_table_unref (parts.bodies);
}

/* Checks that an accepted root can be encoded again. */
static void
fuzz_root (const gchar *text)
{
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  g_autoptr (GBytes) reencoded = NULL;
  WcRoot *root = wc_root_parse (bytes, NULL);

  if (root == NULL)
    return;
  reencoded = wc_root_encode (root, NULL);
  g_assert_nonnull (reencoded);
  wc_root_free (root);
}

int
LLVMFuzzerTestOneInput (const guint8 *data, gsize size)
{
  g_autofree gchar *text = size > 0 ? g_strndup ((const gchar *) data + 1, size - 1) : NULL;
  g_autoptr (WcConfig) config = NULL;

  if (text == NULL)
    return 0;
  switch (data[0] % 4)
    {
    case 0:
      fuzz_parts (text);
      break;
    case 1:
      fuzz_root (text);
      break;
    case 2:
      config = wc_load_text ("f.toml", text, NULL);
      if (config != NULL)
        check_round_trip (config);
      break;
    default:
      wc_settings_free (wc_settings_load_text ("s.toml", text, WW_ROLE_AGENT, NULL));
      break;
    }
  return 0;
}
