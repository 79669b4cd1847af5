#include "ww-flow-key.h"

#include <string.h>

guint
ww_flow_key_hash (gconstpointer key)
{
  return (guint) wb_hash64 (key, sizeof (WwFlowKey), 0);
}

gboolean
ww_flow_key_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (WwFlowKey)) == 0;
}

ww_flow
ww_flow_key_to_wire (const WwFlowKey *key)
{
  ww_flow flow = {
    .client_address = key->client_address,
    .service_address = key->service_address,
    .ports = ((guint32) key->client_port << 16) | key->service_port,
    .protocol = key->protocol,
  };

  return flow;
}

WwFlowKey
ww_flow_key_from_wire (const ww_flow *flow)
{
  WwFlowKey key = {
    .client_address = flow->client_address,
    .service_address = flow->service_address,
    .client_port = (guint16) (flow->ports >> 16),
    .service_port = (guint16) (flow->ports & 0xffff),
    .protocol = flow->protocol,
  };

  return key;
}

/* Weight of an endpoint for a flow in rendezvous hashing. Two mixing rounds suffice because flow
 * hash and id are already hashes. */
static guint64
rank_weight (guint64 flow_hash, guint64 id)
{
  guint64 mixed = flow_hash ^ id;

  mixed ^= mixed >> 33;
  mixed *= G_GUINT64_CONSTANT (0xff51afd7ed558ccd);
  mixed ^= mixed >> 33;
  mixed *= G_GUINT64_CONSTANT (0xc4ceb9fe1a85ec53);
  mixed ^= mixed >> 33;
  return mixed;
}

/* Ties are broken by id, so that every process ranks alike, whatever the order of its table. */
static gboolean
ranks_before (guint64 weight_a, guint64 id_a, guint64 weight_b, guint64 id_b)
{
  if (weight_a != weight_b)
    return weight_a > weight_b;
  return id_a > id_b;
}

void
ww_rank_endpoints (const WwFlowKey *key, const guint64 *ids, guint count, guint16 *order)
{
  guint64 flow_hash = wb_hash64 (key, sizeof *key, 0);
  guint i, j;

  /* Insertion sort, as services have few endpoints: under three on average, tens at most. */
  for (i = 0; i < count; i++)
    {
      guint64 weight = rank_weight (flow_hash, ids[i]);

      for (j = i; j > 0; j--)
        {
          guint64 other = ids[order[j - 1]];

          if (!ranks_before (weight, ids[i], rank_weight (flow_hash, other), other))
            break;
          order[j] = order[j - 1];
        }
      order[j] = (guint16) i;
    }
}

guint
ww_rank_first (const WwFlowKey *key, const guint64 *ids, guint count)
{
  guint64 flow_hash = wb_hash64 (key, sizeof *key, 0);
  guint64 best_weight = rank_weight (flow_hash, ids[0]);
  guint best = 0;
  guint i;

  for (i = 1; i < count; i++)
    {
      guint64 weight = rank_weight (flow_hash, ids[i]);

      if (!ranks_before (weight, ids[i], best_weight, ids[best]))
        continue;
      best = i;
      best_weight = weight;
    }
  return best;
}

/* Moves the highest-ranked endpoint of @zone among those from @position on to @position, and keeps
 * the order of the others. Return: whether there was one. */
static gboolean
move_first_of_zone (guint32 zone, const guint32 *zones, guint count, guint position, guint16 *order)
{
  guint16 first;
  guint i;

  for (i = position; i < count && zones[order[i]] != zone; i++)
    ;
  if (i == count)
    return FALSE;
  first = order[i];
  memmove (&order[position + 1], &order[position], (i - position) * sizeof *order);
  order[position] = first;
  return TRUE;
}

static gboolean
has_zone (guint32 zone, const guint32 *zones, const guint16 *order, guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    if (zones[order[i]] == zone)
      return TRUE;
  return FALSE;
}

void
ww_rank_endpoints_in_zone (const WwFlowKey *key,
                           guint32 entry_zone,
                           const guint64 *ids,
                           const guint32 *zones,
                           guint count,
                           guint16 *order)
{
  guint leading, i;

  ww_rank_endpoints (key, ids, count, order);
  if (entry_zone == 0)
    return;
  leading = move_first_of_zone (entry_zone, zones, count, 0, order) ? 1 : 0;
  for (i = leading; i < count; i++)
    {
      guint32 zone = zones[order[i]];

      if (has_zone (zone, zones, order, leading))
        continue;
      (void) move_first_of_zone (zone, zones, count, leading, order);
      leading++;
    }
}

guint
ww_rank_first_in_zone (
    const WwFlowKey *key, guint32 entry_zone, const guint64 *ids, const guint32 *zones, guint count)
{
  guint64 flow_hash = wb_hash64 (key, sizeof *key, 0);
  guint64 best_weight = rank_weight (flow_hash, ids[0]);
  gboolean best_in_zone = entry_zone != 0 && zones[0] == entry_zone;
  guint best = 0;
  guint i;

  for (i = 1; i < count; i++)
    {
      gboolean in_zone = entry_zone != 0 && zones[i] == entry_zone;
      guint64 weight;

      if (best_in_zone && !in_zone)
        continue;
      weight = rank_weight (flow_hash, ids[i]);
      if (in_zone == best_in_zone && !ranks_before (weight, ids[i], best_weight, ids[best]))
        continue;
      best = i;
      best_weight = weight;
      best_in_zone = in_zone;
    }
  return best;
}
