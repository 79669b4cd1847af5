#include "wc-load.h"
#include "wc-parts.h"
#include "ws-watch.h"

#include <string.h>

#define SERVICE                                                                                    \
  "[[service]]\nname = \"desk\"\naddress = \"198.51.100.1\"\nports = [{ port = 80 }]\n"

/* An object store that answers from an idle source, and what the watcher reported. */
typedef struct
{
  GHashTable *objects; /* key to WsObject */
  GPtrArray *pending;  /* of Call */
  guint fail_reads;
  guint part_reads;
  guint writes;
  WsWatcher *watcher;
  GMainLoop *loop;
  guint64 version;
  guint configs;
  guint contacts;
  guint asked;
  gboolean answered;
} World;

typedef struct
{
  World *world;
  gchar *key;
  GBytes *value; /* NULL for reads */
  guint64 version;
  gboolean is_watch;
  guint source;
  WsResponseFunc answer;
  gpointer context;
} Call;

static void
object_free (gpointer data)
{
  WsObject *object = data;

  g_bytes_unref (object->value);
  g_free (object);
}

static void
call_free (gpointer data)
{
  Call *call = data;

  if (call->source != 0)
    g_source_remove (call->source);
  g_clear_pointer (&call->value, g_bytes_unref);
  g_free (call->key);
  g_free (call);
}

static gboolean
store_write (World *world, const gchar *key, GBytes *value, guint64 if_version)
{
  WsObject *object = g_hash_table_lookup (world->objects, key);

  if ((object != NULL ? object->version : 0) != if_version)
    return FALSE;
  object = g_new0 (WsObject, 1);
  object->version = if_version + 1;
  object->value = g_bytes_ref (value);
  g_hash_table_replace (world->objects, g_strdup (key), object);
  return TRUE;
}

static GError *
fail (WsError code)
{
  return g_error_new_literal (WS_ERROR, (gint) code, "fault");
}

static GError *
serve (World *world, const Call *call, WsObject **found)
{
  if (call->value != NULL)
    {
      world->writes++;
      if (!store_write (world, call->key, call->value, call->version))
        return fail (WS_ERROR_CONFLICT);
    }
  else if (world->fail_reads > 0)
    {
      world->fail_reads--;
      return fail (WS_ERROR_UNREACHABLE);
    }
  world->part_reads += g_str_has_prefix (call->key, WS_KEY_PARTS);
  *found = g_hash_table_lookup (world->objects, call->key);
  return *found != NULL ? NULL : fail (WS_ERROR_NOT_FOUND);
}

static gboolean
deliver (gpointer data)
{
  Call *call = data;
  World *world = call->world;
  WsObject *object = g_hash_table_lookup (world->objects, call->key);
  g_autoptr (GError) error = NULL;
  WsObject copy = { 0 };
  guint index;

  /* A watch of the current version stays pending. */
  if (call->is_watch && world->fail_reads == 0 &&
      (object == NULL || object->version <= call->version))
    return G_SOURCE_CONTINUE;
  error = serve (world, call, &object);
  if (error == NULL)
    copy = (WsObject){ .version = object->version,
                       .position = object->version,
                       .value = g_bytes_ref (object->value) };
  call->source = 0;
  g_assert_true (g_ptr_array_find (world->pending, call, &index));
  g_ptr_array_steal_index_fast (world->pending, index);
  call->answer (call->context, error == NULL ? &copy : NULL, error);
  g_clear_pointer (&copy.value, g_bytes_unref);
  call_free (call);
  return G_SOURCE_REMOVE;
}

static Call *
add_call (World *world, const gchar *key, WsResponseFunc answer, gpointer context)
{
  Call *call = g_new0 (Call, 1);

  call->world = world;
  call->key = g_strdup (key);
  call->answer = answer;
  call->context = context;
  call->source = g_timeout_add (1, deliver, call);
  g_ptr_array_add (world->pending, call);
  return call;
}

static void
get (gpointer world, const gchar *key, WsResponseFunc answer, gpointer context)
{
  add_call (world, key, answer, context);
}

static void
put (gpointer world,
     const gchar *key,
     GBytes *value,
     guint64 if_version,
     WsResponseFunc answer,
     gpointer context)
{
  Call *call = add_call (world, key, answer, context);

  call->value = g_bytes_ref (value);
  call->version = if_version;
}

static void
watch (gpointer world,
       const gchar *key,
       guint64 version,
       guint timeout_ms,
       WsResponseFunc answer,
       gpointer context)
{
  Call *call = add_call (world, key, answer, context);

  call->is_watch = TRUE;
  call->version = version;
}

static void
store_free (gpointer context)
{
  World *world = context;

  g_ptr_array_set_size (world->pending, 0);
}

static void
config (gpointer context, guint64 version, GBytes *root, GHashTable *parts)
{
  World *world = context;
  g_autoptr (GError) error = NULL;
  g_autoptr (WcConfig) decoded = wc_parts_decode (root, parts, &error);
  g_autoptr (GPtrArray) hashes = wc_root_part_hashes (&wc_config_format_parts, root);

  g_assert_no_error (error);
  g_assert_cmpuint (decoded->version, ==, version);
  g_assert_cmpuint (g_hash_table_size (parts), ==, hashes->len);
  world->version = version;
  world->configs++;
  g_main_loop_quit (world->loop);
}

static void
contacts (gpointer context, const WcAddress *addresses, guint count)
{
  World *world = context;

  world->contacts = count;
}

static void
asked (gpointer context, gboolean answered)
{
  World *world = context;

  world->asked++;
  world->answered = answered;
  g_main_loop_quit (world->loop);
}

static void
world_init (World *world)
{
  WsStore store = { .context = world, .get = get, .put = put, .watch = watch, .free = store_free };
  WsWatcherCallbacks callbacks = {
    .context = world, .config = config, .contacts = contacts, .read_finished = asked
  };

  memset (world, 0, sizeof *world);
  world->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  world->pending = g_ptr_array_new_with_free_func (call_free);
  world->loop = g_main_loop_new (NULL, FALSE);
  world->watcher = ws_watcher_new (&store, &wc_config_format_parts, NULL, &callbacks, 1);
}

/* Frees the watcher while calls are pending, as a daemon does when it stops. */
static void
world_clear (World *world)
{
  ws_watcher_free (world->watcher);
  g_ptr_array_unref (world->pending);
  g_hash_table_unref (world->objects);
  g_main_loop_unref (world->loop);
}

/* Stores a configuration as the version that follows the one stored. */
static void
store_config (World *world, const gchar *text)
{
  const WsObject *object = g_hash_table_lookup (world->objects, WS_KEY_ROOT);
  WcRoot *previous = object != NULL ? wc_root_parse (object->value, NULL) : NULL;
  g_autoptr (WcConfig) loaded = wc_load_text ("t.toml", text, NULL);
  WcParts *parts = wc_parts_encode (loaded, NULL);
  WcRoot *root = wc_root_new (previous, "apply", "ana", parts);
  g_autoptr (GBytes) bytes = wc_root_encode (root, NULL);
  guint i;

  for (i = 0; i < parts->hashes->len; i++)
    {
      const gchar *hash = g_ptr_array_index (parts->hashes, i);
      g_autofree gchar *key = g_strconcat (WS_KEY_PARTS, hash, NULL);

      store_write (world, key, g_hash_table_lookup (parts->bodies, hash), 0);
    }
  g_assert_true (store_write (world, WS_KEY_ROOT, bytes, object != NULL ? object->version : 0));
  wc_root_free (previous);
  wc_root_free (root);
  wc_parts_free (parts);
}

static void
read_once (World *world)
{
  guint before = world->asked;

  ws_watcher_read (world->watcher);
  while (world->asked == before)
    g_main_loop_run (world->loop);
}

/* Guards against a node that waits for ever at start when there is nothing or no platform. */
static void
test_read (void)
{
  World world;

  world_init (&world);
  read_once (&world);
  g_assert_true (world.answered);
  g_assert_cmpuint (world.configs, ==, 0);
  world.fail_reads = 1;
  read_once (&world);
  g_assert_false (world.answered);
  store_config (&world, SERVICE);
  read_once (&world);
  g_assert_true (world.answered);
  g_assert_cmpuint (world.version, ==, 1);
  world_clear (&world);
}

/* Guards against parts that are fetched again, and against a change or an outage after which the
 * watcher stops following. */
static void
test_watch (void)
{
  World world;

  world_init (&world);
  store_config (&world, SERVICE);
  ws_watcher_set_active (world.watcher, TRUE);
  g_main_loop_run (world.loop);
  g_assert_cmpuint (world.version, ==, 1);
  g_assert_cmpuint (world.part_reads, ==, 3);
  store_config (&world, SERVICE "slots = 5\n");
  g_main_loop_run (world.loop);
  g_assert_cmpuint (world.version, ==, 2);
  g_assert_cmpuint (world.part_reads, ==, 4);
  world.fail_reads = 2;
  store_config (&world, SERVICE "slots = 6\n");
  g_main_loop_run (world.loop);
  g_assert_cmpuint (world.version, ==, 3);
  world_clear (&world);
}

/* Guards against an older version that is reported (R5), and against a fetch of parts that the node
 * has from other members. */
static void
test_known (void)
{
  g_autoptr (WcConfig) loaded = wc_load_text ("t.toml", SERVICE, NULL);
  WcParts *parts = wc_parts_encode (loaded, NULL);
  World world;

  world_init (&world);
  store_config (&world, SERVICE);
  ws_watcher_set_known_config (world.watcher, 1, parts->bodies);
  read_once (&world);
  g_assert_cmpuint (world.configs, ==, 0);
  store_config (&world, SERVICE "slots = 5\n");
  read_once (&world);
  g_assert_cmpuint (world.version, ==, 2);
  g_assert_cmpuint (world.part_reads, ==, 1);
  wc_parts_free (parts);
  world_clear (&world);
}

/* Guards against contacts that are lost, or written although they did not change. */
static void
test_contacts (void)
{
  const WcAddress list[] = { { 0x7f000001, 7001 }, { 0x7f000002, 7001 } };
  World world;
  guint i;

  world_init (&world);
  for (i = 0; i < 3; i++)
    {
      ws_watcher_set_contacts (world.watcher, list, 2);
      while (world.pending->len > 0)
        g_main_context_iteration (NULL, TRUE);
    }
  g_assert_cmpuint (world.writes, ==, 1);
  ws_watcher_set_contacts (world.watcher, list, 1);
  while (world.pending->len > 0)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (world.writes, ==, 2);
  read_once (&world);
  g_assert_cmpuint (world.contacts, ==, 1);
  world_clear (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/watch/read", test_read);
  g_test_add_func ("/watch/watch", test_watch);
  g_test_add_func ("/watch/known", test_known);
  g_test_add_func ("/watch/contacts", test_contacts);
  return g_test_run ();
}
