#include "wf-private.h"

#include <string.h>

#define DEFAULT_MAX_FLOWS 262144
#define DEFAULT_MAX_REGISTRY 524288
#define DEFAULT_MAX_QUEUED_BYTES ((gsize) 32 << 20)

/* Packets kept per flow: a client's initial window of 10 segments fits with room to spare. */
#define QUEUE_PACKETS_MAX 32

#define REFRESH_INTERVAL_US (10 * WB_US_PER_S)
#define DEFAULT_IDLE_US (300 * WB_US_PER_S)

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
wf_enabled (const WfAgent *agent, WfDisabled mechanism)
{
  return (agent->options.disabled & mechanism) == 0;
}

/* Admission sends its messages without the envelope of the agent. */
static void
send_peer_cb (gpointer context, guint64 endpoint_id, const ww_peer *message)
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
  WfEndpoint self = { .id = agent->self_id };

  if (wf_view_knows (agent, agent->self_id))
    return;
  g_array_append_val (agent->endpoints, self);
  g_array_append_val (agent->ids, self.id);
}

WfAgent *
wf_agent_new (
    guint64 self_id, guint64 service_id, const WfCallbacks *callbacks, guint32 seed, gint64 now_us)
{
  WfAgent *agent = g_new0 (WfAgent, 1);
  WaCallbacks admission = { .context = agent,
                            .place = wf_hold_place_cb,
                            .admit = wf_hold_admit_cb,
                            .refuse = wf_hold_refuse_cb,
                            .grant = wf_hold_grant_cb,
                            .send = send_peer_cb };

  agent->self_id = self_id;
  agent->service_id = service_id;
  agent->callbacks = *callbacks;
  agent->format = &ww_packet_format_ip;
  agent->options = wf_options_default ();
  agent->random = g_rand_new_with_seed (seed);
  agent->counters = wb_counters_new (wf_counter_definitions, WF_N_COUNTERS);
  agent->admission =
      wa_admission_new (self_id, &admission, g_rand_int (agent->random), TRUE, now_us);
  agent->flows = wf_table_new (sizeof (WfFlow), g_rand_int (agent->random));
  agent->registry = wf_table_new (sizeof (WfEntry), g_rand_int (agent->random));
  agent->endpoints = g_array_new (FALSE, FALSE, sizeof (WfEndpoint));
  agent->ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  agent->lost = g_array_new (FALSE, FALSE, sizeof (guint64));
  agent->order = g_array_new (FALSE, FALSE, sizeof (guint16));
  agent->ranked = g_array_new (FALSE, FALSE, sizeof (WaEndpoint));
  agent->batches = g_ptr_array_new_with_free_func (g_free);
  agent->datagram = g_byte_array_sized_new (WW_PACKET_MAX + WW_ENCAP_LENGTH);
  agent->now_us = now_us;
  agent->started_us = now_us;
  agent->joined_us = now_us;
  agent->resumed_us = now_us - WF_RESUME_SETTLE_US;
  agent->view_us = now_us;
  agent->flush_us = WB_NEVER;
  agent->refresh_us = now_us + REFRESH_INTERVAL_US;
  add_self (agent);
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
  wa_admission_free (agent->admission);
  wf_table_free (agent->flows);
  wf_table_free (agent->registry);
  g_array_unref (agent->endpoints);
  g_array_unref (agent->ids);
  g_array_unref (agent->lost);
  g_array_unref (agent->order);
  g_array_unref (agent->ranked);
  g_ptr_array_unref (agent->batches);
  g_byte_array_unref (agent->datagram);
  wb_counters_free (agent->counters);
  wc_config_unref (agent->config);
  g_rand_free (agent->random);
  g_free (agent);
}

void
wf_agent_set_format (WfAgent *agent, const WwPacketFormat *format)
{
  agent->format = format;
}

void
wf_agent_set_config (WfAgent *agent, WcConfig *config, gint64 now_us)
{
  agent->now_us = now_us;
  if (agent->config != NULL && config->version < agent->config->version)
    {
      wf_count (agent, WF_COUNTER_R5_CONFIG_OLDER);
      return;
    }
  wc_config_ref (config);
  agent->service = wc_config_service_by_id (config, agent->service_id);
  wa_admission_set_config (agent->admission, config, agent->service);
  wc_config_unref (agent->config);
  agent->config = config;
}

static gboolean
same_view (const GArray *a, const GArray *b)
{
  guint i;

  if (a->len != b->len)
    return FALSE;
  for (i = 0; i < a->len; i++)
    {
      const WfEndpoint *left = &g_array_index (a, WfEndpoint, i);
      const WfEndpoint *right = &g_array_index (b, WfEndpoint, i);

      if (left->id != right->id || left->incarnation != right->incarnation)
        return FALSE;
    }
  return TRUE;
}

static gint
compare_endpoints (gconstpointer a, gconstpointer b)
{
  const WfEndpoint *left = a;
  const WfEndpoint *right = b;

  return left->id < right->id ? -1 : left->id > right->id;
}

static void
set_peers (WfAgent *agent)
{
  g_autoptr (GArray) peers = g_array_new (FALSE, FALSE, sizeof (WaEndpoint));
  guint i;

  for (i = 0; i < agent->endpoints->len; i++)
    {
      const WfEndpoint *endpoint = &g_array_index (agent->endpoints, WfEndpoint, i);
      WaEndpoint peer = { endpoint->id, endpoint->draining, endpoint->suspected };

      if (endpoint->id != agent->self_id)
        g_array_append_val (peers, peer);
    }
  wa_admission_set_peers (agent->admission, (const WaEndpoint *) peers->data, peers->len);
}

void
wf_agent_set_endpoints (WfAgent *agent, const WfEndpoint *endpoints, guint count, gint64 now_us)
{
  g_autoptr (GArray) previous = agent->endpoints;
  guint i;

  agent->now_us = now_us;
  agent->endpoints = g_array_sized_new (FALSE, FALSE, sizeof (WfEndpoint), count);
  g_array_append_vals (agent->endpoints, endpoints, count);
  g_array_set_size (agent->ids, 0);
  for (i = 0; i < count; i++)
    g_array_append_val (agent->ids, endpoints[i].id);
  add_self (agent);
  g_array_sort (agent->endpoints, compare_endpoints);
  for (i = 0; i < agent->endpoints->len; i++)
    g_array_index (agent->ids, guint64, i) = g_array_index (agent->endpoints, WfEndpoint, i).id;
  set_peers (agent);
  agent->view_known = TRUE;
  if (same_view (previous, agent->endpoints))
    return;
  agent->view_us = now_us;
  wf_view_update_lost (agent, previous);
  wf_register_view_changed (agent, previous);
}

void
wf_agent_set_draining (WfAgent *agent, gboolean draining, gint64 now_us)
{
  agent->now_us = now_us;
  agent->draining = draining;
  wa_admission_set_draining (agent->admission, draining || agent->server != WF_SERVER_READY,
                             now_us);
}

/* Flows that wait for a slot of a server that takes none go to the other endpoints or are refused.
 */
static void
close_waiting (WfAgent *agent)
{
  guint32 cursor = 0;
  WbHandle handle;
  WfFlow *flow;

  wa_admission_set_draining (agent->admission, TRUE, agent->now_us);
  while ((flow = wf_table_next (agent->flows, &cursor, &handle)) != NULL)
    if (flow->state == WF_FLOW_WAITING)
      (void) wf_hold_refuse_if_closed (agent, handle);
}

void
wf_agent_set_server_state (WfAgent *agent, WfServerState state, gint64 now_us)
{
  agent->now_us = now_us;
  if (state == agent->server)
    return;
  agent->server = state;
  if (state == WF_SERVER_READY)
    wa_admission_set_draining (agent->admission, agent->draining, now_us);
  else
    close_waiting (agent);
}

void
wf_agent_set_capacity (WfAgent *agent, guint slots, gint64 cold_us, gint64 now_us)
{
  agent->now_us = now_us;
  wa_admission_set_capacity (agent->admission, slots, cold_us, now_us);
}

void
wf_agent_set_flows_complete (WfAgent *agent, gboolean known)
{
  agent->server_known = known;
}

/* A flow of which the server has sent nothing may be another server's: it was taken up after a
 * restart because the server had not returned its packet, and a server that has crashed does not
 * either. */
static gboolean
was_open (const WfFlow *flow)
{
  return (flow->flags & (WF_FLAGS_OPENED | WF_FLAG_CLOSED)) == WF_FLAGS_OPENED;
}

void
wf_agent_server_replaced (WfAgent *agent, gint64 started_us, gint64 now_us)
{
  guint32 cursor = 0;
  WbHandle handle;
  WfFlow *flow;

  agent->now_us = now_us;
  while ((flow = wf_table_next (agent->flows, &cursor, &handle)) != NULL)
    {
      if (flow->state != WF_FLOW_HELD || flow->data_us > started_us)
        continue;
      WW_FLOW_LOG_ALWAYS ("flow_lost", &flow->key, WB_TEXT ("reason", "its server has ended"));
      wf_count (agent, WF_COUNTER_SERVER_LOST);
      if (was_open (flow) && !agent->format->originates_packets)
        wf_refuse_lost (agent, &flow->key, flow->client_ack);
      wf_flow_remove (agent, handle);
    }
}

/* A queued initial packet past its deadline has been retransmitted to another endpoint meanwhile.
 */
static gboolean
expired_in_pause (const WfAgent *agent, const WfFlow *flow)
{
  gint64 deadline_us = agent->service == NULL ? 0 : agent->service->deadline_us;

  if (flow->state == WF_FLOW_PLACING)
    return TRUE;
  return flow->state == WF_FLOW_WAITING && agent->now_us - flow->activity_us >= deadline_us;
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
  agent->view_us = now_us;
  while ((flow = wf_table_next (agent->flows, &cursor, &handle)) != NULL)
    {
      if (!expired_in_pause (agent, flow))
        continue;
      wf_count (agent, WF_COUNTER_QUEUE_EXPIRED);
      wf_flow_remove (agent, handle);
    }
}

static void
receive_peer (WfAgent *agent, const guint8 *data, gsize length)
{
  ww_peer message;

  if (!ww_peer_decode (data, length, &message))
    {
      wf_count (agent, WF_COUNTER_R4_MALFORMED_MESSAGE);
      return;
    }
  if (message.service_id != agent->service_id || message.sender_id == agent->self_id)
    wf_count (agent, WF_COUNTER_R4_UNKNOWN_SENDER);
  else
    switch (message.body.kind)
      {
      case WW_PEER_REGISTER:
      case WW_PEER_UNREGISTER:
        wf_registry_receive (agent, &message);
        break;
      case WW_PEER_RELEASE:
        wf_registry_released (agent, &message);
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
  if (ww_datagram_magic (data, length) == WW_PEER_MAGIC)
    receive_peer (agent, data, length);
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
      wf_return_received (agent, &parsed, packet, length);
      return;
    }
  key = ww_packet_key_from_server (&parsed);
  if (!wf_route_is_outdated (agent) && !wf_route_in_service (agent, &key))
    {
      wf_count (agent, WF_COUNTER_R2_OUTGOING);
      return;
    }
  flow = wf_table_find (agent->flows, &key, &handle);
  if (flow != NULL && flow->state == WF_FLOW_PROBING)
    {
      wf_probe_from_server (agent, flow, handle, &parsed);
      flow = wf_table_get (agent->flows, handle);
      /* Without probes of the agent's own the packet is not an answer to one: it is the client's.
       */
      if (!agent->format->returns_packets)
        return;
    }
  if ((flow == NULL || flow->state == WF_FLOW_NOT_HELD) &&
      wf_probe_restore (agent, &key, &parsed, &handle))
    flow = wf_table_get (agent->flows, handle);
  if (flow == NULL || flow->state != WF_FLOW_HELD)
    {
      wf_count (agent, WF_COUNTER_OUTGOING_NOT_HELD);
      return;
    }
  if (parsed.protocol == WW_PROTOCOL_UDP)
    wf_udp_from_server (agent, flow, handle, packet, length);
  else
    wf_turn_from_server (agent, flow, handle, &parsed, packet, length);
}

static void
flow_due (WfAgent *agent, WfFlow *flow, WbHandle handle)
{
  switch ((WfFlowState) flow->state)
    {
    case WF_FLOW_HELD:
      wf_turn_due (agent, flow, handle);
      break;
    case WF_FLOW_REFUSING:
      wf_refuse_due (agent, flow, handle);
      break;
    case WF_FLOW_PROBING:
      wf_probe_due (agent, flow, handle);
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
    flow_due (agent, flow, handle);
  wf_register_due (agent);
  if (now_us >= agent->refresh_us)
    {
      agent->refresh_us = now_us + REFRESH_INTERVAL_US;
      wf_register_refresh (agent);
    }
  if (now_us >= agent->flush_us)
    wf_register_flush (agent);
}

gint64
wf_agent_next_us (const WfAgent *agent)
{
  gint64 next_us = MIN (agent->refresh_us, agent->flush_us);

  next_us = MIN (next_us, wf_table_next_due (agent->flows));
  next_us = MIN (next_us, wf_table_next_due (agent->registry));
  return MIN (next_us, wa_admission_next_us (agent->admission));
}

guint
wf_agent_flows_held (const WfAgent *agent)
{
  return agent->held;
}

guint
wf_agent_flows_waiting (const WfAgent *agent)
{
  return agent->waiting;
}

gsize
wf_agent_memory (const WfAgent *agent)
{
  return wf_table_memory (agent->flows) + wf_table_memory (agent->registry) + agent->queued_bytes;
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
wf_idle_timeout (const WfAgent *agent)
{
  return agent->service == NULL ? DEFAULT_IDLE_US : agent->service->idle_timeout_us;
}

WfFlow *
wf_flow_add (WfAgent *agent, const WwFlowKey *key, WfFlowState state, WbHandle *handle)
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
  flow->state = WF_FLOW_NOT_HELD;
  flow->activity_us = agent->now_us;
  wf_flow_set_state (agent, flow, state);
  return flow;
}

void
wf_flow_set_state (WfAgent *agent, WfFlow *flow, WfFlowState state)
{
  if (flow->state == WF_FLOW_HELD && (flow->flags & WF_FLAG_CLOSED) == 0)
    agent->held--;
  if (flow->state == WF_FLOW_WAITING || flow->state == WF_FLOW_PLACING)
    agent->waiting--;
  flow->state = (guint8) state;
  if (state == WF_FLOW_HELD)
    agent->held++;
  if (state == WF_FLOW_WAITING || state == WF_FLOW_PLACING)
    agent->waiting++;
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

/* Removes the flow. Admission is told last, because it may admit other flows at once. */
void
wf_flow_remove (WfAgent *agent, WbHandle handle)
{
  WfFlow *flow = wf_table_get (agent->flows, handle);
  gboolean admission;

  if (flow == NULL)
    return;
  admission = (flow->flags & WF_FLAG_ADMISSION) != 0;
  if (flow->state == WF_FLOW_HELD)
    wf_count (agent, WF_COUNTER_FLOWS_CLOSED);
  if (flow->state != WF_FLOW_TOMBSTONE)
    wf_register_gone (agent, flow);
  wf_flow_set_state (agent, flow, WF_FLOW_NOT_HELD);
  wf_flow_clear_queue (agent, flow);
  wf_table_remove (agent->flows, handle);
  if (admission)
    wa_admission_remove (agent->admission, handle, agent->now_us);
}

/* Keeps a packet, but not a second copy of one that is kept already. */
gboolean
wf_flow_queue (WfAgent *agent, WfFlow *flow, const guint8 *data, gsize length)
{
  guint i;

  if (flow->queue == NULL)
    flow->queue = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  for (i = 0; i < flow->queue->len; i++)
    {
      gsize size;
      gconstpointer kept = g_bytes_get_data (g_ptr_array_index (flow->queue, i), &size);

      if (size == length && memcmp (kept, data, length) == 0)
        return TRUE;
    }
  if (flow->queue->len >= QUEUE_PACKETS_MAX ||
      agent->queued_bytes + length > agent->options.max_queued_bytes)
    {
      wf_count (agent, WF_COUNTER_LIMIT_QUEUED);
      return FALSE;
    }
  g_ptr_array_add (flow->queue, g_bytes_new (data, length));
  agent->queued_bytes += length;
  return TRUE;
}

/* Reads a queued packet; the oldest is number 0. Return: FALSE when there is none. */
gboolean
wf_flow_read_queued (const WfAgent *agent, const WfFlow *flow, guint number, WwPacket *packet)
{
  const guint8 *data;
  gsize length;

  if (flow->queue == NULL || number >= flow->queue->len)
    return FALSE;
  data = g_bytes_get_data (g_ptr_array_index (flow->queue, number), &length);
  return agent->format->parse (data, length, packet) == WW_PACKET_OK;
}

void
wf_deliver (WfAgent *agent, const guint8 *data, gsize length)
{
  wf_count (agent, WF_COUNTER_DELIVERED);
  agent->callbacks.to_server (agent->callbacks.context, data, length);
}

void
wf_to_client (WfAgent *agent, const guint8 *data, gsize length)
{
  wf_count (agent, WF_COUNTER_TO_CLIENT);
  agent->callbacks.to_client (agent->callbacks.context, data, length);
}

/* Sets the class and the tenant of the flow's work. */
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
