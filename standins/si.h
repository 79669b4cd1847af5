#pragma once

#include "ww-sock.h"

/**
 * DOC: Parts shared by the packet-side stand-ins and the load tool: an lwIP stack whose IP packets
 * travel in UDP datagrams, and the line protocol of the backend server stand-in.
 *
 * lwIP runs its timers on its own thread. Its callbacks and every use of it from the main loop run
 * under its core lock, which also protects the data of the caller.
 */

/** si_stack_init() - starts lwIP; call once, before any other thread exists */
void si_stack_init (void);

/**
 * si_stack_open() - attaches the stack to a UDP socket
 * @address: local address of the socket in host byte order
 * @peer_address: where IP packets are sent; 0 to drop them
 * @mtu: largest IP packet sent, in bytes
 * @error: WW_ERROR_SOCKET
 */
gboolean si_stack_open (guint32 address,
                        guint16 port,
                        guint32 peer_address,
                        guint16 peer_port,
                        guint mtu,
                        GError **error);

/** si_stack_add_address() - an IP address that the stack owns; at most 200 */
void si_stack_add_address (guint32 address);

void si_stack_lock (void);
void si_stack_unlock (void);

/**
 * struct SiRequest - one request of the line protocol
 * @id: unique in a run; decides the content of the response
 * @bytes: length of the response body
 * @work_ms: time for which the request occupies a slot before it is answered
 */
typedef struct
{
  guint64 id;
  guint64 bytes;
  guint work_ms;
} SiRequest;

/** si_request_format() - (transfer full): the request line with its line end */
gchar *si_request_format (const SiRequest *request);

/** si_request_parse() - reads a request line without its line end */
gboolean si_request_parse (const gchar *line, SiRequest *request);

/**
 * struct SiAnswer - header line of a response
 * @length: bytes of the body that follows
 */
typedef struct
{
  guint64 id;
  guint64 length;
  gchar endpoint[WW_MAX_NAME + 1];
  gchar service[WW_MAX_NAME + 1];
} SiAnswer;

/** si_answer_format() - (transfer full): the header line with its line end */
gchar *si_answer_format (const SiAnswer *answer);

/** si_answer_parse() - reads a header line without its line end */
gboolean si_answer_parse (const gchar *line, SiAnswer *answer);

/** si_body_fill() - the bytes of the body of response @id from @offset on */
void si_body_fill (guint64 id, guint64 offset, guint8 *data, gsize length);

/** si_body_check() - whether the bytes are those of the body of response @id */
gboolean si_body_check (guint64 id, guint64 offset, const guint8 *data, gsize length);

/** si_option_address() - reads "a.b.c.d:port" or ends the process with a usage error */
void si_option_address (const gchar *option, const gchar *text, guint32 *address, guint16 *port);
