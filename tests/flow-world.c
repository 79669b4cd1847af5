#include "flow-world-private.h"

#include <string.h>

#define REFUSAL_TEXT "REFUSED {retry_after}"

typedef struct
{
  gint64 due_us;
  guint64 number;
  guint64 published; /* number of the event when it was first posted */
  FwEventKind kind;
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
fw_post (FwWorld *world, FwEventKind kind, guint target, GBytes *data, gint64 delay_us)
{
  Event *event = g_new0 (Event, 1);

  event->due_us = world->now_us + delay_us;
  event->number = event->published = world->next_event++;
  event->kind = kind;
  event->target = target;
  event->data = data;
  g_sequence_insert_sorted (world->events, event, compare_events, NULL);
}

/* Sends over the network, which may lose, duplicate and reorder. */
void
fw_post_lossy (FwWorld *world,
               FwEventKind kind,
               guint target,
               const guint8 *data,
               gsize length,
               gint64 latency_us)
{
  guint copies = g_rand_double (world->random) < world->duplicate ? 2 : 1;

  if (g_rand_double (world->random) < world->loss)
    copies--;
  while (copies-- > 0)
    {
      gint64 jitter_us = world->jitter_us == 0
                             ? 0
                             : g_rand_int_range (world->random, 0, (gint32) world->jitter_us);

      fw_post (world, kind, target, g_bytes_new (data, length), latency_us + jitter_us);
    }
}

void
fw_fault (FwWorld *world, const gchar *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_string_append_printf (world->faults, "%.3f s: ", (gdouble) world->now_us / WB_US_PER_S);
  g_string_append_vprintf (world->faults, format, arguments);
  g_string_append_c (world->faults, '\n');
  va_end (arguments);
}

/* The oracle: what reaches a server must be for its service, by one holder, and not refused. */
static void
check_delivery (FwWorld *world, guint index, const WwPacket *packet)
{
  FwAgent *agent = &world->agents[index];
  const WcConfig *config = g_ptr_array_index (world->configs, agent->config_version - 1);
  const WcService *service = wc_config_find_service (
      config, packet->destination_address, packet->destination_port, (guint16) packet->protocol);
  guint number = packet->source_address & 0xff;
  FwClient *client = &world->clients[number];
  guint32 end;

  if (service == NULL || service->id != agent->service_id)
    fw_fault (world, "R2: packet for another service delivered at agent %u", index);
  if (packet->payload_length == 0 || number >= world->n_clients || client->tcp == NULL)
    return;
  if (client->holder >= 0 && client->holder != (gint) index)
    fw_fault (world, "R1: payload of client %u at agents %d and %u", number, client->holder, index);
  client->holder = (gint) index;
  end = packet->sequence + (guint32) packet->payload_length - client->tcp->iss - 1;
  client->delivered = MAX (client->delivered, end);
  if (client->refused >= 0 && client->delivered > (guint) client->refused * FW_REQUEST_LENGTH)
    fw_fault (world, "R3: request %d of client %u delivered after refusal", client->refused,
              number);
}

static void
to_server (gpointer context, const guint8 *data, gsize length)
{
  const FwSlot *slot = context;
  WwPacket packet;

  if (ww_packet_parse (data, length, &packet) != WW_PACKET_OK)
    return;
  check_delivery (slot->world, slot->index, &packet);
  fw_post (slot->world, TO_SERVER, slot->index, g_bytes_new (data, length), FW_SERVER_LATENCY_US);
}

static void
to_client (gpointer context, const guint8 *data, gsize length)
{
  const FwSlot *slot = context;

  fw_post_lossy (slot->world, TO_CLIENT, 0, data, length, FW_CLIENT_LATENCY_US);
}

static void
to_endpoint (gpointer context, guint64 endpoint_id, const guint8 *data, gsize length)
{
  const FwSlot *slot = context;
  FwWorld *world = slot->world;
  guint i;

  for (i = 0; i < world->n_agents; i++)
    if (world->agents[i].id == endpoint_id)
      fw_post_lossy (world, TO_AGENT, i, data, length, FW_MEMBER_LATENCY_US);
}

static void
to_agent (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  fw_post_lossy (context, TO_AGENT, address - 1, data, length, FW_MEMBER_LATENCY_US);
}

static void
start_process (FwWorld *world, guint index)
{
  FwAgent *agent = &world->agents[index];
  WfCallbacks callbacks = { &world->slots[index], to_server, to_client, to_endpoint };

  world->slots[index] = (FwSlot){ world, index };
  agent->agent = wf_agent_new (agent->id, agent->service_id, &callbacks, g_rand_int (world->random),
                               world->now_us);
  agent->incarnation++;
  agent->paused_until_us = 0;
  wf_agent_set_options (agent->agent, &world->options);
  agent->config_version = world->configs->len;
  wf_agent_set_config (agent->agent, g_ptr_array_index (world->configs, world->configs->len - 1),
                       world->now_us);
  wf_agent_set_draining (agent->agent, agent->draining, world->now_us);
}

guint
fw_start_agent (FwWorld *world, const gchar *service)
{
  guint index = world->n_agents++;
  g_autofree gchar *name = g_strdup_printf ("agent-%u", index);
  FwAgent *agent = &world->agents[index];

  agent->id = wb_name_id (name);
  agent->service_id = wb_name_id (service);
  agent->served = g_hash_table_new_full (ww_flow_key_hash, ww_flow_key_equal, NULL, fw_served_free);
  agent->member = TRUE;
  start_process (world, index);
  return index;
}

void
fw_restart_agent (FwWorld *world, guint index)
{
  wf_agent_free (world->agents[index].agent);
  start_process (world, index);
}

static GBytes *
view_bytes (const FwWorld *world)
{
  return g_bytes_new (world->agents, sizeof (FwAgent) * world->n_agents);
}

void
fw_publish_to (FwWorld *world, gint agent, gint balancer, gint64 delay_us)
{
  if (agent >= 0)
    fw_post (world, VIEW_AGENT, (guint) agent, view_bytes (world), delay_us);
  if (balancer >= 0)
    fw_post (world, VIEW_BALANCER, (guint) balancer, view_bytes (world), delay_us);
}

static gint64
random_delay (FwWorld *world, gint64 delay_us)
{
  return delay_us == 0 ? 0 : g_rand_int_range (world->random, 0, (gint32) delay_us);
}

void
fw_publish (FwWorld *world, gint64 delay_us)
{
  guint i;

  for (i = 0; i < world->n_agents; i++)
    fw_publish_to (world, (gint) i, -1, random_delay (world, delay_us));
  for (i = 0; i < FW_BALANCERS; i++)
    fw_publish_to (world, -1, (gint) i, random_delay (world, delay_us));
}

void
fw_drain (FwWorld *world, guint index, gboolean draining)
{
  FwAgent *agent = &world->agents[index];

  agent->draining = draining;
  wf_agent_set_draining (agent->agent, draining, world->now_us);
}

void
fw_pause (FwWorld *world, guint index, gint64 duration_us)
{
  world->agents[index].paused_until_us = world->now_us + duration_us;
}

static void
add_service (
    WcConfig *config, const gchar *name, guint32 address, guint n_slots, gint64 deadline_us)
{
  WcService *service = wc_service_new (name, address);

  wc_service_add_port (service, FW_PORT, WW_PROTOCOL_TCP, WC_CLASS_MIXED);
  wc_service_add_port (service, FW_UDP_PORT, WW_PROTOCOL_UDP, WC_CLASS_MIXED);
  service->slots = n_slots;
  service->reserve_short = 0;
  service->deadline_us = deadline_us;
  service->idle_timeout_us = 60 * WB_US_PER_S;
  service->cold_start_us = 0;
  g_free (service->refusal_text);
  service->refusal_text = g_strdup (REFUSAL_TEXT);
  wc_config_add_service (config, service);
}

void
fw_config (FwWorld *world, const gchar *owner, guint n_slots, gint64 deadline_us, gint64 delay_us)
{
  WcConfig *config = wc_config_new ();
  const gchar *other = strcmp (owner, "a") == 0 ? "b" : "a";
  guint64 version;
  guint i;

  add_service (config, owner, FW_ADDRESS, n_slots, deadline_us);
  add_service (config, other, FW_ADDRESS + 1, n_slots, deadline_us);
  g_ptr_array_add (world->configs, config);
  version = config->version = world->configs->len;
  for (i = 0; i < world->n_agents; i++)
    fw_post (world, CONFIG_AGENT, i, g_bytes_new (&version, sizeof version),
             random_delay (world, delay_us));
  for (i = 0; i < FW_BALANCERS; i++)
    fw_post (world, CONFIG_BALANCER, i, g_bytes_new (&version, sizeof version),
             world->balancer_config_delay_us + random_delay (world, delay_us));
}

FwWorld *
fw_new (guint32 seed, guint agents, guint n_slots, gint64 deadline_us)
{
  FwWorld *world = g_new0 (FwWorld, 1);
  WlCallbacks callbacks = { world, to_agent };
  guint i;

  world->random = g_rand_new_with_seed (seed);
  world->events = g_sequence_new (event_free);
  world->now_us = 1000 * WB_US_PER_S;
  world->configs = g_ptr_array_new_with_free_func ((GDestroyNotify) wc_config_unref);
  world->faults = g_string_new (NULL);
  world->trace = -1;
  world->options = wf_options_default ();
  for (i = 0; i < FW_BALANCERS; i++)
    world->balancers[i] = wl_balancer_new (1000 + i, &callbacks);
  fw_config (world, "a", n_slots, deadline_us, 0);
  for (i = 0; i < agents; i++)
    (void) fw_start_agent (world, "a");
  fw_publish (world, 0);
  fw_run (world, 15 * WB_US_PER_S);
  return world;
}

void
fw_free (FwWorld *world)
{
  guint i;

  for (i = 0; i < world->n_agents; i++)
    {
      wf_agent_free (world->agents[i].agent);
      g_hash_table_unref (world->agents[i].served);
    }
  for (i = 0; i < FW_BALANCERS; i++)
    wl_balancer_free (world->balancers[i]);
  for (i = 0; i < world->n_clients; i++)
    if (world->clients[i].tcp != NULL)
      ft_connection_free (world->clients[i].tcp);
  g_sequence_free (world->events);
  g_ptr_array_unref (world->configs);
  g_string_free (world->faults, TRUE);
  g_rand_free (world->random);
  g_free (world);
}

static void
apply_view (FwWorld *world, const Event *event)
{
  const FwAgent *members = g_bytes_get_data (event->data, NULL);
  guint count = (guint) (g_bytes_get_size (event->data) / sizeof (FwAgent));
  WfEndpoint endpoints[FW_AGENTS];
  WlEndpoint targets[FW_AGENTS];
  guint n_endpoints = 0, n_targets = 0, i;
  guint64 *newest = event->kind == VIEW_AGENT ? &world->agents[event->target].view_number
                                              : &world->balancer_views[event->target];

  /* Membership never goes back to an older state of a member. */
  if (event->published < *newest)
    return;
  *newest = event->published;
  for (i = 0; i < count; i++)
    {
      if (!members[i].member)
        continue;
      targets[n_targets++] = (WlEndpoint){ members[i].id, members[i].service_id, i + 1, 1 };
      if (event->kind == VIEW_AGENT &&
          members[i].service_id == world->agents[event->target].service_id)
        endpoints[n_endpoints++] =
            (WfEndpoint){ members[i].id, members[i].incarnation, members[i].draining, FALSE };
    }
  if (event->kind == VIEW_BALANCER)
    wl_balancer_set_endpoints (world->balancers[event->target], targets, n_targets);
  else
    wf_agent_set_endpoints (world->agents[event->target].agent, endpoints, n_endpoints,
                            world->now_us);
}

static void
apply_config (FwWorld *world, const Event *event)
{
  guint64 version = *(const guint64 *) g_bytes_get_data (event->data, NULL);
  WcConfig *config = g_ptr_array_index (world->configs, version - 1);

  if (event->kind == CONFIG_BALANCER)
    {
      wl_balancer_set_config (world->balancers[event->target], config);
      return;
    }
  wf_agent_set_config (world->agents[event->target].agent, config, world->now_us);
  world->agents[event->target].config_version =
      MAX (world->agents[event->target].config_version, version);
}

/* The agent notices after its wait that the clock has jumped, before it reads its sockets. */
static void
resume (FwWorld *world, guint index)
{
  FwAgent *agent = &world->agents[index];

  if (agent->paused_until_us == 0 || agent->paused_until_us > world->now_us)
    return;
  agent->paused_until_us = 0;
  agent->incarnation++;
  wf_agent_resumed (agent->agent, world->now_us);
}

/* An event for a paused agent waits in the socket buffer. Returns whether it does. */
static gboolean
held_back (FwWorld *world, Event *event)
{
  gint64 until_us;

  if (event->kind == TO_BALANCER || event->kind == TO_SERVER || event->kind == TO_CLIENT ||
      event->kind == VIEW_BALANCER || event->kind == CONFIG_BALANCER)
    return FALSE;
  resume (world, event->target);
  until_us = world->agents[event->target].paused_until_us;
  if (until_us <= world->now_us)
    return FALSE;
  event->due_us = until_us;
  return TRUE;
}

/* Prints what happens to the packets of one client, to explain a fault. */
static void
trace (const FwWorld *world, const Event *event)
{
  static const gchar *const names[] = { "agent",         "balancer",     "server",
                                        "from server",   "client",       "agent view",
                                        "balancer view", "agent config", "balancer config" };
  gsize length;
  const guint8 *data = g_bytes_get_data (event->data, &length);
  ww_encap header = { 0 };
  WwPacket packet;

  if (world->trace < 0)
    return;
  if (event->kind == TO_AGENT && !ww_encap_parse (data, length, &header, &data, &length))
    return;
  if (event->kind < VIEW_AGENT &&
      (ww_packet_parse (data, length, &packet) != WW_PACKET_OK ||
       ((packet.source_address & 0xff0000ff) != (0x0a000000 | (guint) world->trace) &&
        (packet.destination_address & 0xff0000ff) != (0x0a000000 | (guint) world->trace))))
    return;
  g_printerr ("%.4f %s %u", (gdouble) world->now_us / WB_US_PER_S, names[event->kind],
              event->target);
  if (event->kind < VIEW_AGENT)
    g_printerr (" kind %d hops %u flags %02x seq %u ack %u length %zu", (gint) header.kind,
                header.hops, packet.tcp_flags, packet.sequence, packet.acknowledgment,
                packet.payload_length);
  g_printerr ("\n");
}

static void
dispatch (FwWorld *world, const Event *event)
{
  gsize length;
  const guint8 *data = g_bytes_get_data (event->data, &length);

  trace (world, event);
  switch (event->kind)
    {
    case TO_AGENT:
      wf_agent_receive (world->agents[event->target].agent, data, length, world->now_us);
      break;
    case TO_BALANCER:
      wl_balancer_packet (world->balancers[event->target], data, length);
      break;
    case TO_SERVER:
      fw_server_input (world, event->target, data, length);
      break;
    case FROM_SERVER:
      wf_agent_from_server (world->agents[event->target].agent, data, length, world->now_us);
      break;
    case TO_CLIENT:
      fw_client_input (world, data, length);
      break;
    case VIEW_AGENT:
    case VIEW_BALANCER:
      apply_view (world, event);
      break;
    case CONFIG_AGENT:
    case CONFIG_BALANCER:
    default:
      apply_config (world, event);
      break;
    }
}

/* Runs every timer of the ends and returns when the next one is due. */
static gint64
run_timers (FwWorld *world)
{
  gint64 next_us = WB_NEVER;
  GHashTableIter iter;
  gpointer value;
  guint i;

  for (i = 0; i < world->n_agents; i++)
    {
      FwAgent *agent = &world->agents[i];

      resume (world, i);
      if (agent->paused_until_us != 0)
        next_us = MIN (next_us, agent->paused_until_us);
      else
        {
          if (wf_agent_next_us (agent->agent) <= world->now_us)
            wf_agent_tick (agent->agent, world->now_us);
          next_us = MIN (next_us, MAX (wf_agent_next_us (agent->agent), world->now_us + 100));
        }
      g_hash_table_iter_init (&iter, agent->served);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          FwServed *served = value;

          ft_timer (served->tcp, world->now_us);
          fw_server_step (world, i, served);
          next_us = MIN (next_us, MIN (served->tcp->due_us, served->answer_us));
        }
    }
  for (i = 0; i < world->n_clients; i++)
    {
      FwClient *client = &world->clients[i];

      if (client->tcp == NULL || client->tcp->reset)
        continue;
      ft_timer (client->tcp, world->now_us);
      fw_client_step (world, i);
      next_us = MIN (next_us, client->tcp->due_us);
      if (!client->finished && client->next_request_us > world->now_us)
        next_us = MIN (next_us, client->next_request_us);
    }
  return next_us;
}

void
fw_run (FwWorld *world, gint64 duration_us)
{
  gint64 end_us = world->now_us + duration_us;

  while (world->now_us < end_us)
    {
      gint64 next_us = run_timers (world);
      GSequenceIter *head = g_sequence_get_begin_iter (world->events);

      if (!g_sequence_iter_is_end (head))
        next_us = MIN (next_us, ((const Event *) g_sequence_get (head))->due_us);
      world->now_us = MIN (MAX (next_us, world->now_us), end_us);
      while (!g_sequence_iter_is_end (head = g_sequence_get_begin_iter (world->events)))
        {
          Event *event = g_sequence_get (head);

          if (event->due_us > world->now_us)
            break;
          if (held_back (world, event))
            {
              g_sequence_sort_changed (head, compare_events, NULL);
              continue;
            }
          dispatch (world, event);
          g_sequence_remove (head);
        }
    }
}

void
fw_to_agent (FwWorld *world, guint agent, const guint8 *data, gsize length, gint64 delay_us)
{
  fw_post (world, TO_AGENT, agent, g_bytes_new (data, length), delay_us);
}

guint64
fw_counter (const FwWorld *world, const gchar *name)
{
  guint64 sum = 0;
  guint i;

  for (i = 0; i < world->n_agents; i++)
    sum += wb_counters_get_by_name (wf_agent_counters (world->agents[i].agent), name);
  return sum;
}

guint
fw_held (const FwWorld *world)
{
  guint sum = 0;
  guint i;

  for (i = 0; i < world->n_agents; i++)
    sum += wf_agent_flows_held (world->agents[i].agent);
  return sum;
}

/* The agent whose server has the client's connection, or -1. */
gint
fw_find_held (const FwWorld *world, const FwClient *client)
{
  guint i;

  for (i = 0; i < world->n_agents; i++)
    if (g_hash_table_contains (world->agents[i].served, &client->tcp->key))
      return (gint) i;
  return -1;
}

/* Whether a SYN-ACK is on its way to the client. */
gboolean
fw_handshake_in_flight (const FwWorld *world, const FwClient *client)
{
  GSequenceIter *iter;

  for (iter = g_sequence_get_begin_iter (world->events); !g_sequence_iter_is_end (iter);
       iter = g_sequence_iter_next (iter))
    {
      const Event *event = g_sequence_get (iter);
      WwFlowKey key;
      WwPacket packet;
      gsize length;
      const guint8 *data;

      if (event->kind != TO_CLIENT)
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
fw_check_finished (FwWorld *world)
{
  guint i;

  for (i = 0; i < world->n_clients; i++)
    if (!world->clients[i].finished && !world->clients[i].excused)
      fw_fault (world, "client %u did not finish: %u of %u requests, %u sent, %s", i,
                world->clients[i].done, world->clients[i].requests, world->clients[i].sent,
                world->clients[i].tcp->established ? "established" : "opening");
}
