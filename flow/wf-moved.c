#include "wf-private.h"

#include "wb-log.h"

/* For this time after a change of a route, a flow that its home does not know may be one of the
 * previous service that has not been registered yet. A configuration is in effect everywhere within
 * 5 s, and later while the platform's store fails. */
#define REGISTRATION_WAIT_US (20 * WB_US_PER_S)

/* Registrations with homes in another service are sent again after this time. */
#define REPEAT_AFTER_US (1 * WB_US_PER_S)

/* A packet of an unknown flow visits the previous service with at most this many hops, so that some
 * are left for the present one. */
#define SEARCH_HOPS (WW_MAX_HOPS / 2)

/* The endpoints of a service. The arrays have the same order. */
typedef struct
{
  GArray *endpoints; /* of WfEndpoint */
  GArray *ids;       /* of guint64 */
  GArray *zones;     /* of guint32 */
} OtherService;

static void
other_service_free (gpointer data)
{
  OtherService *service = data;

  g_array_unref (service->endpoints);
  g_array_unref (service->ids);
  g_array_unref (service->zones);
  g_free (service);
}

GHashTable *
wf_moved_new_services (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, other_service_free);
}

static OtherService *
add_service (const WfAgent *agent, GHashTable *services, guint64 service_id)
{
  OtherService *service = g_new0 (OtherService, 1);
  guint i;

  service->endpoints = g_array_new (FALSE, FALSE, sizeof (WfEndpoint));
  service->ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  service->zones = g_array_new (FALSE, FALSE, sizeof (guint32));
  if (agent->callbacks.list_endpoints != NULL)
    agent->callbacks.list_endpoints (agent->callbacks.context, service_id, service->endpoints);
  for (i = 0; i < service->endpoints->len; i++)
    {
      const WfEndpoint *endpoint = &g_array_index (service->endpoints, WfEndpoint, i);

      g_array_append_val (service->ids, endpoint->id);
      g_array_append_val (service->zones, endpoint->zone);
    }
  g_hash_table_insert (services, g_memdup2 (&service_id, sizeof service_id), service);
  return service;
}

/* Returns the home of a flow in another service, or 0 when the service has no endpoint. */
static guint64
home_in_service (WfAgent *agent, guint64 service_id, const WwFlowKey *key, guint32 entry_zone)
{
  const OtherService *service = g_hash_table_lookup (agent->other_services, &service_id);
  const guint64 *ids;

  if (service == NULL)
    service = add_service (agent, agent->other_services, service_id);
  if (service->ids->len == 0)
    return 0;
  ids = (const guint64 *) (gpointer) service->ids->data;
  return ids[ww_rank_first_in_zone (
      key, entry_zone, ids, (const guint32 *) (gpointer) service->zones->data, service->ids->len)];
}

static const WcRoute *
find_route (const WfAgent *agent, const WwFlowKey *key)
{
  return agent->config == NULL ? NULL
                               : wc_config_find_route (agent->config, key->service_address,
                                                       key->service_port, (guint16) key->protocol);
}

/* Returns the service that gets new flows with this key. A configuration that is known to be out of
 * date cannot tell that it is another one. */
guint64
wf_moved_service (const WfAgent *agent, const WwFlowKey *key)
{
  const WcRoute *route;
  guint64 service_id;

  if (wf_route_config_is_outdated (agent) ||
      !wf_mechanism_enabled (agent, WF_DISABLE_SERVICE_CHECK))
    return agent->service_id;
  route = find_route (agent, key);
  service_id = route != NULL ? wc_route_choose (route, key) : 0;
  return service_id != 0 ? service_id : agent->service_id;
}

/* Returns the home of a flow whose destination has moved to another service, or 0 when it has not
 * or when that service has no endpoint. */
guint64
wf_moved_home (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone)
{
  guint64 service_id = wf_moved_service (agent, key);

  return service_id == agent->service_id ? 0 : home_in_service (agent, service_id, key, entry_zone);
}

/* Returns the service of an endpoint; that of this agent when the endpoint is not known. */
guint64
wf_moved_endpoint_service (const WfAgent *agent, guint64 endpoint_id)
{
  guint64 service_id = 0;

  if (!wf_view_contains (agent, endpoint_id) && agent->callbacks.endpoint_service != NULL)
    service_id = agent->callbacks.endpoint_service (agent->callbacks.context, endpoint_id);
  return service_id != 0 ? service_id : agent->service_id;
}

/* Whether a packet whose destination the configuration gives to another service is routed: it may
 * be of an open flow of this one, or come through a balancer that does not know of the move yet.
 * While the configuration is out of date it is not known where a new flow belongs. */
gboolean
wf_moved_accepts (const WfAgent *agent, const WfReceivedPacket *received)
{
  gboolean may_open = wf_route_is_initial (received) || received->key.protocol == WW_PROTOCOL_UDP;

  if (find_route (agent, &received->key) == NULL)
    return FALSE;
  return !may_open || !wf_route_config_is_outdated (agent) ||
         wf_table_find (agent->flows, &received->key, NULL) != NULL;
}

/* Whether the server may send packets of a flow whose destination the configuration gives to
 * another service: the flow was opened before, and an agent that has started since may not have a
 * row for it. */
gboolean
wf_moved_accepts_outgoing (WfAgent *agent, const WwFlowKey *key)
{
  const WfFlow *flow = wf_table_find (agent->flows, key, NULL);

  return find_route (agent, key) != NULL &&
         ((flow != NULL && flow->state != WF_FLOW_NOT_HELD) || wf_probe_in_recovery_period (agent));
}

/* An endpoint with an older configuration has placed a flow here, or left its placement to this
 * endpoint, and sends the later packets here too: they go the same way as the initial one. */
static void
add_tombstone (WfAgent *agent, const WfReceivedPacket *received, guint64 home_id)
{
  WbHandle handle;
  WfFlow *flow =
      wf_flow_add (agent, &received->key, received->header.entry_zone, WF_FLOW_TOMBSTONE, &handle);

  if (flow != NULL)
    wf_placement_set_tombstone (agent, flow, handle, home_id);
}

/* Returns the home in another service that has asked for the flow of a packet here, or 0. */
static guint64
asking_home (const WfAgent *agent, guint64 home_id)
{
  return wf_moved_endpoint_service (agent, home_id) != agent->service_id ? home_id : 0;
}

/* Routes a packet of an unknown flow whose destination has moved to another service: a new flow
 * belongs there, and an open one is registered there. Returns FALSE when the packet is to be routed
 * like one of this service: it is looked for here because the other one does not know it. */
gboolean
wf_moved_route_unknown (WfAgent *agent, WfReceivedPacket *received)
{
  gboolean may_open = wf_route_is_initial (received) || received->key.protocol == WW_PROTOCOL_UDP;
  gboolean to_holder = received->header.kind == WW_ENCAP_TO_HOLDER;
  gboolean from_other =
      wf_moved_endpoint_service (agent, received->header.sender_id) != agent->service_id;
  guint64 home_id;

  /* The other service takes this one for the previous one, whatever the configuration here says. */
  if (!may_open && received->header.kind == WW_ENCAP_FORWARD &&
      asking_home (agent, received->header.home_id) != 0)
    {
      received->header.kind = WW_ENCAP_CHAIN;
      return FALSE;
    }
  if (wf_moved_service (agent, &received->key) == agent->service_id)
    return FALSE;
  home_id = wf_moved_home (agent, &received->key, received->header.entry_zone);
  if (!may_open &&
      (home_id == 0 || to_holder || from_other || received->header.kind == WW_ENCAP_CHAIN))
    {
      if (from_other && !to_holder)
        received->header.kind = WW_ENCAP_CHAIN;
      return FALSE;
    }
  /* A new flow that the other service sends here goes back only if this endpoint is named as its
   * holder. */
  if (home_id == 0 || (from_other && !to_holder))
    {
      wf_count (agent, WF_COUNTER_WRONG_SERVICE);
      return TRUE;
    }
  if (may_open && !to_holder && received->header.kind != WW_ENCAP_FORWARD)
    add_tombstone (agent, received, home_id);
  wf_count (agent, WF_COUNTER_FORWARDED_MOVED);
  wf_route_forward (agent, received, WW_ENCAP_FORWARD, home_id);
  return TRUE;
}

/* Returns the home to which a packet goes back that no endpoint of this service knows: the one in
 * the service that has its destination now, or else the one that has asked; 0 when there is none.
 * @chain_home_id is the home that the packet names. It becomes 0 when the packet has then been to
 * both services, and is not returned again. */
static guint64
home_to_return_to (WfAgent *agent, const WwFlowKey *key, guint32 entry_zone, guint64 *chain_home_id)
{
  guint64 asking_id = asking_home (agent, *chain_home_id);
  guint64 home_id;

  if (*chain_home_id == 0 || key->protocol != WW_PROTOCOL_TCP)
    return 0;
  home_id = wf_moved_home (agent, key, entry_zone);
  if (home_id == 0)
    home_id = asking_id;
  if (asking_id == 0 ||
      wf_moved_endpoint_service (agent, home_id) == wf_moved_endpoint_service (agent, asking_id))
    *chain_home_id = 0;
  return home_id;
}

/* Whether a packet has visited enough endpoints of this service: the other one, to which its
 * destination has moved, may hold the flow too. */
gboolean
wf_moved_has_searched (WfAgent *agent, const WfReceivedPacket *received)
{
  guint64 chain_home_id = received->header.home_id;

  return received->header.hops >= SEARCH_HOPS &&
         home_to_return_to (agent, &received->key, received->header.entry_zone, &chain_home_id) !=
             0;
}

/* Returns a packet that no endpoint of this service knows to its home in the service that has its
 * destination now, or to the home that has asked; the chain continues there. Returns FALSE when
 * there is neither. */
gboolean
wf_moved_return (WfAgent *agent, const WfReceivedPacket *received)
{
  WfReceivedPacket returned = *received;
  guint64 home_id = wf_route_is_initial (received)
                        ? 0
                        : home_to_return_to (agent, &received->key, received->header.entry_zone,
                                             &returned.header.home_id);

  if (home_id == 0)
    return FALSE;
  wf_count (agent, WF_COUNTER_FORWARDED_MOVED);
  wf_route_forward (agent, &returned, WW_ENCAP_CHAIN, home_id);
  return TRUE;
}

/* Like wf_moved_return(), for the queued packets of a flow that the server does not hold. */
gboolean
wf_moved_return_queue (WfAgent *agent, WfFlow *flow)
{
  guint64 chain_home_id = flow->peer_id;
  guint64 home_id = home_to_return_to (agent, &flow->key, flow->entry_zone, &chain_home_id);

  if (home_id == 0)
    return FALSE;
  wf_count (agent, WF_COUNTER_FORWARDED_MOVED);
  wf_route_send_queue (agent, flow, WW_ENCAP_CHAIN, home_id, chain_home_id);
  return TRUE;
}

/* Returns the service that had the destination until recently, or 0. A configuration that is out of
 * date may still give the destination to that service. */
static guint64
previous_service (const WfAgent *agent, const WwFlowKey *key)
{
  const WcRoute *route = find_route (agent, key);
  guint64 present_id, service_id;

  if (route == NULL || key->protocol != WW_PROTOCOL_TCP ||
      wf_moved_service (agent, key) != agent->service_id)
    return 0;
  present_id = wc_route_choose (route, key);
  if (present_id != 0 && present_id != agent->service_id)
    return present_id;
  service_id =
      wc_history_service (agent->history, agent->config, key, agent->now_us - REGISTRATION_WAIT_US);
  return service_id != agent->service_id ? service_id : 0;
}

/* Whether the flow may be one of another service that has not been registered here yet. */
gboolean
wf_moved_is_recent (const WfAgent *agent, const WwFlowKey *key)
{
  return previous_service (agent, key) != 0;
}

/* Whether the other service asks for the flow of a packet here, or has returned the packet. */
static gboolean
has_been_in_other_service (const WfAgent *agent, const ww_encap *header)
{
  return header->kind == WW_ENCAP_CHAIN &&
         (header->home_id == 0 || asking_home (agent, header->home_id) != 0 ||
          wf_moved_endpoint_service (agent, header->sender_id) != agent->service_id);
}

/* Forwards a packet of an unknown flow to its home in the service that had the destination until
 * recently, after the homes for the other entry zones here, one of which may know the flow. Returns
 * FALSE when there is no such service, or when the packet has been there. */
gboolean
wf_moved_to_previous (WfAgent *agent, const WfReceivedPacket *received)
{
  guint64 service_id = wf_route_is_initial (received) || received->header.hops >= SEARCH_HOPS
                           ? 0
                           : previous_service (agent, &received->key);
  guint32 entry_zone = received->header.entry_zone;
  guint64 previous_home_id, next_home_id;

  if (service_id == 0 || has_been_in_other_service (agent, &received->header))
    return FALSE;
  previous_home_id = home_in_service (agent, service_id, &received->key, entry_zone);
  if (previous_home_id == 0)
    return FALSE;
  next_home_id = entry_zone != 0 ? wf_view_next_home (agent, &received->key, entry_zone) : 0;
  if (next_home_id != 0)
    {
      wf_count (agent, WF_COUNTER_FORWARDED_CHAIN);
      wf_route_forward (agent, received, WW_ENCAP_CHAIN, next_home_id);
      return TRUE;
    }
  wf_count (agent, WF_COUNTER_FORWARDED_MOVED);
  wf_route_forward (agent, received, WW_ENCAP_FORWARD, previous_home_id);
  return TRUE;
}

/* Registers the flows whose home is in another service now, or here again. */
void
wf_moved_config_changed (WfAgent *agent, guint n_routes)
{
  guint32 cursor = 0;
  guint flows = 0;
  const WfFlow *flow;

  if (n_routes == 0)
    return;
  g_hash_table_remove_all (agent->other_services);
  wf_registration_endpoints_changed (agent, agent->endpoints, NULL);
  agent->moved_repeat_us = agent->now_us + REPEAT_AFTER_US;
  while ((flow = wf_table_next (agent->flows, &cursor, NULL)) != NULL)
    if (flow->state == WF_FLOW_HELD && wf_moved_service (agent, &flow->key) != agent->service_id)
      flows++;
  wb_log_info ("routes_moved", WB_NUMBER ("config", agent->config->version),
               WB_NUMBER ("routes", n_routes), WB_NUMBER ("flows_of_other_services", flows));
}

/* Lists the endpoints of the other services again. Return: (nullable): the lists before, for
 * wf_moved_incarnation(), when one has changed */
GHashTable *
wf_moved_refresh (WfAgent *agent)
{
  g_autoptr (GHashTable) previous = NULL;
  gboolean changed = FALSE;
  GHashTableIter iter;
  gpointer key, value;

  if (g_hash_table_size (agent->other_services) == 0)
    return NULL;
  previous = g_steal_pointer (&agent->other_services);
  agent->other_services = wf_moved_new_services ();
  g_hash_table_iter_init (&iter, previous);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const OtherService *before = value;
      const OtherService *now = add_service (agent, agent->other_services, *(const guint64 *) key);

      changed = changed || !wf_view_same_endpoints (before->endpoints, now->endpoints);
    }
  if (!changed)
    return NULL;
  agent->moved_repeat_us = agent->now_us + REPEAT_AFTER_US;
  return g_steal_pointer (&previous);
}

/* Repeats the registrations of flows whose home is in another service: no endpoint there finds the
 * holder of a flow whose registration was lost. */
void
wf_moved_tick (WfAgent *agent)
{
  if (agent->now_us < agent->moved_repeat_us)
    return;
  agent->moved_repeat_us = WB_NEVER;
  wf_registration_repeat_moved (agent);
}

/* Returns the incarnation of an endpoint of another service, or 0 when it is not listed. */
guint64
wf_moved_incarnation (GHashTable *services, guint64 endpoint_id)
{
  GHashTableIter iter;
  gpointer value;
  guint i;

  if (services == NULL)
    return 0;
  g_hash_table_iter_init (&iter, services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const GArray *endpoints = ((const OtherService *) value)->endpoints;

      for (i = 0; i < endpoints->len; i++)
        if (g_array_index (endpoints, WfEndpoint, i).id == endpoint_id)
          return g_array_index (endpoints, WfEndpoint, i).incarnation;
    }
  return 0;
}
