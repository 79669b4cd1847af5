#include "wb.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

guint64
wb_hash64 (gconstpointer data, gsize length, guint64 seed)
{
  return XXH3_64bits_withSeed (data, length, seed);
}

guint64
wb_name_id (const gchar *name)
{
  return wb_hash64 (name, strlen (name), 0);
}
