#pragma once

#include <gio/gio.h>

#include "ww-message.h"

/**
 * DOC: UDP sockets of the control and data addresses, and text forms of IPv4 addresses.
 */

/**
 * WwSocketReceiveFunc - called for each datagram received
 * @address: sender's IPv4 address in host byte order
 * @data: valid during the call only
 */
typedef void (*WwSocketReceiveFunc) (
    gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length);

/**
 * struct WwSocket - a non-blocking UDP socket attached to the default main context
 */
typedef struct WwSocket WwSocket;

/**
 * ww_socket_new() - opens and binds a UDP socket
 * @address: IPv4 address in host byte order
 * @port: 0 for any free port
 * @error: WW_ERROR_SOCKET
 */
WwSocket *ww_socket_new (
    guint32 address, guint16 port, WwSocketReceiveFunc received, gpointer context, GError **error);
void ww_socket_free (WwSocket *socket);

/** ww_socket_port() - the local port */
guint16 ww_socket_port (const WwSocket *socket);

/** ww_socket_send() - sends one datagram; one that cannot be sent is dropped and counted */
void
ww_socket_send (WwSocket *socket, guint32 address, guint16 port, const guint8 *data, gsize length);

/** ww_socket_send_failures() - datagrams that could not be sent */
guint64 ww_socket_send_failures (const WwSocket *socket);

/**
 * ww_address_parse() - parses "a.b.c.d:port"
 *
 * Return: FALSE when @text is not an IPv4 address with a port
 */
gboolean ww_address_parse (const gchar *text, guint32 *address, guint16 *port);

/** ww_address_format() - (transfer full): "a.b.c.d:port" */
gchar *ww_address_format (guint32 address, guint16 port);

/** ww_ipv4_parse() - parses "a.b.c.d" */
gboolean ww_ipv4_parse (const gchar *text, guint32 *address);

/** ww_ipv4_format() - (transfer full): "a.b.c.d" */
gchar *ww_ipv4_format (guint32 address);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WwSocket, ww_socket_free)
