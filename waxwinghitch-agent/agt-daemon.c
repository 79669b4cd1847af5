#include "agt.h"

#include "wb-log.h"
#include "wf-search.h"
#include "wf-server.h"

/* Time for which a leaving agent still forwards packets to other endpoints, since balancers that
 * have not learned of its departure still send packets to it. */
#define LEAVE_LINGER_US (3 * WB_US_PER_S)

/* Time between two checks whether the flows of a stopping agent have ended. */
#define STOP_CHECK_US (20 * WB_US_PER_MS)

struct AgtDaemon
{
  WdNode *node;
  WfAgent *agent;
  WfServer *announced_server; /* NULL when the backend server sends no announcements */
  WwPktio *network_io;
  WwPktio *server_io;
  guint64 id;
  guint64 service_id;
  gchar *service_label; /* escaped name of the service */
  guint64 host_id;
  guint32 zone;          /* as in struct ww_member */
  GHashTable *addresses; /* endpoint id to WcAddress */
  gint64 stop_limit_us;
  gint64 leave_linger_us;
  gboolean host_is_drained; /* according to the configuration in effect */
  gboolean draining;
  gboolean evacuated;       /* the availability zone of this endpoint is evacuated */
  gboolean flow_search;     /* the setting */
  gboolean agents_complete; /* the agent knows all agents of the service */
  gboolean usable;          /* announced to the members as a usable endpoint */
  gint64 started_us;        /* start of this process */
  gboolean stopping;
  gint64 stop_deadline_us; /* end of a planned stop, even if flows are left */
  gint64 quit_at_us;
};

static void
send_to_server (gpointer context, const guint8 *packet, gsize length)
{
  AgtDaemon *daemon = context;

  ww_pktio_send (daemon->server_io, packet, length);
}

static void
send_to_client (gpointer context, const guint8 *packet, gsize length)
{
  AgtDaemon *daemon = context;

  ww_pktio_send (daemon->network_io, packet, length);
}

/* Returns an agent of another service, or NULL. */
static const ww_member *
find_other_service_agent (const AgtDaemon *daemon, guint64 endpoint_id)
{
  const ww_member *member = wm_node_find (wd_node_member (daemon->node), endpoint_id);

  return member != NULL && member->role == WW_ROLE_AGENT && member->service_id != daemon->service_id
             ? member
             : NULL;
}

static void
send_to_endpoint (gpointer context, guint64 endpoint_id, const guint8 *data, gsize length)
{
  AgtDaemon *daemon = context;
  const WcAddress *address = g_hash_table_lookup (daemon->addresses, &endpoint_id);
  const ww_member *member = address == NULL ? find_other_service_agent (daemon, endpoint_id) : NULL;

  if (address != NULL)
    wd_node_send_data (daemon->node, address->address, address->port, data, length);
  else if (member != NULL)
    wd_node_send_data (daemon->node, member->address, wm_member_data_port (member), data, length);
}

static guint64
endpoint_service (gpointer context, guint64 endpoint_id)
{
  const ww_member *member = find_other_service_agent (context, endpoint_id);

  return member != NULL ? member->service_id : 0;
}

static void
server_packet_received (gpointer context, const guint8 *packet, gsize length)
{
  AgtDaemon *daemon = context;

  wf_agent_from_server (daemon->agent, packet, length, g_get_monotonic_time ());
}

/* Ignored: the network is used for sending only, since client packets reach the agent through
 * balancers. */
static void
network_packet_received (gpointer context, const guint8 *packet, gsize length)
{
}

static void
data_received (gpointer context, const guint8 *data, gsize length, gint64 now_us)
{
  AgtDaemon *daemon = context;

  wf_agent_receive (daemon->agent, data, length, now_us);
}

static void
add_address (AgtDaemon *daemon, const ww_member *member)
{
  WcAddress *address = g_new0 (WcAddress, 1);

  address->address = member->address;
  address->port = wm_member_data_port (member);
  g_hash_table_insert (daemon->addresses, g_memdup2 (&member->id, sizeof member->id), address);
}

/* Passes on the agents that may be asked for the holder of a flow. Only in a service that is
 * searched do packets go to agents that are not usable endpoints. */
static void
update_search_agents (AgtDaemon *daemon, gint64 now_us)
{
  g_autoptr (GArray) members = wm_node_members (wd_node_member (daemon->node));
  g_autoptr (GArray) ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  guint i;

  if (!daemon->flow_search)
    return;
  for (i = members->len; i > 0; i--)
    {
      const ww_member *member = &g_array_index (members, ww_member, i - 1);

      if (member->role == WW_ROLE_AGENT && member->service_id == daemon->service_id)
        g_array_append_val (ids, member->id);
      else
        g_array_remove_index_fast (members, i - 1);
    }
  for (i = 0; i < members->len && ids->len >= WF_SEARCH_AGENTS_MIN; i++)
    add_address (daemon, &g_array_index (members, ww_member, i));
  daemon->agents_complete = wm_node_members_complete (wd_node_member (daemon->node));
  wf_agent_set_search_agents (daemon->agent, (const guint64 *) (gpointer) ids->data, ids->len,
                              daemon->agents_complete, now_us);
}

static void
log_draining (const AgtDaemon *daemon)
{
  wb_log_info ("draining_changed", WB_NUMBER ("draining", daemon->draining),
               WB_NUMBER ("evacuated", daemon->evacuated),
               WB_NUMBER ("flows", wf_agent_flows_held (daemon->agent)));
}

/* The members are not told: each derives the evacuation of this endpoint from its zone. */
static void
update_evacuated (AgtDaemon *daemon, gint64 now_us)
{
  gboolean evacuated = wm_node_zone_evacuated (wd_node_member (daemon->node), daemon->zone);

  if (evacuated == daemon->evacuated)
    return;
  daemon->evacuated = evacuated;
  log_draining (daemon);
  wf_agent_set_evacuated (daemon->agent, evacuated, now_us);
}

static WfEndpoint
endpoint_from_member (const WmNode *node, const ww_member *member)
{
  WfEndpoint endpoint = { .id = member->id,
                          .incarnation = wm_incarnation_epoch (member->incarnation),
                          .draining = (member->flags & WM_MEMBER_DRAINING) != 0,
                          .suspected = member->state != WW_MEMBER_ALIVE ||
                                       wm_node_zone_lost (node, member->zone),
                          .evacuated = wm_node_zone_evacuated (node, member->zone),
                          .zone = member->zone };

  return endpoint;
}

static void
list_endpoints (gpointer context, guint64 service_id, GArray *endpoints)
{
  const AgtDaemon *daemon = context;
  const WmNode *node = wd_node_member (daemon->node);
  g_autoptr (GArray) members = wm_node_usable_endpoints (node, service_id);
  guint i;

  for (i = 0; i < members->len; i++)
    {
      WfEndpoint endpoint = endpoint_from_member (node, &g_array_index (members, ww_member, i));

      g_array_append_val (endpoints, endpoint);
    }
}

static void
members_changed (gpointer context, gint64 now_us)
{
  AgtDaemon *daemon = context;
  const WmNode *node = wd_node_member (daemon->node);
  g_autoptr (GArray) members = wm_node_usable_endpoints (node, daemon->service_id);
  g_autoptr (GArray) endpoints = g_array_new (FALSE, FALSE, sizeof (WfEndpoint));
  guint i;

  g_hash_table_remove_all (daemon->addresses);
  for (i = 0; i < members->len; i++)
    {
      const ww_member *member = &g_array_index (members, ww_member, i);
      WfEndpoint endpoint = endpoint_from_member (node, member);

      g_array_append_val (endpoints, endpoint);
      add_address (daemon, member);
    }
  wf_agent_set_endpoints (daemon->agent, (const WfEndpoint *) (gpointer) endpoints->data,
                          endpoints->len, now_us);
  update_evacuated (daemon, now_us);
  update_search_agents (daemon, now_us);
}

static gboolean
server_not_ready (const AgtDaemon *daemon)
{
  return daemon->announced_server != NULL &&
         wf_server_state (daemon->announced_server) != WF_SERVER_READY;
}

static void
update_draining (AgtDaemon *daemon, gint64 now_us)
{
  gboolean draining = daemon->host_is_drained || daemon->stopping || server_not_ready (daemon);

  if (draining == daemon->draining)
    return;
  daemon->draining = draining;
  log_draining (daemon);
  wm_node_set_draining (wd_node_member (daemon->node), draining, now_us);
  wf_agent_set_draining (daemon->agent, draining, now_us);
}

/* The endpoint becomes usable once it has a server and the member list. It may become the home of
 * flows that are not in its registry, and needs the members to find their previous home. */
static void
update_usable (AgtDaemon *daemon, gint64 now_us)
{
  gboolean usable = wf_server_state (daemon->announced_server) != WF_SERVER_ABSENT &&
                    wm_node_members_complete (wd_node_member (daemon->node));

  if (usable == daemon->usable)
    return;
  daemon->usable = usable;
  wb_log_info ("presence_changed", WB_NUMBER ("present", usable));
  wm_node_set_server_present (wd_node_member (daemon->node), usable, now_us);
}

/* Each announcement says how long the server stays cold, so the agent's own count of the remaining
 * time cannot drift, and a later announcement may prolong it. */
static void
apply_capacity (AgtDaemon *daemon, gint64 now_us)
{
  wf_agent_set_capacity (daemon->agent, wf_server_slots (daemon->announced_server),
                         wf_server_cold_us (daemon->announced_server), now_us);
}

/* Applies a new state of the server. The agent is updated before the members are told, so that it
 * takes no new flow once the server has received the response to its announcement. */
static void
server_changed (AgtDaemon *daemon, gint64 now_us)
{
  WfServerState state = wf_server_state (daemon->announced_server);

  wb_log_info ("server_changed", WB_TEXT ("server", wf_server_name (daemon->announced_server)),
               WB_TEXT ("state", wf_server_state_name (state)),
               WB_NUMBER ("slots", wf_server_slots (daemon->announced_server)),
               WB_NUMBER ("cold_ms", wf_server_cold_us (daemon->announced_server) / WB_US_PER_MS));
  apply_capacity (daemon, now_us);
  wf_agent_set_server_state (daemon->agent, state, now_us);
  wf_agent_set_flows_complete (
      daemon->agent, wf_server_started_since (daemon->announced_server, daemon->started_us));
  wf_agent_set_server_process (daemon->agent, wf_server_started_us (daemon->announced_server),
                               wf_server_withdrawn (daemon->announced_server));
  update_usable (daemon, now_us);
  update_draining (daemon, now_us);
}

static gboolean
handle_announcement (AgtDaemon *daemon, const WfAnnouncement *announcement, gint64 now_us)
{
  WfAnnouncement dated = *announcement;
  WfAnnouncementResult result;

  dated.age_us = g_get_real_time () - announcement->started_ms * WB_US_PER_MS;
  result = wf_server_announce (daemon->announced_server, &dated, now_us);
  if (result == WF_ANNOUNCEMENT_STALE || result == WF_ANNOUNCEMENT_WRONG_SERVICE)
    wb_log_info ("announcement_ignored", WB_TEXT ("server", announcement->name),
                 WB_NUMBER ("sequence", announcement->sequence),
                 WB_TEXT ("reason", wf_announcement_result_name (result)));
  /* A new server process may have accepted flows between its start and its first announcement. */
  if (result == WF_ANNOUNCEMENT_NEW_PROCESS)
    wf_agent_server_replaced (daemon->agent, wf_server_started_us (daemon->announced_server),
                              now_us);
  if (result == WF_ANNOUNCEMENT_CHANGED || result == WF_ANNOUNCEMENT_NEW_PROCESS)
    server_changed (daemon, now_us);
  else if (result == WF_ANNOUNCEMENT_UNCHANGED)
    apply_capacity (daemon, now_us);
  return result != WF_ANNOUNCEMENT_WRONG_SERVICE;
}

static gboolean
announcement_received (gpointer context, const WdRequest *request, gint64 now_us)
{
  AgtDaemon *daemon = context;

  if (daemon->announced_server == NULL)
    return FALSE;
  if (request->kind == WD_REQUEST_ANNOUNCE)
    return handle_announcement (daemon, &request->announcement, now_us);
  if (wf_server_withdraw (daemon->announced_server, request->announcement.name,
                          request->announcement.started_ms))
    server_changed (daemon, now_us);
  return TRUE;
}

static void
config_changed (gpointer context, WcConfig *config, gint64 now_us)
{
  AgtDaemon *daemon = context;

  wf_agent_set_config (daemon->agent, config, now_us);
  daemon->host_is_drained = wc_config_host_is_drained (config, daemon->host_id);
  update_draining (daemon, now_us);
}

/* A stopping agent leaves the members when its flows have ended, or at the deadline. It stays a
 * member until then, because other members forward packets of its flows to it. For a while after it
 * has left, it hands over or serves the flows of senders that do not know yet. */
static void
continue_stop (AgtDaemon *daemon, gint64 now_us)
{
  guint flows = wf_agent_flows_held (daemon->agent) + wf_agent_flows_waiting (daemon->agent);

  if (!daemon->stopping)
    return;
  if (flows > 0 && now_us < daemon->stop_deadline_us)
    {
      if (daemon->quit_at_us != WB_NEVER)
        daemon->quit_at_us = MAX (daemon->quit_at_us, now_us + STOP_CHECK_US);
      return;
    }
  if (daemon->quit_at_us == WB_NEVER)
    {
      wb_log_info ("leaving", WB_NUMBER ("flows", flows));
      wm_node_leave (wd_node_member (daemon->node), now_us);
      daemon->quit_at_us = now_us + daemon->leave_linger_us;
    }
  if (daemon->quit_at_us <= now_us)
    wd_node_quit (daemon->node);
}

static void
tick (gpointer context, gint64 now_us)
{
  AgtDaemon *daemon = context;

  if (daemon->announced_server != NULL && wf_server_tick (daemon->announced_server, now_us))
    server_changed (daemon, now_us);
  if (daemon->announced_server != NULL)
    update_usable (daemon, now_us);
  if (wm_node_members_complete (wd_node_member (daemon->node)) != daemon->agents_complete)
    update_search_agents (daemon, now_us);
  wf_agent_tick (daemon->agent, now_us);
  continue_stop (daemon, now_us);
}

static gint64
next_us (gpointer context)
{
  AgtDaemon *daemon = context;

  gint64 next = MIN (wf_agent_next_us (daemon->agent), daemon->quit_at_us);

  if (daemon->announced_server != NULL)
    next = MIN (next, wf_server_next_us (daemon->announced_server));
  return next;
}

static void
resumed (gpointer context, gint64 now_us)
{
  AgtDaemon *daemon = context;

  wf_agent_resumed (daemon->agent, now_us);
}

static void
stop_requested (gpointer context, gint64 now_us)
{
  AgtDaemon *daemon = context;

  daemon->stopping = TRUE;
  daemon->stop_deadline_us = now_us + daemon->stop_limit_us;
  update_draining (daemon, now_us);
}

static void
fill_status (gpointer context, ww_status_reply *status)
{
  AgtDaemon *daemon = context;
  const WbCounters *counters = wf_agent_counters (daemon->agent);

  status->flows_held = wf_agent_flows_held (daemon->agent);
  status->flows_waiting = wf_agent_flows_waiting (daemon->agent);
  status->draining = daemon->draining || daemon->evacuated;
  status->refusals = wb_counters_get_by_name (counters, "flow_r3_refused_initial") +
                     wb_counters_get_by_name (counters, "flow_r3_refused_request");
}

static void
append_metrics (gpointer context, GString *text)
{
  AgtDaemon *daemon = context;

  agt_metrics_append (daemon->agent, wd_node_config (daemon->node), daemon->service_label, text);
}

static gboolean
create_node (AgtDaemon *daemon,
             const WcSettings *settings,
             const WdPlatform *platform,
             GError **error)
{
  WdCallbacks callbacks = { .context = daemon,
                            .data_received = data_received,
                            .members_changed = members_changed,
                            .config_changed = config_changed,
                            .tick = tick,
                            .next_us = next_us,
                            .resumed = resumed,
                            .stop_requested = stop_requested,
                            .announcement_received = announcement_received,
                            .fill_status = fill_status,
                            .append_metrics = append_metrics };

  daemon->node = wd_node_new (settings, platform, WW_ROLE_AGENT, &callbacks, error);
  return daemon->node != NULL;
}

AgtDaemon *
agt_daemon_new (const WcSettings *settings, const WdPlatform *platform, GError **error)
{
  AgtDaemon *daemon = g_new0 (AgtDaemon, 1);
  WfCallbacks flow_callbacks = { .context = daemon,
                                 .to_server = send_to_server,
                                 .to_client = send_to_client,
                                 .to_endpoint = send_to_endpoint,
                                 .list_endpoints = list_endpoints,
                                 .endpoint_service = endpoint_service };

  daemon->id = wb_name_id (settings->name);
  daemon->service_id = wb_name_id (settings->service);
  daemon->service_label = g_strescape (settings->service, NULL);
  daemon->host_id = wb_name_id (settings->host);
  daemon->zone = (guint32) wb_name_id (settings->zone);
  daemon->flow_search = settings->flow_search;
  daemon->stop_limit_us = settings->stop_limit_us;
  daemon->leave_linger_us =
      settings->leave_linger_us != 0 ? settings->leave_linger_us : LEAVE_LINGER_US;
  daemon->quit_at_us = WB_NEVER;
  daemon->started_us = g_get_monotonic_time ();
  daemon->addresses = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  daemon->agent = wf_agent_new (daemon->id, daemon->service_id, &flow_callbacks, g_random_int (),
                                g_get_monotonic_time ());
  wf_agent_set_format (daemon->agent, platform->packet_format);
  wf_agent_set_cold_allowance (daemon->agent, settings->cold_overage, settings->cold_slack);
  wf_agent_set_zone (daemon->agent, (guint32) wb_name_id (settings->zone), settings->zone_affinity);
  if (settings->servers_address.port != 0)
    {
      daemon->announced_server = wf_server_new (daemon->service_id, settings->server_interval_us);
      wf_agent_set_server_state (daemon->agent, WF_SERVER_ABSENT, g_get_monotonic_time ());
    }
  if (create_node (daemon, settings, platform, error))
    {
      if (daemon->announced_server != NULL)
        wm_node_set_server_present (wd_node_member (daemon->node), FALSE, g_get_monotonic_time ());
      update_draining (daemon, g_get_monotonic_time ());
      daemon->server_io = wd_pktio_new (&settings->server, platform->packet_format,
                                        server_packet_received, daemon, error);
      if (daemon->server_io != NULL)
        daemon->network_io = wd_pktio_new (&settings->network, platform->packet_format,
                                           network_packet_received, daemon, error);
    }
  if (daemon->network_io != NULL)
    return daemon;
  agt_daemon_free (daemon);
  return NULL;
}

void
agt_daemon_free (AgtDaemon *daemon)
{
  ww_pktio_free (daemon->network_io);
  ww_pktio_free (daemon->server_io);
  wd_node_free (daemon->node);
  wf_agent_free (daemon->agent);
  wf_server_free (daemon->announced_server);
  g_hash_table_unref (daemon->addresses);
  g_free (daemon->service_label);
  g_free (daemon);
}

void
agt_daemon_run (AgtDaemon *daemon)
{
  wd_node_run (daemon->node);
}
