#include "wm-private.h"

#include <string.h>

/* The first request is repeated soon, in case it was lost; later ones leave a busy source time. */
#define FIRST_TIMEOUT_US (600 * WB_US_PER_MS)
#define TIMEOUT_MIN_US (1000 * WB_US_PER_MS)
#define TIMEOUT_MAX_US (2000 * WB_US_PER_MS)
#define BLOCKED_US (5 * WB_US_PER_S)

/* Every fourth request for a root object goes to any member, for the case that those that announced
 * the version are gone. */
#define TRIES_PER_RANDOM 4
#define MAX_QUICK_TRIES 4

#define GROUP (WW_MAX_FETCH + 1)

void
wm_fetch_init (WmNode *node)
{
  node->config.fetch.missing = g_ptr_array_new_with_free_func (g_free);
}

static void
clear_slot (WmSlot *slot)
{
  g_clear_pointer (&slot->buffer, g_byte_array_unref);
  memset (slot, 0, sizeof *slot);
}

static void
reset (WmNode *node)
{
  WmFetch *fetch = &node->config.fetch;
  guint i;

  for (i = 0; i < WM_FETCH_SLOTS; i++)
    clear_slot (&fetch->slots[i]);
  g_clear_pointer (&fetch->root.bytes, g_bytes_unref);
  g_ptr_array_set_size (fetch->missing, 0);
  fetch->version = 0;
  fetch->n_sources = 0;
}

/* The parts that have arrived stay in the table of parts. */
void
wm_fetch_stop (WmNode *node)
{
  reset (node);
}

/* Return: whether the next request goes to any member rather than to one that announced the
 * version. With many parts missing, as at a start, the few that announced it would limit the rate;
 * members that are fetching too serve what they have. */
static gboolean
prefers_random (const WmFetch *fetch, const WmSlot *slot)
{
  if (slot->is_root)
    return slot->tries % TRIES_PER_RANDOM == TRIES_PER_RANDOM - 1;
  return slot->tries % 2 == (fetch->many ? 0 : 1);
}

/* The member that the version was heard from comes first; the chunks of a long object come from one
 * source after the other. */
static gboolean
choose_source (WmNode *node, const WmSlot *slot, WmContact *source)
{
  const WmFetch *fetch = &node->config.fetch;
  guint number = (guint) (slot - fetch->slots) + slot->tries + slot->buffer->len / WW_MAX_CHUNK;
  const WmMember *row;

  if (!prefers_random (fetch, slot))
    {
      *source = fetch->sources[number % fetch->n_sources];
      return TRUE;
    }
  row = wm_pick (node, wm_is_live, 0);
  if (row == NULL)
    return FALSE;
  *source = wm_contact (row);
  return TRUE;
}

/* Asks one member for the objects of all @slots, of which those after the first are parts that have
 * not begun to arrive. */
static void
request_slots (WmNode *node, WmSlot **slots, guint count)
{
  gint64 timeout_us = FIRST_TIMEOUT_US;
  ww_hash more[WW_MAX_FETCH];
  ww_config_fetch request = { .sender_id = node->settings.id,
                              .config_version = node->config.fetch.version,
                              .base_version = slots[0]->base_version,
                              .offset = slots[0]->buffer->len,
                              .more = { count - 1, more } };
  WwCall call = { .xid = wm_next_xid (node), .procedure = WW_PROC_CONFIG_FETCH };
  WmContact source;
  guint i;

  if (slots[0]->tries > 0)
    timeout_us = g_rand_int_range (node->random, TIMEOUT_MIN_US, TIMEOUT_MAX_US);
  for (i = 0; i < count; i++)
    {
      guint8 *hash = (guint8 *) (i == 0 ? request.hash : more[i - 1].bytes);

      if (!slots[i]->is_root)
        wm_hash_from_hex (slots[i]->hex, hash);
      slots[i]->xid = call.xid;
      slots[i]->due_us = node->now_us + timeout_us;
    }
  if (choose_source (node, slots[0], &source))
    wm_send (node, WM_CLASS_CONFIG, &source, &call, xdr_ww_config_fetch, &request);
}

static void
request_slot (WmNode *node, WmSlot *slot)
{
  request_slots (node, &slot, 1);
}

/* What has arrived stays: the next source goes on from there. */
static void
retry_slot (WmNode *node, WmSlot *slot)
{
  slot->tries++;
  request_slot (node, slot);
}

static void
restart_slot (WmNode *node, WmSlot *slot)
{
  slot->tries++;
  slot->total = 0;
  g_byte_array_set_size (slot->buffer, 0);
  request_slot (node, slot);
}

static void
begin_slot (WmSlot *slot, const gchar *hex)
{
  slot->busy = TRUE;
  slot->is_root = hex == NULL;
  slot->buffer = g_byte_array_new ();
  if (hex != NULL)
    g_strlcpy (slot->hex, hex, sizeof slot->hex);
}

static void
begin_root (WmNode *node)
{
  WmSlot *slot = &node->config.fetch.slots[0];

  begin_slot (slot, NULL);
  if (node->config.roots[0].bytes != NULL)
    slot->base_version = node->config.roots[0].version;
  request_slot (node, slot);
}

static guint
list_free (WmFetch *fetch, WmSlot **slots)
{
  guint count = 0;
  guint i;

  for (i = 0; i < WM_FETCH_SLOTS; i++)
    if (!fetch->slots[i].busy)
      slots[count++] = &fetch->slots[i];
  return count;
}

/* Several parts are asked for at once: a request for one takes 170 bytes, for 8 of them 390. */
static void
fill_slots (WmNode *node)
{
  WmFetch *fetch = &node->config.fetch;
  WmSlot *slots[WM_FETCH_SLOTS];
  guint available = list_free (fetch, slots);
  guint used = 0;

  while (fetch->missing->len > 0 && available - used >= MIN (GROUP, fetch->missing->len))
    {
      guint count = MIN (GROUP, fetch->missing->len);
      guint i;

      for (i = 0; i < count; i++)
        {
          g_autofree gchar *hex =
              g_ptr_array_steal_index_fast (fetch->missing, fetch->missing->len - 1);

          begin_slot (slots[used + i], hex);
        }
      request_slots (node, slots + used, count);
      used += count;
    }
}

static gboolean
any_busy (const WmFetch *fetch)
{
  guint i;

  for (i = 0; i < WM_FETCH_SLOTS; i++)
    if (fetch->slots[i].busy)
      return TRUE;
  return FALSE;
}

static void
finish_if_complete (WmNode *node)
{
  WmFetch *fetch = &node->config.fetch;
  g_autoptr (GPtrArray) hashes = NULL;
  g_autoptr (GBytes) root = NULL;
  guint64 version = fetch->version;

  fill_slots (node);
  if (fetch->root.bytes == NULL || any_busy (fetch))
    return;
  root = g_steal_pointer (&fetch->root.bytes);
  reset (node);
  hashes = node->callbacks.root_hashes (node->callbacks.context, root);
  if (hashes == NULL || version <= wm_config_newest (node))
    return;
  wb_counters_add (node->counters, WM_COUNTER_CONFIG_FETCHED, 1);
  wm_config_take (node, version, root, hashes);
}

/* Parts already held are not fetched again. The others are fetched in random order, so that members
 * that fetch at the same time soon have different ones to give to each other. */
static void
list_missing (WmNode *node, GPtrArray *hashes)
{
  WmFetch *fetch = &node->config.fetch;
  guint i;

  for (i = 0; i < hashes->len; i++)
    {
      guint8 hash[WM_HASH_BYTES];

      if (!g_hash_table_contains (node->config.parts, hashes->pdata[i]) &&
          wm_hash_from_hex (hashes->pdata[i], hash))
        g_ptr_array_add (fetch->missing, g_strdup (hashes->pdata[i]));
    }
  fetch->many = fetch->missing->len > WM_FETCH_SLOTS;
  for (i = fetch->missing->len; i > 1; i--)
    {
      guint other = (guint) g_rand_int_range (node->random, 0, (gint32) i);
      gpointer swapped = fetch->missing->pdata[other];

      fetch->missing->pdata[other] = fetch->missing->pdata[i - 1];
      fetch->missing->pdata[i - 1] = swapped;
    }
}

static GBytes *
assemble_root (WmNode *node, const WmSlot *slot)
{
  g_autoptr (GBytes) bytes = g_bytes_new (slot->buffer->data, slot->buffer->len);
  guint8 hash[WM_HASH_BYTES];
  const WmRoot *base;

  if (slot->base_version != 0)
    {
      GBytes *whole;

      base = wm_config_root (node, slot->base_version);
      whole = base != NULL ? wm_delta_apply (base->bytes, bytes, WM_OBJECT_MAX) : NULL;
      if (whole == NULL)
        return NULL;
      g_bytes_unref (bytes);
      bytes = whole;
    }
  wm_hash (bytes, hash);
  if (memcmp (hash, slot->hash, WM_HASH_BYTES) != 0)
    return NULL;
  return g_steal_pointer (&bytes);
}

static void
root_arrived (WmNode *node, WmSlot *slot)
{
  WmFetch *fetch = &node->config.fetch;
  g_autoptr (GBytes) root = assemble_root (node, slot);
  g_autoptr (GPtrArray) hashes = NULL;

  if (root == NULL)
    {
      wb_counters_add (node->counters, WM_COUNTER_CONFIG_BAD_HASH, 1);
      slot->base_version = 0;
      restart_slot (node, slot);
      return;
    }
  hashes = node->callbacks.root_hashes (node->callbacks.context, root);
  if (hashes == NULL)
    {
      reset (node);
      fetch->blocked_us = node->now_us + BLOCKED_US;
      return;
    }
  memcpy (fetch->root.hash, slot->hash, WM_HASH_BYTES);
  clear_slot (slot);
  fetch->root.version = fetch->version;
  fetch->root.bytes = g_steal_pointer (&root);
  list_missing (node, hashes);
  finish_if_complete (node);
}

static void
part_arrived (WmNode *node, WmSlot *slot)
{
  g_autoptr (GBytes) bytes = g_bytes_new (slot->buffer->data, slot->buffer->len);
  guint8 hash[WM_HASH_BYTES];
  gchar hex[WM_HEX_BYTES];

  wm_hash (bytes, hash);
  wm_hash_to_hex (hash, hex);
  if (g_ascii_strcasecmp (hex, slot->hex) != 0)
    {
      wb_counters_add (node->counters, WM_COUNTER_CONFIG_BAD_HASH, 1);
      restart_slot (node, slot);
      return;
    }
  g_hash_table_insert (node->config.parts, g_strdup (slot->hex), g_steal_pointer (&bytes));
  clear_slot (slot);
  finish_if_complete (node);
}

gboolean
wm_fetch_is_pending (const WmNode *node, guint32 xid)
{
  const WmFetch *fetch = &node->config.fetch;
  guint i;

  for (i = 0; i < WM_FETCH_SLOTS; i++)
    if (fetch->slots[i].busy && fetch->slots[i].xid == xid)
      return TRUE;
  return FALSE;
}

static WmSlot *
find_slot (WmNode *node, guint32 xid, const ww_config_chunk *chunk)
{
  WmFetch *fetch = &node->config.fetch;
  gchar hex[WM_HEX_BYTES];
  guint i;

  wm_hash_to_hex ((const guint8 *) chunk->hash, hex);
  for (i = 0; i < WM_FETCH_SLOTS; i++)
    {
      WmSlot *slot = &fetch->slots[i];

      if (slot->busy && slot->xid == xid &&
          (slot->is_root || g_ascii_strcasecmp (slot->hex, hex) == 0))
        return slot;
    }
  return NULL;
}

/* Chunks of one object may come from several members, which must agree on what it is. */
static gboolean
chunk_fits (const WmSlot *slot, const ww_config_chunk *chunk)
{
  if (chunk->total == 0 || chunk->total > WM_OBJECT_MAX || chunk->data.data_len == 0 ||
      chunk->offset != slot->buffer->len || chunk->data.data_len > chunk->total - chunk->offset)
    return FALSE;
  if (slot->total == 0)
    return TRUE;
  return chunk->total == slot->total &&
         (!slot->is_root || (chunk->base_version == slot->base_version &&
                             memcmp (chunk->hash, slot->hash, WM_HASH_BYTES) == 0));
}

/* The source does not have the object or is busy. A few others are asked at once; after that the
 * slot waits, because each request takes from the budget. */
static void
refused (WmNode *node, WmSlot *slot)
{
  if (slot->tries < MAX_QUICK_TRIES)
    {
      retry_slot (node, slot);
      return;
    }
  slot->xid = 0;
  slot->due_us = node->now_us + g_rand_int_range (node->random, TIMEOUT_MIN_US, TIMEOUT_MAX_US);
}

void
wm_fetch_chunk (WmNode *node, guint32 xid, const ww_config_chunk *chunk)
{
  WmSlot *slot = find_slot (node, xid, chunk);

  if (slot == NULL)
    return;
  if (chunk->total == 0)
    {
      refused (node, slot);
      return;
    }
  if (!chunk_fits (slot, chunk))
    {
      restart_slot (node, slot);
      return;
    }
  if (slot->total == 0)
    {
      slot->total = chunk->total;
      slot->base_version = slot->is_root ? chunk->base_version : 0;
      memcpy (slot->hash, chunk->hash, WM_HASH_BYTES);
    }
  g_byte_array_append (slot->buffer, (const guint8 *) chunk->data.data_val, chunk->data.data_len);
  if (slot->buffer->len < slot->total)
    request_slot (node, slot);
  else if (slot->is_root)
    root_arrived (node, slot);
  else
    part_arrived (node, slot);
}

static void
add_source (WmFetch *fetch, const WmContact *from)
{
  guint i;

  for (i = 0; i < fetch->n_sources; i++)
    if (fetch->sources[i].address == from->address && fetch->sources[i].port == from->port)
      return;
  if (fetch->n_sources < WM_FETCH_SOURCES)
    fetch->sources[fetch->n_sources++] = *from;
}

/* A message said that its sender has this version in effect. */
void
wm_fetch_heard (WmNode *node, const ww_config_id *id, const WmContact *from)
{
  WmFetch *fetch = &node->config.fetch;

  if (id->config_version == node->config.version && id->digest != node->config.digest)
    wb_counters_add (node->counters, WM_COUNTER_CONFIG_DIGEST_DIFFERS, 1);
  if (node->callbacks.root_hashes == NULL || id->config_version <= wm_config_newest (node) ||
      id->config_version < fetch->version || node->now_us < fetch->blocked_us)
    return;
  if (id->config_version == fetch->version)
    {
      add_source (fetch, from);
      return;
    }
  reset (node);
  fetch->version = id->config_version;
  add_source (fetch, from);
  begin_root (node);
}

/* Parts that are overdue are asked for together again: one by one, a starting node with 240 parts
 * spent its budget on requests and took 17 s. */
void
wm_fetch_tick (WmNode *node)
{
  WmFetch *fetch = &node->config.fetch;
  WmSlot *slots[GROUP];
  guint count = 0;
  guint i;

  for (i = 0; i < WM_FETCH_SLOTS; i++)
    {
      WmSlot *slot = &fetch->slots[i];

      if (!slot->busy || slot->due_us > node->now_us)
        continue;
      if (slot->is_root || slot->buffer->len > 0)
        {
          retry_slot (node, slot);
          continue;
        }
      slot->tries++;
      slots[count++] = slot;
      if (count == GROUP)
        {
          request_slots (node, slots, count);
          count = 0;
        }
    }
  if (count > 0)
    request_slots (node, slots, count);
}

gint64
wm_fetch_next_us (const WmNode *node)
{
  const WmFetch *fetch = &node->config.fetch;
  gint64 next_us = WB_NEVER;
  guint i;

  for (i = 0; i < WM_FETCH_SLOTS; i++)
    if (fetch->slots[i].busy)
      next_us = MIN (next_us, fetch->slots[i].due_us);
  return next_us;
}
