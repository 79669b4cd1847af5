#include "wc-parts.h"

#include "wc-build.h"

#include <string.h>

struct WcDecoder
{
  GHashTable *documents; /* hash to WcValue; the parts of the version decoded last */
  GBytes *kept_source;   /* of the document that is still to be decoded */
  WcValue *kept;
};

WcDecoder *
wc_decoder_new (void)
{
  WcDecoder *decoder = g_new0 (WcDecoder, 1);

  decoder->documents =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) wc_value_free);
  return decoder;
}

void
wc_decoder_free (WcDecoder *decoder)
{
  if (decoder == NULL)
    return;
  g_hash_table_unref (decoder->documents);
  g_clear_pointer (&decoder->kept_source, g_bytes_unref);
  wc_value_free (decoder->kept);
  g_free (decoder);
}

void
wc_decoder_cache_document (WcDecoder *decoder, GBytes *source, WcValue *document)
{
  g_clear_pointer (&decoder->kept_source, g_bytes_unref);
  wc_value_free (decoder->kept);
  decoder->kept_source = g_bytes_ref (source);
  decoder->kept = document;
}

WcValue *
wc_decoder_take_document (WcDecoder *decoder, GBytes *source)
{
  if (decoder->kept == NULL || !g_bytes_equal (decoder->kept_source, source))
    return NULL;
  g_clear_pointer (&decoder->kept_source, g_bytes_unref);
  return g_steal_pointer (&decoder->kept);
}

static WcValue *
parse_part (const gchar *hash, GHashTable *parts, GError **error)
{
  g_autofree gchar *name = g_strdup_printf ("part %.12s", hash);
  GBytes *body = g_hash_table_lookup (parts, hash);
  g_autofree gchar *actual = body != NULL ? wc_part_hash (body) : NULL;

  if (g_strcmp0 (actual, hash) == 0)
    return wc_json_parse_bytes (name, body, WC_PART_MAX_BYTES, error);
  g_set_error (error, WC_ERROR, WC_ERROR_PART, "%s: %s", name,
               body == NULL ? "missing" : "does not match its hash");
  return NULL;
}

static const WcValue *
find_document (WcDecoder *decoder, const gchar *hash, GHashTable *parts, GError **error)
{
  WcValue *document = g_hash_table_lookup (decoder->documents, hash);

  if (document != NULL)
    return document;
  document = parse_part (hash, parts, error);
  if (document != NULL)
    g_hash_table_insert (decoder->documents, g_strdup (hash), document);
  return document;
}

static gboolean
is_unlisted (gpointer hash, gpointer document, gpointer listed)
{
  return !g_hash_table_contains (listed, hash);
}

static WcConfig *
decode (WcDecoder *decoder, const WcRoot *root, GHashTable *parts, GError **error)
{
  g_autoptr (GHashTable) listed = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) documents = g_ptr_array_new ();
  WcConfig *config;
  WcReader reader;
  guint i;

  wc_reader_init (&reader);
  for (i = 0; i < root->hashes->len; i++)
    {
      GError *part_error = NULL;
      const gchar *hash = g_ptr_array_index (root->hashes, i);
      const WcValue *document = find_document (decoder, hash, parts, &part_error);

      g_hash_table_add (listed, (gpointer) hash);
      if (document != NULL)
        g_ptr_array_add (documents, (gpointer) document);
      else
        wc_reader_add_error (&reader, part_error);
    }
  config = wc_build (documents, &reader);
  config->version = root->last.version;
  config->digest = root->digest;
  if (!wc_reader_finish (&reader, error))
    g_clear_pointer (&config, wc_config_unref);
  wc_reader_clear (&reader);
  g_hash_table_foreach_remove (decoder->documents, is_unlisted, listed);
  return config;
}

WcConfig *
wc_decoder_decode (WcDecoder *decoder, GBytes *root, GHashTable *parts, GError **error)
{
  WcRoot *parsed = wc_root_parse (root, error);
  WcConfig *config = parsed != NULL ? decode (decoder, parsed, parts, error) : NULL;

  wc_root_free (parsed);
  return config;
}

WcConfig *
wc_parts_decode (GBytes *root, GHashTable *parts, GError **error)
{
  WcDecoder *decoder = wc_decoder_new ();
  WcConfig *config = wc_decoder_decode (decoder, root, parts, error);

  wc_decoder_free (decoder);
  return config;
}
