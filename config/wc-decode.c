#include "wc-parts.h"

#include "wc-build.h"

#include <string.h>

/* The text that a route was decoded from, which is part of a source of the decoder. */
typedef struct
{
  WcSpan text;
  WcRoute *route;
} DecodedRoute;

/* The routes of one version. */
typedef struct
{
  GBytes *source;     /* NULL for no version */
  GHashTable *routes; /* set of DecodedRoute by text */
} RouteCache;

struct WcDecoder
{
  GHashTable *parsed_parts; /* hash to WcValue; the parts of the version decoded last */
  RouteCache current;       /* the version being decoded, or decoded last */
  RouteCache previous;      /* the version before */
  guint64 routes_decoded;
};

static guint
decoded_route_hash (gconstpointer key)
{
  const DecodedRoute *decoded = key;

  return (guint) wb_hash64 (decoded->text.text, decoded->text.length, 0);
}

static gboolean
decoded_route_equal (gconstpointer a, gconstpointer b)
{
  const DecodedRoute *left = a;
  const DecodedRoute *right = b;

  return left->text.length == right->text.length &&
         memcmp (left->text.text, right->text.text, left->text.length) == 0;
}

static void
decoded_route_free (gpointer data)
{
  DecodedRoute *decoded = data;

  wc_route_unref (decoded->route);
  g_free (decoded);
}

static void
route_cache_clear (RouteCache *cache)
{
  g_clear_pointer (&cache->routes, g_hash_table_unref);
  g_clear_pointer (&cache->source, g_bytes_unref);
}

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
  route_cache_clear (&decoder->current);
  route_cache_clear (&decoder->previous);
  g_free (decoder);
}

void
wc_decoder_begin_routes (WcDecoder *decoder, GBytes *source)
{
  route_cache_clear (&decoder->previous);
  decoder->previous = decoder->current;
  decoder->current.source = g_bytes_ref (source);
  decoder->current.routes =
      g_hash_table_new_full (decoded_route_hash, decoded_route_equal, decoded_route_free, NULL);
}

WcRoute *
wc_decoder_find_route (WcDecoder *decoder, WcSpan text)
{
  DecodedRoute key = { .text = text };
  const DecodedRoute *found = decoder->previous.routes != NULL
                                  ? g_hash_table_lookup (decoder->previous.routes, &key)
                                  : NULL;

  if (found == NULL)
    return NULL;
  wc_decoder_add_route (decoder, text, found->route);
  decoder->routes_decoded--;
  return wc_route_ref (found->route);
}

void
wc_decoder_add_route (WcDecoder *decoder, WcSpan text, WcRoute *route)
{
  DecodedRoute *decoded = g_new (DecodedRoute, 1);

  decoder->routes_decoded++;
  *decoded = (DecodedRoute){ text, wc_route_ref (route) };
  g_hash_table_add (decoder->current.routes, decoded);
}

guint64
wc_decoder_routes_decoded (const WcDecoder *decoder)
{
  return decoder->routes_decoded;
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
