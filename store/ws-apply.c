#include "ws-apply.h"

#include <string.h>

#define MIN_RETRY_DELAY_US (50 * WB_US_PER_MS)
#define MAX_RETRY_DELAY_US (2 * WB_US_PER_S)

typedef enum
{
  STATE_READ_ROOT,
  STATE_WRITE_PARTS,
  STATE_UPDATE_ROOT,
  STATE_REREAD_ROOT,
  STATE_ENDED,
} State;

struct WsApply
{
  WsApplyCallbacks callbacks;
  const WcParts *parts;
  gchar *apply_id;
  gchar *operator_name;
  guint64 expected_version;
  gint64 timeout_us;
  gint64 deadline_us;
  gint64 retry_us; /* when the call is sent again; WB_NEVER for none */
  WsBackoff backoff;
  State state;
  WcRoot *base; /* root to be replaced; NULL for an empty object store */
  guint64 base_object_version;
  WcRoot *target; /* root to be written */
  GBytes *target_bytes;
  GPtrArray *missing_parts; /* hashes of the parts to write */
  guint next_part;
  gboolean update_unconfirmed; /* an update got no response and may have taken effect */
};

WsApply *
ws_apply_new (const WsApplyRequest *request, const WsApplyCallbacks *callbacks, guint32 seed)
{
  WsApply *apply = g_new0 (WsApply, 1);

  apply->callbacks = *callbacks;
  apply->parts = request->parts;
  apply->apply_id = g_strdup (request->apply_id);
  apply->operator_name = g_strdup (request->operator_name);
  apply->expected_version = request->expected_version;
  apply->timeout_us = request->timeout_us;
  apply->retry_us = WB_NEVER;
  apply->missing_parts = g_ptr_array_new ();
  ws_backoff_init (&apply->backoff, MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US, seed);
  return apply;
}

void
ws_apply_free (WsApply *apply)
{
  if (apply == NULL)
    return;
  ws_backoff_clear (&apply->backoff);
  wc_root_free (apply->base);
  wc_root_free (apply->target);
  g_clear_pointer (&apply->target_bytes, g_bytes_unref);
  g_ptr_array_unref (apply->missing_parts);
  g_free (apply->apply_id);
  g_free (apply->operator_name);
  g_free (apply);
}

static void
finish (WsApply *apply, WsApplyResult *result)
{
  apply->state = STATE_ENDED;
  apply->retry_us = WB_NEVER;
  result->base_version = apply->base != NULL ? apply->base->last_apply.version : 0;
  result->new_parts = apply->missing_parts->len;
  apply->callbacks.done (apply->callbacks.context, result);
}

static void
finish_with_version (WsApply *apply, WsApplyOutcome outcome, guint64 version, const gchar *message)
{
  WsApplyResult result = { .outcome = outcome, .version = version, .message = message };

  finish (apply, &result);
}

/* Nothing was changed, unless an earlier update of the root got no response. */
static void
finish_without_effect (WsApply *apply, WsApplyOutcome outcome, const gchar *message)
{
  finish_with_version (apply, apply->update_unconfirmed ? WS_APPLY_UNKNOWN : outcome, 0, message);
}

static void
finish_with_conflict (WsApply *apply, const WcApplyRecord *conflicting_apply)
{
  g_autofree gchar *message = g_strdup_printf (
      "version %" G_GUINT64_FORMAT " was applied by %s (apply id %s)", conflicting_apply->version,
      conflicting_apply->operator_name, conflicting_apply->apply_id);
  WsApplyResult result = { .outcome = WS_APPLY_CONFLICT,
                           .conflicting_apply = *conflicting_apply,
                           .message = message };

  finish (apply, &result);
}

static void
send_call (WsApply *apply)
{
  const WsApplyCallbacks *callbacks = &apply->callbacks;
  g_autofree gchar *key = NULL;
  const gchar *hash;

  apply->retry_us = WB_NEVER;
  switch (apply->state)
    {
    case STATE_READ_ROOT:
    case STATE_REREAD_ROOT:
      callbacks->get (callbacks->context, WS_KEY_ROOT);
      break;
    case STATE_WRITE_PARTS:
      hash = g_ptr_array_index (apply->missing_parts, apply->next_part);
      key = g_strconcat (WS_KEY_PARTS, hash, NULL);
      callbacks->put (callbacks->context, key, g_hash_table_lookup (apply->parts->bodies, hash), 0);
      break;
    case STATE_UPDATE_ROOT:
      callbacks->put (callbacks->context, WS_KEY_ROOT, apply->target_bytes,
                      apply->base_object_version);
      break;
    case STATE_ENDED:
      break;
    }
}

static void
enter_state (WsApply *apply, State state)
{
  apply->state = state;
  ws_backoff_reset (&apply->backoff);
  send_call (apply);
}

static void
schedule_retry (WsApply *apply, const gchar *message, gint64 now_us)
{
  gint64 retry_us = now_us + ws_backoff_next_us (&apply->backoff);

  if (retry_us < apply->deadline_us)
    apply->retry_us = retry_us;
  else
    finish_without_effect (apply, WS_APPLY_UNREACHABLE, message);
}

/* Parts listed by the base root are in the store, since an apply writes parts before the root. */
static void
list_missing_parts (WsApply *apply)
{
  g_autoptr (GHashTable) stored = g_hash_table_new (g_str_hash, g_str_equal);
  guint i;

  for (i = 0; apply->base != NULL && i < apply->base->hashes->len; i++)
    g_hash_table_add (stored, g_ptr_array_index (apply->base->hashes, i));
  for (i = 0; i < apply->parts->hashes->len; i++)
    if (!g_hash_table_contains (stored, g_ptr_array_index (apply->parts->hashes, i)))
      g_ptr_array_add (apply->missing_parts, g_ptr_array_index (apply->parts->hashes, i));
}

static void
write_next_part (WsApply *apply)
{
  g_autoptr (GError) error = NULL;

  if (apply->next_part < apply->missing_parts->len)
    {
      enter_state (apply, STATE_WRITE_PARTS);
      return;
    }
  apply->target = wc_root_new (apply->base, apply->apply_id, apply->operator_name, apply->parts);
  apply->target_bytes = wc_root_encode (apply->target, &error);
  if (apply->target_bytes != NULL)
    enter_state (apply, STATE_UPDATE_ROOT);
  else
    finish_without_effect (apply, WS_APPLY_FAILED, error->message);
}

static void
process_base_root (WsApply *apply, const WsObject *object)
{
  g_autoptr (GError) error = NULL;
  guint64 version;

  if (object != NULL)
    {
      apply->base = wc_root_parse (object->value, &error);
      apply->base_object_version = object->version;
      if (apply->base == NULL)
        {
          finish_without_effect (apply, WS_APPLY_FAILED, error->message);
          return;
        }
    }
  version = apply->base != NULL ? apply->base->last_apply.version : 0;
  if (apply->expected_version != WS_APPLY_ANY_VERSION && apply->expected_version != version)
    {
      if (apply->base != NULL)
        finish_with_conflict (apply, &apply->base->last_apply);
      else
        finish_without_effect (apply, WS_APPLY_FAILED, "the platform holds no configuration");
      return;
    }
  if (apply->base != NULL && apply->base->digest == apply->parts->digest)
    {
      finish_with_version (apply, WS_APPLY_UNCHANGED, version, "already in effect");
      return;
    }
  list_missing_parts (apply);
  write_next_part (apply);
}

static gboolean
root_lists_this_apply (const WsApply *apply, const WcRoot *root)
{
  guint i;

  if (strcmp (root->last_apply.apply_id, apply->apply_id) == 0)
    return TRUE;
  for (i = 0; i < root->history->len; i++)
    {
      const WcApplyRecord *record = g_ptr_array_index (root->history, i);

      if (strcmp (record->apply_id, apply->apply_id) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Whether the root's history lists every apply since the base. An apply that is not listed then has
 * not taken effect. */
static gboolean
history_covers_base (const WsApply *apply, const WcRoot *root)
{
  guint64 base = apply->base != NULL ? apply->base->last_apply.version : 0;

  return root->last_apply.version - MIN (root->last_apply.version, root->history->len + 1) <= base;
}

static void
process_changed_root (WsApply *apply, const WcRoot *root)
{
  if (root_lists_this_apply (apply, root))
    finish_with_version (apply, WS_APPLY_DONE, apply->target->last_apply.version, "applied");
  else if (history_covers_base (apply, root) || !apply->update_unconfirmed)
    finish_with_conflict (apply, &root->last_apply);
  else
    finish_with_version (
        apply, WS_APPLY_UNKNOWN, 0,
        "too many later applies: the history no longer shows whether this one took effect");
}

/* While the root is unchanged, the update may still take effect. Sending it again is safe: both
 * updates have the same condition, so that only one of them can succeed. */
static void
process_reread_root (WsApply *apply, const WsObject *object)
{
  g_autoptr (GError) error = NULL;
  WcRoot *root;

  if ((object != NULL ? object->version : 0) == apply->base_object_version)
    {
      enter_state (apply, STATE_UPDATE_ROOT);
      return;
    }
  if (object == NULL)
    {
      finish_without_effect (apply, WS_APPLY_FAILED, "the root object has been removed");
      return;
    }
  root = wc_root_parse (object->value, &error);
  if (root != NULL)
    process_changed_root (apply, root);
  else
    finish_without_effect (apply, WS_APPLY_FAILED, error->message);
  wc_root_free (root);
}

static void
process_root (WsApply *apply, const WsObject *object)
{
  if (apply->state == STATE_READ_ROOT)
    process_base_root (apply, object);
  else
    process_reread_root (apply, object);
}

static void
part_stored (WsApply *apply)
{
  apply->next_part++;
  write_next_part (apply);
}

static void
process_error (WsApply *apply, const GError *error, gint64 now_us)
{
  gboolean is_read = apply->state == STATE_READ_ROOT || apply->state == STATE_REREAD_ROOT;

  switch ((WsError) error->code)
    {
    case WS_ERROR_NOT_FOUND:
      if (is_read)
        process_root (apply, NULL);
      else
        finish_without_effect (apply, WS_APPLY_FAILED, error->message);
      break;
    case WS_ERROR_CONFLICT:
      /* The key of a part is the hash of its content, so that an existing part is the same. */
      if (apply->state == STATE_WRITE_PARTS)
        part_stored (apply);
      else
        enter_state (apply, STATE_REREAD_ROOT);
      break;
    case WS_ERROR_OUTCOME_UNKNOWN:
      if (apply->state == STATE_UPDATE_ROOT)
        {
          apply->update_unconfirmed = TRUE;
          apply->state = STATE_REREAD_ROOT;
        }
      schedule_retry (apply, error->message, now_us);
      break;
    case WS_ERROR_UNREACHABLE:
      schedule_retry (apply, error->message, now_us);
      break;
    case WS_ERROR_TOO_LARGE:
    case WS_ERROR_HISTORY_COMPACTED:
    case WS_ERROR_BAD_RESPONSE:
      finish_without_effect (apply, WS_APPLY_FAILED, error->message);
      break;
    }
}

void
ws_apply_start (WsApply *apply, gint64 now_us)
{
  apply->deadline_us = now_us + apply->timeout_us;
  enter_state (apply, STATE_READ_ROOT);
}

void
ws_apply_response (WsApply *apply, const WsObject *object, const GError *error, gint64 now_us)
{
  if (apply->state == STATE_ENDED)
    return;
  if (error != NULL)
    process_error (apply, error, now_us);
  else if (apply->state == STATE_WRITE_PARTS)
    part_stored (apply);
  else if (apply->state == STATE_UPDATE_ROOT)
    finish_with_version (apply, WS_APPLY_DONE, apply->target->last_apply.version, "applied");
  else
    process_root (apply, object);
}

gint64
ws_apply_next_us (const WsApply *apply)
{
  return apply->retry_us;
}

void
ws_apply_tick (WsApply *apply, gint64 now_us)
{
  if (now_us >= apply->retry_us)
    send_call (apply);
}
