#include "wc-parts.h"

#include "wc-build.h"

#include <string.h>

struct WcDecoder
{
  GHashTable *parsed_parts; /* hash to WcValue; the parts of the version decoded last */
  GBytes *cached_source;    /* bytes that cached_document was parsed from */
  WcValue *cached_document; /* parsed but not decoded yet; NULL when there is none */
};

WcDecoder *
wc_decoder_new (void)
{
  WcDecoder *decoder = g_new0 (WcDecoder, 1);

  decoder->parsed_parts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) wc_value_free);
  return decoder;
}

void
wc_decoder_free (WcDecoder *decoder)
{
  if (decoder == NULL)
    return;
  g_hash_table_unref (decoder->parsed_parts);
  g_clear_pointer (&decoder->cached_source, g_bytes_unref);
  wc_value_free (decoder->cached_document);
  g_free (decoder);
}

void
wc_decoder_cache_document (WcDecoder *decoder, GBytes *source, WcValue *document)
{
  g_clear_pointer (&decoder->cached_source, g_bytes_unref);
  wc_value_free (decoder->cached_document);
  decoder->cached_source = g_bytes_ref (source);
  decoder->cached_document = document;
}

WcValue *
wc_decoder_take_document (WcDecoder *decoder, GBytes *source)
{
  if (decoder->cached_document == NULL || !g_bytes_equal (decoder->cached_source, source))
    return NULL;
  g_clear_pointer (&decoder->cached_source, g_bytes_unref);
  return g_steal_pointer (&decoder->cached_document);
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
get_part_document (WcDecoder *decoder, const gchar *hash, GHashTable *parts, GError **error)
{
  WcValue *document = g_hash_table_lookup (decoder->parsed_parts, hash);

  if (document != NULL)
    return document;
  document = parse_part (hash, parts, error);
  if (document != NULL)
    g_hash_table_insert (decoder->parsed_parts, g_strdup (hash), document);
  return document;
}

static gboolean
is_part_unused (gpointer hash, gpointer document, gpointer used_hashes)
{
  return !g_hash_table_contains (used_hashes, hash);
}

static WcConfig *
decode_parts (WcDecoder *decoder, const WcRoot *root, GHashTable *parts, GError **error)
{
  g_autoptr (GHashTable) used_hashes = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) documents = g_ptr_array_new ();
  WcConfig *config;
  WcReader reader;
  guint i;

  wc_reader_init (&reader);
  for (i = 0; i < root->hashes->len; i++)
    {
      GError *part_error = NULL;
      const gchar *hash = g_ptr_array_index (root->hashes, i);
      const WcValue *document = get_part_document (decoder, hash, parts, &part_error);

      g_hash_table_add (used_hashes, (gpointer) hash);
      if (document != NULL)
        g_ptr_array_add (documents, (gpointer) document);
      else
        wc_reader_take_gerror (&reader, part_error);
    }
  config = wc_build_config (documents, &reader);
  config->version = root->last_apply.version;
  config->digest = root->digest;
  if (!wc_reader_finish (&reader, error))
    g_clear_pointer (&config, wc_config_unref);
  wc_reader_clear (&reader);
  g_hash_table_foreach_remove (decoder->parsed_parts, is_part_unused, used_hashes);
  return config;
}

WcConfig *
wc_decoder_decode (WcDecoder *decoder, GBytes *root, GHashTable *parts, GError **error)
{
  WcRoot *parsed_root = wc_root_parse (root, error);
  WcConfig *config = parsed_root != NULL ? decode_parts (decoder, parsed_root, parts, error) : NULL;

  wc_root_free (parsed_root);
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
