#include "ww-sock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include <glib-unix.h>
#include <glib/gstdio.h>

/* Bounds the datagrams read per main loop iteration, so that timers are not starved under load. */
#define MAX_DATAGRAMS_PER_WAKEUP 64
#define SOCKET_BUFFER_BYTES (4 * 1024 * 1024)
#define RECEIVE_BUFFER_BYTES 65536

struct WwSocket
{
  gint fd;
  guint source;
  guint16 port;
  guint64 send_failures;
  WwSocketReceiveFunc received;
  gpointer context;
  guint8 buffer[RECEIVE_BUFFER_BYTES];
};

static struct sockaddr_in
socket_address (guint32 address, guint16 port)
{
  struct sockaddr_in result;

  memset (&result, 0, sizeof result);
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl (address);
  result.sin_port = htons (port);
  return result;
}

static gboolean
receive_ready (gint fd, GIOCondition condition, gpointer data)
{
  WwSocket *self = data;
  guint i;

  for (i = 0; i < MAX_DATAGRAMS_PER_WAKEUP; i++)
    {
      struct sockaddr_in from;
      socklen_t from_length = sizeof from;
      gssize length;

      length = recvfrom (fd, self->buffer, RECEIVE_BUFFER_BYTES, 0, (struct sockaddr *) &from,
                         &from_length);
      if (length < 0)
        break;
      self->received (self->context, ntohl (from.sin_addr.s_addr), ntohs (from.sin_port),
                      self->buffer, (gsize) length);
    }
  return G_SOURCE_CONTINUE;
}

static gint
open_and_bind (guint32 address, guint16 *port)
{
  struct sockaddr_in local = socket_address (address, *port);
  socklen_t length = sizeof local;
  gint size = SOCKET_BUFFER_BYTES;
  gint fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  if (bind (fd, (struct sockaddr *) &local, sizeof local) < 0 ||
      getsockname (fd, (struct sockaddr *) &local, &length) < 0)
    {
      g_close (fd, NULL);
      return -1;
    }
  *port = ntohs (local.sin_port);
  return fd;
}

WwSocket *
ww_socket_new (
    guint32 address, guint16 port, WwSocketReceiveFunc received, gpointer context, GError **error)
{
  WwSocket *self;
  gint fd = open_and_bind (address, &port);

  if (fd < 0)
    {
      g_autofree gchar *text = ww_address_format (address, port);

      g_set_error (error, WW_ERROR, WW_ERROR_SOCKET, "cannot bind %s: %s", text,
                   g_strerror (errno));
      return NULL;
    }
  self = g_new0 (WwSocket, 1);
  self->fd = fd;
  self->port = port;
  self->received = received;
  self->context = context;
  self->source = g_unix_fd_add (fd, G_IO_IN, receive_ready, self);
  return self;
}

void
ww_socket_free (WwSocket *socket)
{
  if (socket == NULL)
    return;
  g_source_remove (socket->source);
  g_close (socket->fd, NULL);
  g_free (socket);
}

guint16
ww_socket_port (const WwSocket *socket)
{
  return socket->port;
}

void
ww_socket_send (WwSocket *socket, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  struct sockaddr_in to = socket_address (address, port);

  if (sendto (socket->fd, data, length, 0, (struct sockaddr *) &to, sizeof to) < 0)
    socket->send_failures++;
}

guint64
ww_socket_send_failures (const WwSocket *socket)
{
  return socket->send_failures;
}

gboolean
ww_ipv4_parse (const gchar *text, guint32 *address)
{
  struct in_addr parsed;

  if (inet_pton (AF_INET, text, &parsed) != 1)
    return FALSE;
  *address = ntohl (parsed.s_addr);
  return TRUE;
}

gchar *
ww_ipv4_format (guint32 address)
{
  return g_strdup_printf ("%u.%u.%u.%u", address >> 24, (address >> 16) & 255, (address >> 8) & 255,
                          address & 255);
}

gboolean
ww_address_parse (const gchar *text, guint32 *address, guint16 *port)
{
  const gchar *colon = strchr (text, ':');
  g_autofree gchar *ip_text = NULL;
  guint64 number;

  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &number, NULL))
    return FALSE;
  ip_text = g_strndup (text, (gsize) (colon - text));
  if (!ww_ipv4_parse (ip_text, address))
    return FALSE;
  *port = (guint16) number;
  return TRUE;
}

gchar *
ww_address_format (guint32 address, guint16 port)
{
  g_autofree gchar *ip_text = ww_ipv4_format (address);

  return g_strdup_printf ("%s:%u", ip_text, port);
}
