#include "wm-private.h"

#include <string.h>

void
wm_config_init (WmNode *node)
{
  node->config.parts =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  node->config.spread_times = wb_histogram_new ();
  wm_fetch_init (node);
}

void
wm_config_clear (WmNode *node)
{
  guint i;

  wm_fetch_clear (node);
  wm_steps_clear (node);
  g_hash_table_unref (node->config.parts);
  wb_histogram_free (node->config.spread_times);
  for (i = 0; i < WM_KEPT_ROOTS; i++)
    g_clear_pointer (&node->config.roots[i].bytes, g_bytes_unref);
}

void
wm_sha256 (GBytes *bytes, guint8 *hash)
{
  g_autoptr (GChecksum) checksum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize length = WM_HASH_BYTES;
  gsize size;
  const guint8 *data = g_bytes_get_data (bytes, &size);

  g_checksum_update (checksum, data, (gssize) size);
  g_checksum_get_digest (checksum, hash, &length);
}

void
wm_hash_to_hex (const guint8 *hash, gchar *hex)
{
  static const gchar digits[] = "0123456789abcdef";
  guint i;

  for (i = 0; i < WM_HASH_BYTES; i++)
    {
      *hex++ = digits[hash[i] >> 4];
      *hex++ = digits[hash[i] & 15];
    }
  *hex = '\0';
}

gboolean
wm_hash_from_hex (const gchar *hex, guint8 *hash)
{
  guint i;

  if (strlen (hex) != WM_HEX_LENGTH)
    return FALSE;
  for (i = 0; i < WM_HASH_BYTES; i++)
    {
      gint high = g_ascii_xdigit_value (*hex++);
      gint low = g_ascii_xdigit_value (*hex++);

      if (high < 0 || low < 0)
        return FALSE;
      hash[i] = (guint8) (high << 4 | low);
    }
  return TRUE;
}

ww_config_id
wm_config_id (const WmNode *node)
{
  return (ww_config_id){ node->config.version, node->config.digest };
}

/* The newest version held or in effect. Only newer ones are accepted, whatever the source. */
guint64
wm_config_newest_version (const WmNode *node)
{
  return MAX (node->config.version, node->config.roots[0].version);
}

const WmRoot *
wm_config_root (const WmNode *node, guint64 version)
{
  guint i;

  for (i = 0; i < WM_KEPT_ROOTS; i++)
    if (node->config.roots[i].bytes != NULL && node->config.roots[i].version == version)
      return &node->config.roots[i];
  return NULL;
}

static gboolean
has_all_parts (const WmNode *node, GPtrArray *hashes)
{
  guint i;

  for (i = 0; i < hashes->len; i++)
    if (!g_hash_table_contains (node->config.parts, hashes->pdata[i]))
      return FALSE;
  return TRUE;
}

static void
add_referenced_parts (const WmNode *node, GHashTable *table, GPtrArray *hashes)
{
  guint i;

  for (i = 0; hashes != NULL && i < hashes->len; i++)
    {
      GBytes *part = g_hash_table_lookup (node->config.parts, hashes->pdata[i]);

      if (part != NULL)
        g_hash_table_insert (table, g_strdup (hashes->pdata[i]), g_bytes_ref (part));
    }
}

static GHashTable *
referenced_parts (const WmNode *node, GPtrArray *hashes, GPtrArray *more_hashes)
{
  GHashTable *table =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);

  add_referenced_parts (node, table, hashes);
  add_referenced_parts (node, table, more_hashes);
  return table;
}

static GPtrArray *
list_part_hashes (const WmNode *node, GBytes *root)
{
  if (node->callbacks.root_hashes == NULL || root == NULL)
    return NULL;
  return node->callbacks.root_hashes (node->callbacks.context, root);
}

/* Makes a complete configuration the newest one held. Parts of the previous version are kept for
 * members that are still fetching it. */
void
wm_config_install (WmNode *node, guint64 version, GBytes *root, GPtrArray *hashes)
{
  WmConfigStore *config = &node->config;
  g_autoptr (GPtrArray) previous_hashes = list_part_hashes (node, config->roots[0].bytes);
  g_autoptr (GHashTable) parts = referenced_parts (node, hashes, NULL);
  GHashTable *kept_parts = referenced_parts (node, hashes, previous_hashes);
  gsize length;
  const guint8 *data = g_bytes_get_data (root, &length);

  g_hash_table_unref (config->parts);
  config->parts = kept_parts;
  g_clear_pointer (&config->roots[WM_KEPT_ROOTS - 1].bytes, g_bytes_unref);
  memmove (&config->roots[1], &config->roots[0], (WM_KEPT_ROOTS - 1) * sizeof (WmRoot));
  config->roots[0] = (WmRoot){ .version = version,
                               .bytes = g_bytes_ref (root),
                               .hash = wb_hash64 (data, length, 0) };
  if (node->callbacks.config_complete != NULL)
    node->callbacks.config_complete (node->callbacks.context, version, root, parts);
  wm_fetch_version_held (node);
}

static void
add_offered_parts (WmNode *node, GHashTable *parts)
{
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, parts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      guint8 hash[WM_HASH_BYTES];
      gchar hex[WM_HEX_BYTES];

      wm_sha256 (value, hash);
      wm_hash_to_hex (hash, hex);
      if (strcmp (hex, key) != 0)
        wb_counters_add (node->counters, WM_COUNTER_CONFIG_BAD_HASH, 1);
      else if (!g_hash_table_contains (node->config.parts, hex))
        g_hash_table_insert (node->config.parts, g_strdup (hex), g_bytes_ref (value));
    }
}

void
wm_node_offer_config (WmNode *node, guint64 version, GBytes *root, GHashTable *parts, gint64 now_us)
{
  g_autoptr (GPtrArray) hashes = NULL;

  node->now_us = MAX (node->now_us, now_us);
  if (version <= wm_config_newest_version (node))
    {
      wb_counters_add (node->counters, WM_COUNTER_CONFIG_OLDER,
                       version < wm_config_newest_version (node));
      return;
    }
  hashes = list_part_hashes (node, root);
  if (hashes == NULL)
    return;
  add_offered_parts (node, parts);
  if (!has_all_parts (node, hashes))
    return;
  wm_config_install (node, version, root, hashes);
}

void
wm_node_set_config (WmNode *node, guint64 version, guint64 digest)
{
  if (version < node->config.version)
    {
      wb_counters_add (node->counters, WM_COUNTER_CONFIG_OLDER, 1);
      return;
    }
  if (version == node->config.version)
    return;
  node->config.version = version;
  node->config.digest = digest;
  wm_gossip_announce_config (node);
}

guint64
wm_node_config_version (const WmNode *node)
{
  return node->config.version;
}

static void
send_chunk (WmNode *node,
            const WmAddress *to,
            guint32 xid,
            guint offset,
            GBytes *object,
            ww_config_chunk *chunk)
{
  WwCall call = { .xid = xid, .is_reply = TRUE };
  gsize size = 0;
  const guint8 *data = NULL;

  chunk->offset = offset;
  if (object != NULL)
    data = g_bytes_get_data (object, &size);
  if (offset < size)
    {
      chunk->total = (guint) size;
      chunk->data.data_val = (char *) data + offset;
      chunk->data.data_len = (guint) MIN (size - offset, WW_MAX_CHUNK);
    }
  wm_send (node, WM_PRIORITY_TRANSFER, to, &call, xdr_ww_config_chunk, chunk);
}

static void
serve_part (WmNode *node,
            const WmAddress *from,
            guint32 xid,
            const ww_config_fetch *request,
            const char *hash,
            guint offset)
{
  ww_config_chunk chunk = { .config_version = request->config_version };
  gchar hex[WM_HEX_BYTES];

  memcpy (chunk.hash, hash, WM_HASH_BYTES);
  wm_hash_to_hex ((const guint8 *) hash, hex);
  send_chunk (node, from, xid, offset, g_hash_table_lookup (node->config.parts, hex), &chunk);
}

/* Members of earlier releases fetch the whole root object in this way. */
static void
serve_root (WmNode *node, const WmAddress *from, guint32 xid, const ww_config_fetch *request)
{
  ww_config_chunk chunk = { .config_version = request->config_version };
  const WmRoot *root = wm_config_root (node, request->config_version);

  if (root != NULL)
    wm_sha256 (root->bytes, (guint8 *) chunk.hash);
  send_chunk (node, from, xid, request->offset, root != NULL ? root->bytes : NULL, &chunk);
}

void
wm_config_serve (WmNode *node, const WmAddress *from, guint32 xid, const ww_config_fetch *request)
{
  static const guint8 zeros[WM_HASH_BYTES];
  guint i;

  if (memcmp (request->hash, zeros, WM_HASH_BYTES) == 0)
    {
      serve_root (node, from, xid, request);
      return;
    }
  serve_part (node, from, xid, request, request->hash, request->offset);
  for (i = 0; i < request->more.more_len; i++)
    serve_part (node, from, xid, request, request->more.more_val[i].bytes, 0);
}
