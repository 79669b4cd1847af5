#include "wf-private.h"

/* Withdrawals are collected for this time. */
#define FLUSH_INTERVAL_US (1 * WB_US_PER_S)

/* A refresh takes six ticks of 10 s, so each flow is registered every 60 s. */
#define REFRESH_TICKS 6

/* Life of a provisional entry until the holder registers: longer than the wait of a queued initial
 * packet. */
#define PROVISIONAL_LIFETIME_US (60 * WB_US_PER_S)

/* Whether the flow has to be registered with its home. */
static gboolean
needs_registration (const WfFlow *flow)
{
  if (flow->state == WF_FLOW_HELD)
    return (flow->flags & WF_FLAG_CLIENT_UNSEEN) == 0;
  return flow->state == WF_FLOW_WAITING || flow->state == WF_FLOW_REFUSING;
}

/* Drops withdrawals of flows that have been opened here again since they were added to the batch.
 */
static void
drop_reopened (WfAgent *agent, WfRegistrationBatch *batch)
{
  guint i;

  for (i = batch->count; i > 0; i--)
    {
      WwFlowKey key = ww_flow_key_from_wire (&batch->flows[i - 1].flow);
      const WfFlow *flow = wf_table_find (agent->flows, &key, NULL);

      if (flow != NULL && needs_registration (flow))
        batch->flows[i - 1] = batch->flows[--batch->count];
    }
}

static void
send_batch (WfAgent *agent, WfRegistrationBatch *batch)
{
  ww_peer message = { .service_id = wf_moved_endpoint_service (agent, batch->endpoint_id),
                      .sender_id = agent->self_id };
  const WfEndpoint *self = NULL;
  guint i;

  if (batch->kind == WW_PEER_UNREGISTER)
    drop_reopened (agent, batch);
  if (batch->count == 0)
    return;
  for (i = 0; i < agent->endpoints->len && self == NULL; i++)
    if (g_array_index (agent->endpoints, WfEndpoint, i).id == agent->self_id)
      self = &g_array_index (agent->endpoints, WfEndpoint, i);
  message.body.kind = batch->kind;
  message.body.ww_peer_body_u.registration.incarnation = self == NULL ? 0 : self->incarnation;
  message.body.ww_peer_body_u.registration.flows.flows_len = batch->count;
  message.body.ww_peer_body_u.registration.flows.flows_val = batch->flows;
  g_byte_array_set_size (agent->datagram, 0);
  if (ww_peer_encode (&message, agent->datagram))
    agent->callbacks.to_endpoint (agent->callbacks.context, batch->endpoint_id,
                                  agent->datagram->data, agent->datagram->len);
  batch->count = 0;
}

static WfRegistrationBatch *
find_batch (WfAgent *agent, guint64 endpoint_id, ww_peer_kind kind)
{
  WfRegistrationBatch *batch;
  guint i;

  for (i = 0; i < agent->batches->len; i++)
    {
      batch = g_ptr_array_index (agent->batches, i);
      if (batch->endpoint_id == endpoint_id && batch->kind == kind)
        return batch;
    }
  batch = g_new0 (WfRegistrationBatch, 1);
  batch->endpoint_id = endpoint_id;
  batch->kind = kind;
  g_ptr_array_add (agent->batches, batch);
  return batch;
}

static void
add_to_batch (WfAgent *agent, guint64 endpoint_id, ww_peer_kind kind, const WfFlow *flow)
{
  WfRegistrationBatch *batch = find_batch (agent, endpoint_id, kind);
  ww_flow_entry *entry = &batch->flows[batch->count++];

  entry->flow = ww_flow_key_to_wire (&flow->key);
  entry->flags = 0;
  if (flow->flags & WF_FLAG_PAYLOAD_DELIVERED)
    entry->flags |= WF_REGISTRATION_DELIVERED;
  if (flow->state == WF_FLOW_WAITING)
    entry->flags |= WF_REGISTRATION_WAITING;
  if (batch->count == WW_MAX_REGISTER_FLOWS)
    send_batch (agent, batch);
}

void
wf_registration_flush (WfAgent *agent)
{
  guint i;

  for (i = 0; i < agent->batches->len; i++)
    {
      WfRegistrationBatch *batch = g_ptr_array_index (agent->batches, i);

      if (batch->count > 0)
        send_batch (agent, batch);
    }
  g_ptr_array_set_size (agent->batches, 0);
  agent->flush_due_us = WB_NEVER;
}

/* Adds the flow to the registrations for its home. Returns whether its home is another endpoint. */
static gboolean
add_registration (WfAgent *agent, WfFlow *flow)
{
  flow->home_id = wf_view_home (agent, &flow->key, flow->entry_zone);
  if (flow->home_id == agent->self_id || !wf_mechanism_enabled (agent, WF_DISABLE_REGISTRATION))
    return FALSE;
  wf_count (agent, WF_COUNTER_REGISTERED);
  flow->flags |= WF_FLAG_REGISTERED;
  add_to_batch (agent, flow->home_id, WW_PEER_REGISTER, flow);
  return TRUE;
}

/* Registers a flow with its home at once. */
void
wf_registration_send (WfAgent *agent, WfFlow *flow)
{
  WfRegistrationBatch *batch;

  if (!add_registration (agent, flow))
    return;
  batch = find_batch (agent, flow->home_id, WW_PEER_REGISTER);
  if (batch->count > 0)
    send_batch (agent, batch);
}

/* Sets the entry zone of a flow that was recovered without a header, from a packet of the server,
 * when the client's next packet names it, and registers the flow with the home that follows. A flow
 * that has an entry zone keeps it: packets through another zone find its home along the chain. */
void
wf_registration_set_entry_zone (WfAgent *agent, WfFlow *flow, guint32 entry_zone)
{
  if (flow->entry_zone != 0 || entry_zone == 0)
    return;
  flow->entry_zone = entry_zone;
  if (needs_registration (flow) && wf_view_home (agent, &flow->key, entry_zone) != flow->home_id)
    wf_registration_send (agent, flow);
}

/* Withdraws the registration of a flow with the next batch. */
void
wf_registration_withdraw (WfAgent *agent, const WfFlow *flow)
{
  if ((flow->flags & WF_FLAG_REGISTERED) == 0)
    return;
  add_to_batch (agent, flow->home_id, WW_PEER_UNREGISTER, flow);
  agent->flush_due_us = MIN (agent->flush_due_us, agent->now_us + FLUSH_INTERVAL_US);
}

/* Registers a part of the flows again and continues where the last call ended. */
void
wf_registration_refresh (WfAgent *agent)
{
  guint left = wf_table_count (agent->flows) / REFRESH_TICKS + 1;
  WfFlow *flow;

  while (left-- > 0)
    {
      flow = wf_table_next (agent->flows, &agent->refresh_cursor, NULL);
      if (flow == NULL)
        {
          agent->refresh_cursor = 0;
          break;
        }
      if (needs_registration (flow))
        (void) add_registration (agent, flow);
    }
  wf_registration_flush (agent);
}

/* Returns the incarnation of an endpoint of this service or another one, or 0. */
static guint64
find_incarnation (const GArray *endpoints, GHashTable *others, guint64 id)
{
  guint i;

  for (i = 0; i < endpoints->len; i++)
    if (g_array_index (endpoints, WfEndpoint, i).id == id)
      return g_array_index (endpoints, WfEndpoint, i).incarnation;
  return wf_moved_incarnation (others, id);
}

/* Registers the flows whose home has moved or restarted. @previous_others is NULL when the
 * endpoints of other services have not changed. */
void
wf_registration_endpoints_changed (WfAgent *agent,
                                   const GArray *previous,
                                   GHashTable *previous_others)
{
  GHashTable *others_before = previous_others != NULL ? previous_others : agent->other_services;
  guint32 cursor = 0;
  WfFlow *flow;

  while ((flow = wf_table_next (agent->flows, &cursor, NULL)) != NULL)
    {
      guint64 home_id;

      if (!needs_registration (flow))
        continue;
      home_id = wf_view_home (agent, &flow->key, flow->entry_zone);
      if (home_id != flow->home_id ||
          find_incarnation (previous, others_before, home_id) !=
              find_incarnation (agent->endpoints, agent->other_services, home_id))
        (void) add_registration (agent, flow);
    }
  wf_registration_flush (agent);
}

/* Registers the flows whose home is in another service again. */
void
wf_registration_repeat_moved (WfAgent *agent)
{
  guint32 cursor = 0;
  WfFlow *flow;

  while ((flow = wf_table_next (agent->flows, &cursor, NULL)) != NULL)
    if (needs_registration (flow) && wf_moved_service (agent, &flow->key) != agent->service_id)
      (void) add_registration (agent, flow);
  wf_registration_flush (agent);
}

/* Returns the registry entry of the flow @key, or NULL. */
WfRegistryEntry *
wf_registration_find (WfAgent *agent, const WwFlowKey *key, WbHandle *handle)
{
  return wf_table_find (agent->registry, key, handle);
}

/* Adds a provisional entry for a flow that this home has placed. */
void
wf_registration_add_provisional (WfAgent *agent, const WwFlowKey *key, guint64 holder_id)
{
  WbHandle handle;
  gpointer row = wf_registration_find (agent, key, &handle);
  WfRegistryEntry *entry = row;

  if (entry == NULL)
    {
      if (wf_table_count (agent->registry) >= agent->options.max_registry)
        {
          wf_count (agent, WF_COUNTER_LIMIT_REGISTRY);
          return;
        }
      handle = wf_table_add (agent->registry, key, &row);
      entry = row;
    }
  entry->holder_id = holder_id;
  entry->provisional = TRUE;
  entry->flags = WF_REGISTRATION_WAITING;
  entry->expires_us = agent->now_us + PROVISIONAL_LIFETIME_US;
  wf_table_set_due (agent->registry, handle, entry->expires_us);
}

/* Whether the flow was placed recently, so that its initial packet may be under way to the holder.
 */
gboolean
wf_registration_is_new_placement (const WfAgent *agent, const WfRegistryEntry *entry)
{
  return entry->provisional &&
         entry->expires_us - agent->now_us > PROVISIONAL_LIFETIME_US - WF_TOMBSTONE_LIFETIME_US;
}

/* Removes the registry entries that were not refreshed in time. */
void
wf_registration_expire (WfAgent *agent)
{
  WbHandle handle;
  WfRegistryEntry *entry;

  while ((entry = wf_table_pop_due (agent->registry, agent->now_us, &handle)) != NULL)
    {
      if (entry->expires_us > agent->now_us)
        {
          wf_table_set_due (agent->registry, handle, entry->expires_us);
          continue;
        }
      wf_count (agent, WF_COUNTER_REGISTRY_EXPIRED);
      wf_table_remove (agent->registry, handle);
    }
}
