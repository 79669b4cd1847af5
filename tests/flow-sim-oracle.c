#include "flow-sim-private.h"

/*
 * What may reach a backend server of the simulation.
 */

/* The users count a flow as misrouted when for this time at least so many of its packets reach
 * other servers and none its own. */
#define STRAYS_MIN 3
#define STRAYS_TIME_US (2 * WB_US_PER_S)

/* A flow does not count as misrouted for this time after an unplanned disruption of its server or
 * of the agent beside that. */
#define STABILITY_TIME_US (4 * WB_US_PER_S)

/* Longer than a packet takes along all endpoints, and shorter than a client takes to send it again.
 */
#define CHAIN_TIME_US (100 * WB_US_PER_MS)

/* Time after which a client gives up opening a flow. */
#define INITIAL_PACKET_WAIT_US (1400 * WB_US_PER_MS)

/* An initial packet may reach the server of an evacuated endpoint only when that has sent its
 * SYN-ACK already. */
static void
check_initial_packet (FsSim *sim, guint index, const WwPacket *packet)
{
  const FsAgent *agent = &sim->agents[index];
  WwFlowKey key = ww_packet_key_from_client (packet);

  if (packet->protocol == WW_PROTOCOL_TCP &&
      (packet->tcp_flags & (WW_TCP_SYN | WW_TCP_ACK)) == WW_TCP_SYN && agent->knows_evacuated &&
      !g_hash_table_contains (agent->connections, &key))
    fs_add_violation (sim, "agent %u delivered an initial packet in an evacuated zone", index);
}

/* Whether a configuration that is in effect at an agent, or that others have before it, gives new
 * flows to its service. An initial packet may have waited there since before the last change. */
static gboolean
may_open (const FsSim *sim, const FsAgent *agent, const WwFlowKey *key)
{
  gboolean may_have_waited = sim->now_us - agent->config_changed_us < INITIAL_PACKET_WAIT_US;
  guint64 version = may_have_waited ? agent->previous_version : agent->config_version;
  guint i;

  for (i = (guint) version - 1; i < sim->configs->len; i++)
    {
      const WcRoute *route =
          wc_config_find_route (g_ptr_array_index (sim->configs, i), key->service_address,
                                key->service_port, (guint16) key->protocol);

      if (route != NULL && wc_route_has_target (route, agent->service_id))
        return TRUE;
    }
  return FALSE;
}

/* Whether the server has the end of the handshake of a flow that its two ends have not closed. */
static gboolean
has_open_flow (const FsAgent *agent, const WwFlowKey *key)
{
  const FsConnection *connection = g_hash_table_lookup (agent->connections, key);

  return connection != NULL && connection->tcp->established && !connection->tcp->reset &&
         !(connection->tcp->fin_received && connection->tcp->fin_queued);
}

static gboolean
was_disrupted (const FsSim *sim, const FsAgent *agent)
{
  return sim->now_us < agent->disrupted_until_us + STABILITY_TIME_US;
}

/* Counts the packets of an open flow that reach servers of another service and then none of its
 * own. One packet may visit several servers, with probes, before it reaches its own. */
static void
count_strays (FsSim *sim, guint index, const WwPacket *packet, gboolean is_open)
{
  const FsAgent *agent = &sim->agents[index];
  guint number = packet->source_address & 0xff;
  FsClient *client = &sim->clients[number];
  WwFlowKey key = ww_packet_key_from_client (packet);
  guint i;

  if (number >= sim->n_clients)
    return;
  if (is_open)
    client->n_strays = 0;
  for (i = 0; i < sim->n_agents && !is_open; i++)
    {
      if (sim->agents[i].service_id == agent->service_id ||
          !has_open_flow (&sim->agents[i], &key) || was_disrupted (sim, &sim->agents[i]) ||
          (client->n_strays > 0 && sim->now_us - client->last_stray_us < CHAIN_TIME_US))
        continue;
      if (client->n_strays >= STRAYS_MIN && sim->now_us - client->first_stray_us >= STRAYS_TIME_US)
        fs_add_violation (sim,
                          "agent %u delivered a packet of client %u, whose flow agent %u holds",
                          index, number, i);
      if (client->n_strays++ == 0)
        client->first_stray_us = sim->now_us;
      client->last_stray_us = sim->now_us;
    }
}

/* What may open a flow, and payload, must be for the service of the server that it reaches. Open
 * flows stay where they are when their destination moves to another service; an agent that has
 * started since finds them with probes. */
static void
check_service (FsSim *sim, guint index, const WwPacket *packet)
{
  const FsAgent *agent = &sim->agents[index];
  WwFlowKey key = ww_packet_key_from_client (packet);
  gboolean is_open = g_hash_table_contains (agent->connections, &key);

  if (!is_open && ((packet->tcp_flags & WW_TCP_SYN) || packet->payload_length > 0) &&
      !may_open (sim, agent, &key))
    fs_add_violation (sim, "agent %u delivered a packet of client %u for another service", index,
                      packet->source_address & 0xff);
  count_strays (sim, index, packet, is_open);
}

/* The oracle of what reaches a server: it must be for the service of that server, no other server
 * may have received payload of the flow, and its request may not have been refused. */
void
fs_check_delivery (FsSim *sim, guint index, const WwPacket *packet)
{
  guint number = packet->source_address & 0xff;
  FsClient *client = &sim->clients[number];
  guint32 end;

  check_service (sim, index, packet);
  check_initial_packet (sim, index, packet);
  if (packet->payload_length == 0 || number >= sim->n_clients || client->tcp == NULL)
    return;
  if (client->holder_index >= 0 && client->holder_index != (gint) index)
    fs_add_violation (sim, "payload of client %u delivered at two endpoints: agents %d and %u",
                      number, client->holder_index, index);
  client->holder_index = (gint) index;
  end = packet->sequence + (guint32) packet->payload_length - client->tcp->iss - 1;
  client->delivered_end = MAX (client->delivered_end, end);
  if (client->refused_request >= 0 &&
      client->delivered_end > (guint) client->refused_request * FS_REQUEST_BYTES)
    fs_add_violation (sim, "request %d of client %u delivered after its refusal",
                      client->refused_request, number);
}
