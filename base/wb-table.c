#include "wb-table.h"

#include <string.h>

#define FREE_LIST_END G_MAXUINT32

typedef struct
{
  guint32 generation;
  guint32 next_free;
  gboolean in_use;
} RowHeader;

struct WbTable
{
  gsize row_size;
  GArray *headers;
  guint8 *rows;
  gsize capacity;
  guint32 first_free;
  guint count;
};

WbTable *
wb_table_new (gsize row_size)
{
  WbTable *table = g_new0 (WbTable, 1);

  table->row_size = (row_size + 7) & ~(gsize) 7;
  table->headers = g_array_new (FALSE, TRUE, sizeof (RowHeader));
  table->first_free = FREE_LIST_END;
  return table;
}

void
wb_table_free (WbTable *table)
{
  if (table == NULL)
    return;
  g_array_unref (table->headers);
  g_free (table->rows);
  g_free (table);
}

static RowHeader *
header_at (const WbTable *table, guint32 index)
{
  return &g_array_index (table->headers, RowHeader, index);
}

static guint32
append_row (WbTable *table)
{
  RowHeader header = { .generation = 0, .next_free = FREE_LIST_END, .in_use = FALSE };

  if (table->headers->len == table->capacity)
    {
      table->capacity = MAX (16, table->capacity * 2);
      table->rows = g_realloc_n (table->rows, table->capacity, table->row_size);
    }
  g_array_append_val (table->headers, header);
  return table->headers->len - 1;
}

WbHandle
wb_table_add (WbTable *table, gpointer *row)
{
  WbHandle handle;
  RowHeader *header;
  gpointer data;

  if (table->first_free != FREE_LIST_END)
    {
      handle.index = table->first_free;
      table->first_free = header_at (table, handle.index)->next_free;
    }
  else
    handle.index = append_row (table);

  header = header_at (table, handle.index);
  header->in_use = TRUE;
  header->generation++;
  if (header->generation == 0)
    header->generation = 1;
  handle.generation = header->generation;
  table->count++;

  data = table->rows + (gsize) handle.index * table->row_size;
  memset (data, 0, table->row_size);
  if (row != NULL)
    *row = data;
  return handle;
}

gpointer
wb_table_get (WbTable *table, WbHandle handle)
{
  const RowHeader *header;

  if (handle.generation == 0 || handle.index >= table->headers->len)
    return NULL;
  header = header_at (table, handle.index);
  if (!header->in_use || header->generation != handle.generation)
    return NULL;
  return table->rows + (gsize) handle.index * table->row_size;
}

void
wb_table_remove (WbTable *table, WbHandle handle)
{
  RowHeader *header;

  if (wb_table_get (table, handle) == NULL)
    return;
  header = header_at (table, handle.index);
  header->in_use = FALSE;
  header->next_free = table->first_free;
  table->first_free = handle.index;
  table->count--;
}

guint
wb_table_count (const WbTable *table)
{
  return table->count;
}

gsize
wb_table_memory (const WbTable *table)
{
  return table->capacity * table->row_size + table->headers->len * sizeof (RowHeader);
}

gpointer
wb_table_next (WbTable *table, guint32 *cursor, WbHandle *handle)
{
  while (*cursor < table->headers->len)
    {
      guint32 index = (*cursor)++;
      const RowHeader *header = header_at (table, index);

      if (!header->in_use)
        continue;
      if (handle != NULL)
        *handle = (WbHandle){ index, header->generation };
      return table->rows + (gsize) index * table->row_size;
    }
  return NULL;
}
