#include "wf-private.h"

#include <string.h>

#define DEFAULT_MAX_FLOWS 262144
#define DEFAULT_MAX_REGISTRY 524288
#define DEFAULT_MAX_QUEUED_BYTES ((gsize) 32 << 20)

/* A client's initial window of 10 segments fits with room to spare. */
#define FLOW_QUEUE_PACKETS_MAX 32

/* At each tick a part of the flows is registered again: see REFRESH_TICKS in wf-registration.c. */
#define REFRESH_TICK_US (10 * WB_US_PER_S)

/* Applies until a configuration is known. */
#define DEFAULT_IDLE_TIMEOUT_US (300 * WB_US_PER_S)

WfOptions
wf_options_default (void)
{
  WfOptions options = { .max_flows = DEFAULT_MAX_FLOWS,
                        .max_registry = DEFAULT_MAX_REGISTRY,
                        .max_queued_bytes = DEFAULT_MAX_QUEUED_BYTES };

  return options;
}

void
wf_agent_set_options (WfAgent *agent, const WfOptions *options)
{
  agent->options = *options;
}

gboolean
wf_mechanism_enabled (const WfAgent *agent, WfDisableFlags mechanism)
{
  return (agent->options.disabled & mechanism) == 0;
}

/* Adds the service and the sender to a message of admission and sends it. */
static void
send_peer_message_cb (gpointer context, guint64 endpoint_id, const ww_peer *message)
{
  WfAgent *agent = context;
  ww_peer copy = *message;

  copy.service_id = agent->service_id;
  copy.sender_id = agent->self_id;
  g_byte_array_set_size (agent->datagram, 0);
  if (ww_peer_encode (&copy, agent->datagram))
    agent->callbacks.to_endpoint (agent->callbacks.context, endpoint_id, agent->datagram->data,
                                  agent->datagram->len);
}

static void
add_self (WfAgent *agent)
{
  WfEndpoint self = { .id = agent->self_id, .zone = agent->self_zone };

  if (wf_view_contains (agent, agent->self_id))
    return;
  g_array_append_val (agent->endpoints, self);
  g_array_append_val (agent->endpoint_ids, self.id);
  g_array_append_val (agent->endpoint_zones, self.zone);
}

WfAgent *
wf_agent_new (
    guint64 self_id, guint64 service_id, const WfCallbacks *callbacks, guint32 seed, gint64 now_us)
{
  WfAgent *agent = g_new0 (WfAgent, 1);
  WaCallbacks admission_callbacks = { .context = agent,
                                      .place = wf_placement_place_cb,
                                      .admit = wf_placement_admit_cb,
                                      .refuse = wf_placement_refuse_cb,
                                      .grant = wf_placement_grant_cb,
                                      .send = send_peer_message_cb };

  agent->self_id = self_id;
  agent->service_id = service_id;
  agent->callbacks = *callbacks;
  agent->format = &ww_packet_format_ip;
  agent->options = wf_options_default ();
  agent->random = g_rand_new_with_seed (seed);
  agent->counters = wb_counters_new (wf_counter_definitions, WF_N_COUNTERS);
  agent->admission =
      wa_admission_new (self_id, &admission_callbacks, g_rand_int (agent->random), TRUE, now_us);
  agent->flows = wf_table_new (sizeof (WfFlow), g_rand_int (agent->random));
  agent->registry = wf_table_new (sizeof (WfRegistryEntry), g_rand_int (agent->random));
  agent->endpoints = g_array_new (FALSE, FALSE, sizeof (WfEndpoint));
  agent->endpoint_ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  agent->endpoint_zones = g_array_new (FALSE, FALSE, sizeof (guint32));
  agent->departed_ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  agent->rank_order = g_array_new (FALSE, FALSE, sizeof (guint16));
  agent->ranked_endpoints = g_array_new (FALSE, FALSE, sizeof (WaEndpoint));
  agent->history = wc_history_new ();
  agent->other_services = wf_moved_new_services ();
  agent->batches = g_ptr_array_new_with_free_func (g_free);
  agent->datagram = g_byte_array_sized_new (WW_PACKET_MAX_BYTES + WW_ENCAP_ZONE_BYTES);
  agent->now_us = now_us;
  agent->started_us = now_us;
  agent->joined_us = now_us;
  agent->resumed_us = now_us - WF_RESUME_SETTLE_US;
  agent->endpoints_changed_us = now_us;
  agent->flush_due_us = WB_NEVER;
  agent->moved_repeat_us = WB_NEVER;
  agent->refresh_due_us = now_us + REFRESH_TICK_US;
  add_self (agent);
  wf_locate_init (agent);
  return agent;
}

void
wf_agent_free (WfAgent *agent)
{
  guint32 cursor = 0;
  WfFlow *flow;

  if (agent == NULL)
    return;
  while ((flow = wf_table_next (agent->flows, &cursor, NULL)) != NULL)
    g_clear_pointer (&flow->queue, g_ptr_array_unref);
  wf_locate_clear (agent);
  wa_admission_free (agent->admission);
  wf_table_free (agent->flows);
  wf_table_free (agent->registry);
  g_array_unref (agent->endpoints);
  g_array_unref (agent->endpoint_ids);
  g_array_unref (agent->endpoint_zones);
  g_array_unref (agent->departed_ids);
  g_array_unref (agent->rank_order);
  g_array_unref (agent->ranked_endpoints);
  wc_history_free (agent->history);
  g_hash_table_unref (agent->other_services);
  g_ptr_array_unref (agent->batches);
  g_byte_array_unref (agent->datagram);
  wb_counters_free (agent->counters);
  wc_config_unref (agent->config);
  g_rand_free (agent->random);
  g_free (agent);
}

void
wf_agent_set_zone (WfAgent *agent, guint32 zone, gboolean affinity)
{
  guint i;

  agent->self_zone = zone;
  for (i = 0; i < agent->endpoints->len; i++)
    if (g_array_index (agent->endpoints, WfEndpoint, i).id == agent->self_id)
      {
        g_array_index (agent->endpoints, WfEndpoint, i).zone = zone;
        g_array_index (agent->endpoint_zones, guint32, i) = zone;
      }
  wa_admission_set_zone (agent->admission, affinity ? zone : 0);
}

void
wf_agent_set_format (WfAgent *agent, const WwPacketFormat *format)
{
  agent->format = format;
}

void
wf_agent_set_config (WfAgent *agent, WcConfig *config, gint64 now_us)
{
  guint n_moved_routes = 0;

  agent->now_us = now_us;
  if (agent->config != NULL && config->version < agent->config->version)
    {
      wf_count (agent, WF_COUNTER_CONFIG_OLDER);
      return;
    }
  if (agent->config != NULL)
    n_moved_routes = wc_history_record (agent->history, agent->config, config, now_us);
  wc_config_ref (config);
  agent->service = wc_config_service_by_id (config, agent->service_id);
  wa_admission_set_config (agent->admission, config, agent->service);
  wc_config_unref (agent->config);
  agent->config = config;
  wf_moved_config_changed (agent, n_moved_routes);
}

static gint
compare_endpoints (gconstpointer a, gconstpointer b)
{
  const WfEndpoint *left = a;
  const WfEndpoint *right = b;

  return left->id < right->id ? -1 : left->id > right->id;
}

static void
set_admission_peers (WfAgent *agent)
{
  g_autoptr (GArray) peers = g_array_new (FALSE, FALSE, sizeof (WaEndpoint));
  guint i;

  for (i = 0; i < agent->endpoints->len; i++)
    {
      const WfEndpoint *endpoint = &g_array_index (agent->endpoints, WfEndpoint, i);
      WaEndpoint peer = { .id = endpoint->id,
                          .draining = endpoint->draining,
                          .suspected = endpoint->suspected,
                          .evacuated = endpoint->evacuated,
                          .zone = endpoint->zone };

      if (endpoint->id != agent->self_id)
        g_array_append_val (peers, peer);
    }
  wa_admission_set_peers (agent->admission, (const WaEndpoint *) peers->data, peers->len);
}

void
wf_agent_set_endpoints (WfAgent *agent, const WfEndpoint *endpoints, guint count, gint64 now_us)
{
  g_autoptr (GArray) previous = agent->endpoints;
  g_autoptr (GHashTable) previous_others = NULL;
  guint i;

  agent->now_us = now_us;
  agent->endpoints = g_array_sized_new (FALSE, FALSE, sizeof (WfEndpoint), count);
  g_array_append_vals (agent->endpoints, endpoints, count);
  g_array_set_size (agent->endpoint_ids, 0);
  g_array_set_size (agent->endpoint_zones, 0);
  for (i = 0; i < count; i++)
    {
      g_array_append_val (agent->endpoint_ids, endpoints[i].id);
      g_array_append_val (agent->endpoint_zones, endpoints[i].zone);
    }
  add_self (agent);
  g_array_sort (agent->endpoints, compare_endpoints);
  for (i = 0; i < agent->endpoints->len; i++)
    {
      const WfEndpoint *endpoint = &g_array_index (agent->endpoints, WfEndpoint, i);

      g_array_index (agent->endpoint_ids, guint64, i) = endpoint->id;
      g_array_index (agent->endpoint_zones, guint32, i) = endpoint->zone;
    }
  set_admission_peers (agent);
  agent->endpoints_known = TRUE;
  previous_others = wf_moved_refresh (agent);
  if (!wf_view_same_endpoints (previous, agent->endpoints))
    {
      agent->endpoints_changed_us = now_us;
      wf_view_update_departed (agent, previous);
    }
  else if (previous_others == NULL)
    return;
  wf_registration_endpoints_changed (agent, previous, previous_others);
}

/* Admission hands its queue over while the endpoint takes no new flows. */
static void
update_admission (WfAgent *agent)
{
  wa_admission_set_draining (agent->admission,
                             agent->draining || wf_placement_is_evacuated (agent) ||
                                 agent->server_state != WF_SERVER_READY,
                             agent->now_us);
}

void
wf_agent_set_draining (WfAgent *agent, gboolean draining, gint64 now_us)
{
  agent->now_us = now_us;
  agent->draining = draining;
  update_admission (agent);
}

void
wf_agent_set_evacuated (WfAgent *agent, gboolean evacuated, gint64 now_us)
{
  agent->now_us = now_us;
  if (evacuated == agent->evacuated)
    return;
  agent->evacuated = evacuated;
  update_admission (agent);
  if (wf_placement_is_evacuated (agent))
    wf_placement_evacuate_queue (agent);
}

/* Stops the admission of new flows: admission hands its queue over to peers, and waiting flows are
 * refused when no endpoint takes new flows. */
static void
stop_admission (WfAgent *agent)
{
  guint32 cursor = 0;
  WbHandle handle;
  WfFlow *flow;

  wa_admission_set_draining (agent->admission, TRUE, agent->now_us);
  while ((flow = wf_table_next (agent->flows, &cursor, &handle)) != NULL)
    if (flow->state == WF_FLOW_WAITING)
      (void) wf_placement_refuse_if_no_endpoint (agent, handle);
}

void
wf_agent_set_server_state (WfAgent *agent, WfServerState state, gint64 now_us)
{
  agent->now_us = now_us;
  if (state == agent->server_state)
    return;
  agent->server_state = state;
  if (state == WF_SERVER_READY)
    update_admission (agent);
  else
    stop_admission (agent);
}

void
wf_agent_set_capacity (WfAgent *agent, guint slots, gint64 cold_us, gint64 now_us)
{
  agent->now_us = now_us;
  wa_admission_set_capacity (agent->admission, slots, cold_us, now_us);
}

void
wf_agent_set_cold_allowance (WfAgent *agent, gdouble overage, gdouble slack)
{
  wa_admission_set_cold_allowance (agent->admission, overage, slack);
}

void
wf_agent_set_flows_complete (WfAgent *agent, gboolean complete)
{
  agent->flows_complete = complete;
}

/* Whether the client has an open connection with the server. A row of which the server has sent
 * nothing may be another server's flow: after a restart the agent assumed that its server held it,
 * because the server did not return the packet, but a crashed server returns nothing either. */
static gboolean
is_open (const WfFlow *flow)
{
  return (flow->flags & (WF_FLAGS_HANDSHAKE_COMPLETE | WF_FLAG_CLOSED)) ==
         WF_FLAGS_HANDSHAKE_COMPLETE;
}

void
wf_agent_server_replaced (WfAgent *agent, gint64 started_us, gint64 now_us)
{
  guint32 cursor = 0;
  WbHandle handle;
  WfFlow *flow;

  agent->now_us = now_us;
  g_hash_table_remove_all (agent->dropped_flows);
  wa_admission_server_replaced (agent->admission);
  while ((flow = wf_table_next (agent->flows, &cursor, &handle)) != NULL)
    {
      if (flow->state != WF_FLOW_HELD || flow->last_data_us > started_us)
        continue;
      WW_FLOW_LOG_ALWAYS ("flow_lost", &flow->key, WB_TEXT ("reason", "its server has ended"));
      wf_count (agent, WF_COUNTER_SERVER_LOST);
      if (is_open (flow) && !agent->format->originates_packets)
        wf_refuse_reset_lost (agent, &flow->key, flow->client_ack);
      wf_flow_remove (agent, handle);
    }
}

/* Whether the flow's initial packet has passed its deadline in a pause. The client has
 * retransmitted it since, and another endpoint has received it. */
static gboolean
has_expired_in_pause (const WfAgent *agent, const WfFlow *flow)
{
  gint64 deadline_us = agent->service == NULL ? 0 : agent->service->deadline_us;

  if (flow->state == WF_FLOW_PLACING)
    return TRUE;
  return flow->state == WF_FLOW_WAITING && agent->now_us - flow->last_activity_us >= deadline_us;
}

void
wf_agent_resumed (WfAgent *agent, gint64 now_us)
{
  guint32 cursor = 0;
  WbHandle handle;
  WfFlow *flow;

  agent->now_us = now_us;
  agent->joined_us = now_us;
  agent->resumed_us = now_us;
  agent->endpoints_changed_us = now_us;
  while ((flow = wf_table_next (agent->flows, &cursor, &handle)) != NULL)
    {
      if (!has_expired_in_pause (agent, flow))
        continue;
      wf_count (agent, WF_COUNTER_QUEUE_EXPIRED);
      wf_flow_remove (agent, handle);
    }
}

static void
receive_peer_message (WfAgent *agent, const guint8 *data, gsize length)
{
  ww_peer message;

  if (!ww_peer_decode (data, length, &message))
    {
      wf_count (agent, WF_COUNTER_MALFORMED_MESSAGE);
      return;
    }
  if (message.service_id != agent->service_id || message.sender_id == agent->self_id)
    wf_count (agent, WF_COUNTER_UNKNOWN_SENDER);
  else
    switch (message.body.kind)
      {
      case WW_PEER_REGISTER:
      case WW_PEER_UNREGISTER:
        wf_registry_receive (agent, &message);
        break;
      case WW_PEER_RELEASE:
        wf_registry_receive_release (agent, &message);
        break;
      case WW_PEER_SEARCH:
      case WW_PEER_SEARCH_REPLY:
        wf_locate_receive (agent, &message);
        break;
      case WW_PEER_OCCUPANCY_REQUEST:
      case WW_PEER_OCCUPANCY_REPLY:
      case WW_PEER_OFFER:
      case WW_PEER_PULL:
      default:
        wa_admission_receive (agent->admission, &message, agent->now_us);
        break;
      }
  ww_peer_clear (&message);
}

void
wf_agent_receive (WfAgent *agent, const guint8 *data, gsize length, gint64 now_us)
{
  agent->now_us = now_us;
  if (ww_datagram_first_word (data, length) == WW_PEER_MAGIC)
    receive_peer_message (agent, data, length);
  else
    wf_route_receive (agent, data, length);
}

void
wf_agent_from_server (WfAgent *agent, const guint8 *packet, gsize length, gint64 now_us)
{
  WwPacket parsed;
  WwFlowKey key;
  WbHandle handle;
  WfFlow *flow;

  agent->now_us = now_us;
  if (agent->format->parse (packet, length, &parsed) != WW_PACKET_OK)
    {
      wf_count (agent, WF_COUNTER_MALFORMED);
      return;
    }
  if (parsed.returned)
    {
      wf_return_receive (agent, &parsed, packet, length);
      return;
    }
  key = ww_packet_key_from_server (&parsed);
  if (!wf_route_config_is_outdated (agent) && !wf_route_is_in_service (agent, &key) &&
      !wf_moved_accepts_outgoing (agent, &key))
    {
      wf_count (agent, WF_COUNTER_OUTGOING_WRONG_SERVICE);
      return;
    }
  flow = wf_table_find (agent->flows, &key, &handle);
  if (flow != NULL && flow->state == WF_FLOW_PROBING)
    {
      wf_probe_from_server (agent, flow, handle, &parsed);
      flow = wf_table_get (agent->flows, handle);
      /* When the server returns packets, the probe was the client's packet itself, so this is a
       * response to the client. */
      if (!agent->format->returns_packets)
        return;
    }
  if ((flow == NULL || flow->state == WF_FLOW_NOT_HELD) &&
      wf_probe_recover_from_outgoing (agent, &key, &parsed, &handle))
    flow = wf_table_get (agent->flows, handle);
  if (flow == NULL || flow->state != WF_FLOW_HELD)
    {
      wf_count (agent, WF_COUNTER_OUTGOING_NOT_HELD);
      return;
    }
  if (parsed.protocol == WW_PROTOCOL_UDP)
    wf_udp_from_server (agent, flow, handle, packet, length);
  else
    wf_request_from_server (agent, flow, handle, &parsed, packet, length);
}

static void
handle_flow_due (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  switch ((WfFlowState) flow->state)
    {
    case WF_FLOW_HELD:
      wf_request_handle_due (agent, flow, handle);
      break;
    case WF_FLOW_REFUSING:
      wf_refuse_handle_due (agent, flow, handle);
      break;
    case WF_FLOW_PROBING:
      wf_probe_handle_due (agent, flow, handle);
      break;
    case WF_FLOW_WAITING:
      break;
    case WF_FLOW_PLACING:
    case WF_FLOW_NOT_HELD:
    case WF_FLOW_TOMBSTONE:
    default:
      wf_flow_remove (agent, handle);
      break;
    }
}

void
wf_agent_tick (WfAgent *agent, gint64 now_us)
{
  WbHandle handle;
  WfFlow *flow;

  agent->now_us = now_us;
  wa_admission_tick (agent->admission, now_us);
  while ((flow = wf_table_pop_due (agent->flows, now_us, &handle)) != NULL)
    handle_flow_due (agent, flow, handle);
  wf_search_tick (agent->search, now_us);
  wf_registration_expire (agent);
  if (now_us >= agent->refresh_due_us)
    {
      agent->refresh_due_us = now_us + REFRESH_TICK_US;
      wf_registration_refresh (agent);
    }
  wf_moved_tick (agent);
  if (now_us >= agent->flush_due_us)
    wf_registration_flush (agent);
}

gint64
wf_agent_next_us (const WfAgent *agent)
{
  gint64 next_us = MIN (agent->refresh_due_us, agent->flush_due_us);

  next_us = MIN (next_us, agent->moved_repeat_us);
  next_us = MIN (next_us, wf_table_next_due (agent->flows));
  next_us = MIN (next_us, wf_table_next_due (agent->registry));
  next_us = MIN (next_us, wf_search_next_us (agent->search));
  return MIN (next_us, wa_admission_next_us (agent->admission));
}

guint
wf_agent_flows_held (const WfAgent *agent)
{
  return agent->flows_held;
}

guint
wf_agent_flows_waiting (const WfAgent *agent)
{
  return agent->flows_waiting;
}

gsize
wf_agent_memory (const WfAgent *agent)
{
  return wf_table_memory (agent->flows) + wf_table_memory (agent->registry) + agent->queued_bytes +
         wf_search_memory (agent->search);
}

const WbCounters *
wf_agent_counters (const WfAgent *agent)
{
  return agent->counters;
}

const WaAdmission *
wf_agent_admission (const WfAgent *agent)
{
  return agent->admission;
}

gint64
wf_idle_timeout_us (const WfAgent *agent)
{
  return agent->service == NULL ? DEFAULT_IDLE_TIMEOUT_US : agent->service->idle_timeout_us;
}

/* Adds a row to the flow table. Return: NULL when the table is full. */
WfFlow *
wf_flow_add (
    WfAgent *agent, const WwFlowKey *key, guint32 entry_zone, WfFlowState state, WbHandle *handle)
{
  gpointer row;
  WfFlow *flow;

  if (wf_table_count (agent->flows) >= agent->options.max_flows)
    {
      wf_count (agent, WF_COUNTER_LIMIT_FLOWS);
      return NULL;
    }
  *handle = wf_table_add (agent->flows, key, &row);
  flow = row;
  flow->entry_zone = entry_zone;
  flow->state = WF_FLOW_NOT_HELD;
  flow->last_activity_us = agent->now_us;
  wf_flow_set_state (agent, flow, state);
  return flow;
}

void
wf_flow_set_state (WfAgent *agent, WfFlow *flow, WfFlowState state)
{
  if (flow->state == WF_FLOW_HELD && (flow->flags & WF_FLAG_CLOSED) == 0)
    agent->flows_held--;
  if (flow->state == WF_FLOW_WAITING || flow->state == WF_FLOW_PLACING)
    agent->flows_waiting--;
  flow->state = (guint8) state;
  if (state == WF_FLOW_HELD)
    agent->flows_held++;
  if (state == WF_FLOW_WAITING || state == WF_FLOW_PLACING)
    agent->flows_waiting++;
}

void
wf_flow_clear_queue (WfAgent *agent, WfFlow *flow)
{
  guint i;

  if (flow->queue == NULL)
    return;
  for (i = 0; i < flow->queue->len; i++)
    agent->queued_bytes -= g_bytes_get_size (g_ptr_array_index (flow->queue, i));
  g_clear_pointer (&flow->queue, g_ptr_array_unref);
}

/* Removes the flow. Admission comes last, because it may admit other flows at once. */
void
wf_flow_remove (WfAgent *agent, WbHandle handle)
{
  WfFlow *flow = wf_table_get (agent->flows, handle);
  gboolean in_admission;

  if (flow == NULL)
    return;
  in_admission = (flow->flags & WF_FLAG_IN_ADMISSION) != 0;
  if (flow->state == WF_FLOW_HELD)
    wf_count (agent, WF_COUNTER_FLOWS_CLOSED);
  if (flow->state != WF_FLOW_TOMBSTONE)
    wf_registration_withdraw (agent, flow);
  wf_flow_set_state (agent, flow, WF_FLOW_NOT_HELD);
  wf_flow_clear_queue (agent, flow);
  wf_table_remove (agent->flows, handle);
  if (in_admission)
    wa_admission_remove (agent->admission, handle, agent->now_us);
}

/* Queues a packet unless the queue has an identical one. Return: FALSE when it does not fit. */
gboolean
wf_flow_queue_packet (WfAgent *agent, WfFlow *flow, const guint8 *data, gsize length)
{
  guint i;

  if (flow->queue == NULL)
    flow->queue = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  for (i = 0; i < flow->queue->len; i++)
    {
      gsize size;
      gconstpointer queued = g_bytes_get_data (g_ptr_array_index (flow->queue, i), &size);

      if (size == length && memcmp (queued, data, length) == 0)
        return TRUE;
    }
  if (flow->queue->len >= FLOW_QUEUE_PACKETS_MAX ||
      agent->queued_bytes + length > agent->options.max_queued_bytes)
    {
      wf_count (agent, WF_COUNTER_LIMIT_QUEUED);
      return FALSE;
    }
  g_ptr_array_add (flow->queue, g_bytes_new (data, length));
  agent->queued_bytes += length;
  return TRUE;
}

/* Parses a queued packet; the oldest has index 0. Return: FALSE when there is none. */
gboolean
wf_flow_parse_queued (const WfAgent *agent, const WfFlow *flow, guint index, WwPacket *packet)
{
  const guint8 *data;
  gsize length;

  if (flow->queue == NULL || index >= flow->queue->len)
    return FALSE;
  data = g_bytes_get_data (g_ptr_array_index (flow->queue, index), &length);
  return agent->format->parse (data, length, packet) == WW_PACKET_OK;
}

void
wf_deliver_to_server (WfAgent *agent, const guint8 *data, gsize length)
{
  wf_count (agent, WF_COUNTER_DELIVERED);
  agent->callbacks.to_server (agent->callbacks.context, data, length);
}

void
wf_send_to_client (WfAgent *agent, const guint8 *data, gsize length)
{
  wf_count (agent, WF_COUNTER_TO_CLIENT);
  agent->callbacks.to_client (agent->callbacks.context, data, length);
}

/* Sets the class and the tenant of the flow's work from the configuration. */
void
wf_flow_classify (WfAgent *agent, WfFlow *flow)
{
  const WcRoute *route;

  flow->class = WC_CLASS_MIXED;
  if (agent->config == NULL)
    return;
  route = wc_config_find_route (agent->config, flow->key.service_address, flow->key.service_port,
                                (guint16) flow->key.protocol);
  if (route != NULL)
    flow->class = (guint8) route->class;
  flow->tenant = (guint16) wc_config_find_tenant (agent->config, flow->key.client_address);
}
