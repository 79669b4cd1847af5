#include "wm-private.h"

#include "ww-bytes.h"

#include <string.h>

/*
 * A root object lists thousands of hashes, of which a change alters few. The difference is a
 * sequence of records: offset and length of a copy from the base, length of literal bytes, and
 * these bytes; the three numbers are 32 bits, big endian.
 */
#define BLOCK_BYTES 16
#define RECORD_BYTES 12

static void
append_number (GByteArray *out, gsize value)
{
  guint8 number[sizeof (guint32)];

  ww_write_u32 (number, (guint32) value);
  g_byte_array_append (out, number, sizeof number);
}

static GHashTable *
index_blocks (const guint8 *data, gsize length)
{
  GHashTable *blocks = g_hash_table_new (NULL, NULL);
  gsize offset;

  for (offset = 0; offset + BLOCK_BYTES <= length; offset += BLOCK_BYTES)
    g_hash_table_insert (blocks, GSIZE_TO_POINTER (wb_hash64 (data + offset, BLOCK_BYTES, 0)),
                         GSIZE_TO_POINTER (offset + 1));
  return blocks;
}

static gsize
match_length (const guint8 *a, gsize a_length, const guint8 *b, gsize b_length)
{
  gsize limit = MIN (a_length, b_length);
  gsize length = 0;

  while (length < limit && a[length] == b[length])
    length++;
  return length;
}

static void
append_record (
    GByteArray *out, gsize offset, gsize copied, const guint8 *literal, gsize literal_length)
{
  append_number (out, offset);
  append_number (out, copied);
  append_number (out, literal_length);
  g_byte_array_append (out, literal, (guint) literal_length);
}

/* Offset in @base of bytes equal to those at @at, or G_MAXSIZE. After a replaced hash the base
 * usually matches again at the same offset, which the block index finds within one block. */
static gsize
find_copy (GHashTable *blocks, const guint8 *base, const guint8 *at, gsize remaining)
{
  gsize offset;

  if (remaining < BLOCK_BYTES)
    return G_MAXSIZE;
  offset = GPOINTER_TO_SIZE (
      g_hash_table_lookup (blocks, GSIZE_TO_POINTER (wb_hash64 (at, BLOCK_BYTES, 0))));
  if (offset == 0 || memcmp (base + offset - 1, at, BLOCK_BYTES) != 0)
    return G_MAXSIZE;
  return offset - 1;
}

GBytes *
wm_delta_encode (GBytes *base, GBytes *target)
{
  gsize base_length, target_length;
  const guint8 *old = g_bytes_get_data (base, &base_length);
  const guint8 *new = g_bytes_get_data (target, &target_length);
  g_autoptr (GHashTable) blocks = index_blocks (old, base_length);
  GByteArray *out = g_byte_array_new ();
  gsize copy_offset = 0;
  gsize copied = match_length (old, base_length, new, target_length);
  gsize position = copied;
  gsize literal = copied;

  while (position < target_length)
    {
      gsize offset = find_copy (blocks, old, new + position, target_length - position);

      if (offset == G_MAXSIZE)
        {
          position++;
          continue;
        }
      append_record (out, copy_offset, copied, new + literal, position - literal);
      copy_offset = offset;
      copied = match_length (old + offset, base_length - offset, new + position,
                             target_length - position);
      position += copied;
      literal = position;
    }
  append_record (out, copy_offset, copied, new + literal, target_length - literal);
  return g_byte_array_free_to_bytes (out);
}

GBytes *
wm_delta_apply (GBytes *base, GBytes *delta, gsize max_length)
{
  gsize base_length, length;
  const guint8 *old = g_bytes_get_data (base, &base_length);
  const guint8 *data = g_bytes_get_data (delta, &length);
  g_autoptr (GByteArray) out = g_byte_array_new ();

  while (length >= RECORD_BYTES)
    {
      gsize offset = ww_read_u32 (data);
      gsize copied = ww_read_u32 (data + 4);
      gsize literal = ww_read_u32 (data + 8);

      data += RECORD_BYTES;
      length -= RECORD_BYTES;
      if (offset > base_length || copied > base_length - offset || literal > length ||
          copied + literal > max_length - out->len)
        return NULL;
      if (copied > 0)
        g_byte_array_append (out, old + offset, (guint) copied);
      if (literal > 0)
        g_byte_array_append (out, data, (guint) literal);
      data += literal;
      length -= literal;
    }
  return length == 0 ? g_byte_array_free_to_bytes (g_steal_pointer (&out)) : NULL;
}
