#include "wm-private.h"

#include <zstd.h>

/* Level 1 takes a third of a millisecond for 200 KB on a whole core, and balancers may have a small
 * share of one. Higher levels save little on objects of this kind. */
#define COMPRESSION_LEVEL 1
/* Covers a base and a target of WM_OBJECT_MAX_BYTES each. */
#define WINDOW_LOG 21

G_DEFINE_AUTOPTR_CLEANUP_FUNC (ZSTD_CCtx, ZSTD_freeCCtx)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (ZSTD_DCtx, ZSTD_freeDCtx)

/*
 * Compresses @target. With a @base, which the receiver must have too, the result is the difference
 * between the two: a change of one route among a thousand takes less than 100 bytes.
 */
GBytes *
wm_delta_encode (GBytes *base, GBytes *target)
{
  g_autoptr (ZSTD_CCtx) context = ZSTD_createCCtx ();
  gsize base_length = 0, length;
  const guint8 *prefix = base != NULL ? g_bytes_get_data (base, &base_length) : NULL;
  const guint8 *data = g_bytes_get_data (target, &length);
  gsize capacity = ZSTD_compressBound (length);
  g_autofree guint8 *out = g_malloc (capacity);
  gsize out_length;

  ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
  ZSTD_CCtx_setParameter (context, ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter (context, ZSTD_c_windowLog, WINDOW_LOG);
  if (base_length > 0)
    ZSTD_CCtx_refPrefix (context, prefix, base_length);
  out_length = ZSTD_compress2 (context, out, capacity, data, length);
  /* With a buffer of this size compression fails only when memory is used up. */
  if (ZSTD_isError (out_length))
    g_error ("compression failed: %s", ZSTD_getErrorName (out_length));
  return g_bytes_new (out, out_length);
}

/* Return: NULL when @delta is corrupt, needs another base, or expands to more than @max_length */
GBytes *
wm_delta_apply (GBytes *base, GBytes *delta, gsize max_length)
{
  g_autoptr (ZSTD_DCtx) context = ZSTD_createDCtx ();
  gsize base_length = 0, length;
  const guint8 *prefix = base != NULL ? g_bytes_get_data (base, &base_length) : NULL;
  const guint8 *data = g_bytes_get_data (delta, &length);
  guint64 out_length = ZSTD_getFrameContentSize (data, length);
  g_autofree guint8 *out = NULL;
  gsize written;

  if (out_length == ZSTD_CONTENTSIZE_ERROR || out_length == ZSTD_CONTENTSIZE_UNKNOWN ||
      out_length > max_length)
    return NULL;
  out = g_malloc (out_length + 1);
  ZSTD_DCtx_setParameter (context, ZSTD_d_windowLogMax, WINDOW_LOG);
  if (base_length > 0)
    ZSTD_DCtx_refPrefix (context, prefix, base_length);
  written = ZSTD_decompressDCtx (context, out, out_length, data, length);
  if (ZSTD_isError (written) || written != out_length)
    return NULL;
  return g_bytes_new_take (g_steal_pointer (&out), out_length);
}
