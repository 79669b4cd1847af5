#include "flow-world-private.h"

#include <string.h>

static void
emit_to_balancer (gpointer context, const GByteArray *packet)
{
  FwWorld *world = context;
  WwPacket parsed;

  if (ww_packet_parse (packet->data, packet->len, &parsed) != WW_PACKET_OK ||
      world->clients[parsed.source_address & 0xff].unreachable)
    return;
  fw_post_lossy (world, TO_BALANCER, (guint) g_rand_int_range (world->random, 0, FW_BALANCERS),
                 packet->data, packet->len, FW_CLIENT_LATENCY_US);
}

static void
emit_from_server (gpointer context, const GByteArray *packet)
{
  const FwSlot *slot = context;

  if (!slot->world->agents[slot->index].server_silent)
    fw_post (slot->world, FROM_SERVER, slot->index, g_bytes_new (packet->data, packet->len),
             FW_SERVER_LATENCY_US);
}

void
fw_served_free (gpointer data)
{
  FwServed *served = data;

  ft_connection_free (served->tcp);
  g_free (served);
}

static WwFlowKey
client_key (guint number, guint16 port, guint32 protocol)
{
  WwFlowKey key = { 0x0a000000 + number, FW_ADDRESS, (guint16) (2000 + number), port, protocol };

  return key;
}

FwClient *
fw_client (FwWorld *world, guint requests, gint64 gap_us, guint length, guint service_ms)
{
  guint number = world->n_clients++;
  FwClient *client = &world->clients[number];
  WwFlowKey key = client_key (number, FW_PORT, WW_PROTOCOL_TCP);

  client->tcp = ft_connection_new (&key, TRUE, g_rand_int (world->random));
  client->tcp->emit = emit_to_balancer;
  client->tcp->context = world;
  client->requests = requests;
  client->gap_us = gap_us;
  client->response_length = length;
  client->service_ms = service_ms;
  client->refused = client->holder = -1;
  ft_open (client->tcp, world->now_us);
  return client;
}

void
fw_send_udp (FwWorld *world, guint client, const gchar *text)
{
  WwFlowKey key = client_key (client, FW_UDP_PORT, WW_PROTOCOL_UDP);
  WwPacket packet = { .source_address = key.client_address,
                      .destination_address = key.service_address,
                      .source_port = key.client_port,
                      .destination_port = key.service_port,
                      .protocol = WW_PROTOCOL_UDP,
                      .payload = (const guint8 *) text,
                      .payload_length = strlen (text) };
  g_autoptr (GByteArray) bytes = ww_packet_build_udp (&packet);

  emit_to_balancer (world, bytes);
}

/* The byte that fills the response to a request; never the first letter of the refusal text. */
static guint8
response_byte (guint client, guint request)
{
  return (guint8) (0x80 | ((client * 7 + request) & 0x3f));
}

static void
send_request (FwWorld *world, FwClient *client, guint number)
{
  guint8 request[FW_REQUEST_LENGTH] = { (guint8) number, (guint8) client->sent };

  request[2] = (guint8) (client->response_length >> 8);
  request[3] = (guint8) client->response_length;
  request[4] = (guint8) (client->service_ms >> 8);
  request[5] = (guint8) client->service_ms;
  g_byte_array_append (client->tcp->out, request, sizeof request);
  client->sent++;
  ft_output (client->tcp, world->now_us);
}

static void
client_refused (FwWorld *world, FwClient *client, guint number)
{
  client->refused = (gint) client->done;
  if (client->delivered > client->done * FW_REQUEST_LENGTH)
    fw_fault (world, "R3: request %u of client %u refused after delivery", client->done, number);
}

/* Runs the client's side of the exchange: request, complete response, gap, and FIN at the end. */
void
fw_client_step (FwWorld *world, guint number)
{
  FwClient *client = &world->clients[number];
  guint offset = client->done * client->response_length;

  if (client->finished || !client->tcp->established)
    return;
  if (client->sent > client->done && client->refused < 0)
    {
      const GByteArray *in = client->tcp->in;

      if (in->len > offset && in->data[offset] == 'R')
        client_refused (world, client, number);
      else if (in->len >= offset + client->response_length)
        {
          guint i;

          for (i = offset; i < offset + client->response_length; i++)
            if (in->data[i] != response_byte (number, client->done))
              {
                fw_fault (world, "I3: client %u got a wrong byte", number);
                break;
              }
          client->done++;
          client->next_request_us = world->now_us + client->gap_us;
        }
    }
  if (client->refused < 0 && client->sent == client->done && client->sent < client->requests)
    {
      if (world->now_us >= client->next_request_us)
        send_request (world, client, number);
      return;
    }
  if (client->refused < 0 && client->done < client->requests)
    return;
  client->tcp->fin = TRUE;
  client->finished = TRUE;
  ft_output (client->tcp, world->now_us);
}

void
fw_server_step (FwWorld *world, guint index, FwServed *served)
{
  FtConnection *tcp = served->tcp;

  if (served->answer_us == WB_NEVER && tcp->in->len >= served->consumed + FW_REQUEST_LENGTH)
    {
      const guint8 *request = tcp->in->data + served->consumed;

      memcpy (served->answer, request, sizeof served->answer);
      served->consumed += FW_REQUEST_LENGTH;
      served->answer_us = world->now_us + (request[4] * 256 + request[5]) * WB_US_PER_MS;
      world->agents[index].requests++;
    }
  if (served->answer_us <= world->now_us)
    {
      guint length = served->answer[2] * 256U + served->answer[3];
      guint offset = tcp->out->len;

      g_byte_array_set_size (tcp->out, offset + length);
      memset (tcp->out->data + offset, response_byte (served->answer[0], served->answer[1]),
              length);
      served->answer_us = WB_NEVER;
      ft_output (tcp, world->now_us);
    }
  if (tcp->peer_fin && !tcp->fin && served->answer_us == WB_NEVER)
    {
      tcp->fin = TRUE;
      ft_output (tcp, world->now_us);
    }
}

static void
server_udp (FwWorld *world, guint index, const WwPacket *packet)
{
  WwPacket answer = { .source_address = packet->destination_address,
                      .destination_address = packet->source_address,
                      .source_port = packet->destination_port,
                      .destination_port = packet->source_port,
                      .protocol = WW_PROTOCOL_UDP,
                      .payload = packet->payload,
                      .payload_length = packet->payload_length };
  g_autoptr (GByteArray) bytes = ww_packet_build_udp (&answer);

  world->agents[index].requests++;
  emit_from_server (&world->slots[index], bytes);
}

void
fw_server_input (FwWorld *world, guint index, const guint8 *data, gsize length)
{
  FwAgent *agent = &world->agents[index];
  FwServed *served;
  WwPacket packet;
  WwFlowKey key;

  (void) ww_packet_parse (data, length, &packet);
  if (packet.protocol == WW_PROTOCOL_UDP)
    {
      server_udp (world, index, &packet);
      return;
    }
  key = ww_packet_key_from_client (&packet);
  served = g_hash_table_lookup (agent->served, &key);
  if (served == NULL && (packet.tcp_flags & WW_TCP_SYN))
    {
      served = g_new0 (FwServed, 1);
      served->tcp = ft_connection_new (&key, FALSE, g_rand_int (world->random));
      served->tcp->emit = emit_from_server;
      served->tcp->context = &world->slots[index];
      served->answer_us = WB_NEVER;
      g_hash_table_insert (agent->served, &served->tcp->key, served);
      agent->initials++;
      ft_accept (served->tcp, &packet, world->now_us);
      return;
    }
  if (served == NULL)
    {
      if ((packet.tcp_flags & WW_TCP_RST) == 0)
        {
          g_autoptr (GByteArray) reply = ft_reset_reply (&packet);

          emit_from_server (&world->slots[index], reply);
        }
      return;
    }
  ft_input (served->tcp, &packet, world->now_us);
  if (served->tcp->reset)
    g_hash_table_remove (agent->served, &key);
  else
    fw_server_step (world, index, served);
}

void
fw_client_input (FwWorld *world, const guint8 *data, gsize length)
{
  WwPacket packet;
  guint number;
  FwClient *client;

  (void) ww_packet_parse (data, length, &packet);
  number = packet.destination_address & 0xff;
  client = &world->clients[number];
  if (packet.protocol == WW_PROTOCOL_UDP)
    world->udp_answers++;
  else if (!client->unreachable && !client->tcp->reset)
    {
      ft_input (client->tcp, &packet, world->now_us);
      if (client->tcp->reset && !client->finished && !client->excused)
        fw_fault (world, "client %u was reset", number);
      fw_client_step (world, number);
    }
}
