#include "wd-start-object.h"

/* Contacts written to the object store: 16 keep the list useful while hosts are replaced, for
 * processes that do not read the member list. */
#define MAX_CONTACTS 16
/* A fleet whose members change all the time makes one write in this interval. */
#define WRITE_INTERVAL_US (2 * WB_US_PER_S)
/* A new configuration is stored sooner: processes that start after an outage right behind a change
 * would each read it as a whole. */
#define CONFIG_INTERVAL_US (500 * WB_US_PER_MS)
/* The store keeps its history for 20 s, or less. */
#define REFRESH_INTERVAL_US (8 * WB_US_PER_S)
/* Interval of comparing the stored object; 24 watchers, the most that a fleet has, cause 48 reads a
 * minute. */
#define COMPARE_INTERVAL_US (30 * WB_US_PER_S)
/* The first check comes when most members of a fleet that starts at once know each other. */
#define FIRST_CHECK_US (1 * WB_US_PER_S)

struct WdStartObject
{
  WmNode *member;
  WsWatcher *watcher;
  gint64 next_check_us;
  gint64 next_compare_us;
  gint64 last_write_us;
  GBytes *root;           /* of the configuration in effect, or NULL */
  GBytes *config;         /* the same, compressed; NULL until it is stored */
  gboolean config_stored; /* or being written */
  guint32 offered_digest; /* of the member list in the write under way */
  guint32 stored_digest;  /* of the member list stored last; 0 for none */
};

WdStartObject *
wd_start_object_new (WmNode *member, WsWatcher *watcher, gint64 now_us)
{
  WdStartObject *object = g_new0 (WdStartObject, 1);

  object->member = member;
  object->watcher = watcher;
  object->next_check_us = object->next_compare_us = now_us + FIRST_CHECK_US;
  return object;
}

void
wd_start_object_free (WdStartObject *object)
{
  if (object == NULL)
    return;
  g_clear_pointer (&object->root, g_bytes_unref);
  g_clear_pointer (&object->config, g_bytes_unref);
  g_free (object);
}

void
wd_start_object_set_config (WdStartObject *object, GBytes *root, gint64 now_us)
{
  g_clear_pointer (&object->root, g_bytes_unref);
  g_clear_pointer (&object->config, g_bytes_unref);
  object->root = g_bytes_ref (root);
  object->config_stored = FALSE;
  object->next_check_us =
      MIN (object->next_check_us, MAX (now_us, object->last_write_us + CONFIG_INTERVAL_US));
}

void
wd_start_object_store_lost (WdStartObject *object)
{
  object->stored_digest = 0;
  object->next_compare_us = 0;
}

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  const ww_member *left = a;
  const ww_member *right = b;

  return left->id < right->id ? -1 : left->id > right->id;
}

/* All watchers choose the members with the lowest ids, so that they do not overwrite each other's
 * lists. */
static void
choose_contacts (const WmNode *member, WsStart *start)
{
  g_autoptr (GArray) members = wm_node_members (member);
  guint i;

  g_array_sort (members, compare_ids);
  for (i = 0; i < members->len && start->n_contacts < MAX_CONTACTS; i++)
    {
      const ww_member *info = &g_array_index (members, ww_member, i);
      WcAddress *contact = &start->contacts[start->n_contacts];

      if (info->state != WW_MEMBER_ALIVE)
        continue;
      contact->address = info->address;
      contact->port = wm_member_control_port (info);
      start->n_contacts++;
    }
}

static void
on_stored (gpointer context, gboolean stored)
{
  WdStartObject *object = context;

  object->stored_digest = stored ? object->offered_digest : 0;
}

static void
write_object (WdStartObject *object, gboolean refresh, gint64 now_us)
{
  g_autoptr (GBytes) members = wm_node_encode_members (object->member);
  WsStart start = { .members = members };

  if (object->config == NULL && object->root != NULL)
    object->config = wm_config_compress (object->root);
  start.config = object->config;
  choose_contacts (object->member, &start);
  object->offered_digest = wm_node_list_digest (object->member);
  object->config_stored = TRUE;
  object->last_write_us = now_us;
  object->next_compare_us = now_us + COMPARE_INTERVAL_US;
  ws_watcher_set_start (object->watcher, &start, refresh, on_stored, object);
}

static gboolean
write_is_due (const WdStartObject *object, gint64 now_us)
{
  return object->stored_digest != wm_node_list_digest (object->member) || !object->config_stored ||
         now_us >= object->last_write_us + REFRESH_INTERVAL_US;
}

void
wd_start_object_tick (WdStartObject *object, gboolean watching, gint64 now_us)
{
  if (now_us < object->next_check_us)
    return;
  object->next_check_us = now_us + WRITE_INTERVAL_US;
  if (!watching || !wm_node_members_complete (object->member))
    return;
  if (wm_node_writes_members (object->member) && write_is_due (object, now_us))
    write_object (object, TRUE, now_us);
  else if (now_us >= object->next_compare_us)
    write_object (object, FALSE, now_us);
}

gint64
wd_start_object_next_us (const WdStartObject *object)
{
  return object->next_check_us;
}
