#include "ww-message.h"

#include "ww-bytes.h"

#include <rpc/rpc.h>
#include <string.h>

/* Length of the shorter RPC header: a reply header has 24 bytes, a call header with empty
 * credentials 40. */
#define REPLY_HEADER_BYTES 24

G_DEFINE_QUARK (ww - error - quark, ww_error)

static gboolean
encode_xdr (xdrproc_t encoder, gpointer value, guint8 *buffer, gsize size, gsize *length)
{
  XDR xdr;
  gboolean ok;

  xdrmem_create (&xdr, (char *) buffer, (guint) size, XDR_ENCODE);
  ok = encoder (&xdr, value);
  *length = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return ok;
}

static gboolean
decode_xdr (xdrproc_t decoder, gpointer value, const guint8 *data, gsize length, gsize *used)
{
  XDR xdr;
  gboolean ok;

  xdrmem_create (&xdr, (char *) data, (guint) length, XDR_DECODE);
  ok = decoder (&xdr, value);
  *used = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return ok;
}

/* The entry zone is the last field, and a header without one ends before it. */
static gsize
header_bytes (guint32 magic)
{
  return magic == WW_ENCAP_MAGIC_ZONE ? WW_ENCAP_ZONE_BYTES : WW_ENCAP_BYTES;
}

void
ww_encap_append (GByteArray *out, const ww_encap *header, const guint8 *packet, gsize packet_length)
{
  guint8 buffer[WW_ENCAP_ZONE_BYTES];
  ww_encap with_magic = *header;
  gsize length;
  gboolean ok;

  with_magic.magic = header->entry_zone != 0 ? WW_ENCAP_MAGIC_ZONE : WW_ENCAP_MAGIC;
  ok = encode_xdr ((xdrproc_t) xdr_ww_encap, &with_magic, buffer, sizeof buffer, &length);
  g_assert (ok && length == WW_ENCAP_ZONE_BYTES);
  g_byte_array_append (out, buffer, (guint) header_bytes (with_magic.magic));
  g_byte_array_append (out, packet, (guint) packet_length);
}

gboolean
ww_encap_parse (
    const guint8 *data, gsize length, ww_encap *header, const guint8 **packet, gsize *packet_length)
{
  guint32 magic = ww_datagram_first_word (data, length);
  gsize header_length = header_bytes (magic);
  guint8 buffer[WW_ENCAP_ZONE_BYTES] = { 0 };
  gsize used;

  memset (header, 0, sizeof *header);
  if (length <= header_length || (magic != WW_ENCAP_MAGIC && magic != WW_ENCAP_MAGIC_ZONE))
    return FALSE;
  memcpy (buffer, data, header_length);
  if (!decode_xdr ((xdrproc_t) xdr_ww_encap, header, buffer, sizeof buffer, &used))
    return FALSE;
  if (header->kind < WW_ENCAP_FORWARD || header->kind > WW_ENCAP_RETURN)
    return FALSE;
  *packet = data + header_length;
  *packet_length = length - header_length;
  return TRUE;
}

guint32
ww_datagram_first_word (const guint8 *data, gsize length)
{
  if (length < 4)
    return 0;
  return ww_read_u32 (data);
}

gboolean
ww_peer_encode (const ww_peer *message, GByteArray *out)
{
  guint8 buffer[WW_DATAGRAM_MAX_BYTES];
  ww_peer with_magic = *message;
  gsize length;

  with_magic.magic = WW_PEER_MAGIC;
  if (!encode_xdr ((xdrproc_t) xdr_ww_peer, &with_magic, buffer, sizeof buffer, &length))
    return FALSE;
  g_byte_array_append (out, buffer, (guint) length);
  return TRUE;
}

gboolean
ww_peer_decode (const guint8 *data, gsize length, ww_peer *message)
{
  gsize used;

  memset (message, 0, sizeof *message);
  if (ww_datagram_first_word (data, length) != WW_PEER_MAGIC)
    return FALSE;
  if (decode_xdr ((xdrproc_t) xdr_ww_peer, message, data, length, &used) && used == length)
    return TRUE;
  ww_peer_clear (message);
  return FALSE;
}

void
ww_peer_clear (ww_peer *message)
{
  xdr_free ((xdrproc_t) xdr_ww_peer, (char *) message);
  memset (message, 0, sizeof *message);
}

static gboolean
encode_call_header (XDR *xdr, const WwCall *call)
{
  struct rpc_msg header;

  memset (&header, 0, sizeof header);
  header.rm_xid = call->xid;
  header.rm_direction = CALL;
  header.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  header.rm_call.cb_prog = WW_PROGRAM;
  header.rm_call.cb_vers = WW_VERSION;
  header.rm_call.cb_proc = call->procedure;
  return xdr_callmsg (xdr, &header);
}

static gboolean
encode_reply_header (XDR *xdr, const WwCall *call)
{
  struct rpc_msg header;

  memset (&header, 0, sizeof header);
  header.rm_xid = call->xid;
  header.rm_direction = REPLY;
  header.rm_reply.rp_stat = MSG_ACCEPTED;
  header.acpted_rply.ar_stat = SUCCESS;
  header.acpted_rply.ar_results.where = NULL;
  header.acpted_rply.ar_results.proc = (xdrproc_t) xdr_void;
  return xdr_replymsg (xdr, &header);
}

GByteArray *
ww_call_encode (const WwCall *call, xdrproc_t encoder, gpointer body, GError **error)
{
  guint8 buffer[WW_DATAGRAM_MAX_BYTES];
  XDR xdr;
  gboolean ok;
  guint length;

  xdrmem_create (&xdr, (char *) buffer, sizeof buffer, XDR_ENCODE);
  ok = call->is_reply ? encode_reply_header (&xdr, call) : encode_call_header (&xdr, call);
  if (ok && encoder != NULL)
    ok = encoder (&xdr, body);
  length = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  if (!ok)
    {
      g_set_error (error, WW_ERROR, WW_ERROR_TOO_LARGE,
                   "message of procedure %u does not fit in %u bytes", (guint) call->procedure,
                   WW_DATAGRAM_MAX_BYTES);
      return NULL;
    }
  return g_byte_array_append (g_byte_array_sized_new (length), buffer, length);
}

static gboolean
decode_call_header (XDR *xdr, WwCall *call)
{
  struct rpc_msg header;
  gboolean ok;

  memset (&header, 0, sizeof header);
  ok = xdr_callmsg (xdr, &header) && header.rm_call.cb_rpcvers == RPC_MSG_VERSION &&
       header.rm_call.cb_prog == WW_PROGRAM && header.rm_call.cb_vers == WW_VERSION;
  call->procedure = (ww_procedure) header.rm_call.cb_proc;
  g_clear_pointer (&header.rm_call.cb_cred.oa_base, free);
  g_clear_pointer (&header.rm_call.cb_verf.oa_base, free);
  return ok;
}

static gboolean
decode_reply_header (XDR *xdr, WwCall *call)
{
  struct rpc_msg header;
  gboolean ok;

  memset (&header, 0, sizeof header);
  header.acpted_rply.ar_results.proc = (xdrproc_t) xdr_void;
  ok = xdr_replymsg (xdr, &header) && header.rm_reply.rp_stat == MSG_ACCEPTED &&
       header.acpted_rply.ar_stat == SUCCESS;
  if (header.rm_reply.rp_stat == MSG_ACCEPTED)
    g_clear_pointer (&header.acpted_rply.ar_verf.oa_base, free);
  call->procedure = WW_PROC_NULL;
  return ok;
}

gboolean
ww_call_decode (const guint8 *data,
                gsize length,
                WwCall *call,
                const guint8 **body,
                gsize *body_length,
                GError **error)
{
  XDR xdr;
  guint position;
  gboolean ok = FALSE;

  if (length >= REPLY_HEADER_BYTES)
    {
      call->xid = ww_datagram_first_word (data, length);
      call->is_reply = ww_datagram_first_word (data + 4, length - 4) == REPLY;
      xdrmem_create (&xdr, (char *) data, (guint) length, XDR_DECODE);
      ok = call->is_reply ? decode_reply_header (&xdr, call) : decode_call_header (&xdr, call);
      position = xdr_getpos (&xdr);
      xdr_destroy (&xdr);
    }
  if (!ok)
    {
      g_set_error_literal (error, WW_ERROR, WW_ERROR_MALFORMED,
                           "not an RPC message of this program");
      return FALSE;
    }
  *body = data + position;
  *body_length = length - position;
  return TRUE;
}

gboolean
ww_body_encode (xdrproc_t encoder, gpointer value, guint8 *buffer, gsize size)
{
  gsize length;

  return encode_xdr (encoder, value, buffer, size, &length);
}

gboolean
ww_body_decode (const guint8 *body, gsize length, xdrproc_t decoder, gpointer value, GError **error)
{
  gsize used;

  if (decode_xdr (decoder, value, body, length, &used) && used == length)
    return TRUE;
  ww_body_clear (decoder, value);
  g_set_error_literal (error, WW_ERROR, WW_ERROR_MALFORMED, "malformed message body");
  return FALSE;
}

void
ww_body_clear (xdrproc_t decoder, gpointer value)
{
  xdr_free (decoder, value);
}
