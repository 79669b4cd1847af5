#pragma once

#include "wb-table.h"
#include "ww-flow-key.h"

/**
 * struct WfTable - table of rows found by flow key, each with at most one deadline
 *
 * A row begins with its WwFlowKey. Lookup is by open addressing over handles. Deadlines are in a
 * binary heap; the table stores the heap position of each row, so that the heap has at most one
 * item per row.
 */
typedef struct WfTable WfTable;

/** wf_table_new() - table of rows of @row_size bytes; @seed keeps senders from choosing keys that
 * collide */
WfTable *wf_table_new (gsize row_size, guint64 seed);
void wf_table_free (WfTable *table);

/** wf_table_add() - adds a zeroed row with @key, which must not be in the table */
WbHandle wf_table_add (WfTable *table, const WwFlowKey *key, gpointer *row);

/** wf_table_find() - returns the row of @key, or NULL */
gpointer wf_table_find (WfTable *table, const WwFlowKey *key, WbHandle *handle);

/** wf_table_get() - returns the row of @handle, or NULL when it has been removed */
gpointer wf_table_get (WfTable *table, WbHandle handle);

/** wf_table_remove() - removes the row and its deadline */
void wf_table_remove (WfTable *table, WbHandle handle);

/** wf_table_next() - iterates over the rows, as wb_table_next() does */
gpointer wf_table_next (WfTable *table, guint32 *cursor, WbHandle *handle);

/** wf_table_set_due() - sets the row's deadline; WB_NEVER removes it */
void wf_table_set_due (WfTable *table, WbHandle handle, gint64 due_us);

/** wf_table_advance_due() - sets the row's deadline when @due_us is earlier or no deadline is set
 */
void wf_table_advance_due (WfTable *table, WbHandle handle, gint64 due_us);

/** wf_table_next_due() - returns the earliest deadline, or WB_NEVER */
gint64 wf_table_next_due (const WfTable *table);

/** wf_table_pop_due() - removes the earliest deadline when it is not after @now_us and returns its
 * row */
gpointer wf_table_pop_due (WfTable *table, gint64 now_us, WbHandle *handle);

guint wf_table_count (const WfTable *table);

/** wf_table_memory() - returns the bytes of rows, index and deadlines */
gsize wf_table_memory (const WfTable *table);
