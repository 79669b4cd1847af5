#pragma once

#include <glib.h>

/**
 * DOC: Basic types and functions for all packages: time units, ids, hashing, tables, counters,
 * histograms and logging.
 *
 * Times are microseconds of a monotonic clock in a gint64 whose name ends in _us. The packages that
 * make decisions never read a clock: each function that needs the time gets it as an argument, so
 * that tests and simulations control it.
 */

#define WB_US_PER_MS G_GINT64_CONSTANT (1000)
#define WB_US_PER_S G_GINT64_CONSTANT (1000000)

/** A time that is never reached. */
#define WB_NEVER G_MAXINT64

/**
 * struct WbHandle - reference to a row of a WbTable
 * @index: row number
 * @generation: changes when a row is reused, so that a stale handle is detected; 0 is never valid
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
 * @seed: selects one of several independent hash functions
 *
 * The value must stay the same across processes and versions, because member ids and the ranking of
 * endpoints depend on it.
 */
guint64 wb_hash64 (gconstpointer data, gsize length, guint64 seed);

/**
 * wb_name_id() - id of a named entity (service, member, tenant, availability zone)
 * @name: nul-terminated name
 */
guint64 wb_name_id (const gchar *name);
