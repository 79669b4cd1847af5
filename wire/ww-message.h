#pragma once

#include "wb.h"

#include "ww-proto.h"

/**
 * DOC: Encoding and decoding of the messages between processes.
 *
 * wire/ww-proto.x defines the messages; they are encoded as XDR. Control messages are ONC RPC calls
 * and replies; peer messages and encapsulated packets have a header with a magic number. Sending
 * and matching replies to calls are left to the callers.
 */

/**
 * enum WwError - errors of the wire package
 * @WW_ERROR_MALFORMED: a message from the network does not decode
 * @WW_ERROR_TOO_LARGE: a message does not fit its buffer
 * @WW_ERROR_SOCKET: a socket could not be opened or bound
 * @WW_ERROR_DEVICE: a TUN device could not be attached
 */
typedef enum
{
  WW_ERROR_MALFORMED,
  WW_ERROR_TOO_LARGE,
  WW_ERROR_SOCKET,
  WW_ERROR_DEVICE,
} WwError;

#define WW_ERROR (ww_error_quark ())
GQuark ww_error_quark (void);

/** Largest control or peer datagram in bytes; below the smallest common path MTU. */
#define WW_DATAGRAM_MAX_BYTES 1200

/** Encoded length of struct ww_encap in bytes, without and with an entry zone. */
#define WW_ENCAP_BYTES 44
#define WW_ENCAP_ZONE_BYTES 48

/** Maximum number of hops of a data packet between members. */
#define WW_MAX_HOPS 16

/**
 * ww_encap_append() - appends an encapsulation header and an IP packet to @out
 *
 * Sets the magic number: WW_ENCAP_MAGIC_ZONE when @header has an entry zone, else WW_ENCAP_MAGIC,
 * so that members of earlier releases understand the header.
 */
void ww_encap_append (GByteArray *out,
                      const ww_encap *header,
                      const guint8 *packet,
                      gsize packet_length);

/**
 * ww_encap_parse() - decodes an encapsulated packet
 * @packet: (out): the IP packet; points into @data
 *
 * Return: FALSE when the datagram is malformed
 */
gboolean ww_encap_parse (const guint8 *data,
                         gsize length,
                         ww_encap *header,
                         const guint8 **packet,
                         gsize *packet_length);

/** ww_datagram_first_word() - first 32 bits: the magic number of a peer message or encapsulated
 * packet, or the transaction id of a control message; 0 when the datagram is too short */
guint32 ww_datagram_first_word (const guint8 *data, gsize length);

/**
 * ww_peer_encode() - appends an encoded peer message to @out
 *
 * Return: FALSE when it exceeds WW_DATAGRAM_MAX_BYTES
 */
gboolean ww_peer_encode (const ww_peer *message, GByteArray *out);

/**
 * ww_peer_decode() - decodes a peer message
 *
 * On success the caller releases @message with ww_peer_clear().
 *
 * Return: FALSE when the datagram is malformed
 */
gboolean ww_peer_decode (const guint8 *data, gsize length, ww_peer *message);
void ww_peer_clear (ww_peer *message);

/**
 * struct WwCall - header of a control message, which is a call or a reply
 * @xid: transaction id; a reply has that of its call
 * @procedure: procedure called; WW_PROC_NULL in replies
 */
typedef struct
{
  guint32 xid;
  gboolean is_reply;
  ww_procedure procedure;
} WwCall;

/**
 * ww_call_encode() - encodes a control message as ONC RPC call or reply
 * @call: header
 * @encoder: XDR routine of the body, for example xdr_ww_ping; NULL for an empty body
 * @body: structure that @encoder encodes
 * @error: WW_ERROR_TOO_LARGE
 *
 * Return: (transfer full): the datagram
 */
GByteArray *ww_call_encode (const WwCall *call, xdrproc_t encoder, gpointer body, GError **error);

/**
 * ww_call_decode() - decodes the header of a control message
 * @body: (out): start of the body inside @data
 * @error: WW_ERROR_MALFORMED
 */
gboolean ww_call_decode (const guint8 *data,
                         gsize length,
                         WwCall *call,
                         const guint8 **body,
                         gsize *body_length,
                         GError **error);

/**
 * ww_body_encode() - encodes a message body without a header
 * @size: of @buffer; at least the encoded length
 *
 * Return: FALSE when it does not fit, or when a list in it is too long
 */
gboolean ww_body_encode (xdrproc_t encoder, gpointer value, guint8 *buffer, gsize size);

/**
 * ww_body_decode() - decodes a message body
 * @decoder: XDR routine
 * @value: zeroed structure to fill; the caller releases it with ww_body_clear()
 * @error: WW_ERROR_MALFORMED
 */
gboolean ww_body_decode (
    const guint8 *body, gsize length, xdrproc_t decoder, gpointer value, GError **error);
void ww_body_clear (xdrproc_t decoder, gpointer value);
