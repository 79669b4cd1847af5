#pragma once

#include "wb.h"

#include "ww-proto.h"

/**
 * struct WwFlowKey - the 5-tuple of a flow, as seen in packets from the client
 * @client_address: host byte order, as are all fields
 *
 * The structure has no padding, so that keys can be hashed and compared as bytes.
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

/** ww_flow_key_to_wire() - the message form of @key */
ww_flow ww_flow_key_to_wire (const WwFlowKey *key);
WwFlowKey ww_flow_key_from_wire (const ww_flow *flow);

/**
 * ww_rank_endpoints() - ranks endpoints for a flow by rendezvous hashing
 * @key: the flow
 * @ids: endpoint ids
 * @count: number of endpoints, at most G_MAXUINT16
 * @order: (out) (array length=count): indices into @ids, highest rank first
 *
 * Adding or removing an endpoint leaves the relative order of the others as it was.
 */
void ww_rank_endpoints (const WwFlowKey *key, const guint64 *ids, guint count, guint16 *order);

/**
 * ww_rank_first() - index of the endpoint that ranks first
 *
 * Cheaper than ww_rank_endpoints() when only the home is needed. @count must not be 0.
 */
guint ww_rank_first (const WwFlowKey *key, const guint64 *ids, guint count);
