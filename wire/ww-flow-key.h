#pragma once

#include "wb.h"

#include "ww-proto.h"

/**
 * DOC: Identification of flows, and the ranking of a service's endpoints for a flow.
 */

/**
 * struct WwFlowKey - 5-tuple of a flow, in the direction from client to service
 * @client_address: in host byte order, as are all fields
 * @protocol: WW_PROTOCOL_TCP or WW_PROTOCOL_UDP
 *
 * The structure has no padding, so that keys can be hashed and compared bytewise.
 */
typedef struct
{
  guint32 client_address;
  guint32 service_address;
  guint16 client_port;
  guint16 service_port;
  guint32 protocol;
} WwFlowKey;

/** ww_flow_key_hash() - GHashFunc for a WwFlowKey */
guint ww_flow_key_hash (gconstpointer key);

/** ww_flow_key_equal() - GEqualFunc for WwFlowKeys */
gboolean ww_flow_key_equal (gconstpointer a, gconstpointer b);

/** ww_flow_key_to_wire() - @key as it is encoded in messages */
ww_flow ww_flow_key_to_wire (const WwFlowKey *key);
WwFlowKey ww_flow_key_from_wire (const ww_flow *flow);

/**
 * ww_rank_endpoints() - ranks endpoints for a flow by rendezvous hashing
 * @key: the flow
 * @ids: endpoint ids
 * @count: number of endpoints, at most G_MAXUINT16
 * @order: (out) (array length=count): indices into @ids, highest rank first
 *
 * Adding or removing an endpoint does not change the relative order of the others.
 */
void ww_rank_endpoints (const WwFlowKey *key, const guint64 *ids, guint count, guint16 *order);

/**
 * ww_rank_endpoints_in_zone() - ranks endpoints for a flow that enters through an availability zone
 * @entry_zone: zone of the balancer that received the flow, as in ww_member; 0 when it is not known
 * @zones: zone of each of @ids; endpoints whose zone is not known (0) count as one more zone
 *
 * First the highest-ranked endpoint of @entry_zone, then the highest-ranked one of each other zone,
 * then the rest, each in the order of ww_rank_endpoints(). Whatever the entry zone, the first
 * endpoints are thus the homes of the flow for all entry zones. Without an entry zone the order is
 * that of ww_rank_endpoints().
 */
void ww_rank_endpoints_in_zone (const WwFlowKey *key,
                                guint32 entry_zone,
                                const guint64 *ids,
                                const guint32 *zones,
                                guint count,
                                guint16 *order);

/**
 * ww_rank_first() - index of the endpoint that ranks first for a flow, its home
 *
 * Cheaper than ww_rank_endpoints(). @count must not be 0.
 */
guint ww_rank_first (const WwFlowKey *key, const guint64 *ids, guint count);

/**
 * ww_rank_first_in_zone() - index of the endpoint that ww_rank_endpoints_in_zone() ranks first
 *
 * One pass that weighs at most as many endpoints as ww_rank_first(). @count must not be 0.
 */
guint ww_rank_first_in_zone (const WwFlowKey *key,
                             guint32 entry_zone,
                             const guint64 *ids,
                             const guint32 *zones,
                             guint count);
