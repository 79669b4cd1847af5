#include "wm-private.h"

/* With less budget than this, long root objects are served to one member at a time. */
#define SHARING_MIN_BYTES 3600
/* A chunk is no larger than the budget allows at the moment, but for this size. Messages that are
 * small would otherwise use up the tokens before there are enough for a whole chunk. */
#define MIN_CHUNK_BYTES 256
#define CHUNK_OVERHEAD_BYTES 128
#define RECEIVER_IDLE_US (1500 * WB_US_PER_MS)

void
wm_steps_clear (WmNode *node)
{
  guint i;

  for (i = 0; i < WM_KEPT_STEPS; i++)
    g_clear_pointer (&node->config.steps[i].bytes, g_bytes_unref);
}

/* Members pass on the bytes that they received, so that the difference between two versions is
 * computed by the few members that have read the newer one from the platform. */
const WmStep *
wm_steps_add (WmNode *node, guint64 version, guint64 base_version, guint64 base_hash, GBytes *bytes)
{
  WmConfigStore *config = &node->config;
  WmStep *step = &config->steps[config->next_step];
  gsize length;
  const guint8 *data = g_bytes_get_data (bytes, &length);

  config->next_step = (config->next_step + 1) % WM_KEPT_STEPS;
  g_clear_pointer (&step->bytes, g_bytes_unref);
  *step = (WmStep){ .version = version,
                    .base_version = base_version,
                    .base_hash = base_hash,
                    .hash = wb_hash64 (data, length, 0),
                    .bytes = g_bytes_ref (bytes) };
  return step;
}

/* The step from a base, or the step to the latest version from that base when @version is 0. */
static const WmStep *
find_step (const WmNode *node, guint64 version, guint64 base_version, guint64 base_hash)
{
  const WmStep *found = NULL;
  guint i;

  for (i = 0; i < WM_KEPT_STEPS; i++)
    {
      const WmStep *step = &node->config.steps[i];

      if (step->bytes == NULL || step->base_version != base_version ||
          step->base_hash != base_hash || (version != 0 && step->version != version))
        continue;
      if (found == NULL || step->version > found->version)
        found = step;
    }
  return found;
}

/* The root object of a version: one that is kept, or one whose parts are still being fetched. */
static const WmRoot *
find_root (const WmNode *node, guint64 version)
{
  const WmRoot *fetched = &node->config.fetch.root;
  const WmRoot *root = wm_config_root (node, version);

  if (root == NULL && fetched->bytes != NULL && fetched->version == version)
    root = fetched;
  return root;
}

static const WmStep *
make_step (WmNode *node, const WmRoot *target, const WmRoot *base)
{
  g_autoptr (GBytes) bytes = wm_delta_encode (base != NULL ? base->bytes : NULL, target->bytes);

  return wm_steps_add (node, target->version, base != NULL ? base->version : 0,
                       base != NULL ? base->hash : 0, bytes);
}

/* A kept step from the requester's base is served even when it leads to an intermediate version:
 * the difference is a few hundred bytes, where the whole object may be many KB. A requester whose
 * base is not kept here asks other members before it requests the whole object. */
static const WmStep *
first_step (WmNode *node, const ww_root_fetch *request)
{
  const WmRoot *newest = &node->config.roots[0];
  const WmRoot *base = wm_config_root (node, request->base_version);
  const WmStep *step;

  if (newest->bytes == NULL || newest->version <= request->base_version)
    return NULL;
  step = find_step (node, newest->version, request->base_version, request->base_hash);
  if (step != NULL)
    return step;
  if (request->base_version == 0)
    return make_step (node, newest, NULL);
  if (base != NULL && base->hash == request->base_hash)
    return make_step (node, newest, base);
  return find_step (node, 0, request->base_version, request->base_hash);
}

/* The object of a transfer that has begun, with another member perhaps. */
static const WmStep *
continued_step (WmNode *node, const ww_root_fetch *request)
{
  const WmRoot *target = find_root (node, request->root_version);
  const WmRoot *base = wm_config_root (node, request->base_version);
  const WmStep *step =
      find_step (node, request->root_version, request->base_version, request->base_hash);

  if (step != NULL || target == NULL)
    return step;
  if (request->base_version == 0)
    return make_step (node, target, NULL);
  return base != NULL && base->hash == request->base_hash ? make_step (node, target, base) : NULL;
}

/* While little budget is left, long objects are served to one member until it has received all of
 * it. When all members ask the only holder of a new version, each would otherwise get a chunk now
 * and then, and it would take long until any of them could serve it to others. */
static gboolean
may_serve_to (WmNode *node, const WmAddress *from, gsize length)
{
  WmConfigStore *config = &node->config;

  if (length > WW_MAX_CHUNK &&
      wm_send_available_bytes (node, WM_PRIORITY_CONFIG) < SHARING_MIN_BYTES &&
      node->now_us - config->root_served_us < RECEIVER_IDLE_US &&
      (config->root_receiver.address != from->address || config->root_receiver.port != from->port))
    return FALSE;
  config->root_receiver = *from;
  config->root_served_us = node->now_us;
  return TRUE;
}

static guint
chunk_length (WmNode *node, gsize remaining)
{
  gsize available = wm_send_available_bytes (node, WM_PRIORITY_CONFIG);
  gsize limit = available > CHUNK_OVERHEAD_BYTES ? available - CHUNK_OVERHEAD_BYTES : 0;

  return (guint) MIN (remaining, CLAMP (limit, MIN_CHUNK_BYTES, WW_MAX_CHUNK));
}

void
wm_steps_serve (WmNode *node, const WmAddress *from, guint32 xid, const ww_root_fetch *request)
{
  WwCall call = { .xid = xid, .is_reply = TRUE };
  ww_root_chunk chunk = { .root_version = request->root_version, .offset = request->offset };
  const WmStep *step =
      request->root_version == 0 ? first_step (node, request) : continued_step (node, request);
  const guint8 *data = NULL;
  gsize length = 0;

  if (step != NULL)
    {
      data = g_bytes_get_data (step->bytes, &length);
      chunk.root_version = step->version;
      chunk.base_version = step->base_version;
      chunk.hash = step->hash;
    }
  if (request->offset < length && may_serve_to (node, from, length))
    {
      chunk.total = (guint) length;
      chunk.data.data_val = (char *) data + request->offset;
      chunk.data.data_len = chunk_length (node, length - request->offset);
    }
  /* A member that asks for a difference serves clients by an older version meanwhile; one that asks
   * for a whole object has just started and does not serve yet. */
  wm_send (node, request->base_version != 0 ? WM_PRIORITY_CONFIG : WM_PRIORITY_TRANSFER, from,
           &call, xdr_ww_root_chunk, &chunk);
}
