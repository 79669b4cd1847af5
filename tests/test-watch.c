#include "wc-load.h"
#include "wc-parts.h"
#include "ws-watch.h"

#include <string.h>

#define SERVICE                                                                                    \
  "[[service]]\nname = \"desk\"\naddress = \"198.51.100.1\"\nports = [{ port = 80 }]\n"

/* A simulated object store, whose calls end in the main loop, and what the watcher reported. */
typedef struct
{
  GHashTable *objects;      /* key to WsObject */
  GPtrArray *pending_calls; /* of Call */
  guint failing_reads;      /* number of next reads that fail */
  WsError read_error;       /* of the reads that fail */
  guint part_reads;
  guint writes;
  guint watch_timeout_ms; /* of the last watch */
  WsWatcher *watcher;
  GMainLoop *loop;
  guint64 version; /* of the last configuration that the watcher reported */
  guint configs_reported;
  guint contact_count;
  GBytes *members; /* member list reported with the contacts, or NULL */
  guint lists_stored;
  guint era_changes;
  guint reads_finished;
  guint calls_failed;
  gint64 retry_us; /* delay after the last failure */
  gboolean platform_reached;
} Fixture;

typedef struct
{
  Fixture *fixture;
  gchar *key;
  GBytes *value;   /* NULL for reads */
  guint64 version; /* condition of a write, or resume position of a watch */
  gboolean is_watch;
  guint source_id;
  WsResponseFunc callback;
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

  if (call->source_id != 0)
    g_source_remove (call->source_id);
  g_clear_pointer (&call->value, g_bytes_unref);
  g_free (call->key);
  g_free (call);
}

static gboolean
store_write (Fixture *fixture, const gchar *key, GBytes *value, guint64 if_version)
{
  WsObject *object = g_hash_table_lookup (fixture->objects, key);

  if ((object != NULL ? object->version : 0) != if_version)
    return FALSE;
  object = g_new0 (WsObject, 1);
  object->version = if_version + 1;
  object->value = g_bytes_ref (value);
  g_hash_table_replace (fixture->objects, g_strdup (key), object);
  return TRUE;
}

static GError *
new_error (WsError code)
{
  return g_error_new_literal (WS_ERROR, (gint) code, "fault");
}

static GError *
execute_call (Fixture *fixture, const Call *call, WsObject **found)
{
  if (call->value != NULL)
    {
      fixture->writes++;
      if (!store_write (fixture, call->key, call->value, call->version))
        return new_error (WS_ERROR_CONFLICT);
    }
  else if (fixture->failing_reads > 0)
    {
      fixture->failing_reads--;
      return new_error (fixture->read_error);
    }
  fixture->part_reads += g_str_has_prefix (call->key, WS_KEY_PARTS);
  *found = g_hash_table_lookup (fixture->objects, call->key);
  return *found != NULL ? NULL : new_error (WS_ERROR_NOT_FOUND);
}

static gboolean
complete_call (gpointer data)
{
  Call *call = data;
  Fixture *fixture = call->fixture;
  WsObject *object = g_hash_table_lookup (fixture->objects, call->key);
  g_autoptr (GError) error = NULL;
  WsObject copy = { 0 };
  guint index;

  /* A watch of the current version stays pending. */
  if (call->is_watch && fixture->failing_reads == 0 &&
      (object == NULL || object->version <= call->version))
    return G_SOURCE_CONTINUE;
  error = execute_call (fixture, call, &object);
  if (error == NULL)
    copy = (WsObject){ .version = object->version,
                       .position = object->version,
                       .value = g_bytes_ref (object->value) };
  call->source_id = 0;
  g_assert_true (g_ptr_array_find (fixture->pending_calls, call, &index));
  g_ptr_array_steal_index_fast (fixture->pending_calls, index);
  call->callback (call->context, error == NULL ? &copy : NULL, error);
  g_clear_pointer (&copy.value, g_bytes_unref);
  call_free (call);
  return G_SOURCE_REMOVE;
}

static Call *
add_call (Fixture *fixture, const gchar *key, WsResponseFunc callback, gpointer context)
{
  Call *call = g_new0 (Call, 1);

  call->fixture = fixture;
  call->key = g_strdup (key);
  call->callback = callback;
  call->context = context;
  call->source_id = g_timeout_add (1, complete_call, call);
  g_ptr_array_add (fixture->pending_calls, call);
  return call;
}

static void
store_get (gpointer fixture, const gchar *key, WsResponseFunc callback, gpointer context)
{
  add_call (fixture, key, callback, context);
}

static void
store_put (gpointer fixture,
           const gchar *key,
           GBytes *value,
           guint64 if_version,
           WsResponseFunc callback,
           gpointer context)
{
  Call *call = add_call (fixture, key, callback, context);

  call->value = g_bytes_ref (value);
  call->version = if_version;
}

static void
store_watch (gpointer fixture,
             const gchar *key,
             guint64 position,
             guint timeout_ms,
             WsResponseFunc callback,
             gpointer context)
{
  Call *call = add_call (fixture, key, callback, context);

  call->is_watch = TRUE;
  call->version = position;
  ((Fixture *) fixture)->watch_timeout_ms = timeout_ms;
}

static void
store_free (gpointer context)
{
  Fixture *fixture = context;

  g_ptr_array_set_size (fixture->pending_calls, 0);
}

static void
on_config (gpointer context, guint64 version, GBytes *root, GHashTable *parts)
{
  Fixture *fixture = context;
  g_autoptr (GError) error = NULL;
  g_autoptr (WcConfig) decoded = wc_parts_decode (root, parts, &error);
  g_autoptr (GPtrArray) hashes = wc_root_part_hashes (&wc_config_format_parts, root);

  g_assert_no_error (error);
  g_assert_cmpuint (decoded->version, ==, version);
  g_assert_cmpuint (g_hash_table_size (parts), ==, hashes->len);
  fixture->version = version;
  fixture->configs_reported++;
  g_main_loop_quit (fixture->loop);
}

static GBytes *
on_start (gpointer context, const WsStart *start, gint64 *check_delay_us)
{
  Fixture *fixture = context;

  fixture->contact_count = start->n_contacts;
  g_clear_pointer (&fixture->members, g_bytes_unref);
  fixture->members = start->members != NULL ? g_bytes_ref (start->members) : NULL;
  return start->config != NULL ? g_bytes_ref (start->config) : NULL;
}

static void
on_era_changed (gpointer context, guint64 previous, guint64 era)
{
  Fixture *fixture = context;

  g_assert_cmpuint (era, >, previous);
  fixture->era_changes++;
}

static void
on_call_failed (gpointer context, const WsCallFailure *failure)
{
  Fixture *fixture = context;

  fixture->calls_failed++;
  fixture->retry_us = failure->retry_us;
}

static void
on_stored (gpointer context, gboolean stored)
{
  Fixture *fixture = context;

  fixture->lists_stored += stored;
}

static void
on_read_finished (gpointer context, gboolean reached)
{
  Fixture *fixture = context;

  fixture->reads_finished++;
  fixture->platform_reached = reached;
  g_main_loop_quit (fixture->loop);
}

static void
fixture_init (Fixture *fixture)
{
  WsStore store = {
    .context = fixture, .get = store_get, .put = store_put, .watch = store_watch, .free = store_free
  };
  WsWatcherCallbacks callbacks = { .context = fixture,
                                   .config = on_config,
                                   .start = on_start,
                                   .era_changed = on_era_changed,
                                   .read_finished = on_read_finished,
                                   .call_failed = on_call_failed };

  memset (fixture, 0, sizeof *fixture);
  fixture->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  fixture->pending_calls = g_ptr_array_new_with_free_func (call_free);
  fixture->loop = g_main_loop_new (NULL, FALSE);
  fixture->watcher = ws_watcher_new (&store, &wc_config_format_parts, &callbacks, 1);
}

/* Frees the watcher before its pending calls, as a daemon does when it stops. */
static void
fixture_clear (Fixture *fixture)
{
  ws_watcher_free (fixture->watcher);
  g_ptr_array_unref (fixture->pending_calls);
  g_hash_table_unref (fixture->objects);
  g_clear_pointer (&fixture->members, g_bytes_unref);
  g_main_loop_unref (fixture->loop);
}

/* Stores a configuration as the next version. */
static void
store_config (Fixture *fixture, const gchar *text)
{
  const WsObject *object = g_hash_table_lookup (fixture->objects, WS_KEY_ROOT);
  WcRoot *previous = object != NULL ? wc_root_parse (object->value, NULL) : NULL;
  g_autoptr (WcConfig) config = wc_load_text ("t.toml", text, NULL);
  WcParts *parts = wc_parts_encode (config, NULL);
  WcRoot *root = wc_root_new (previous, "apply", "ana", parts);
  g_autoptr (GBytes) bytes = wc_root_encode (root, NULL);
  guint i;

  for (i = 0; i < parts->hashes->len; i++)
    {
      const gchar *hash = g_ptr_array_index (parts->hashes, i);
      g_autofree gchar *key = g_strconcat (WS_KEY_PARTS, hash, NULL);

      store_write (fixture, key, g_hash_table_lookup (parts->bodies, hash), 0);
    }
  g_assert_true (store_write (fixture, WS_KEY_ROOT, bytes, object != NULL ? object->version : 0));
  wc_root_free (previous);
  wc_root_free (root);
  wc_parts_free (parts);
}

static void
read_once (Fixture *fixture)
{
  guint before = fixture->reads_finished;

  ws_watcher_read (fixture->watcher);
  while (fixture->reads_finished == before)
    g_main_loop_run (fixture->loop);
}

/* Guards against a node that waits forever at its start when the object store is empty or cannot be
 * reached. */
static void
test_read (void)
{
  Fixture fixture;

  fixture_init (&fixture);
  read_once (&fixture);
  g_assert_true (fixture.platform_reached);
  g_assert_cmpuint (fixture.configs_reported, ==, 0);
  fixture.failing_reads = 1;
  read_once (&fixture);
  g_assert_false (fixture.platform_reached);
  store_config (&fixture, SERVICE);
  read_once (&fixture);
  g_assert_true (fixture.platform_reached);
  g_assert_cmpuint (fixture.version, ==, 1);
  fixture_clear (&fixture);
}

/* Guards against a fetch of parts that have not changed, and against a watcher that stops watching
 * after a change or an outage. */
static void
test_watch (void)
{
  Fixture fixture;

  fixture_init (&fixture);
  store_config (&fixture, SERVICE);
  ws_watcher_set_active (fixture.watcher, TRUE);
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (fixture.version, ==, 1);
  g_assert_cmpuint (fixture.part_reads, ==, 3);
  store_config (&fixture, SERVICE "slots = 5\n");
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (fixture.version, ==, 2);
  g_assert_cmpuint (fixture.part_reads, ==, 4);
  fixture.failing_reads = 2;
  store_config (&fixture, SERVICE "slots = 6\n");
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (fixture.version, ==, 3);
  fixture_clear (&fixture);
}

/* Guards against a configuration in effect too late: after a failure, the next call must not wait
 * for a change. The position may be of content that the store has lost, or the connection silent,
 * and a whole watch would pass before that is noticed. */
static void
test_call_after_failure (void)
{
  Fixture fixture;

  fixture_init (&fixture);
  store_config (&fixture, SERVICE);
  ws_watcher_set_timeout (fixture.watcher, 2000);
  ws_watcher_set_active (fixture.watcher, TRUE);
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (fixture.watch_timeout_ms, ==, 2000);
  fixture.failing_reads = 1;
  while (fixture.failing_reads > 0)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (fixture.calls_failed, ==, 1);
  while (fixture.pending_calls->len == 0)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpuint (fixture.watch_timeout_ms, <=, 1);
  store_config (&fixture, SERVICE "slots = 5\n");
  g_main_loop_run (fixture.loop);
  g_assert_cmpuint (fixture.version, ==, 2);
  g_assert_cmpuint (fixture.watch_timeout_ms, ==, 2000);
  fixture_clear (&fixture);
}

static void
fail_calls (Fixture *fixture, guint count, WsError error)
{
  guint failed = fixture->calls_failed;

  fixture->failing_reads = count;
  fixture->read_error = error;
  while (fixture->calls_failed < failed + count)
    g_main_context_iteration (NULL, TRUE);
}

/* Guards against a configuration in effect too late: when an outage has ended and the store answers
 * that the position is gone, the content is read after the long delay that the outage has led to.
 */
static void
test_delay_after_compaction (void)
{
  const gint64 first_us = 2 * WB_US_PER_MS, longest_us = 64 * WB_US_PER_MS;
  Fixture fixture;

  fixture_init (&fixture);
  ws_watcher_set_backoff (fixture.watcher, first_us, longest_us);
  store_config (&fixture, SERVICE);
  ws_watcher_set_active (fixture.watcher, TRUE);
  g_main_loop_run (fixture.loop);
  fail_calls (&fixture, 8, WS_ERROR_UNREACHABLE);
  g_assert_cmpint (fixture.retry_us, >, first_us);
  fail_calls (&fixture, 1, WS_ERROR_HISTORY_COMPACTED);
  g_assert_cmpint (fixture.retry_us, <=, first_us);
  fixture_clear (&fixture);
}

/* Guards against a reported version that is not newer than the one that the node has from another
 * member, and against a fetch of parts that the node has. */
static void
test_known_config (void)
{
  g_autoptr (WcConfig) config = wc_load_text ("t.toml", SERVICE, NULL);
  WcParts *parts = wc_parts_encode (config, NULL);
  Fixture fixture;

  fixture_init (&fixture);
  store_config (&fixture, SERVICE);
  ws_watcher_set_known_config (fixture.watcher, 1, parts->bodies);
  read_once (&fixture);
  g_assert_cmpuint (fixture.configs_reported, ==, 0);
  store_config (&fixture, SERVICE "slots = 5\n");
  read_once (&fixture);
  g_assert_cmpuint (fixture.version, ==, 2);
  g_assert_cmpuint (fixture.part_reads, ==, 1);
  wc_parts_free (parts);
  fixture_clear (&fixture);
}

static void
set_start (Fixture *fixture, guint n_contacts, GBytes *members, GBytes *config, gboolean refresh)
{
  WsStart start = { .n_contacts = n_contacts, .members = members, .config = config };
  guint i;

  for (i = 0; i < n_contacts; i++)
    start.contacts[i] = (WcAddress){ 0x7f000001 + i, 7001 };
  ws_watcher_set_start (fixture->watcher, &start, refresh, on_stored, fixture);
  while (fixture->pending_calls->len > 0)
    g_main_context_iteration (NULL, TRUE);
}

/* Guards against a contact list that is not stored, or that is written although it has not changed.
 */
static void
test_contacts (void)
{
  g_autoptr (GBytes) members = g_bytes_new_static ("\x01\x00\xff list", 8);
  Fixture fixture;
  guint i;

  fixture_init (&fixture);
  for (i = 0; i < 3; i++)
    set_start (&fixture, 2, members, NULL, FALSE);
  g_assert_cmpuint (fixture.writes, ==, 1);
  g_assert_cmpuint (fixture.lists_stored, ==, 3);
  set_start (&fixture, 1, members, NULL, FALSE);
  g_assert_cmpuint (fixture.writes, ==, 2);
  read_once (&fixture);
  g_assert_cmpuint (fixture.contact_count, ==, 1);
  g_assert_nonnull (fixture.members);
  g_assert_true (g_bytes_equal (fixture.members, members));
  fixture_clear (&fixture);
}

/* Guards against a watcher that does not notice that another one has replaced its list, or that
 * the store has lost it: its next write has to read the stored list again. */
static void
test_contacts_replaced (void)
{
  g_autoptr (GBytes) foreign = g_bytes_new_static ("{\"contacts\":[]}", 15);
  Fixture fixture;

  fixture_init (&fixture);
  set_start (&fixture, 1, NULL, NULL, TRUE);
  g_assert_true (store_write (&fixture, WS_KEY_START, foreign, 1));
  set_start (&fixture, 2, NULL, NULL, TRUE);
  g_assert_cmpuint (fixture.lists_stored, ==, 1);
  set_start (&fixture, 3, NULL, NULL, TRUE);
  g_assert_cmpuint (fixture.lists_stored, ==, 2);
  g_hash_table_remove (fixture.objects, WS_KEY_START);
  set_start (&fixture, 3, NULL, NULL, TRUE);
  g_assert_cmpuint (fixture.lists_stored, ==, 3);
  read_once (&fixture);
  g_assert_cmpuint (fixture.contact_count, ==, 3);
  fixture_clear (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/watch/read", test_read);
  g_test_add_func ("/watch/watch", test_watch);
  g_test_add_func ("/watch/call-after-failure", test_call_after_failure);
  g_test_add_func ("/watch/delay-after-compaction", test_delay_after_compaction);
  g_test_add_func ("/watch/known", test_known_config);
  g_test_add_func ("/watch/contacts", test_contacts);
  g_test_add_func ("/watch/contacts-replaced", test_contacts_replaced);
  return g_test_run ();
}
