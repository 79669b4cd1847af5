#include "wd.h"

#include "wb-log.h"
#include "wd-evacuation.h"
#include "wd-http.h"
#include "wd-member-log.h"
#include "wd-reload.h"
#include "wd-reply.h"
#include "wd-start-object.h"
#include "wd-timer.h"
#include "ws-client.h"
#include "ws-watch.h"
#include "ww-flow-log.h"

#include <signal.h>

#include <glib-unix.h>

#define LOOPBACK_NET 127

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503

/* Interval of reading the platform while no configuration is known. */
#define PLATFORM_READ_INTERVAL_US (1 * WB_US_PER_S)
/* Time for which a process that holds a copy of the configuration waits for the word of members
 * before it asks the platform whether the copy is current. */
#define CHECK_DELAY_US (100 * WB_US_PER_MS)
#define CHECK_SPREAD_PER_MEMBER_US WB_US_PER_MS
/* Log lines about entries of one configuration that could not be understood; the counter has the
 * number of all. */
#define ENTRY_MESSAGES_MAX 8

enum
{
  COUNTER_DATA_REJECTED,
  COUNTER_CONTROL_REJECTED,
  COUNTER_CONTROL_MALFORMED,
  COUNTER_OPERATOR_CALLS,
  COUNTER_PAUSES,
  COUNTER_CONFIG_INVALID,
  COUNTER_CONFIG_OLDER,
  COUNTER_CONFIG_ENTRIES_SKIPPED,
  COUNTER_REQUESTS_INVALID,
  N_COUNTERS,
};

static const WbCounterDef counter_definitions[N_COUNTERS] = {
  { "daemon_data_rejected", "Datagrams on the data address from non-members." },
  { "daemon_control_rejected", "Control messages from non-members." },
  { "daemon_control_malformed", "Control messages that could not be decoded." },
  { "daemon_operator_calls", "Calls of operator commands that were replied to." },
  { "daemon_pauses", "Pauses of the process, detected as gaps of the clock." },
  { "daemon_config_invalid", "Configurations that could not be decoded." },
  { "daemon_config_older", "Configurations ignored because a newer one is in effect." },
  { "daemon_config_entries_skipped", "Entries of configurations, or members of entries, that were "
                                     "left out because they could not be "
                                     "understood." },
  { "daemon_requests_invalid", "HTTP requests that could not be decoded." },
};

struct WdNode
{
  WdCallbacks callbacks;
  const WdPlatform *platform;
  gchar *name;
  ww_role role;
  guint64 id;
  GMainLoop *loop;
  GSource *timer;
  WwSocket *control_socket;
  WwSocket *data_socket;
  WmNode *member;
  WsClient *store_client;
  WsWatcher *watcher;
  WdStartObject *start_object; /* NULL without a watcher */
  WdSnapshots *snapshots;
  WdHttp *http;
  WdReload *reload;
  WcDecoder *decoder;
  WcConfig *config;
  WcConfig *pending_config; /* newest one received while the node is not ready */
  WbCounters *counters;
  gint64 started_us;
  gint64 next_platform_read_us; /* WB_NEVER while no read is due */
  guint64 platform_version;     /* newest version read from the platform */
  gboolean platform_read_ended; /* the first read has ended, successfully or not */
  gboolean has_start_copy;      /* the copy of a configuration in the platform is held */
  gboolean ready;               /* may put configurations from members into effect */
  gboolean watching;            /* this node watches the platform */
  gboolean running;             /* wd_node_run() runs; the daemon may be called */
  gboolean stopping;
  guint signal_sources[2];
  WdMemberLog *member_log;
  WdEvacuation *evacuation; /* NULL without evacuations */
};

static void
member_send (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  WdNode *node = context;

  ww_socket_send (node->control_socket, address, port, data, length);
}

static void
update_watching (WdNode *node)
{
  gboolean active = wm_node_is_watcher (node->member);

  if (node->watcher == NULL || active == node->watching)
    return;
  node->watching = active;
  wb_log_info ("watching_changed", WB_NUMBER ("watching", active));
  ws_watcher_set_active (node->watcher, active);
}

static void
members_changed (gpointer context)
{
  WdNode *node = context;

  if (!node->running)
    return;
  wd_member_log_update (node->member_log);
  update_watching (node);
  wd_evacuation_members_changed (node->evacuation);
  node->callbacks.members_changed (node->callbacks.context, g_get_monotonic_time ());
}

static void
log_skipped_entries (WdNode *node, const WcConfig *config)
{
  guint i;

  if (config->entry_errors == 0)
    return;
  wb_counters_add (node->counters, COUNTER_CONFIG_ENTRIES_SKIPPED, config->entry_errors);
  for (i = 0; i < MIN (config->entry_messages->len, ENTRY_MESSAGES_MAX); i++)
    wb_log_error ("config_entry_skipped", WB_NUMBER ("version", config->version),
                  WB_NUMBER ("entries", config->entry_errors),
                  WB_TEXT ("error", g_ptr_array_index (config->entry_messages, i)));
}

static void
put_config_into_effect (WdNode *node, WcConfig *config)
{
  wc_config_ref (config);
  wc_config_unref (node->config);
  node->config = config;
  wm_node_set_config (node->member, config->version, config->digest);
  log_skipped_entries (node, config);
  wb_log_info ("config_changed", WB_NUMBER ("version", config->version),
               WB_NUMBER ("platform_version", node->platform_version));
  node->callbacks.config_changed (node->callbacks.context, config, g_get_monotonic_time ());
}

static void
put_pending_config_into_effect (WdNode *node)
{
  g_autoptr (WcConfig) config = g_steal_pointer (&node->pending_config);

  put_config_into_effect (node, config);
}

static gboolean
is_newer (WdNode *node, const WcConfig *config)
{
  const WcConfig *newest = node->pending_config != NULL ? node->pending_config : node->config;

  return newest == NULL || config->version > newest->version;
}

static void
config_complete (gpointer context, guint64 version, GBytes *root, GHashTable *parts)
{
  g_autoptr (GError) error = NULL;
  WdNode *node = context;
  g_autoptr (WcConfig) config =
      node->platform->config_format->decode (node->decoder, root, parts, &error);

  if (config == NULL)
    {
      wb_counters_add (node->counters, COUNTER_CONFIG_INVALID, 1);
      wb_log_error ("config_invalid", WB_NUMBER ("version", version),
                    WB_TEXT ("error", error->message));
      return;
    }
  if (!is_newer (node, config))
    {
      wb_counters_add (node->counters, COUNTER_CONFIG_OLDER, 1);
      return;
    }
  if (node->watcher != NULL)
    ws_watcher_set_known_config (node->watcher, config->version, parts);
  if (node->start_object != NULL && node->platform->config_format->has_no_parts)
    wd_start_object_set_config (node->start_object, root, g_get_monotonic_time ());
  if (node->ready || config->version <= node->platform_version)
    {
      put_config_into_effect (node, config);
      return;
    }
  wc_config_unref (node->pending_config);
  node->pending_config = wc_config_ref (config);
}

/* A process accepts only newer configuration versions, also across restarts. A starting node
 * therefore puts no configuration from another member into effect until it has asked the members
 * and the platform for the newest one. The platform's version is always the newest. */
static void
update_ready (WdNode *node)
{
  if (node->ready || (node->watcher != NULL && !node->platform_read_ended && !node->has_start_copy))
    return;
  if (!wd_evacuation_is_settled (node->evacuation))
    return;
  /* A configuration in effect came from the platform, so that the member list is enough. Otherwise
   * the node waits for the versions that its members report. */
  if (!wm_node_ready (node->member) &&
      !(node->config != NULL && wm_node_members_complete (node->member)))
    return;
  node->ready = TRUE;
  wb_log_info (
      "ready", WB_NUMBER ("members", wm_node_count (node->member, WW_MEMBER_ALIVE)),
      WB_NUMBER ("config", node->config != NULL ? node->config->version : 0),
      WB_NUMBER ("pending", node->pending_config != NULL ? node->pending_config->version : 0),
      WB_NUMBER ("platform_version", node->platform_version));
  if (node->pending_config != NULL)
    put_pending_config_into_effect (node);
  if (node->watcher != NULL)
    ws_watcher_end_read (node->watcher);
}

/* Reads the platform for a configuration that has not come from members in time. */
static void
config_overdue (gpointer context, guint64 version)
{
  WmConfigProgress progress;
  WdNode *node = context;

  wm_node_config_progress (node->member, &progress);
  wb_log_info ("config_late", WB_NUMBER ("version", version),
               WB_NUMBER ("config", node->config != NULL ? node->config->version : 0),
               WB_NUMBER ("waited_ms", progress.waited_us / WB_US_PER_MS),
               WB_NUMBER ("received", progress.received_bytes),
               WB_NUMBER ("total", progress.total_bytes), WB_NUMBER ("tries", progress.tries));
  if (node->watcher != NULL)
    ws_watcher_read (node->watcher);
}

static GPtrArray *
root_hashes (gpointer context, GBytes *bytes)
{
  WdNode *node = context;

  return wc_root_part_hashes (node->platform->config_format, bytes);
}

static void
platform_config_read (gpointer context, guint64 version, GBytes *root, GHashTable *parts)
{
  WdNode *node = context;

  node->platform_version = MAX (node->platform_version, version);
  /* The pending configuration came from members. It is no newer than the platform's version, so it
   * may take effect. */
  if (node->pending_config != NULL && node->pending_config->version <= version)
    put_pending_config_into_effect (node);
  wm_node_offer_config (node->member, version, root, parts, g_get_monotonic_time ());
}

static void
add_contact (WdNode *node, const WcAddress *contact)
{
  wm_node_add_contact (node->member, contact->address, contact->port);
}

/* The watchers ask the platform at once whether the copy of the configuration is current. The other
 * processes of a fleet that starts hear it from them: hundreds of processes that each read a
 * configuration that has changed since would take the platform's network half a second. */
static gint64
check_delay (const WdNode *node)
{
  guint members = wm_node_count (node->member, WW_MEMBER_ALIVE);

  if (wm_node_is_watcher (node->member))
    return 0;
  return CHECK_DELAY_US + g_random_int_range (0, (gint32) members + 1) * CHECK_SPREAD_PER_MEMBER_US;
}

/* Holds the copy, so that a newer version comes from members as a difference to it. */
static GBytes *
hold_start_copy (WdNode *node, GBytes *compressed)
{
  g_autoptr (GBytes) root = wm_config_expand (compressed);
  g_autoptr (GHashTable) parts = g_hash_table_new (g_str_hash, g_str_equal);
  WcRoot *parsed = NULL;

  if (root != NULL)
    parsed = node->platform->config_format->parse_root (root, NULL);
  if (parsed == NULL)
    {
      wb_log_error ("config_copy_invalid", WB_NUMBER ("bytes", g_bytes_get_size (compressed)));
      return NULL;
    }
  node->has_start_copy = TRUE;
  wm_node_offer_config (node->member, parsed->last_apply.version, root, parts,
                        g_get_monotonic_time ());
  wc_root_free (parsed);
  return g_steal_pointer (&root);
}

static GBytes *
platform_start_read (gpointer context, const WsStart *start, gint64 *check_delay_us)
{
  WdNode *node = context;
  guint i;

  for (i = 0; i < start->n_contacts; i++)
    add_contact (node, &start->contacts[i]);
  if (start->members != NULL &&
      !wm_node_add_members (node->member, start->members, g_get_monotonic_time ()))
    wb_log_error ("member_list_invalid", WB_NUMBER ("bytes", g_bytes_get_size (start->members)));
  wb_log_info ("start_object_read",
               WB_NUMBER ("alive", wm_node_count (node->member, WW_MEMBER_ALIVE)),
               WB_NUMBER ("has_config", start->config != NULL));
  if (start->config == NULL || !node->platform->config_format->has_no_parts)
    return NULL;
  *check_delay_us = check_delay (node);
  return hold_start_copy (node, start->config);
}

static void
platform_era_changed (gpointer context, guint64 previous, guint64 era)
{
  WdNode *node = context;

  wb_log_info ("store_era_changed", WB_NUMBER ("previous", previous), WB_NUMBER ("era", era),
               WB_NUMBER ("config", node->config != NULL ? node->config->version : 0));
  wd_start_object_store_lost (node->start_object);
}

static void
platform_config_invalid (gpointer context, const GError *error)
{
  WdNode *node = context;

  wb_counters_add (node->counters, COUNTER_CONFIG_INVALID, 1);
  wb_log_error ("config_invalid", WB_NUMBER ("version", 0), WB_TEXT ("error", error->message));
}

static void
platform_call_failed (gpointer context, const WsCallFailure *failure)
{
  WdNode *node = context;

  wb_log_info ("platform_call_failed", WB_TEXT ("call", failure->call),
               WB_TEXT ("error", failure->error->message),
               WB_NUMBER ("waited_ms", failure->duration_us / WB_US_PER_MS),
               WB_NUMBER ("retry_ms", failure->retry_us / WB_US_PER_MS),
               WB_NUMBER ("position", failure->position),
               WB_NUMBER ("config", node->config != NULL ? node->config->version : 0));
}

static void
platform_read_finished (gpointer context, gboolean reached)
{
  WdNode *node = context;

  node->platform_read_ended = TRUE;
  node->next_platform_read_us =
      node->config == NULL ? g_get_monotonic_time () + PLATFORM_READ_INTERVAL_US : WB_NEVER;
  if (!reached)
    wb_log_info ("platform_unreachable", WB_NUMBER ("config_known", node->config != NULL));
}

static void
platform_tick (WdNode *node, gint64 now_us)
{
  if (node->watcher == NULL)
    return;
  if (node->next_platform_read_us <= now_us)
    {
      node->next_platform_read_us = WB_NEVER;
      if (node->config == NULL)
        ws_watcher_read (node->watcher);
    }
  wd_start_object_tick (node->start_object, node->watching, now_us);
}

static void
data_received (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  WdNode *node = context;

  if (!wm_node_is_member (node->member, address))
    {
      wb_counters_add (node->counters, COUNTER_DATA_REJECTED, 1);
      return;
    }
  if (node->callbacks.data_received != NULL)
    node->callbacks.data_received (node->callbacks.context, data, length, g_get_monotonic_time ());
}

static GString *
metrics_text (WdNode *node)
{
  GString *text = g_string_new (NULL);

  wb_counters_append_text (node->counters, text);
  wb_counters_append_text (wm_node_counters (node->member), text);
  wb_histogram_append_type ("member_config_spread_us", text);
  wb_histogram_append_text (wm_node_config_spread (node->member), "member_config_spread_us",
                            "source=\"members\"", text);
  if (node->store_client != NULL)
    wb_counters_append_text (ws_client_counters (node->store_client), text);
  wd_evacuation_append_metrics (node->evacuation, text);
  g_string_append_printf (text, "daemon_datagrams_dropped %" G_GUINT64_FORMAT "\n",
                          ww_socket_send_failures (node->control_socket) +
                              ww_socket_send_failures (node->data_socket));
  g_string_append_printf (text, "# TYPE member_evacuated_zones gauge\nmember_evacuated_zones %u\n",
                          wm_node_evacuation (node->member)->zones.zones_len);
  node->callbacks.append_metrics (node->callbacks.context, text);
  return text;
}

static GByteArray *
status_reply (WdNode *node, guint32 xid)
{
  ww_status_reply status = { 0 };

  status.name = node->name;
  status.id = node->id;
  status.role = node->role;
  status.config_version = node->config != NULL ? node->config->version : 0;
  status.members_alive = wm_node_count (node->member, WW_MEMBER_ALIVE);
  status.members_suspect = wm_node_count (node->member, WW_MEMBER_SUSPECT);
  status.members_dead = wm_node_count (node->member, WW_MEMBER_DEAD);
  status.uptime_ms = (guint64) ((g_get_monotonic_time () - node->started_us) / WB_US_PER_MS);
  node->callbacks.fill_status (node->callbacks.context, &status);
  return wd_reply_status (xid, &status);
}

static GByteArray *
operator_reply (WdNode *node, const WwCall *call, const guint8 *body, gsize length)
{
  GByteArray *reply;
  GString *text;

  if (call->procedure == WW_PROC_STATUS)
    return status_reply (node, call->xid);
  if (call->procedure == WW_PROC_LIST)
    return wd_reply_list (node->snapshots, call->xid, body, length, node->member);
  text = metrics_text (node);
  reply = wd_reply_metrics (node->snapshots, call->xid, body, length, text);
  g_string_free (text, TRUE);
  return reply;
}

static void
operator_call (WdNode *node,
               guint32 address,
               guint16 port,
               const WwCall *call,
               const guint8 *body,
               gsize length)
{
  g_autoptr (GByteArray) reply = operator_reply (node, call, body, length);

  if (reply == NULL)
    {
      wb_counters_add (node->counters, COUNTER_CONTROL_MALFORMED, 1);
      return;
    }
  wb_counters_add (node->counters, COUNTER_OPERATOR_CALLS, 1);
  ww_socket_send (node->control_socket, address, port, reply->data, reply->len);
}

/* Operator commands run on this host or on the host of a member. Calls from other addresses get no
 * reply. */
static gboolean
is_operator_address (const WdNode *node, guint32 address)
{
  return (address >> 24) == LOOPBACK_NET || wm_node_is_member (node->member, address);
}

static void
control_received (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  WdNode *node = context;
  const guint8 *body;
  gsize body_length;
  WwCall call;

  if (!ww_call_decode (data, length, &call, &body, &body_length, NULL))
    {
      wb_counters_add (node->counters, COUNTER_CONTROL_MALFORMED, 1);
      return;
    }
  if (!call.is_reply && wd_reply_is_operator_procedure (call.procedure))
    {
      if (is_operator_address (node, address))
        operator_call (node, address, port, &call, body, body_length);
      else
        wb_counters_add (node->counters, COUNTER_CONTROL_REJECTED, 1);
      return;
    }
  /* The membership protocol checks the source addresses itself, since it lets new members join. */
  if (!wm_node_receive (node->member, address, port, data, length, g_get_monotonic_time ()))
    wb_counters_add (node->counters, COUNTER_CONTROL_MALFORMED, 1);
}

static gint64
timer_next_us (gpointer context)
{
  WdNode *node = context;

  gint64 platform_us = node->watcher != NULL ? MIN (node->next_platform_read_us,
                                                    wd_start_object_next_us (node->start_object))
                                             : WB_NEVER;
  gint64 daemon_us = MIN (node->callbacks.next_us (node->callbacks.context),
                          wd_evacuation_next_us (node->evacuation));

  return MIN (platform_us, MIN (daemon_us, wm_node_next_us (node->member)));
}

static void
timer_tick (gpointer context, gint64 now_us)
{
  WdNode *node = context;

  wb_log_flush ();
  wm_node_tick (node->member, now_us);
  platform_tick (node, now_us);
  wd_evacuation_tick (node->evacuation, now_us);
  update_ready (node);
  node->callbacks.tick (node->callbacks.context, now_us);
}

static void
timer_resumed (gpointer context, gint64 gap_us, gint64 now_us)
{
  WdNode *node = context;

  wb_counters_add (node->counters, COUNTER_PAUSES, 1);
  wb_log_info ("resumed", WB_NUMBER ("gap_ms", gap_us / WB_US_PER_MS));
  wm_node_resumed (node->member, now_us);
  node->callbacks.resumed (node->callbacks.context, now_us);
}

/* The first signal starts a planned stop, a second one ends the process at once. */
static gboolean
signal_received (gpointer context)
{
  WdNode *node = context;

  if (node->stopping)
    {
      wd_node_quit (node);
      return G_SOURCE_CONTINUE;
    }
  node->stopping = TRUE;
  wb_log_info ("stopping", WB_NUMBER ("members", wm_node_count (node->member, WW_MEMBER_ALIVE)));
  node->callbacks.stop_requested (node->callbacks.context, g_get_monotonic_time ());
  return G_SOURCE_CONTINUE;
}

static gboolean
open_sockets (WdNode *node, const WcSettings *settings, GError **error)
{
  node->control_socket = ww_socket_new (settings->control.address, settings->control.port,
                                        control_received, node, error);
  if (node->control_socket == NULL)
    return FALSE;
  node->data_socket =
      ww_socket_new (settings->data.address, settings->data.port, data_received, node, error);
  return node->data_socket != NULL;
}

static void
create_member (WdNode *node, const WcSettings *settings, gint64 now_us)
{
  guint i;
  WmCallbacks callbacks = { .context = node,
                            .send = member_send,
                            .members_changed = members_changed,
                            .config_complete = config_complete,
                            .config_overdue = config_overdue,
                            .root_hashes = root_hashes };
  WmSettings member = {
    .id = node->id,
    .service_id = settings->service != NULL ? wb_name_id (settings->service) : 0,
    .address = settings->control.address,
    .control_port = settings->control.port,
    .data_port = settings->data.port,
    .control_limit = settings->control_bytes_per_s,
    .link_kbps = settings->link_kbps,
    .zone = (guint32) wb_name_id (settings->zone),
    .host = (guint32) wb_name_id (settings->host),
    .role = node->role,
  };

  node->member = wm_node_new (&member, &callbacks, g_random_int (), now_us);
  node->member_log = wd_member_log_new (node->member);
  for (i = 0; i < settings->contacts->len; i++)
    add_contact (node, &g_array_index (settings->contacts, WcAddress, i));
}

static gboolean
open_platform (WdNode *node, const WcSettings *settings, GError **error)
{
  WsWatcherCallbacks callbacks = { .context = node,
                                   .config = platform_config_read,
                                   .start = platform_start_read,
                                   .read_finished = platform_read_finished,
                                   .invalid = platform_config_invalid,
                                   .era_changed = platform_era_changed,
                                   .call_failed = platform_call_failed };
  WsStore store;

  if (settings->platform_url == NULL)
    return TRUE;
  node->store_client = ws_client_new (settings->platform_url, node->platform->object_codec, error);
  if (node->store_client == NULL)
    return FALSE;
  ws_client_set_timeout (node->store_client, WS_DAEMON_CALL_TIMEOUT_MS);
  store = ws_client_store (node->store_client);
  node->watcher =
      ws_watcher_new (&store, node->platform->config_format, &callbacks, g_random_int ());
  ws_watcher_set_timeout (node->watcher,
                          (guint) (settings->platform_watch_timeout_us / WB_US_PER_MS));
  node->start_object = wd_start_object_new (node->member, node->watcher, node->started_us);
  ws_watcher_read (node->watcher);
  return TRUE;
}

/* Contacts and the log level take effect at once, other settings at the next start. */
static void
settings_reloaded (gpointer context, const WcSettings *settings)
{
  WdNode *node = context;
  guint i;

  wb_log_set_level (settings->log_level);
  for (i = 0; i < settings->contacts->len; i++)
    add_contact (node, &g_array_index (settings->contacts, WcAddress, i));
  wb_log_info ("reloaded", WB_NUMBER ("contacts", settings->contacts->len),
               WB_NUMBER ("log_level", settings->log_level));
}

static gboolean
is_ready (WdNode *node)
{
  if (!node->ready || node->config == NULL || node->stopping)
    return FALSE;
  return node->callbacks.is_ready == NULL || node->callbacks.is_ready (node->callbacks.context);
}

static void
handle_announcement (WdNode *node, const WdRequest *request, WdHttpResponse *response)
{
  gboolean accepted = node->callbacks.announcement_received != NULL &&
                      node->callbacks.announcement_received (node->callbacks.context, request,
                                                             g_get_monotonic_time ());

  response->status = accepted ? HTTP_OK : HTTP_UNAVAILABLE;
  response->body = g_string_new ("{}");
}

static void
request_received (gpointer context,
                  const gchar *method,
                  const gchar *path,
                  GBytes *body,
                  WdHttpResponse *response)
{
  g_autoptr (GError) error = NULL;
  g_auto (WdRequest) request = { 0 };
  WdNode *node = context;

  if (!wd_request_decode (node->platform->request_schema, method, path, body, &request, &error))
    {
      wb_counters_add (node->counters, COUNTER_REQUESTS_INVALID, 1);
      wb_log_error ("request_invalid", WB_TEXT ("path", path), WB_TEXT ("error", error->message));
      response->status = HTTP_BAD_REQUEST;
      return;
    }
  switch (request.kind)
    {
    case WD_REQUEST_READINESS:
      response->status = is_ready (node) ? HTTP_OK : HTTP_UNAVAILABLE;
      break;
    case WD_REQUEST_METRICS:
      response->status = HTTP_OK;
      response->type = "text/plain";
      response->body = metrics_text (node);
      break;
    case WD_REQUEST_ANNOUNCE:
    case WD_REQUEST_WITHDRAW:
      handle_announcement (node, &request, response);
      break;
    case WD_REQUEST_UNKNOWN:
    default:
      response->status = HTTP_NOT_FOUND;
      break;
    }
}

static gboolean
open_http (WdNode *node, const WcSettings *settings, GError **error)
{
  const WcAddress *addresses[] = { &settings->readiness_address, &settings->servers_address,
                                   &settings->metrics_address };
  guint i, j;

  for (i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      gboolean already_listening = FALSE;

      for (j = 0; j < i; j++)
        already_listening |= addresses[j]->port == addresses[i]->port &&
                             addresses[j]->address == addresses[i]->address;
      if (addresses[i]->port == 0 || already_listening)
        continue;
      if (node->http == NULL)
        node->http = wd_http_new (request_received, node);
      if (!wd_http_listen (node->http, addresses[i], error))
        return FALSE;
    }
  return TRUE;
}

static void
attach_timer (WdNode *node)
{
  WdTimerCallbacks callbacks = {
    .context = node, .next_us = timer_next_us, .tick = timer_tick, .resumed = timer_resumed
  };

  node->timer = wd_timer_attach (&callbacks);
}

WdNode *
wd_node_new (const WcSettings *settings,
             const WdPlatform *platform,
             ww_role role,
             const WdCallbacks *callbacks,
             GError **error)
{
  g_autoptr (WdNode) node = g_new0 (WdNode, 1);

  node->callbacks = *callbacks;
  node->platform = platform;
  node->name = g_strdup (settings->name);
  node->id = wb_name_id (settings->name);
  node->role = role;
  node->started_us = g_get_monotonic_time ();
  node->next_platform_read_us = WB_NEVER;
  node->counters = wb_counters_new (counter_definitions, N_COUNTERS);
  node->snapshots = wd_snapshots_new ();
  node->decoder = wc_decoder_new ();
  node->loop = g_main_loop_new (NULL, FALSE);
  attach_timer (node);
  if (!open_sockets (node, settings, error) || !open_http (node, settings, error))
    return NULL;
  create_member (node, settings, node->started_us);
  if (!open_platform (node, settings, error))
    return NULL;
  node->evacuation =
      wd_evacuation_new (settings, node->member, node->store_client, node->started_us);
  node->reload = wd_reload_new (settings, role, settings_reloaded, node);
  node->signal_sources[0] = g_unix_signal_add (SIGTERM, signal_received, node);
  node->signal_sources[1] = g_unix_signal_add (SIGINT, signal_received, node);
  return g_steal_pointer (&node);
}

void
wd_node_free (WdNode *node)
{
  guint i;

  if (node == NULL)
    return;
  for (i = 0; i < G_N_ELEMENTS (node->signal_sources); i++)
    if (node->signal_sources[i] != 0)
      g_source_remove (node->signal_sources[i]);
  if (node->timer != NULL)
    {
      g_source_destroy (node->timer);
      g_source_unref (node->timer);
    }
  wd_reload_free (node->reload);
  wd_http_free (node->http);
  wd_evacuation_free (node->evacuation);
  ws_watcher_free (node->watcher);
  wd_start_object_free (node->start_object);
  ww_socket_free (node->control_socket);
  ww_socket_free (node->data_socket);
  wd_member_log_free (node->member_log);
  if (node->member != NULL)
    wm_node_free (node->member);
  wd_snapshots_free (node->snapshots);
  wc_decoder_free (node->decoder);
  wc_config_unref (node->config);
  wc_config_unref (node->pending_config);
  wb_counters_free (node->counters);
  g_main_loop_unref (node->loop);
  g_free (node->name);
  g_free (node);
}

void
wd_node_run (WdNode *node)
{
  gchar id[WW_ID_NAME_BYTES];

  wb_log_info ("started", WB_TEXT ("platform", node->platform->name),
               WB_TEXT ("id", ww_id_name (node->id, id)));
  node->running = TRUE;
  members_changed (node);
  g_main_loop_run (node->loop);
  node->running = FALSE;
  wb_log_info ("stopped", WB_NUMBER ("uptime_ms",
                                     (g_get_monotonic_time () - node->started_us) / WB_US_PER_MS));
}

void
wd_node_quit (WdNode *node)
{
  g_main_loop_quit (node->loop);
}

WmNode *
wd_node_member (WdNode *node)
{
  return node->member;
}

WcConfig *
wd_node_config (WdNode *node)
{
  return node->config;
}

void
wd_node_send_data (WdNode *node, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  ww_socket_send (node->data_socket, address, port, data, length);
}

WwPktio *
wd_pktio_new (const WcPktioSettings *settings,
              const WwPacketFormat *format,
              WwPktioReceiveFunc received,
              gpointer context,
              GError **error)
{
  if (settings->kind == WC_PKTIO_TUN)
    return ww_pktio_new_tun (settings->device, received, context, error);
  if (settings->kind == WC_PKTIO_DIRECT)
    return ww_pktio_new_direct (settings->local.address, settings->local.port, format, received,
                                context, error);
  return ww_pktio_new_udp (settings->local.address, settings->local.port, settings->peer.address,
                           settings->peer.port, received, context, error);
}
