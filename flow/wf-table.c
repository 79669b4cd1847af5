#include "wf-table.h"

#define INDEX_MIN 16
#define NO_POSITION G_MAXUINT32

typedef struct
{
  guint32 hash;
  WbHandle handle; /* generation 0: free */
} IndexSlot;

typedef struct
{
  gint64 due_us;
  WbHandle handle;
} HeapItem;

struct WfTable
{
  WbTable *rows;
  guint64 seed;
  IndexSlot *slots;
  guint32 mask;
  GArray *heap;      /* of HeapItem */
  GArray *positions; /* heap position by row number */
};

WfTable *
wf_table_new (gsize row_size, guint64 seed)
{
  WfTable *table = g_new0 (WfTable, 1);

  table->rows = wb_table_new (row_size);
  table->seed = seed;
  table->slots = g_new0 (IndexSlot, INDEX_MIN);
  table->mask = INDEX_MIN - 1;
  table->heap = g_array_new (FALSE, FALSE, sizeof (HeapItem));
  table->positions = g_array_new (FALSE, FALSE, sizeof (guint32));
  return table;
}

void
wf_table_free (WfTable *table)
{
  if (table == NULL)
    return;
  wb_table_free (table->rows);
  g_free (table->slots);
  g_array_unref (table->heap);
  g_array_unref (table->positions);
  g_free (table);
}

static void
insert_slot (IndexSlot *slots, guint32 mask, IndexSlot slot)
{
  guint32 at = slot.hash & mask;

  while (slots[at].handle.generation != 0)
    at = (at + 1) & mask;
  slots[at] = slot;
}

/* Doubles the index when it is three quarters full. */
static void
grow_index (WfTable *table)
{
  guint32 mask = table->mask * 2 + 1;
  IndexSlot *slots;
  guint32 i;

  if ((guint64) wb_table_count (table->rows) * 4 < (guint64) table->mask * 3)
    return;
  slots = g_new0 (IndexSlot, (gsize) mask + 1);
  for (i = 0; i <= table->mask; i++)
    if (table->slots[i].handle.generation != 0)
      insert_slot (slots, mask, table->slots[i]);
  g_free (table->slots);
  table->slots = slots;
  table->mask = mask;
}

WbHandle
wf_table_add (WfTable *table, const WwFlowKey *key, gpointer *row)
{
  IndexSlot slot;
  gpointer added;
  guint32 none = NO_POSITION;

  grow_index (table);
  slot.hash = (guint32) wb_hash64 (key, sizeof *key, table->seed);
  slot.handle = wb_table_add (table->rows, &added);
  *(WwFlowKey *) added = *key;
  while (table->positions->len <= slot.handle.index)
    g_array_append_val (table->positions, none);
  insert_slot (table->slots, table->mask, slot);
  if (row != NULL)
    *row = added;
  return slot.handle;
}

static gboolean
find_slot (WfTable *table, const WwFlowKey *key, guint32 *found)
{
  guint32 hash = (guint32) wb_hash64 (key, sizeof *key, table->seed);
  guint32 at;

  for (at = hash & table->mask; table->slots[at].handle.generation != 0;
       at = (at + 1) & table->mask)
    {
      if (table->slots[at].hash != hash)
        continue;
      if (!ww_flow_key_equal (wb_table_get (table->rows, table->slots[at].handle), key))
        continue;
      *found = at;
      return TRUE;
    }
  return FALSE;
}

gpointer
wf_table_find (WfTable *table, const WwFlowKey *key, WbHandle *handle)
{
  guint32 at;

  if (!find_slot (table, key, &at))
    return NULL;
  if (handle != NULL)
    *handle = table->slots[at].handle;
  return wb_table_get (table->rows, table->slots[at].handle);
}

gpointer
wf_table_get (WfTable *table, WbHandle handle)
{
  return wb_table_get (table->rows, handle);
}

/* Moves later slots into the gap that a removed slot leaves, so that lookup needs no deleted marks.
 */
static void
remove_slot (WfTable *table, guint32 gap)
{
  guint32 at = gap;

  for (;;)
    {
      guint32 ideal;

      at = (at + 1) & table->mask;
      if (table->slots[at].handle.generation == 0)
        break;
      ideal = table->slots[at].hash & table->mask;
      if (((at - ideal) & table->mask) < ((at - gap) & table->mask))
        continue;
      table->slots[gap] = table->slots[at];
      gap = at;
    }
  table->slots[gap].handle = WB_HANDLE_NONE;
}

void
wf_table_remove (WfTable *table, WbHandle handle)
{
  const WwFlowKey *key = wb_table_get (table->rows, handle);
  guint32 at;

  if (key == NULL)
    return;
  wf_table_set_due (table, handle, WB_NEVER);
  if (find_slot (table, key, &at))
    remove_slot (table, at);
  wb_table_remove (table->rows, handle);
}

gpointer
wf_table_next (WfTable *table, guint32 *cursor, WbHandle *handle)
{
  return wb_table_next (table->rows, cursor, handle);
}

static HeapItem *
item_at (const WfTable *table, guint32 position)
{
  return &g_array_index (table->heap, HeapItem, position);
}

static guint32 *
position_of (const WfTable *table, WbHandle handle)
{
  return &g_array_index (table->positions, guint32, handle.index);
}

static void
put_item (WfTable *table, guint32 position, HeapItem item)
{
  *item_at (table, position) = item;
  *position_of (table, item.handle) = position;
}

static void
sift_up (WfTable *table, guint32 position, HeapItem item)
{
  while (position > 0)
    {
      guint32 parent = (position - 1) / 2;

      if (item_at (table, parent)->due_us <= item.due_us)
        break;
      put_item (table, position, *item_at (table, parent));
      position = parent;
    }
  put_item (table, position, item);
}

static void
sift_down (WfTable *table, guint32 position, HeapItem item)
{
  guint32 count = table->heap->len;

  for (;;)
    {
      guint32 child = position * 2 + 1;

      if (child >= count)
        break;
      if (child + 1 < count && item_at (table, child + 1)->due_us < item_at (table, child)->due_us)
        child++;
      if (item_at (table, child)->due_us >= item.due_us)
        break;
      put_item (table, position, *item_at (table, child));
      position = child;
    }
  put_item (table, position, item);
}

static void
sift_item (WfTable *table, guint32 position, HeapItem item)
{
  if (position > 0 && item_at (table, (position - 1) / 2)->due_us > item.due_us)
    sift_up (table, position, item);
  else
    sift_down (table, position, item);
}

static void
remove_item (WfTable *table, guint32 position)
{
  HeapItem last = *item_at (table, table->heap->len - 1);

  *position_of (table, item_at (table, position)->handle) = NO_POSITION;
  g_array_set_size (table->heap, table->heap->len - 1);
  if (position < table->heap->len)
    sift_item (table, position, last);
}

void
wf_table_set_due (WfTable *table, WbHandle handle, gint64 due_us)
{
  HeapItem item = { due_us, handle };
  guint32 position = *position_of (table, handle);

  if (due_us == WB_NEVER)
    {
      if (position != NO_POSITION)
        remove_item (table, position);
      return;
    }
  if (position == NO_POSITION)
    {
      position = table->heap->len;
      g_array_append_val (table->heap, item);
    }
  sift_item (table, position, item);
}

void
wf_table_advance_due (WfTable *table, WbHandle handle, gint64 due_us)
{
  guint32 position = *position_of (table, handle);

  if (position == NO_POSITION || due_us < item_at (table, position)->due_us)
    wf_table_set_due (table, handle, due_us);
}

gint64
wf_table_next_due (const WfTable *table)
{
  return table->heap->len == 0 ? WB_NEVER : item_at (table, 0)->due_us;
}

gpointer
wf_table_pop_due (WfTable *table, gint64 now_us, WbHandle *handle)
{
  if (wf_table_next_due (table) > now_us || table->heap->len == 0)
    return NULL;
  *handle = item_at (table, 0)->handle;
  remove_item (table, 0);
  return wb_table_get (table->rows, *handle);
}

guint
wf_table_count (const WfTable *table)
{
  return wb_table_count (table->rows);
}

gsize
wf_table_memory (const WfTable *table)
{
  return wb_table_memory (table->rows) + ((gsize) table->mask + 1) * sizeof (IndexSlot) +
         table->heap->len * sizeof (HeapItem) + table->positions->len * sizeof (guint32);
}
