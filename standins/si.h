#pragma once

#include "ww-sock.h"

/**
 * DOC: Shared by the stand-ins that carry packets and by the load generator: an lwIP TCP/IP stack
 * whose IP packets travel in UDP datagrams, and the line protocol of the backend server stand-in.
 *
 * lwIP runs its timers and callbacks on a thread of its own, under its core lock. The main loop has
 * to hold the same lock (si_stack_lock()) for every lwIP call and for all data that the callbacks
 * use.
 */

/** si_stack_init() - starts lwIP; call once, before any other thread is created */
void si_stack_init (void);

/**
 * si_stack_open() - connects the stack to a UDP socket
 * @address: local address of the socket in host byte order
 * @peer_address: destination of outgoing IP packets; 0 to drop them
 * @mtu: largest IP packet sent, in bytes
 * @error: WW_ERROR_SOCKET
 */
gboolean si_stack_open (guint32 address,
                        guint16 port,
                        guint32 peer_address,
                        guint16 peer_port,
                        guint mtu,
                        GError **error);

/** si_stack_add_address() - assigns a local IP address to the stack; at most 200 */
void si_stack_add_address (guint32 address);

void si_stack_lock (void);
void si_stack_unlock (void);

/**
 * struct SiRequest - one request of the line protocol
 * @id: unique in a run; determines the content of the response body
 * @bytes: length of the response body
 * @work_ms: time for which the request occupies a slot before the response is sent
 */
typedef struct
{
  guint64 id;
  guint64 bytes;
  guint work_ms;
} SiRequest;

/** si_request_format() - (transfer full): the request line with its line end */
gchar *si_request_format (const SiRequest *request);

/** si_request_parse() - parses a request line without its line end */
gboolean si_request_parse (const gchar *line, SiRequest *request);

/**
 * struct SiResponse - header line of a response
 * @length: bytes of the body that follows
 */
typedef struct
{
  guint64 id;
  guint64 length;
  gchar endpoint[WW_MAX_NAME + 1];
  gchar service[WW_MAX_NAME + 1];
} SiResponse;

/** si_response_format() - (transfer full): the header line with its line end */
gchar *si_response_format (const SiResponse *response);

/** si_response_parse() - parses a header line without its line end */
gboolean si_response_parse (const gchar *line, SiResponse *response);

/** si_body_fill() - writes @length bytes of the body of response @id, from @offset on */
void si_body_fill (guint64 id, guint64 offset, guint8 *data, gsize length);

/** si_body_check() - whether @data is the body of response @id from @offset on */
gboolean si_body_check (guint64 id, guint64 offset, const guint8 *data, gsize length);

/** si_parse_address_option() - parses "a.b.c.d:port", or exits with a usage error */
void
si_parse_address_option (const gchar *option, const gchar *text, guint32 *address, guint16 *port);
