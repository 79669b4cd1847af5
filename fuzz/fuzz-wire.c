#include "ww-message.h"
#include "ww-packet.h"
#include "ww-response.h"

#include <string.h>

static void
decode_as_each_body (const guint8 *body, gsize length)
{
  static const xdrproc_t decoders[] = {
    (xdrproc_t) xdr_ww_ping,
    (xdrproc_t) xdr_ww_ping_req,
    (xdrproc_t) xdr_ww_ack,
    (xdrproc_t) xdr_ww_gossip,
    (xdrproc_t) xdr_ww_config_fetch,
    (xdrproc_t) xdr_ww_config_chunk,
    (xdrproc_t) xdr_ww_root_fetch,
    (xdrproc_t) xdr_ww_root_chunk,
    (xdrproc_t) xdr_ww_status_reply,
    (xdrproc_t) xdr_ww_metrics_reply,
    (xdrproc_t) xdr_ww_members_reply,
    (xdrproc_t) xdr_ww_join,
    (xdrproc_t) xdr_ww_list_request,
    (xdrproc_t) xdr_ww_list_reply,
    (xdrproc_t) xdr_ww_members_request,
    (xdrproc_t) xdr_ww_evacuation_message,
  };
  guint64 value[512]; /* large enough for each decoded struct */
  guint i;

  for (i = 0; i < G_N_ELEMENTS (decoders); i++)
    {
      memset (value, 0, sizeof value);
      if (ww_body_decode (body, length, decoders[i], value, NULL))
        ww_body_clear (decoders[i], value);
    }
}

/* Runs every parser of data from the network; the sanitizers report invalid reads and leaks. */
int
LLVMFuzzerTestOneInput (const guint8 *data, gsize length)
{
  WwPacket packet;
  ww_encap encap;
  ww_peer peer;
  WwCall call;
  const guint8 *inner;
  gsize inner_length;
  guint32 total;

  ww_packet_parse (data, length, &packet);
  ww_encap_parse (data, length, &encap, &inner, &inner_length);
  if (ww_peer_decode (data, length, &peer))
    ww_peer_clear (&peer);
  if (ww_call_decode (data, length, &call, &inner, &inner_length, NULL))
    decode_as_each_body (inner, inner_length);
  decode_as_each_body (data, length);
  (void) ww_response_length (data, length, &total);
  return 0;
}
