#include "ww-packet.h"

#include "ww-message.h"

#include <string.h>

/* Guards against a packet builder and parser that disagree about an offset or a checksum. */
static void
test_tcp_round_trip (void)
{
  WwPacket in = {
    .source_address = 0x0a000001,
    .destination_address = 0xc0000201,
    .source_port = 40000,
    .destination_port = 80,
    .protocol = WW_PROTOCOL_TCP,
    .tcp_flags = WW_TCP_ACK | WW_TCP_PSH,
    .sequence = 0xfffffffe,
    .acknowledgment = 7,
    .window = 1000,
    .payload = (const guint8 *) "abc",
    .payload_length = 3,
  };
  g_autoptr (GByteArray) bytes = ww_packet_build_tcp (&in);
  WwPacket out;

  g_assert_cmpint (ww_packet_parse (bytes->data, bytes->len, &out), ==, WW_PACKET_OK);
  g_assert_cmpuint (out.source_address, ==, in.source_address);
  g_assert_cmpuint (out.destination_port, ==, in.destination_port);
  g_assert_cmpuint (out.sequence, ==, in.sequence);
  g_assert_cmpuint (out.acknowledgment, ==, in.acknowledgment);
  g_assert_cmpmem (out.payload, out.payload_length, "abc", 3);
}

/* Guards against reads beyond the end of a truncated packet; run it under the address sanitizer. */
static void
test_truncated (void)
{
  WwPacket in = { .protocol = WW_PROTOCOL_TCP,
                  .payload = (const guint8 *) "abcd",
                  .payload_length = 4 };
  g_autoptr (GByteArray) bytes = ww_packet_build_tcp (&in);
  WwPacket out;
  gsize length;

  for (length = 0; length < bytes->len; length++)
    {
      g_autofree guint8 *copy = g_memdup2 (bytes->data, length);

      g_assert_cmpint (ww_packet_parse (copy, length, &out), ==, WW_PACKET_MALFORMED);
    }
}

/* Guards against an encapsulation that does not come back as it was sent. */
static void
test_encap_round_trip (void)
{
  g_autoptr (GByteArray) bytes = g_byte_array_new ();
  ww_encap in = { .kind = WW_ENCAP_CHAIN, .hops = 3, .service_id = 1, .home_id = G_MAXUINT64 };
  ww_encap out;
  const guint8 *packet;
  gsize length;

  ww_encap_append (bytes, &in, (const guint8 *) "packet", 6);
  g_assert_true (ww_encap_parse (bytes->data, bytes->len, &out, &packet, &length));
  g_assert_cmpuint (out.kind, ==, in.kind);
  g_assert_cmpuint (out.home_id, ==, in.home_id);
  g_assert_cmpmem (packet, length, "packet", 6);
}

/* Guards against an RPC header that another program's calls would pass. */
static void
test_call_round_trip (void)
{
  g_autoptr (GError) error = NULL;
  WwCall call = { .xid = 77, .procedure = WW_PROC_METRICS };
  ww_metrics_request request = { .offset = 5 };
  ww_metrics_request back = { 0 };
  WwCall decoded;
  const guint8 *body;
  gsize length;
  g_autoptr (GByteArray) bytes = NULL;

  bytes = ww_call_encode (&call, (xdrproc_t) xdr_ww_metrics_request, &request, &error);
  g_assert_no_error (error);
  g_assert_true (ww_call_decode (bytes->data, bytes->len, &decoded, &body, &length, &error));
  g_assert_cmpuint (decoded.xid, ==, 77);
  g_assert_cmpuint (decoded.procedure, ==, WW_PROC_METRICS);
  g_assert_true (ww_body_decode (body, length, (xdrproc_t) xdr_ww_metrics_request, &back, &error));
  g_assert_cmpuint (back.offset, ==, 5);
  bytes->data[15] ^= 1;
  g_assert_false (ww_call_decode (bytes->data, bytes->len, &decoded, &body, &length, &error));
  g_assert_error (error, WW_ERROR, WW_ERROR_MALFORMED);
}

/* Guards against a reply that is taken for a call. */
static void
test_reply_round_trip (void)
{
  g_autoptr (GError) error = NULL;
  WwCall reply = { .xid = 78, .is_reply = TRUE };
  ww_metrics_request body_in = { .offset = 9 };
  WwCall decoded;
  const guint8 *body;
  gsize length;
  g_autoptr (GByteArray) bytes = NULL;

  bytes = ww_call_encode (&reply, (xdrproc_t) xdr_ww_metrics_request, &body_in, &error);
  g_assert_no_error (error);
  g_assert_true (ww_call_decode (bytes->data, bytes->len, &decoded, &body, &length, &error));
  g_assert_true (decoded.is_reply);
  g_assert_cmpuint (decoded.xid, ==, 78);
  g_assert_cmpuint (length, ==, 4);
}

/* Guards against a ranking that reorders the remaining endpoints when one leaves. */
static void
test_rank_stable (void)
{
  guint64 ids[] = { 11, 22, 33, 44, 55 };
  guint i;

  for (i = 0; i < 200; i++)
    {
      WwFlowKey key = { .client_address = i, .client_port = (guint16) (i * 7), .protocol = 6 };
      guint16 all[5], fewer[4];
      guint j, k = 0;

      ww_rank_endpoints (&key, ids, 5, all);
      ww_rank_endpoints (&key, ids, 4, fewer);
      g_assert_cmpuint (all[0], ==, ww_rank_first (&key, ids, 5));
      for (j = 0; j < 5; j++)
        if (all[j] != 4)
          g_assert_cmpuint (all[j], ==, fewer[k++]);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wire/tcp-round-trip", test_tcp_round_trip);
  g_test_add_func ("/wire/truncated", test_truncated);
  g_test_add_func ("/wire/encap-round-trip", test_encap_round_trip);
  g_test_add_func ("/wire/call-round-trip", test_call_round_trip);
  g_test_add_func ("/wire/reply-round-trip", test_reply_round_trip);
  g_test_add_func ("/wire/rank-stable", test_rank_stable);
  return g_test_run ();
}
