#include "wm-private.h"

/* Time without fetches after a root object that did not parse. */
#define INVALID_ROOT_BACKOFF_US (5 * WB_US_PER_S)

/* Every fourth request goes to a random member, because the members that announced the version may
 * have stopped. */
#define RANDOM_SOURCE_INTERVAL_TRIES 4

/* A version that has not come from members after this time is read from the platform. */
#define OVERDUE_DELAY_US WB_US_PER_S
/* The reads are spread by this time per member, so that even if no member has the version, a fleet
 * makes at most a thousand reads a second. */
#define OVERDUE_SPREAD_PER_MEMBER_US WB_US_PER_MS
/* Time between two reads of one member. */
#define OVERDUE_RETRY_MIN_US (3 * WB_US_PER_S)
#define OVERDUE_RETRY_MAX_US (6 * WB_US_PER_S)

void
wm_fetch_init (WmNode *node)
{
  node->config.fetch.queued_parts = g_ptr_array_new_with_free_func (g_free);
  node->config.fetch.overdue_us = WB_NEVER;
}

void
wm_fetch_clear (WmNode *node)
{
  wm_root_cancel (node);
  wm_parts_cancel (node);
  g_ptr_array_unref (node->config.fetch.queued_parts);
}

/* Ends the fetch, because the newest announced version is held or did not parse. */
static void
end_fetch (WmNode *node)
{
  WmConfigFetch *fetch = &node->config.fetch;

  wm_root_cancel (node);
  wm_parts_cancel (node);
  fetch->version = 0;
  fetch->overdue_us = WB_NEVER;
  fetch->n_sources = 0;
}

static gboolean
same_address (const WmAddress *a, const WmAddress *b)
{
  return a->address == b->address && a->port == b->port;
}

void
wm_fetch_remove_source (WmNode *node, const WmAddress *source)
{
  WmConfigFetch *fetch = &node->config.fetch;
  guint kept = 0;
  guint i;

  for (i = 0; i < fetch->n_sources; i++)
    if (!same_address (&fetch->sources[i], source))
      fetch->sources[kept++] = fetch->sources[i];
  fetch->n_sources = kept;
}

/* The member that announced last comes first, as it knows the newest version. */
static void
add_source (WmNode *node, const WmAddress *source)
{
  WmConfigFetch *fetch = &node->config.fetch;
  guint i;

  wm_fetch_remove_source (node, source);
  fetch->n_sources = MIN (fetch->n_sources + 1, WM_MAX_SOURCES);
  for (i = fetch->n_sources - 1; i > 0; i--)
    fetch->sources[i] = fetch->sources[i - 1];
  fetch->sources[0] = *source;
}

/* Return: FALSE when no other member is known */
gboolean
wm_fetch_choose_source (WmNode *node, guint tries, WmAddress *source)
{
  const WmConfigFetch *fetch = &node->config.fetch;
  const WmMember *row;

  if (fetch->n_sources > 0 &&
      tries % RANDOM_SOURCE_INTERVAL_TRIES != RANDOM_SOURCE_INTERVAL_TRIES - 1)
    {
      *source = fetch->sources[tries % fetch->n_sources];
      return TRUE;
    }
  row = wm_pick_random (node, wm_is_live, 0);
  if (row == NULL)
    return FALSE;
  *source = wm_control_address (row);
  return TRUE;
}

static void
continue_fetch (WmNode *node)
{
  WmConfigFetch *fetch = &node->config.fetch;

  if (fetch->version != 0 && fetch->root.bytes == NULL)
    wm_root_start (node);
}

/* Handles the version that another member announces as the one it has in effect. A transfer that
 * has begun goes on when a newer version is announced: under a quick succession of changes none
 * would ever end otherwise. */
void
wm_fetch_version_announced (WmNode *node, const ww_config_id *id, const WmAddress *from)
{
  WmConfigFetch *fetch = &node->config.fetch;

  if (id->config_version == node->config.version && id->digest != node->config.digest)
    wb_counters_add (node->counters, WM_COUNTER_CONFIG_DIGEST_DIFFERS, 1);
  if (node->callbacks.root_hashes == NULL ||
      id->config_version <= wm_config_newest_version (node) ||
      node->now_us < fetch->blocked_until_us)
    return;
  if (fetch->version == 0)
    {
      gint64 spread_us = wm_live_count (node) * OVERDUE_SPREAD_PER_MEMBER_US;

      fetch->announced_us = node->now_us;
      fetch->overdue_us = node->now_us + OVERDUE_DELAY_US +
                          g_rand_int_range (node->random, 0, (gint32) MAX (spread_us, 1));
    }
  fetch->version = MAX (fetch->version, id->config_version);
  add_source (node, from);
  continue_fetch (node);
}

/* Goes on with the next version, or ends the fetch, when a configuration has been installed. */
void
wm_fetch_version_held (WmNode *node)
{
  WmConfigFetch *fetch = &node->config.fetch;
  guint64 held = wm_config_newest_version (node);

  if (fetch->version == 0)
    return;
  if (fetch->root_transfer.version != 0 && fetch->root_transfer.version <= held)
    wm_root_cancel (node);
  if (fetch->root.bytes != NULL && fetch->root.version <= held)
    wm_parts_cancel (node);
  if (fetch->version > held)
    {
      continue_fetch (node);
      return;
    }
  wb_histogram_record (node->config.spread_times, node->now_us - fetch->announced_us);
  end_fetch (node);
}

void
wm_fetch_root_arrived (WmNode *node, guint64 version, GBytes *root)
{
  WmConfigFetch *fetch = &node->config.fetch;
  g_autoptr (GPtrArray) hashes = node->callbacks.root_hashes (node->callbacks.context, root);
  gsize length;
  const guint8 *data = g_bytes_get_data (root, &length);

  if (hashes == NULL)
    {
      end_fetch (node);
      fetch->blocked_until_us = node->now_us + INVALID_ROOT_BACKOFF_US;
      return;
    }
  fetch->root = (WmRoot){ .version = version,
                          .bytes = g_bytes_ref (root),
                          .hash = wb_hash64 (data, length, 0) };
  wm_parts_fetch (node, hashes);
}

static void
report_overdue (WmNode *node)
{
  WmConfigFetch *fetch = &node->config.fetch;

  fetch->overdue_us =
      node->now_us + g_rand_int_range (node->random, OVERDUE_RETRY_MIN_US, OVERDUE_RETRY_MAX_US);
  wb_counters_add (node->counters, WM_COUNTER_CONFIG_OVERDUE, 1);
  if (node->callbacks.config_overdue != NULL)
    node->callbacks.config_overdue (node->callbacks.context, fetch->version);
}

void
wm_node_config_progress (const WmNode *node, WmConfigProgress *progress)
{
  const WmConfigFetch *fetch = &node->config.fetch;
  const WmRootTransfer *transfer = &fetch->root_transfer;

  *progress = (WmConfigProgress){ 0 };
  if (fetch->version == 0)
    return;
  progress->waited_us = node->now_us - fetch->announced_us;
  if (!transfer->active)
    return;
  progress->received_bytes = transfer->buffer->len;
  progress->total_bytes = transfer->total_bytes;
  progress->tries = transfer->tries;
}

const WbHistogram *
wm_node_config_spread (const WmNode *node)
{
  return node->config.spread_times;
}

void
wm_fetch_tick (WmNode *node)
{
  wm_root_tick (node);
  wm_parts_tick (node);
  if (node->now_us >= node->config.fetch.overdue_us)
    report_overdue (node);
}

gint64
wm_fetch_next_us (const WmNode *node)
{
  gint64 next_us = MIN (wm_root_next_us (node), wm_parts_next_us (node));

  return MIN (next_us, node->config.fetch.overdue_us);
}
