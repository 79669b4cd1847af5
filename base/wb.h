#pragma once

#include <glib.h>

/**
 * DOC: Shared types of the base package.
 *
 * Times are microseconds of a monotonic clock in a gint64 whose name ends in _us. The decision
 * packages never read a clock: every call that needs the time takes it as an argument.
 */

#define WB_US_PER_MS G_GINT64_CONSTANT (1000)
#define WB_US_PER_S G_GINT64_CONSTANT (1000000)

/** A deadline that never comes. */
#define WB_NEVER G_MAXINT64

/**
 * struct WbHandle - reference to a row of a WbTable
 * @index: row number
 * @generation: detects a handle to a row that has been freed and used again; 0 is never valid
 */
typedef struct
{
  guint32 index;
  guint32 generation;
} WbHandle;

#define WB_HANDLE_NONE ((WbHandle){ 0, 0 })

/**
 * wb_hash64() - 64-bit hash of a byte string
 * @data: bytes to hash
 * @length: number of bytes
 * @seed: distinguishes independent hash functions
 *
 * The value is stable across processes and versions: member ids and the ranking of endpoints depend
 * on it.
 */
guint64 wb_hash64 (gconstpointer data, gsize length, guint64 seed);

/**
 * wb_name_id() - id of a named entity (service, member, tenant, availability zone)
 * @name: nul-terminated name
 */
guint64 wb_name_id (const gchar *name);
