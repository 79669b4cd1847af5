#include <gio/gio.h>
#include <glib.h>
#include <rpc/rpc.h>

#include <algorithm>
#include <numeric>
#include <rapidcheck.h>
#include <set>
#include <vector>

/* The C headers have fields named "class", which is a keyword in C++. */
#define class work_class
extern "C"
{
#include "wc.h"
#include "ww-message.h"
#include "ww-packet.h"
}
#undef class

static WwFlowKey
arbitrary_flow_key ()
{
  WwFlowKey key = {};

  key.client_address = *rc::gen::arbitrary<guint32> ();
  key.service_address = *rc::gen::arbitrary<guint32> ();
  key.client_port = *rc::gen::arbitrary<guint16> ();
  key.service_port = *rc::gen::arbitrary<guint16> ();
  key.protocol = WW_PROTOCOL_TCP;
  return key;
}

static std::vector<guint64>
arbitrary_endpoint_ids ()
{
  auto ids = *rc::gen::container<std::set<guint64> > (rc::gen::arbitrary<guint64> ());

  ids.insert (*rc::gen::arbitrary<guint64> ());
  return std::vector<guint64> (ids.begin (), ids.end ());
}

static std::vector<guint64>
rank_ids (const WwFlowKey &key, const std::vector<guint64> &ids)
{
  std::vector<guint16> order (ids.size ());
  std::vector<guint64> result;

  ww_rank_endpoints (&key, ids.data (), (guint) ids.size (), order.data ());
  for (guint16 index : order)
    result.push_back (ids[index]);
  return result;
}

int
main ()
{
  bool ok = true;

  /* Guards against nodes that rank endpoints differently because their tables have another order.
   */
  ok &= rc::check ("the ranking does not depend on the order of the table", [] {
    auto key = arbitrary_flow_key ();
    auto ids = arbitrary_endpoint_ids ();
    auto shuffled = ids;

    std::reverse (shuffled.begin (), shuffled.end ());
    RC_ASSERT (rank_ids (key, ids) == rank_ids (key, shuffled));
  });

  /* Guards against flows that are lost when an endpoint joins: if it becomes the home of a flow,
   * the previous home must have the second rank, to which packets of the flow are forwarded. */
  ok &= rc::check ("an endpoint that joins leaves the order of the others as it was", [] {
    auto key = arbitrary_flow_key ();
    auto ids = arbitrary_endpoint_ids ();
    guint64 joined_id = ids.back ();
    auto ranked = rank_ids (key, ids);

    ids.pop_back ();
    ranked.erase (std::find (ranked.begin (), ranked.end (), joined_id));
    RC_ASSERT (ranked == rank_ids (key, ids));
  });

  /* Guards against a peer message that changes when it is encoded and decoded. */
  ok &= rc::check ("a registration is read as it was written", [] {
    auto count = *rc::gen::inRange<guint> (0, WW_MAX_REGISTER_FLOWS + 1);
    std::vector<ww_flow_entry> flows (count);
    g_autoptr (GByteArray) bytes = g_byte_array_new ();
    ww_peer message = {};
    ww_peer decoded;

    for (auto &entry : flows)
      {
        WwFlowKey key = arbitrary_flow_key ();

        entry.flow = ww_flow_key_to_wire (&key);
        entry.flags = *rc::gen::arbitrary<guint32> ();
      }
    message.service_id = *rc::gen::arbitrary<guint64> ();
    message.body.kind = WW_PEER_REGISTER;
    message.body.ww_peer_body_u.registration.flows.flows_len = count;
    message.body.ww_peer_body_u.registration.flows.flows_val = flows.data ();
    RC_ASSERT (ww_peer_encode (&message, bytes));
    RC_ASSERT (ww_peer_decode (bytes->data, bytes->len, &decoded));
    const ww_register &registration = decoded.body.ww_peer_body_u.registration;
    RC_ASSERT (decoded.service_id == message.service_id);
    RC_ASSERT (registration.flows.flows_len == count);
    for (guint i = 0; i < count; i++)
      {
        WwFlowKey in = ww_flow_key_from_wire (&flows[i].flow);
        WwFlowKey out = ww_flow_key_from_wire (&registration.flows.flows_val[i].flow);

        RC_ASSERT (ww_flow_key_equal (&in, &out));
        RC_ASSERT (registration.flows.flows_val[i].flags == flows[i].flags);
      }
    ww_peer_clear (&decoded);
  });

  /* Guards against a truncated message that is decoded as if it were complete. */
  ok &= rc::check ("no proper prefix of a peer message is read", [] {
    g_autoptr (GByteArray) bytes = g_byte_array_new ();
    ww_peer message = {};
    ww_peer decoded;

    message.body.kind = WW_PEER_PULL;
    message.body.ww_peer_body_u.pull.pull_id = *rc::gen::arbitrary<guint32> ();
    RC_ASSERT (ww_peer_encode (&message, bytes));
    auto length = *rc::gen::inRange<gsize> (0, bytes->len);
    RC_ASSERT (!ww_peer_decode (bytes->data, length, &decoded));
  });

  /* Guards against clients that are attributed to the wrong tenant. */
  ok &= rc::check ("a client belongs to the tenant with the longest matching prefix", [] {
    g_autoptr (WcConfig) config = wc_config_new ();
    auto prefixes = *rc::gen::container<std::vector<std::pair<guint32, guint8> > > (
        rc::gen::pair (rc::gen::inRange<guint32> (0, 64), rc::gen::inRange<guint8> (26, 33)));
    guint32 client = *rc::gen::inRange<guint32> (0, 64);
    gint longest = -1;

    for (auto &prefix : prefixes)
      {
        guint32 mask = G_MAXUINT32 << (32 - prefix.second);

        wc_config_add_tenant (config, "tenant", 1, prefix.first, prefix.second);
        if ((client & mask) == (prefix.first & mask))
          longest = std::max (longest, (gint) prefix.second);
      }
    guint index = wc_config_find_tenant (config, client);
    if (longest < 0)
      RC_ASSERT (index == (guint) WC_TENANT_OTHER);
    else
      {
        auto tenant = (const WcTenant *) g_ptr_array_index (config->tenants, index);

        RC_ASSERT (g_array_index (tenant->sources, WcPrefix, 0).prefix_length == (guint) longest);
      }
  });

  return ok ? 0 : 1;
}
