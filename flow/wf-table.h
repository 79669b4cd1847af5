#pragma once

#include "wb-table.h"
#include "ww-flow-key.h"

/**
 * struct WfTable - rows found by flow key, each with at most one deadline
 *
 * A row begins with its WwFlowKey. Lookup is by open addressing over handles; deadlines are in a
 * binary heap that knows each row's position, so that it never holds more than one item per row.
 */
typedef struct WfTable WfTable;

/** wf_table_new() - rows of @row_size bytes; @seed protects the index against chosen keys */
WfTable *wf_table_new (gsize row_size, guint64 seed);
void wf_table_free (WfTable *table);

/** wf_table_add() - adds a zeroed row with @key, which must not be in the table */
WbHandle wf_table_add (WfTable *table, const WwFlowKey *key, gpointer *row);

/** wf_table_find() - the row of @key, or NULL */
gpointer wf_table_find (WfTable *table, const WwFlowKey *key, WbHandle *handle);

/** wf_table_get() - the row of @handle, or NULL when it has been removed */
gpointer wf_table_get (WfTable *table, WbHandle handle);

/** wf_table_remove() - removes the row and its deadline */
void wf_table_remove (WfTable *table, WbHandle handle);

/** wf_table_next() - walks over the rows, as wb_table_next() does */
gpointer wf_table_next (WfTable *table, guint32 *cursor, WbHandle *handle);

/** wf_table_set_due() - sets the row's deadline; WB_NEVER removes it */
void wf_table_set_due (WfTable *table, WbHandle handle, gint64 due_us);

/** wf_table_advance_due() - sets the row's deadline when it is earlier than the present one */
void wf_table_advance_due (WfTable *table, WbHandle handle, gint64 due_us);

/** wf_table_next_due() - the earliest deadline, or WB_NEVER */
gint64 wf_table_next_due (const WfTable *table);

/** wf_table_pop_due() - removes the earliest deadline when it is not after @now_us and returns its
 * row */
gpointer wf_table_pop_due (WfTable *table, gint64 now_us, WbHandle *handle);

guint wf_table_count (const WfTable *table);

/** wf_table_memory() - bytes of rows, index and deadlines */
gsize wf_table_memory (const WfTable *table);
