#pragma once

#include <gio/gio.h>

#include "ww-message.h"

/**
 * WwSocketReceived - called for each datagram received
 * @address: sender's IPv4 address in host byte order
 */
typedef void (*WwSocketReceived) (
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
    guint32 address, guint16 port, WwSocketReceived received, gpointer context, GError **error);
void ww_socket_free (WwSocket *socket);

/** ww_socket_port() - the port bound */
guint16 ww_socket_port (const WwSocket *socket);

/** ww_socket_send() - sends one datagram; a full socket buffer loses it, as the network may */
void
ww_socket_send (WwSocket *socket, guint32 address, guint16 port, const guint8 *data, gsize length);

/** ww_socket_dropped() - datagrams that could not be sent */
guint64 ww_socket_dropped (const WwSocket *socket);

/**
 * ww_address_parse() - reads "a.b.c.d:port"
 *
 * Return: FALSE when @text is no IPv4 address with a port
 */
gboolean ww_address_parse (const gchar *text, guint32 *address, guint16 *port);

/** ww_address_format() - (transfer full): "a.b.c.d:port" */
gchar *ww_address_format (guint32 address, guint16 port);

/** ww_ipv4_parse() - reads "a.b.c.d" */
gboolean ww_ipv4_parse (const gchar *text, guint32 *address);

/** ww_ipv4_format() - (transfer full): "a.b.c.d" */
gchar *ww_ipv4_format (guint32 address);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WwSocket, ww_socket_free)
