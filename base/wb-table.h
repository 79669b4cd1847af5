#pragma once

#include "wb.h"

/**
 * struct WbTable - growing table of rows of equal size, addressed by handles
 *
 * A handle is valid until its row is removed. A pointer to a row is valid until the next
 * wb_table_add(), which may move the rows.
 */
typedef struct WbTable WbTable;

/** wb_table_new() - an empty table of rows of @row_size bytes */
WbTable *wb_table_new (gsize row_size);
void wb_table_free (WbTable *table);

/**
 * wb_table_add() - adds a zeroed row
 * @row: (out) (optional): the new row
 */
WbHandle wb_table_add (WbTable *table, gpointer *row);

/** wb_table_get() - the row of @handle, or NULL when the row has been removed */
gpointer wb_table_get (WbTable *table, WbHandle handle);

/** wb_table_remove() - removes the row of @handle; a stale handle is ignored */
void wb_table_remove (WbTable *table, WbHandle handle);

/** wb_table_count() - number of rows in use */
guint wb_table_count (const WbTable *table);

/** wb_table_memory() - bytes allocated for rows and their headers */
gsize wb_table_memory (const WbTable *table);

/**
 * wb_table_next() - iterates over the rows in use
 * @cursor: (inout): position; 0 to begin
 * @handle: (out) (optional): handle of the row returned
 *
 * Rows may be removed during the iteration.
 *
 * Return: the next row, or NULL at the end
 */
gpointer wb_table_next (WbTable *table, guint32 *cursor, WbHandle *handle);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WbTable, wb_table_free)
