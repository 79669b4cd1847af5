#include "flow-sim-private.h"

#include <string.h>

#define REFUSAL_TEXT "REFUSED {retry_after}"

/* Longest time until all nodes have a member list that follows from the server. */
#define PUBLICATION_DELAY_US (2 * WB_US_PER_S)

/* Of both services in fs_publish_split(). */
#define SPLIT_SLOTS 8
#define SPLIT_DEADLINE_US (10 * WB_US_PER_S)

typedef struct
{
  gint64 due_us;
  guint64 number;        /* order of events that are due at the same time */
  guint64 posted_number; /* order in which member lists were published */
  FsEventKind kind;
  guint target;
  GBytes *data;
} Event;

static void
event_free (gpointer data)
{
  Event *event = data;

  g_bytes_unref (event->data);
  g_free (event);
}

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer unused)
{
  const Event *left = a;
  const Event *right = b;

  if (left->due_us != right->due_us)
    return left->due_us < right->due_us ? -1 : 1;
  return left->number < right->number ? -1 : 1;
}

void
fs_post_event (FsSim *sim, FsEventKind kind, guint target, GBytes *data, gint64 delay_us)
{
  Event *event = g_new0 (Event, 1);

  event->due_us = sim->now_us + delay_us;
  event->number = event->posted_number = sim->next_event++;
  event->kind = kind;
  event->target = target;
  event->data = data;
  g_sequence_insert_sorted (sim->events, event, compare_events, NULL);
}

void
fs_transmit (
    FsSim *sim, FsEventKind kind, guint target, const guint8 *data, gsize length, gint64 latency_us)
{
  guint copies = g_rand_double (sim->random) < sim->duplicate_probability ? 2 : 1;

  if (g_rand_double (sim->random) < sim->loss_probability)
    copies--;
  while (copies-- > 0)
    {
      gint64 jitter_us =
          sim->jitter_us == 0 ? 0 : g_rand_int_range (sim->random, 0, (gint32) sim->jitter_us);

      fs_post_event (sim, kind, target, g_bytes_new (data, length), latency_us + jitter_us);
    }
}

void
fs_add_violation (FsSim *sim, const gchar *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_string_append_printf (sim->violations, "%.3f s: ", (gdouble) sim->now_us / WB_US_PER_S);
  g_string_append_vprintf (sim->violations, format, arguments);
  g_string_append_c (sim->violations, '\n');
  va_end (arguments);
}

static void
to_server (gpointer context, const guint8 *data, gsize length)
{
  const FsAgentContext *self = context;
  WwPacket packet;

  if (ww_packet_parse (data, length, &packet) != WW_PACKET_OK)
    return;
  fs_check_delivery (self->sim, self->index, &packet);
  fs_post_event (self->sim, FS_EVENT_TO_SERVER, self->index, g_bytes_new (data, length),
                 FS_SERVER_LATENCY_US);
}

static void
to_client (gpointer context, const guint8 *data, gsize length)
{
  const FsAgentContext *self = context;

  fs_transmit (self->sim, FS_EVENT_TO_CLIENT, 0, data, length, FS_CLIENT_LATENCY_US);
}

static void
to_endpoint (gpointer context, guint64 endpoint_id, const guint8 *data, gsize length)
{
  const FsAgentContext *self = context;
  FsSim *sim = self->sim;
  const guint8 *packet;
  gsize packet_length;
  ww_encap header;
  guint i;

  if (ww_encap_parse (data, length, &header, &packet, &packet_length) &&
      header.kind == WW_ENCAP_CHAIN)
    sim->max_chain_hops = MAX (sim->max_chain_hops, header.hops);
  for (i = 0; i < sim->n_agents; i++)
    if (sim->agents[i].id == endpoint_id)
      fs_transmit (sim, FS_EVENT_TO_AGENT, i, data, length, FS_FABRIC_LATENCY_US);
}

static WfEndpoint
endpoint_of (const FsAgent *member)
{
  WfEndpoint endpoint = { .id = member->id,
                          .incarnation = member->incarnation,
                          .draining = member->draining,
                          .evacuated = member->evacuated,
                          .zone = member->zone };

  return endpoint;
}

/* Returns the members that an agent knows. */
static const FsAgent *
known_members (const FsAgentContext *self, guint *count)
{
  GBytes *members = self->sim->agents[self->index].members;

  *count = members != NULL ? (guint) (g_bytes_get_size (members) / sizeof (FsAgent)) : 0;
  return members != NULL ? g_bytes_get_data (members, NULL) : NULL;
}

static void
list_endpoints (gpointer context, guint64 service_id, GArray *endpoints)
{
  guint count, i;
  const FsAgent *members = known_members (context, &count);

  for (i = 0; i < count; i++)
    if (members[i].is_member && members[i].service_id == service_id)
      {
        WfEndpoint endpoint = endpoint_of (&members[i]);

        g_array_append_val (endpoints, endpoint);
      }
}

static guint64
endpoint_service (gpointer context, guint64 endpoint_id)
{
  guint count, i;
  const FsAgent *members = known_members (context, &count);

  for (i = 0; i < count; i++)
    if (members[i].is_member && members[i].id == endpoint_id)
      return members[i].service_id;
  return 0;
}

static void
to_agent (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  fs_transmit (context, FS_EVENT_TO_AGENT, address - 1, data, length, FS_FABRIC_LATENCY_US);
}

static void
start_agent_process (FsSim *sim, guint index)
{
  FsAgent *agent = &sim->agents[index];
  WfCallbacks callbacks = {
    &sim->agent_contexts[index], to_server, to_client, to_endpoint, list_endpoints, endpoint_service
  };

  sim->agent_contexts[index] = (FsAgentContext){ sim, index };
  agent->wf_agent = wf_agent_new (agent->id, agent->service_id, &callbacks,
                                  g_rand_int (sim->random), sim->now_us);
  agent->incarnation++;
  agent->paused_until_us = 0;
  wf_agent_set_options (agent->wf_agent, &sim->options);
  wf_agent_set_zone (agent->wf_agent, agent->zone, sim->in_zones);
  agent->config_version = agent->previous_version = sim->configs->len;
  wf_agent_set_config (agent->wf_agent, g_ptr_array_index (sim->configs, sim->configs->len - 1),
                       sim->now_us);
  wf_agent_set_draining (agent->wf_agent, agent->draining, sim->now_us);
  wf_agent_set_evacuated (agent->wf_agent, agent->knows_evacuated, sim->now_us);
}

guint
fs_start_agent (FsSim *sim, const gchar *service)
{
  guint index = sim->n_agents++;
  g_autofree gchar *name = g_strdup_printf ("agent-%u", index);
  FsAgent *agent = &sim->agents[index];

  agent->id = wb_name_id (name);
  agent->service_id = wb_name_id (service);
  agent->connections =
      g_hash_table_new_full (ww_flow_key_hash, ww_flow_key_equal, NULL, fs_connection_free);
  agent->zone = sim->in_zones ? index % FS_N_ZONES + 1 : 0;
  agent->is_member = TRUE;
  start_agent_process (sim, index);
  return index;
}

void
fs_restart_agent (FsSim *sim, guint index)
{
  wf_agent_free (sim->agents[index].wf_agent);
  start_agent_process (sim, index);
}

static GBytes *
member_list_bytes (const FsSim *sim)
{
  return g_bytes_new (sim->agents, sizeof (FsAgent) * sim->n_agents);
}

void
fs_publish_members_to (FsSim *sim, gint agent, gint balancer, gint64 delay_us)
{
  if (agent >= 0)
    fs_post_event (sim, FS_EVENT_AGENT_MEMBERS, (guint) agent, member_list_bytes (sim), delay_us);
  if (balancer >= 0)
    fs_post_event (sim, FS_EVENT_BALANCER_MEMBERS, (guint) balancer, member_list_bytes (sim),
                   delay_us);
}

static gint64
random_delay (FsSim *sim, gint64 max_delay_us)
{
  return max_delay_us == 0 ? 0 : g_rand_int_range (sim->random, 0, (gint32) max_delay_us);
}

void
fs_publish_members (FsSim *sim, gint64 max_delay_us)
{
  guint i;

  for (i = 0; i < sim->n_agents; i++)
    fs_publish_members_to (sim, (gint) i, -1, random_delay (sim, max_delay_us));
  for (i = 0; i < sim->n_balancers; i++)
    fs_publish_members_to (sim, -1, (gint) i, random_delay (sim, max_delay_us));
}

void
fs_set_draining (FsSim *sim, guint index, gboolean draining)
{
  FsAgent *agent = &sim->agents[index];

  agent->draining = draining;
  wf_agent_set_draining (agent->wf_agent, draining, sim->now_us);
}

void
fs_set_evacuated (FsSim *sim, guint index, gboolean evacuated)
{
  sim->agents[index].evacuated = evacuated;
}

void
fs_pause_agent (FsSim *sim, guint index, gint64 duration_us)
{
  FsAgent *agent = &sim->agents[index];

  agent->paused_until_us = sim->now_us + duration_us;
  agent->disrupted_until_us = MAX (agent->disrupted_until_us, agent->paused_until_us);
}

void
fs_silence_server (FsSim *sim, guint index, gint64 duration_us)
{
  FsAgent *agent = &sim->agents[index];

  agent->silent_until_us = sim->now_us + duration_us;
  agent->disrupted_until_us = MAX (agent->disrupted_until_us, agent->silent_until_us);
  agent->is_member = FALSE;
  wf_agent_set_server_state (agent->wf_agent, WF_SERVER_ABSENT, sim->now_us);
  fs_publish_members (sim, PUBLICATION_DELAY_US);
}

static void
end_silence (FsSim *sim, guint index)
{
  FsAgent *agent = &sim->agents[index];

  if (agent->silent_until_us == 0 || agent->silent_until_us > sim->now_us)
    return;
  agent->silent_until_us = 0;
  agent->is_member = TRUE;
  wf_agent_set_server_state (agent->wf_agent, WF_SERVER_READY, sim->now_us);
  fs_publish_members (sim, PUBLICATION_DELAY_US);
}

static void
add_service (
    WcConfig *config, const gchar *name, guint32 address, guint n_slots, gint64 deadline_us)
{
  WcService *service = wc_service_new (name, address);

  wc_service_add_port (service, FS_TCP_PORT, WW_PROTOCOL_TCP, WC_CLASS_MIXED);
  wc_service_add_port (service, FS_UDP_PORT, WW_PROTOCOL_UDP, WC_CLASS_MIXED);
  service->slots = n_slots;
  service->reserve_short = 0;
  service->deadline_us = deadline_us;
  service->idle_timeout_us = 60 * WB_US_PER_S;
  service->cold_start_us = 0;
  g_free (service->refusal_text);
  service->refusal_text = g_strdup (REFUSAL_TEXT);
  wc_config_add_service (config, service);
}

/* Sends every node a configuration; takes ownership of it. */
static void
publish (FsSim *sim, WcConfig *config, gint64 max_delay_us)
{
  guint64 version;
  guint i;

  g_ptr_array_add (sim->configs, config);
  version = config->version = sim->configs->len;
  for (i = 0; i < sim->n_agents; i++)
    fs_post_event (sim, FS_EVENT_AGENT_CONFIG, i, g_bytes_new (&version, sizeof version),
                   random_delay (sim, max_delay_us));
  for (i = 0; i < sim->n_balancers; i++)
    fs_post_event (sim, FS_EVENT_BALANCER_CONFIG, i, g_bytes_new (&version, sizeof version),
                   sim->balancer_config_delay_us + random_delay (sim, max_delay_us));
}

void
fs_publish_config (
    FsSim *sim, const gchar *owner, guint n_slots, gint64 deadline_us, gint64 max_delay_us)
{
  WcConfig *config = wc_config_new ();
  const gchar *other = strcmp (owner, "a") == 0 ? "b" : "a";

  add_service (config, owner, FS_SERVICE_ADDRESS, n_slots, deadline_us);
  add_service (config, other, FS_SERVICE_ADDRESS + 1, n_slots, deadline_us);
  publish (sim, config, max_delay_us);
}

void
fs_publish_split (FsSim *sim, guint weight_a, guint weight_b, gint64 max_delay_us)
{
  WcConfig *config = wc_config_new ();
  WcRoute *route = wc_route_new (FS_SERVICE_ADDRESS, FS_TCP_PORT, WW_PROTOCOL_TCP, WC_CLASS_MIXED);

  add_service (config, "a", FS_SERVICE_ADDRESS, SPLIT_SLOTS, SPLIT_DEADLINE_US);
  add_service (config, "b", FS_SERVICE_ADDRESS + 1, SPLIT_SLOTS, SPLIT_DEADLINE_US);
  wc_route_add_target (route, wb_name_id ("a"), weight_a);
  wc_route_add_target (route, wb_name_id ("b"), weight_b);
  wc_config_add_route (config, route);
  publish (sim, config, max_delay_us);
}

static FsSim *
new_sim (guint32 seed, guint n_agents, guint n_slots, gint64 deadline_us, gboolean in_zones)
{
  FsSim *sim = g_new0 (FsSim, 1);
  WlCallbacks callbacks = { sim, to_agent };
  guint i;

  sim->random = g_rand_new_with_seed (seed);
  sim->events = g_sequence_new (event_free);
  sim->now_us = 1000 * WB_US_PER_S;
  sim->configs = g_ptr_array_new_with_free_func ((GDestroyNotify) wc_config_unref);
  sim->violations = g_string_new (NULL);
  sim->traced_client = -1;
  sim->options = wf_options_default ();
  sim->in_zones = in_zones;
  sim->n_balancers = in_zones ? FS_N_ZONES : FS_N_BALANCERS;
  for (i = 0; i < sim->n_balancers; i++)
    {
      sim->balancers[i] = wl_balancer_new (1000 + i, &callbacks);
      wl_balancer_set_entry_zone (sim->balancers[i], in_zones ? i + 1 : 0);
    }
  fs_publish_config (sim, "a", n_slots, deadline_us, 0);
  for (i = 0; i < n_agents; i++)
    (void) fs_start_agent (sim, "a");
  fs_publish_members (sim, 0);
  fs_run (sim, 15 * WB_US_PER_S);
  return sim;
}

FsSim *
fs_new (guint32 seed, guint n_agents, guint n_slots, gint64 deadline_us)
{
  return new_sim (seed, n_agents, n_slots, deadline_us, FALSE);
}

FsSim *
fs_new_in_zones (guint32 seed, guint n_agents, guint n_slots, gint64 deadline_us)
{
  return new_sim (seed, n_agents, n_slots, deadline_us, TRUE);
}

void
fs_free (FsSim *sim)
{
  guint i;

  for (i = 0; i < sim->n_agents; i++)
    {
      wf_agent_free (sim->agents[i].wf_agent);
      g_clear_pointer (&sim->agents[i].members, g_bytes_unref);
      g_hash_table_unref (sim->agents[i].connections);
    }
  for (i = 0; i < sim->n_balancers; i++)
    wl_balancer_free (sim->balancers[i]);
  for (i = 0; i < sim->n_clients; i++)
    if (sim->clients[i].tcp != NULL)
      ft_connection_free (sim->clients[i].tcp);
  g_sequence_free (sim->events);
  g_ptr_array_unref (sim->configs);
  g_string_free (sim->violations, TRUE);
  g_rand_free (sim->random);
  g_free (sim);
}

static void
apply_to_agent (
    FsSim *sim, guint index, const WfEndpoint *endpoints, guint count, gboolean evacuated)
{
  FsAgent *agent = &sim->agents[index];

  wf_agent_set_endpoints (agent->wf_agent, endpoints, count, sim->now_us);
  agent->knows_evacuated = evacuated;
  wf_agent_set_evacuated (agent->wf_agent, evacuated, sim->now_us);
}

static void
apply_member_list (FsSim *sim, const Event *event)
{
  const FsAgent *members = g_bytes_get_data (event->data, NULL);
  guint count = (guint) (g_bytes_get_size (event->data) / sizeof (FsAgent));
  WfEndpoint agent_endpoints[FS_MAX_AGENTS];
  WlEndpoint balancer_endpoints[FS_MAX_AGENTS];
  guint n_agent_endpoints = 0, n_balancer_endpoints = 0, i;
  guint64 *newest = event->kind == FS_EVENT_AGENT_MEMBERS
                        ? &sim->agents[event->target].member_list_number
                        : &sim->balancer_member_list_numbers[event->target];

  /* A member list never replaces a newer one. */
  if (event->posted_number < *newest)
    return;
  *newest = event->posted_number;
  for (i = 0; i < count; i++)
    {
      if (!members[i].is_member)
        continue;
      /* The address of an agent is its index + 1. */
      balancer_endpoints[n_balancer_endpoints++] =
          (WlEndpoint){ members[i].id, members[i].service_id, i + 1, 1, members[i].zone };
      if (event->kind == FS_EVENT_AGENT_MEMBERS &&
          members[i].service_id == sim->agents[event->target].service_id)
        agent_endpoints[n_agent_endpoints++] = endpoint_of (&members[i]);
    }
  if (event->kind == FS_EVENT_BALANCER_MEMBERS)
    {
      wl_balancer_set_endpoints (sim->balancers[event->target], balancer_endpoints,
                                 n_balancer_endpoints);
      return;
    }
  g_clear_pointer (&sim->agents[event->target].members, g_bytes_unref);
  sim->agents[event->target].members = g_bytes_ref (event->data);
  apply_to_agent (sim, event->target, agent_endpoints, n_agent_endpoints,
                  event->target < count && members[event->target].evacuated);
}

static void
apply_config (FsSim *sim, const Event *event)
{
  guint64 version = *(const guint64 *) g_bytes_get_data (event->data, NULL);
  WcConfig *config = g_ptr_array_index (sim->configs, version - 1);
  FsAgent *agent;

  if (event->kind == FS_EVENT_BALANCER_CONFIG)
    {
      wl_balancer_set_config (sim->balancers[event->target], config);
      return;
    }
  agent = &sim->agents[event->target];
  wf_agent_set_config (agent->wf_agent, config, sim->now_us);
  if (version <= agent->config_version)
    return;
  agent->previous_version = agent->config_version;
  agent->config_version = version;
  agent->config_changed_us = sim->now_us;
}

/* An agent notices the jump of the clock when it wakes, before it reads its sockets. */
static void
resume_agent (FsSim *sim, guint index)
{
  FsAgent *agent = &sim->agents[index];

  if (agent->paused_until_us == 0 || agent->paused_until_us > sim->now_us)
    return;
  agent->paused_until_us = 0;
  agent->incarnation++;
  wf_agent_resumed (agent->wf_agent, sim->now_us);
}

/* Delays an event for a paused agent until the pause ends, as the socket buffer does. Returns
 * whether it has been delayed. */
static gboolean
defer_while_paused (FsSim *sim, Event *event)
{
  gint64 until_us;

  if (event->kind == FS_EVENT_TO_BALANCER || event->kind == FS_EVENT_TO_SERVER ||
      event->kind == FS_EVENT_TO_CLIENT || event->kind == FS_EVENT_BALANCER_MEMBERS ||
      event->kind == FS_EVENT_BALANCER_CONFIG)
    return FALSE;
  resume_agent (sim, event->target);
  until_us = sim->agents[event->target].paused_until_us;
  if (until_us <= sim->now_us)
    return FALSE;
  event->due_us = until_us;
  return TRUE;
}

/* Prints the packets of the traced client, and all member lists and configurations. */
static void
trace_event (const FsSim *sim, const Event *event)
{
  static const gchar *const names[] = {
    "agent",         "balancer",         "server",       "from server",    "client",
    "agent members", "balancer members", "agent config", "balancer config"
  };
  gsize length;
  const guint8 *data = g_bytes_get_data (event->data, &length);
  ww_encap header = { 0 };
  WwPacket packet;

  if (sim->traced_client < 0)
    return;
  if (event->kind == FS_EVENT_TO_AGENT && !ww_encap_parse (data, length, &header, &data, &length))
    return;
  if (event->kind < FS_EVENT_AGENT_MEMBERS &&
      (ww_packet_parse (data, length, &packet) != WW_PACKET_OK ||
       ((packet.source_address & 0xff0000ff) != (FS_CLIENT_ADDRESS | (guint) sim->traced_client) &&
        (packet.destination_address & 0xff0000ff) !=
            (FS_CLIENT_ADDRESS | (guint) sim->traced_client))))
    return;
  g_printerr ("%.4f %s %u", (gdouble) sim->now_us / WB_US_PER_S, names[event->kind], event->target);
  if (event->kind < FS_EVENT_AGENT_MEMBERS)
    g_printerr (" kind %d hops %u flags %02x seq %u ack %u length %zu", (gint) header.kind,
                header.hops, packet.tcp_flags, packet.sequence, packet.acknowledgment,
                packet.payload_length);
  g_printerr ("\n");
}

static void
dispatch (FsSim *sim, const Event *event)
{
  gsize length;
  const guint8 *data = g_bytes_get_data (event->data, &length);

  trace_event (sim, event);
  switch (event->kind)
    {
    case FS_EVENT_TO_AGENT:
      wf_agent_receive (sim->agents[event->target].wf_agent, data, length, sim->now_us);
      break;
    case FS_EVENT_TO_BALANCER:
      wl_balancer_packet (sim->balancers[event->target], data, length);
      break;
    case FS_EVENT_TO_SERVER:
      fs_server_receive (sim, event->target, data, length);
      break;
    case FS_EVENT_FROM_SERVER:
      wf_agent_from_server (sim->agents[event->target].wf_agent, data, length, sim->now_us);
      break;
    case FS_EVENT_TO_CLIENT:
      fs_client_receive (sim, data, length);
      break;
    case FS_EVENT_AGENT_MEMBERS:
    case FS_EVENT_BALANCER_MEMBERS:
      apply_member_list (sim, event);
      break;
    case FS_EVENT_AGENT_CONFIG:
    case FS_EVENT_BALANCER_CONFIG:
    default:
      apply_config (sim, event);
      break;
    }
}

/* Runs the timers of agents, servers and clients that are due; returns when the next one is due. */
static gint64
run_timers (FsSim *sim)
{
  gint64 next_us = WB_NEVER;
  GHashTableIter iter;
  gpointer value;
  guint i;

  for (i = 0; i < sim->n_agents; i++)
    {
      FsAgent *agent = &sim->agents[i];

      resume_agent (sim, i);
      if (agent->paused_until_us != 0)
        next_us = MIN (next_us, agent->paused_until_us);
      else
        {
          end_silence (sim, i);
          if (agent->silent_until_us != 0)
            next_us = MIN (next_us, agent->silent_until_us);
          if (wf_agent_next_us (agent->wf_agent) <= sim->now_us)
            wf_agent_tick (agent->wf_agent, sim->now_us);
          next_us = MIN (next_us, MAX (wf_agent_next_us (agent->wf_agent), sim->now_us + 100));
        }
      g_hash_table_iter_init (&iter, agent->connections);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          FsConnection *connection = value;

          ft_run_timer (connection->tcp, sim->now_us);
          fs_run_server (sim, i, connection);
          next_us =
              MIN (next_us, MIN (connection->tcp->retransmit_us, connection->response_due_us));
        }
    }
  for (i = 0; i < sim->n_clients; i++)
    {
      FsClient *client = &sim->clients[i];

      if (client->tcp == NULL || client->tcp->reset)
        continue;
      ft_run_timer (client->tcp, sim->now_us);
      fs_run_client (sim, i);
      next_us = MIN (next_us, client->tcp->retransmit_us);
      if (!client->finished && client->next_request_us > sim->now_us)
        next_us = MIN (next_us, client->next_request_us);
    }
  return next_us;
}

void
fs_run (FsSim *sim, gint64 duration_us)
{
  gint64 end_us = sim->now_us + duration_us;

  while (sim->now_us < end_us)
    {
      gint64 next_us = run_timers (sim);
      GSequenceIter *head = g_sequence_get_begin_iter (sim->events);

      if (!g_sequence_iter_is_end (head))
        next_us = MIN (next_us, ((const Event *) g_sequence_get (head))->due_us);
      sim->now_us = MIN (MAX (next_us, sim->now_us), end_us);
      while (!g_sequence_iter_is_end (head = g_sequence_get_begin_iter (sim->events)))
        {
          Event *event = g_sequence_get (head);

          if (event->due_us > sim->now_us)
            break;
          if (defer_while_paused (sim, event))
            {
              g_sequence_sort_changed (head, compare_events, NULL);
              continue;
            }
          dispatch (sim, event);
          g_sequence_remove (head);
        }
    }
}

void
fs_send_to_agent (FsSim *sim, guint agent, const guint8 *data, gsize length, gint64 delay_us)
{
  fs_post_event (sim, FS_EVENT_TO_AGENT, agent, g_bytes_new (data, length), delay_us);
}

guint64
fs_sum_counter (const FsSim *sim, const gchar *name)
{
  guint64 sum = 0;
  guint i;

  for (i = 0; i < sim->n_agents; i++)
    sum += wb_counters_get_by_name (wf_agent_counters (sim->agents[i].wf_agent), name);
  return sum;
}

guint
fs_flows_held (const FsSim *sim)
{
  guint sum = 0;
  guint i;

  for (i = 0; i < sim->n_agents; i++)
    sum += wf_agent_flows_held (sim->agents[i].wf_agent);
  return sum;
}

gint
fs_find_holder (const FsSim *sim, const FsClient *client)
{
  guint i;

  for (i = 0; i < sim->n_agents; i++)
    if (g_hash_table_contains (sim->agents[i].connections, &client->tcp->key))
      return (gint) i;
  return -1;
}

gboolean
fs_syn_ack_in_flight (const FsSim *sim, const FsClient *client)
{
  GSequenceIter *iter;

  for (iter = g_sequence_get_begin_iter (sim->events); !g_sequence_iter_is_end (iter);
       iter = g_sequence_iter_next (iter))
    {
      const Event *event = g_sequence_get (iter);
      WwFlowKey key;
      WwPacket packet;
      gsize length;
      const guint8 *data;

      if (event->kind != FS_EVENT_TO_CLIENT)
        continue;
      data = g_bytes_get_data (event->data, &length);
      if (ww_packet_parse (data, length, &packet) != WW_PACKET_OK ||
          (packet.tcp_flags & WW_TCP_SYN) == 0)
        continue;
      key = ww_packet_key_from_server (&packet);
      if (ww_flow_key_equal (&key, &client->tcp->key))
        return TRUE;
    }
  return FALSE;
}

void
fs_check_finished (FsSim *sim)
{
  guint i;

  for (i = 0; i < sim->n_clients; i++)
    if (!sim->clients[i].finished && !sim->clients[i].may_fail)
      fs_add_violation (sim, "client %u did not finish: %u of %u requests, %u sent, %s", i,
                        sim->clients[i].responses_received, sim->clients[i].n_requests,
                        sim->clients[i].requests_sent,
                        sim->clients[i].tcp->established ? "established" : "opening");
}
