#include "ww-pktio.h"

#include "ww-packet.h"

#include <errno.h>
#include <fcntl.h>
#include <linux/if.h>
#include <linux/if_tun.h>
#include <string.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <glib-unix.h>
#include <glib/gstdio.h>

#define TUN_PATH "/dev/net/tun"

/* Bounds the packets read per main loop iteration, so that timers are not starved under load. */
#define MAX_PACKETS_PER_WAKEUP 64

typedef struct
{
  void (*send) (WwPktio *pktio, const guint8 *packet, gsize length);
  void (*release) (WwPktio *pktio);
} PktioMethods;

struct WwPktio
{
  const PktioMethods *methods;
  WwPktioReceiveFunc received;
  gpointer context;
  WwSocket *socket;
  guint32 peer_address;
  guint16 peer_port;
  const WwPacketFormat *format;
  gint tun_fd;
  guint tun_source;
};

static void
udp_received (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  WwPktio *self = context;

  if (self->peer_address != 0 && address != self->peer_address)
    return;
  self->received (self->context, data, length);
}

static void
udp_send (WwPktio *pktio, const guint8 *packet, gsize length)
{
  ww_socket_send (pktio->socket, pktio->peer_address, pktio->peer_port, packet, length);
}

static void
udp_release (WwPktio *pktio)
{
  ww_socket_free (pktio->socket);
}

static const PktioMethods udp_methods = { udp_send, udp_release };

static void
direct_send (WwPktio *pktio, const guint8 *packet, gsize length)
{
  WwPacket parsed;

  if (pktio->format->parse (packet, length, &parsed) == WW_PACKET_OK)
    ww_socket_send (pktio->socket, parsed.destination_address, pktio->peer_port, packet, length);
}

static const PktioMethods direct_methods = { direct_send, udp_release };

WwPktio *
ww_pktio_new_udp (guint32 address,
                  guint16 port,
                  guint32 peer_address,
                  guint16 peer_port,
                  WwPktioReceiveFunc received,
                  gpointer context,
                  GError **error)
{
  WwPktio *self = g_new0 (WwPktio, 1);

  self->methods = &udp_methods;
  self->received = received;
  self->context = context;
  self->peer_address = peer_address;
  self->peer_port = peer_port;
  self->socket = ww_socket_new (address, port, udp_received, self, error);
  if (self->socket != NULL)
    return self;
  g_free (self);
  return NULL;
}

WwPktio *
ww_pktio_new_direct (guint32 address,
                     guint16 port,
                     const WwPacketFormat *format,
                     WwPktioReceiveFunc received,
                     gpointer context,
                     GError **error)
{
  WwPktio *self = ww_pktio_new_udp (address, port, 0, port, received, context, error);

  if (self == NULL)
    return NULL;
  self->methods = &direct_methods;
  self->format = format;
  return self;
}

static gboolean
tun_ready (gint fd, GIOCondition condition, gpointer data)
{
  WwPktio *self = data;
  guint8 packet[WW_PACKET_MAX_BYTES];
  guint i;

  for (i = 0; i < MAX_PACKETS_PER_WAKEUP; i++)
    {
      gssize length = read (fd, packet, sizeof packet);

      if (length <= 0)
        break;
      self->received (self->context, packet, (gsize) length);
    }
  return G_SOURCE_CONTINUE;
}

/* A failed write drops the packet; clients and backend servers recover as from loss in the network.
 */
static void
tun_send (WwPktio *pktio, const guint8 *packet, gsize length)
{
  gssize written = write (pktio->tun_fd, packet, length);

  (void) written;
}

static void
tun_release (WwPktio *pktio)
{
  g_source_remove (pktio->tun_source);
  g_close (pktio->tun_fd, NULL);
}

static const PktioMethods tun_methods = { tun_send, tun_release };

static gint
attach_tun (const gchar *device)
{
  struct ifreq request;
  gint fd = open (TUN_PATH, O_RDWR | O_NONBLOCK | O_CLOEXEC);

  if (fd < 0)
    return -1;
  memset (&request, 0, sizeof request);
  request.ifr_flags = IFF_TUN | IFF_NO_PI;
  g_strlcpy (request.ifr_name, device, sizeof request.ifr_name);
  if (ioctl (fd, TUNSETIFF, &request) == 0)
    return fd;
  g_close (fd, NULL);
  return -1;
}

WwPktio *
ww_pktio_new_tun (const gchar *device,
                  WwPktioReceiveFunc received,
                  gpointer context,
                  GError **error)
{
  WwPktio *self;
  gint fd = attach_tun (device);

  if (fd < 0)
    {
      g_set_error (error, WW_ERROR, WW_ERROR_DEVICE, "cannot attach to TUN device %s: %s", device,
                   g_strerror (errno));
      return NULL;
    }
  self = g_new0 (WwPktio, 1);
  self->methods = &tun_methods;
  self->received = received;
  self->context = context;
  self->tun_fd = fd;
  self->tun_source = g_unix_fd_add (fd, G_IO_IN, tun_ready, self);
  return self;
}

void
ww_pktio_free (WwPktio *pktio)
{
  if (pktio == NULL)
    return;
  pktio->methods->release (pktio);
  g_free (pktio);
}

void
ww_pktio_send (WwPktio *pktio, const guint8 *packet, gsize length)
{
  pktio->methods->send (pktio, packet, length);
}
