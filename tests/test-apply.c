#include "wc-load.h"
#include "ws-apply.h"

#include <string.h>

#define TIMEOUT_US (30 * WB_US_PER_S)
#define SERVICE                                                                                    \
  "[[service]]\nname = \"desk\"\naddress = \"198.51.100.1\"\nports = [{ port = 80 }]\n"

#define OTHER_SERVICE                                                                              \
  "[[service]]\nname = \"sheets\"\naddress = \"198.51.100.2\"\nports = [{ port = 80 }]\n"

/*
 * FAULT_REFUSED: the call has no effect, and the caller gets an error that says so
 * FAULT_DROPPED: the call has no effect, but the caller cannot know it
 * FAULT_LOST: the call takes effect, but the response is lost
 * FAULT_DELAYED: the response is lost, and the write takes effect only after the next call
 * FAULT_RACE: another operator applies a configuration just before the call
 */
typedef enum
{
  FAULT_NONE,
  FAULT_REFUSED,
  FAULT_DROPPED,
  FAULT_LOST,
  FAULT_DELAYED,
  FAULT_RACE,
  N_FAULTS,
} Fault;

/* A simulated object store with faults, the call that waits for a response, and the result of the
 * transaction under test. */
typedef struct
{
  GHashTable *objects; /* key to WsObject */
  Fault faults[64];    /* by index of the call */
  Fault outage;        /* of all calls from @outage_from on */
  guint outage_from;
  guint calls;      /* served so far */
  gboolean pending; /* a call waits for its response */
  gchar *key;
  GBytes *value; /* NULL for a read */
  guint64 if_version;
  gchar *delayed_key;
  GBytes *delayed_value;
  guint64 delayed_if_version;
  guint delayed_call;  /* number of calls when the write was delayed */
  guint other_applies; /* applies by the other operator so far */
  guint applies_per_race;
  gboolean finished;
  WsApplyOutcome outcome;
  guint64 version;
  gchar *other_operator;
  gchar *other_apply_id;
} Store;

static void
object_free (gpointer data)
{
  WsObject *object = data;

  g_bytes_unref (object->value);
  g_free (object);
}

static void
store_init (Store *store)
{
  memset (store, 0, sizeof *store);
  store->applies_per_race = 1;
  store->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
}

static void
store_clear (Store *store)
{
  g_hash_table_unref (store->objects);
  g_free (store->key);
  g_clear_pointer (&store->value, g_bytes_unref);
  g_free (store->delayed_key);
  g_clear_pointer (&store->delayed_value, g_bytes_unref);
  g_free (store->other_operator);
  g_free (store->other_apply_id);
}

static WcRoot *
stored_root (Store *store)
{
  const WsObject *object = g_hash_table_lookup (store->objects, WS_KEY_ROOT);

  return object != NULL ? wc_root_parse (object->value, NULL) : NULL;
}

/* A stored root must list only parts that the store has. */
static void
check_root_complete (Store *store)
{
  WcRoot *root = stored_root (store);
  guint i;

  g_assert_nonnull (root);
  for (i = 0; i < root->hashes->len; i++)
    {
      g_autofree gchar *key = g_strconcat (WS_KEY_PARTS, g_ptr_array_index (root->hashes, i), NULL);

      g_assert_true (g_hash_table_contains (store->objects, key));
    }
  wc_root_free (root);
}

/* Returns the new version of the object, or 0 when its version is not @if_version. */
static guint64
store_write (Store *store, const gchar *key, GBytes *value, guint64 if_version)
{
  WsObject *object = g_hash_table_lookup (store->objects, key);

  if ((object != NULL ? object->version : 0) != if_version)
    return 0;
  if (object == NULL)
    {
      object = g_new0 (WsObject, 1);
      g_hash_table_insert (store->objects, g_strdup (key), object);
    }
  else
    g_bytes_unref (object->value);
  object->value = g_bytes_ref (value);
  object->version = if_version + 1;
  if (strcmp (key, WS_KEY_ROOT) == 0)
    check_root_complete (store);
  return object->version;
}

static void
apply_by_other_operator (Store *store)
{
  g_autofree gchar *text = g_strdup_printf (SERVICE "slots = %u\n", 20 + store->other_applies);
  g_autofree gchar *apply_id = g_strdup_printf ("other-%u", store->other_applies++);
  g_autoptr (WcConfig) config = wc_load_text ("t.toml", text, NULL);
  WcParts *parts = wc_parts_encode (config, NULL);
  const WsObject *object = g_hash_table_lookup (store->objects, WS_KEY_ROOT);
  WcRoot *previous = stored_root (store);
  WcRoot *root = wc_root_new (previous, apply_id, "ion", parts);
  g_autoptr (GBytes) bytes = wc_root_encode (root, NULL);
  guint i;

  for (i = 0; i < parts->hashes->len; i++)
    {
      const gchar *hash = g_ptr_array_index (parts->hashes, i);
      g_autofree gchar *key = g_strconcat (WS_KEY_PARTS, hash, NULL);

      store_write (store, key, g_hash_table_lookup (parts->bodies, hash), 0);
    }
  g_assert_cmpuint (store_write (store, WS_KEY_ROOT, bytes, object != NULL ? object->version : 0),
                    !=, 0);
  wc_root_free (previous);
  wc_root_free (root);
  wc_parts_free (parts);
}

static void
on_get (gpointer context, const gchar *key)
{
  Store *store = context;

  g_assert_false (store->pending);
  store->pending = TRUE;
  g_free (store->key);
  store->key = g_strdup (key);
  g_clear_pointer (&store->value, g_bytes_unref);
}

static void
on_put (gpointer context, const gchar *key, GBytes *value, guint64 if_version)
{
  Store *store = context;

  on_get (context, key);
  store->value = g_bytes_ref (value);
  store->if_version = if_version;
}

static void
on_done (gpointer context, const WsApplyResult *result)
{
  Store *store = context;

  g_assert_false (store->finished);
  store->finished = TRUE;
  store->outcome = result->outcome;
  store->version = result->version;
  g_free (store->other_operator);
  store->other_operator = g_strdup (result->conflicting_apply.operator_name);
  g_free (store->other_apply_id);
  store->other_apply_id = g_strdup (result->conflicting_apply.apply_id);
}

static void
respond_with_error (WsApply *apply, WsError code, gint64 now_us)
{
  g_autoptr (GError) error = g_error_new_literal (WS_ERROR, (gint) code, "fault");

  ws_apply_response (apply, NULL, error, now_us);
}

static void
execute_delayed_write (Store *store)
{
  if (store->delayed_key != NULL)
    store_write (store, store->delayed_key, store->delayed_value, store->delayed_if_version);
  g_clear_pointer (&store->delayed_key, g_free);
  g_clear_pointer (&store->delayed_value, g_bytes_unref);
}

static void
execute_read (Store *store, WsApply *apply, Fault fault, gint64 now_us)
{
  const WsObject *object = g_hash_table_lookup (store->objects, store->key);

  if (fault != FAULT_NONE && fault != FAULT_RACE)
    respond_with_error (apply, WS_ERROR_UNREACHABLE, now_us);
  else if (object == NULL)
    respond_with_error (apply, WS_ERROR_NOT_FOUND, now_us);
  else
    {
      WsObject copy = { .version = object->version, .value = g_bytes_ref (object->value) };

      ws_apply_response (apply, &copy, NULL, now_us);
      g_bytes_unref (copy.value);
    }
}

static void
execute_write (Store *store, WsApply *apply, Fault fault, gint64 now_us)
{
  WsObject written = { 0 };

  if (fault == FAULT_REFUSED)
    {
      respond_with_error (apply, WS_ERROR_UNREACHABLE, now_us);
      return;
    }
  if (fault == FAULT_DELAYED)
    {
      execute_delayed_write (store);
      store->delayed_call = store->calls;
      store->delayed_key = g_strdup (store->key);
      store->delayed_value = g_bytes_ref (store->value);
      store->delayed_if_version = store->if_version;
    }
  else if (fault != FAULT_DROPPED)
    written.version = store_write (store, store->key, store->value, store->if_version);
  if (fault != FAULT_NONE && fault != FAULT_RACE)
    respond_with_error (apply, WS_ERROR_OUTCOME_UNKNOWN, now_us);
  else if (written.version == 0)
    respond_with_error (apply, WS_ERROR_CONFLICT, now_us);
  else
    ws_apply_response (apply, &written, NULL, now_us);
}

static void
execute_call (Store *store, WsApply *apply, gint64 now_us)
{
  Fault fault =
      store->calls < G_N_ELEMENTS (store->faults) ? store->faults[store->calls] : FAULT_NONE;
  guint i;

  if (store->outage != FAULT_NONE && store->calls >= store->outage_from)
    fault = store->outage;
  store->calls++;
  store->pending = FALSE;
  for (i = 0; fault == FAULT_RACE && i < store->applies_per_race; i++)
    apply_by_other_operator (store);
  if (store->value == NULL)
    execute_read (store, apply, fault, now_us);
  else
    execute_write (store, apply, fault, now_us);
  if (store->calls > store->delayed_call)
    execute_delayed_write (store);
}

/* Runs one apply to its end in virtual time. */
static void
run_apply (Store *store, const WcConfig *config, const gchar *apply_id, guint64 expected)
{
  WcParts *parts = wc_parts_encode (config, NULL);
  WsApplyRequest request = { .parts = parts,
                             .apply_id = apply_id,
                             .operator_name = "ana",
                             .expected_version = expected,
                             .timeout_us = TIMEOUT_US };
  WsApplyCallbacks callbacks = { .context = store, .get = on_get, .put = on_put, .done = on_done };
  WsApply *apply = ws_apply_new (&request, &callbacks, 1);
  gint64 now_us = 0;

  store->finished = FALSE;
  store->calls = 0;
  ws_apply_start (apply, now_us);
  while (!store->finished)
    {
      if (!store->pending)
        {
          g_assert_cmpint (ws_apply_next_us (apply), !=, WB_NEVER);
          now_us = MAX (now_us, ws_apply_next_us (apply));
          ws_apply_tick (apply, now_us);
        }
      else
        execute_call (store, apply, now_us);
      g_assert_cmpint (now_us, <=, TIMEOUT_US);
    }
  ws_apply_free (apply);
  wc_parts_free (parts);
}

static gboolean
root_records_apply (Store *store, const gchar *apply_id)
{
  WcRoot *root = stored_root (store);
  gboolean found = root != NULL && strcmp (root->last_apply.apply_id, apply_id) == 0;
  guint i;

  for (i = 0; root != NULL && i < root->history->len; i++)
    if (strcmp (((WcApplyRecord *) g_ptr_array_index (root->history, i))->apply_id, apply_id) == 0)
      found = TRUE;
  wc_root_free (root);
  return found;
}

/* The reported outcome must match the content of the store. */
static void
check_outcome (Store *store, const gchar *apply_id)
{
  gboolean applied = root_records_apply (store, apply_id);

  switch (store->outcome)
    {
    case WS_APPLY_DONE:
      g_assert_true (applied);
      break;
    case WS_APPLY_UNKNOWN:
      break;
    case WS_APPLY_CONFLICT:
      g_assert_false (applied);
      g_assert_cmpstr (store->other_operator, ==, "ion");
      g_assert_true (g_str_has_prefix (store->other_apply_id, "other-"));
      break;
    case WS_APPLY_UNCHANGED:
    case WS_APPLY_UNREACHABLE:
    case WS_APPLY_FAILED:
      g_assert_false (applied);
      break;
    }
}

typedef struct
{
  WcConfig *first;
  WcConfig *second;
} Configs;

static Configs
load_configs (void)
{
  Configs configs = { wc_load_text ("t.toml", SERVICE, NULL),
                      wc_load_text ("t.toml", SERVICE "slots = 9\n" OTHER_SERVICE, NULL) };

  return configs;
}

static void
clear_configs (Configs *configs)
{
  wc_config_unref (configs->first);
  wc_config_unref (configs->second);
}

/* Creates a store in which version 1 has been applied. */
static void
store_init_with_version_1 (Store *store, const Configs *configs)
{
  store_init (store);
  run_apply (store, configs->first, "first", WS_APPLY_ANY_VERSION);
  g_assert_cmpint (store->outcome, ==, WS_APPLY_DONE);
}

/* Guards against an apply that writes parts which have not changed, and against skipped versions.
 */
static void
test_changed_parts_only (void)
{
  Configs configs = load_configs ();
  Store store;

  store_init_with_version_1 (&store, &configs);
  g_assert_cmpuint (store.version, ==, 1);
  g_assert_cmpuint (store.calls, ==, 5); /* read, 3 parts, root */
  run_apply (&store, configs.second, "second", 1);
  g_assert_cmpint (store.outcome, ==, WS_APPLY_DONE);
  g_assert_cmpuint (store.version, ==, 2);
  g_assert_cmpuint (store.calls, ==, 4); /* read, 2 parts, root */
  run_apply (&store, configs.second, "third", WS_APPLY_ANY_VERSION);
  g_assert_cmpint (store.outcome, ==, WS_APPLY_UNCHANGED);
  g_assert_cmpuint (store.calls, ==, 1);
  store_clear (&store);
  clear_configs (&configs);
}

/* Guards against an apply that overwrites a version which its operator has not seen. */
static void
test_expected_version (void)
{
  Configs configs = load_configs ();
  Store store;

  store_init_with_version_1 (&store, &configs);
  apply_by_other_operator (&store);
  run_apply (&store, configs.second, "second", 1);
  g_assert_cmpint (store.outcome, ==, WS_APPLY_CONFLICT);
  g_assert_cmpstr (store.other_operator, ==, "ion");
  g_assert_cmpstr (store.other_apply_id, ==, "other-0");
  store_clear (&store);
  clear_configs (&configs);
}

/* Guards against a wrong outcome, and against a root without its parts, after any one or two
 * faults. */
static void
test_every_pair_of_faults (void)
{
  Configs configs = load_configs ();
  guint i, j, a, b;

  for (i = 0; i < 6; i++)
    for (j = i; j < 10; j++)
      for (a = 1; a < N_FAULTS; a++)
        for (b = FAULT_NONE; b < N_FAULTS; b++)
          {
            Store store;

            store_init_with_version_1 (&store, &configs);
            store.faults[i] = (Fault) a;
            if (j > i)
              store.faults[j] = (Fault) b;
            run_apply (&store, configs.second, "second", WS_APPLY_ANY_VERSION);
            check_outcome (&store, "second");
            g_assert_cmpint (store.outcome, !=, WS_APPLY_UNKNOWN);
            g_assert_cmpint (store.outcome, !=, WS_APPLY_FAILED);
            store_clear (&store);
          }
  clear_configs (&configs);
}

/* Guards against a wrong outcome when the object store fails at any step and remains unreachable,
 * and against an apply that cannot be repeated afterwards. */
static void
test_outage_at_every_step (void)
{
  static const Fault outages[] = { FAULT_REFUSED, FAULT_DROPPED, FAULT_LOST };
  Configs configs = load_configs ();
  guint unknown = 0;
  guint i, k;

  for (i = 0; i < 6; i++)
    for (k = 0; k < G_N_ELEMENTS (outages); k++)
      {
        Store store;

        store_init_with_version_1 (&store, &configs);
        store.outage_from = i;
        store.outage = outages[k];
        run_apply (&store, configs.second, "second", WS_APPLY_ANY_VERSION);
        check_outcome (&store, "second");
        unknown += store.outcome == WS_APPLY_UNKNOWN;
        store.outage = FAULT_NONE;
        run_apply (&store, configs.second, "again", WS_APPLY_ANY_VERSION);
        g_assert_true (store.outcome == WS_APPLY_DONE || store.outcome == WS_APPLY_UNCHANGED);
        g_assert_cmpuint (store.version, ==, 2);
        store_clear (&store);
      }
  /* The write of the root was dropped, or its response lost. */
  g_assert_cmpuint (unknown, ==, 2);
  clear_configs (&configs);
}

/* Guards against a conflict that is reported for an apply which did take effect: its response was
 * lost, and another operator has applied a later version since. */
static void
test_later_apply (void)
{
  Configs configs = load_configs ();
  Store store;

  store_init_with_version_1 (&store, &configs);
  store.faults[3] = FAULT_LOST; /* the write of the root */
  store.faults[4] = FAULT_RACE; /* the read that checks whether it took effect */
  run_apply (&store, configs.second, "second", WS_APPLY_ANY_VERSION);
  g_assert_cmpint (store.outcome, ==, WS_APPLY_DONE);
  g_assert_cmpuint (store.version, ==, 2);
  store_clear (&store);
  clear_configs (&configs);
}

/* Guards against a definite outcome when the response was lost and so many applies followed that
 * the history of the root no longer lists this one. */
static void
test_history_exceeded (void)
{
  Configs configs = load_configs ();
  Store store;

  store_init_with_version_1 (&store, &configs);
  store.faults[3] = FAULT_LOST;
  store.faults[4] = FAULT_RACE;
  store.applies_per_race = WC_ROOT_MAX_HISTORY + 1;
  run_apply (&store, configs.second, "second", WS_APPLY_ANY_VERSION);
  g_assert_cmpint (store.outcome, ==, WS_APPLY_UNKNOWN);
  store_clear (&store);
  clear_configs (&configs);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/apply/plain", test_changed_parts_only);
  g_test_add_func ("/apply/expected-version", test_expected_version);
  g_test_add_func ("/apply/every-pair-of-faults", test_every_pair_of_faults);
  g_test_add_func ("/apply/outage-in-every-step", test_outage_at_every_step);
  g_test_add_func ("/apply/superseded", test_later_apply);
  g_test_add_func ("/apply/forgotten", test_history_exceeded);
  return g_test_run ();
}
