#include "wm-private.h"

/* A reply may wait for the budget of the source for 500 ms. */
#define REQUEST_TIMEOUT_US (600 * WB_US_PER_MS)
/* Pause after MAX_IMMEDIATE_TRIES requests in vain, because each request takes from the budget. */
#define RETRY_DELAY_MIN_US (200 * WB_US_PER_MS)
#define RETRY_DELAY_MAX_US (600 * WB_US_PER_MS)
#define MAX_IMMEDIATE_TRIES 4
/* Replies of members without the object after which a transfer that has begun is given up for a new
 * one, and the whole object is requested instead of a difference. */
#define MAX_REFUSALS 6
/* The chunks of longer objects come from several members in turn, each of which may send some 2 KB
 * a second only. */
#define SINGLE_SOURCE_MAX_BYTES 4096
/* A member that has just started and holds no configuration reads the platform first: a whole
 * object from members would take a share of the budget of each of them. */
#define FIRST_FETCH_DELAY_US (250 * WB_US_PER_MS)

static WmRootTransfer *
transfer_of (const WmNode *node)
{
  return (WmRootTransfer *) &node->config.fetch.root_transfer;
}

/* The root object that the requested difference is to; NULL when the whole object is requested. */
static const WmRoot *
requested_base (const WmNode *node)
{
  const WmRootTransfer *transfer = transfer_of (node);
  const WmRoot *newest = &node->config.roots[0];

  if (transfer->version != 0)
    return wm_config_root (node, transfer->base_version);
  return newest->bytes != NULL && !transfer->whole ? newest : NULL;
}

static gboolean
changes_source (const WmRootTransfer *transfer)
{
  return transfer->tries > 0 || transfer->buffer->len == 0 ||
         transfer->total_bytes > SINGLE_SOURCE_MAX_BYTES;
}

static void
request (WmNode *node)
{
  WmRootTransfer *transfer = transfer_of (node);
  const WmRoot *base = requested_base (node);
  ww_root_fetch body = { .sender_id = node->settings.id,
                         .root_version = transfer->version,
                         .base_version = base != NULL ? base->version : 0,
                         .base_hash = base != NULL ? base->hash : 0,
                         .offset = transfer->buffer->len };
  WwCall call = { .xid = wm_next_xid (node), .procedure = WW_PROC_ROOT_FETCH };

  transfer->start_us = WB_NEVER;
  transfer->xid = call.xid;
  transfer->deadline_us = node->now_us + REQUEST_TIMEOUT_US;
  if (changes_source (transfer) &&
      !wm_fetch_choose_source (node, transfer->tries + transfer->buffer->len / WW_MAX_CHUNK,
                               &transfer->source))
    return;
  wm_send (node, WM_PRIORITY_CONFIG, &transfer->source, &call, xdr_ww_root_fetch, &body);
}

/* Drops what has arrived. */
static void
restart (WmNode *node)
{
  WmRootTransfer *transfer = transfer_of (node);

  if (transfer->buffer->len > 0)
    wb_counters_add (node->counters, WM_COUNTER_CONFIG_RESTARTED, 1);
  g_byte_array_set_size (transfer->buffer, 0);
  transfer->version = 0;
  transfer->total_bytes = 0;
}

/* Asks another source for the chunk, at once or after a pause. */
static void
try_next_source (WmNode *node)
{
  WmRootTransfer *transfer = transfer_of (node);

  wm_fetch_remove_source (node, &transfer->source);
  transfer->tries++;
  if (transfer->refusals >= MAX_REFUSALS)
    {
      transfer->refusals = 0;
      transfer->whole = transfer->version == 0;
      restart (node);
    }
  if (transfer->tries < MAX_IMMEDIATE_TRIES)
    {
      request (node);
      return;
    }
  transfer->xid = 0;
  transfer->start_us =
      node->now_us + g_rand_int_range (node->random, RETRY_DELAY_MIN_US, RETRY_DELAY_MAX_US);
}

void
wm_root_start (WmNode *node)
{
  WmRootTransfer *transfer = transfer_of (node);

  /* A first request that waits for the platform's configuration is sent once that one is held. */
  if (transfer->active && transfer->tries == 0 && transfer->start_us != WB_NEVER &&
      node->config.roots[0].bytes != NULL)
    transfer->start_us = node->now_us;
  if (transfer->active)
    return;
  *transfer = (WmRootTransfer){ .active = TRUE, .buffer = g_byte_array_new () };
  transfer->start_us = node->now_us;
  transfer->deadline_us = WB_NEVER;
  if (node->config.roots[0].bytes == NULL)
    transfer->start_us = MAX (transfer->start_us, node->start_us + FIRST_FETCH_DELAY_US);
  if (transfer->start_us <= node->now_us)
    request (node);
}

void
wm_root_cancel (WmNode *node)
{
  WmRootTransfer *transfer = transfer_of (node);

  g_clear_pointer (&transfer->buffer, g_byte_array_unref);
  *transfer = (WmRootTransfer){ 0 };
}

gboolean
wm_root_is_pending (const WmNode *node, guint32 xid)
{
  return transfer_of (node)->active && transfer_of (node)->xid == xid;
}

static void
object_arrived (WmNode *node)
{
  WmRootTransfer *transfer = transfer_of (node);
  g_autoptr (GBytes) bytes = g_bytes_new (transfer->buffer->data, transfer->buffer->len);
  const WmRoot *base = wm_config_root (node, transfer->base_version);
  guint64 version = transfer->version;
  g_autoptr (GBytes) root = NULL;

  if (base != NULL || transfer->base_version == 0)
    root = wm_delta_apply (base != NULL ? base->bytes : NULL, bytes, WM_OBJECT_MAX_BYTES);
  if (root == NULL)
    {
      wb_counters_add (node->counters, WM_COUNTER_CONFIG_BAD_HASH, 1);
      transfer->whole = TRUE;
      restart (node);
      try_next_source (node);
      return;
    }
  wm_steps_add (node, version, transfer->base_version, base != NULL ? base->hash : 0, bytes);
  wm_root_cancel (node);
  wm_fetch_root_arrived (node, version, root);
}

static gboolean
begins_transfer (const WmNode *node, const ww_root_chunk *chunk)
{
  const WmRoot *base = requested_base (node);

  return chunk->offset == 0 && chunk->root_version > wm_config_newest_version (node) &&
         chunk->total <= WM_OBJECT_MAX_BYTES &&
         (chunk->base_version == 0 || (base != NULL && chunk->base_version == base->version));
}

/* Chunks of one object may come from several members, which have to agree on it. */
static gboolean
continues_transfer (const WmRootTransfer *transfer, const ww_root_chunk *chunk)
{
  return chunk->root_version == transfer->version &&
         chunk->base_version == transfer->base_version && chunk->hash == transfer->hash &&
         chunk->total == transfer->total_bytes && chunk->offset == transfer->buffer->len;
}

void
wm_root_handle_chunk (WmNode *node, const WmAddress *from, const ww_root_chunk *chunk)
{
  WmRootTransfer *transfer = transfer_of (node);
  gboolean fits =
      transfer->version == 0 ? begins_transfer (node, chunk) : continues_transfer (transfer, chunk);

  if (chunk->total == 0 || chunk->data.data_len == 0 || !fits ||
      chunk->data.data_len > chunk->total - chunk->offset)
    {
      wb_counters_add (node->counters, WM_COUNTER_CONFIG_UNAVAILABLE, 1);
      transfer->refusals += chunk->total != 0 || chunk->hash == 0;
      try_next_source (node);
      return;
    }
  if (transfer->version == 0)
    {
      transfer->version = chunk->root_version;
      transfer->base_version = chunk->base_version;
      transfer->hash = chunk->hash;
      transfer->total_bytes = chunk->total;
    }
  g_byte_array_append (transfer->buffer, (const guint8 *) chunk->data.data_val,
                       chunk->data.data_len);
  transfer->tries = 0;
  transfer->refusals = 0;
  if (transfer->buffer->len < transfer->total_bytes)
    request (node);
  else
    object_arrived (node);
}

void
wm_root_tick (WmNode *node)
{
  WmRootTransfer *transfer = transfer_of (node);

  if (!transfer->active)
    return;
  if (transfer->start_us <= node->now_us)
    request (node);
  else if (transfer->xid != 0 && transfer->deadline_us <= node->now_us)
    try_next_source (node);
}

gint64
wm_root_next_us (const WmNode *node)
{
  const WmRootTransfer *transfer = transfer_of (node);

  if (!transfer->active)
    return WB_NEVER;
  return MIN (transfer->start_us, transfer->xid != 0 ? transfer->deadline_us : WB_NEVER);
}
