#include "wm-private.h"

#include <string.h>

/* The first request is repeated soon because it may have been lost; later timeouts are longer so
 * that a busy source has time to reply. */
#define FIRST_REQUEST_TIMEOUT_US (600 * WB_US_PER_MS)
#define RETRY_TIMEOUT_MIN_US (1000 * WB_US_PER_MS)
#define RETRY_TIMEOUT_MAX_US (2000 * WB_US_PER_MS)

/* Sources that are asked at once, one after the other, when they do not have the object. */
#define MAX_IMMEDIATE_TRIES 4

#define PARTS_PER_REQUEST (WW_MAX_FETCH + 1)

static void
clear_transfer (WmTransfer *transfer)
{
  g_clear_pointer (&transfer->buffer, g_byte_array_unref);
  memset (transfer, 0, sizeof *transfer);
}

/* Parts that have arrived are kept in the table of parts. */
void
wm_parts_cancel (WmNode *node)
{
  WmConfigFetch *fetch = &node->config.fetch;
  guint i;

  for (i = 0; i < WM_MAX_TRANSFERS; i++)
    clear_transfer (&fetch->transfers[i]);
  g_clear_pointer (&fetch->root.bytes, g_bytes_unref);
  g_ptr_array_set_size (fetch->queued_parts, 0);
}

/* Return: whether the next request goes to a random member rather than to one that announced the
 * version. When many parts are missing, as after a start, the few members that announced the
 * version would limit the rate; members that are fetching too serve the parts that they have. */
static gboolean
prefers_random_source (const WmConfigFetch *fetch, const WmTransfer *transfer)
{
  return transfer->tries % 2 == (fetch->bulk ? 0 : 1);
}

/* Successive chunks of a long part come from different sources. */
static gboolean
choose_source (WmNode *node, const WmTransfer *transfer, WmAddress *source)
{
  const WmConfigFetch *fetch = &node->config.fetch;
  guint source_index = (guint) (transfer - fetch->transfers) + transfer->tries +
                       transfer->buffer->len / WW_MAX_CHUNK;
  const WmMember *row;

  if (fetch->n_sources > 0 && !prefers_random_source (fetch, transfer))
    {
      *source = fetch->sources[source_index % fetch->n_sources];
      return TRUE;
    }
  row = wm_pick_random (node, wm_is_live, 0);
  if (row == NULL)
    return FALSE;
  *source = wm_control_address (row);
  return TRUE;
}

/* Requests the parts of all @transfers from one member. Of all but the first no byte may have
 * arrived. */
static void
request_transfers (WmNode *node, WmTransfer **transfers, guint count)
{
  gint64 timeout_us = FIRST_REQUEST_TIMEOUT_US;
  ww_hash more[WW_MAX_FETCH];
  ww_config_fetch request = { .sender_id = node->settings.id,
                              .config_version = node->config.fetch.root.version,
                              .offset = transfers[0]->buffer->len,
                              .more = { count - 1, more } };
  WwCall call = { .xid = wm_next_xid (node), .procedure = WW_PROC_CONFIG_FETCH };
  WmAddress source;
  guint i;

  if (transfers[0]->tries > 0)
    timeout_us = g_rand_int_range (node->random, RETRY_TIMEOUT_MIN_US, RETRY_TIMEOUT_MAX_US);
  for (i = 0; i < count; i++)
    {
      guint8 *hash = (guint8 *) (i == 0 ? request.hash : more[i - 1].bytes);

      wm_hash_from_hex (transfers[i]->hex, hash);
      transfers[i]->xid = call.xid;
      transfers[i]->deadline_us = node->now_us + timeout_us;
    }
  if (choose_source (node, transfers[0], &source))
    wm_send (node, WM_PRIORITY_TRANSFER, &source, &call, xdr_ww_config_fetch, &request);
}

static void
request_transfer (WmNode *node, WmTransfer *transfer)
{
  request_transfers (node, &transfer, 1);
}

/* Received bytes are kept: the next source continues at that offset. */
static void
retry_transfer (WmNode *node, WmTransfer *transfer)
{
  transfer->tries++;
  request_transfer (node, transfer);
}

static void
restart_transfer (WmNode *node, WmTransfer *transfer)
{
  transfer->tries++;
  transfer->total_bytes = 0;
  g_byte_array_set_size (transfer->buffer, 0);
  request_transfer (node, transfer);
}

static void
init_transfer (WmTransfer *transfer, const gchar *hex)
{
  transfer->active = TRUE;
  transfer->buffer = g_byte_array_new ();
  g_strlcpy (transfer->hex, hex, sizeof transfer->hex);
}

static guint
list_idle_transfers (WmConfigFetch *fetch, WmTransfer **transfers)
{
  guint count = 0;
  guint i;

  for (i = 0; i < WM_MAX_TRANSFERS; i++)
    if (!fetch->transfers[i].active)
      transfers[count++] = &fetch->transfers[i];
  return count;
}

/* One request names several parts: a request for one part takes 170 bytes, one for 8 parts 390. */
static void
start_transfers (WmNode *node)
{
  WmConfigFetch *fetch = &node->config.fetch;
  WmTransfer *transfers[WM_MAX_TRANSFERS];
  guint idle = list_idle_transfers (fetch, transfers);
  guint started = 0;

  while (fetch->queued_parts->len > 0 &&
         idle - started >= MIN (PARTS_PER_REQUEST, fetch->queued_parts->len))
    {
      guint count = MIN (PARTS_PER_REQUEST, fetch->queued_parts->len);
      guint i;

      for (i = 0; i < count; i++)
        {
          g_autofree gchar *hex =
              g_ptr_array_steal_index_fast (fetch->queued_parts, fetch->queued_parts->len - 1);

          init_transfer (transfers[started + i], hex);
        }
      request_transfers (node, transfers + started, count);
      started += count;
    }
}

static gboolean
any_active (const WmConfigFetch *fetch)
{
  guint i;

  for (i = 0; i < WM_MAX_TRANSFERS; i++)
    if (fetch->transfers[i].active)
      return TRUE;
  return FALSE;
}

/* Requests further parts, and installs the configuration when all its parts have arrived. */
static void
continue_fetch (WmNode *node)
{
  WmConfigFetch *fetch = &node->config.fetch;
  g_autoptr (GPtrArray) hashes = NULL;
  g_autoptr (GBytes) root = NULL;

  start_transfers (node);
  if (fetch->root.bytes == NULL || any_active (fetch))
    return;
  root = g_steal_pointer (&fetch->root.bytes);
  wm_parts_cancel (node);
  hashes = node->callbacks.root_hashes (node->callbacks.context, root);
  if (hashes == NULL || fetch->root.version <= wm_config_newest_version (node))
    return;
  wb_counters_add (node->counters, WM_COUNTER_CONFIG_FETCHED, 1);
  wm_config_install (node, fetch->root.version, root, hashes);
}

/* Parts already held are not fetched again. The others are queued in random order, so that members
 * that fetch at the same time soon hold different parts and can serve them to each other. */
static void
queue_missing (WmNode *node, GPtrArray *hashes)
{
  WmConfigFetch *fetch = &node->config.fetch;
  guint i;

  for (i = 0; i < hashes->len; i++)
    {
      guint8 hash[WM_HASH_BYTES];

      if (!g_hash_table_contains (node->config.parts, hashes->pdata[i]) &&
          wm_hash_from_hex (hashes->pdata[i], hash))
        g_ptr_array_add (fetch->queued_parts, g_strdup (hashes->pdata[i]));
    }
  fetch->bulk = fetch->queued_parts->len > WM_MAX_TRANSFERS;
  for (i = fetch->queued_parts->len; i > 1; i--)
    {
      guint other = (guint) g_rand_int_range (node->random, 0, (gint32) i);
      gpointer other_part = fetch->queued_parts->pdata[other];

      fetch->queued_parts->pdata[other] = fetch->queued_parts->pdata[i - 1];
      fetch->queued_parts->pdata[i - 1] = other_part;
    }
}

/* Fetches the missing ones of the parts that the root object in WmConfigFetch.root lists. */
void
wm_parts_fetch (WmNode *node, GPtrArray *hashes)
{
  queue_missing (node, hashes);
  continue_fetch (node);
}

static void
part_arrived (WmNode *node, WmTransfer *transfer)
{
  g_autoptr (GBytes) bytes = g_bytes_new (transfer->buffer->data, transfer->buffer->len);
  guint8 hash[WM_HASH_BYTES];
  gchar hex[WM_HEX_BYTES];

  wm_sha256 (bytes, hash);
  wm_hash_to_hex (hash, hex);
  if (g_ascii_strcasecmp (hex, transfer->hex) != 0)
    {
      wb_counters_add (node->counters, WM_COUNTER_CONFIG_BAD_HASH, 1);
      restart_transfer (node, transfer);
      return;
    }
  g_hash_table_insert (node->config.parts, g_strdup (transfer->hex), g_steal_pointer (&bytes));
  clear_transfer (transfer);
  continue_fetch (node);
}

gboolean
wm_parts_is_pending (const WmNode *node, guint32 xid)
{
  const WmConfigFetch *fetch = &node->config.fetch;
  guint i;

  for (i = 0; i < WM_MAX_TRANSFERS; i++)
    if (fetch->transfers[i].active && fetch->transfers[i].xid == xid)
      return TRUE;
  return FALSE;
}

static WmTransfer *
find_transfer (WmNode *node, guint32 xid, const ww_config_chunk *chunk)
{
  WmConfigFetch *fetch = &node->config.fetch;
  gchar hex[WM_HEX_BYTES];
  guint i;

  wm_hash_to_hex ((const guint8 *) chunk->hash, hex);
  for (i = 0; i < WM_MAX_TRANSFERS; i++)
    {
      WmTransfer *transfer = &fetch->transfers[i];

      if (transfer->active && transfer->xid == xid && g_ascii_strcasecmp (transfer->hex, hex) == 0)
        return transfer;
    }
  return NULL;
}

/* Chunks of one part may come from several members, which have to agree on its size. */
static gboolean
chunk_fits (const WmTransfer *transfer, const ww_config_chunk *chunk)
{
  if (chunk->total == 0 || chunk->total > WM_OBJECT_MAX_BYTES || chunk->data.data_len == 0 ||
      chunk->offset != transfer->buffer->len || chunk->data.data_len > chunk->total - chunk->offset)
    return FALSE;
  return transfer->total_bytes == 0 || chunk->total == transfer->total_bytes;
}

/* The source does not have the part or is busy. A few other sources are asked at once; after that
 * the transfer waits for its deadline, because each request takes from the budget. */
static void
part_unavailable (WmNode *node, WmTransfer *transfer)
{
  if (transfer->tries < MAX_IMMEDIATE_TRIES)
    {
      retry_transfer (node, transfer);
      return;
    }
  transfer->xid = 0;
  transfer->deadline_us =
      node->now_us + g_rand_int_range (node->random, RETRY_TIMEOUT_MIN_US, RETRY_TIMEOUT_MAX_US);
}

void
wm_parts_handle_chunk (WmNode *node, guint32 xid, const ww_config_chunk *chunk)
{
  WmTransfer *transfer = find_transfer (node, xid, chunk);

  if (transfer == NULL)
    return;
  if (chunk->total == 0)
    {
      part_unavailable (node, transfer);
      return;
    }
  if (!chunk_fits (transfer, chunk))
    {
      restart_transfer (node, transfer);
      return;
    }
  transfer->total_bytes = chunk->total;
  g_byte_array_append (transfer->buffer, (const guint8 *) chunk->data.data_val,
                       chunk->data.data_len);
  if (transfer->buffer->len < transfer->total_bytes)
    request_transfer (node, transfer);
  else
    part_arrived (node, transfer);
}

/* Overdue parts are requested again in groups: with one request for each, a starting node with 240
 * parts spent its budget on requests and took 17 s. */
void
wm_parts_tick (WmNode *node)
{
  WmConfigFetch *fetch = &node->config.fetch;
  WmTransfer *transfers[PARTS_PER_REQUEST];
  guint count = 0;
  guint i;

  for (i = 0; i < WM_MAX_TRANSFERS; i++)
    {
      WmTransfer *transfer = &fetch->transfers[i];

      if (!transfer->active || transfer->deadline_us > node->now_us)
        continue;
      if (transfer->buffer->len > 0)
        {
          retry_transfer (node, transfer);
          continue;
        }
      transfer->tries++;
      transfers[count++] = transfer;
      if (count == PARTS_PER_REQUEST)
        {
          request_transfers (node, transfers, count);
          count = 0;
        }
    }
  if (count > 0)
    request_transfers (node, transfers, count);
}

gint64
wm_parts_next_us (const WmNode *node)
{
  const WmConfigFetch *fetch = &node->config.fetch;
  gint64 next_us = WB_NEVER;
  guint i;

  for (i = 0; i < WM_MAX_TRANSFERS; i++)
    if (fetch->transfers[i].active)
      next_us = MIN (next_us, fetch->transfers[i].deadline_us);
  return next_us;
}
