#include "si-lwip.h"

#include "si.h"

#include "ww-packet.h"
#include "ww-pktio.h"

#define MAX_ADDRESSES 200

static WwPktio *stack_pktio;
static guint stack_mtu;
static guint stack_addresses;
static struct netif stack_netifs[MAX_ADDRESSES];

static void
tcpip_started (void *context)
{
  sys_sem_signal (context);
}

void
si_stack_init (void)
{
  sys_sem_t ready;

  sys_sem_new (&ready, 0);
  tcpip_init (tcpip_started, &ready);
  sys_sem_wait (&ready);
  sys_sem_free (&ready);
}

void
si_stack_lock (void)
{
  LOCK_TCPIP_CORE ();
}

void
si_stack_unlock (void)
{
  UNLOCK_TCPIP_CORE ();
}

static void
packet_received (gpointer context, const guint8 *packet, gsize length)
{
  struct pbuf *buffer;

  if (length > WW_PACKET_MAX_BYTES || stack_addresses == 0)
    return;
  si_stack_lock ();
  buffer = pbuf_alloc (PBUF_RAW, (u16_t) length, PBUF_RAM);
  if (buffer != NULL)
    {
      pbuf_take (buffer, packet, (u16_t) length);
      ip_input (buffer, &stack_netifs[0]);
    }
  si_stack_unlock ();
}

static err_t
packet_output (struct netif *netif, struct pbuf *buffer, const ip4_addr_t *address)
{
  guint8 packet[WW_PACKET_MAX_BYTES];
  u16_t length = pbuf_copy_partial (buffer, packet, sizeof packet, 0);

  ww_pktio_send (stack_pktio, packet, length);
  return ERR_OK;
}

gboolean
si_stack_open (guint32 address,
               guint16 port,
               guint32 peer_address,
               guint16 peer_port,
               guint mtu,
               GError **error)
{
  stack_mtu = mtu;
  stack_pktio =
      ww_pktio_new_udp (address, port, peer_address, peer_port, packet_received, NULL, error);
  return stack_pktio != NULL;
}

static err_t
netif_initialize (struct netif *netif)
{
  netif->name[0] = 'w';
  netif->name[1] = 'w';
  netif->mtu = (u16_t) stack_mtu;
  netif->output = packet_output;
  netif->flags = NETIF_FLAG_UP | NETIF_FLAG_LINK_UP;
  return ERR_OK;
}

/* An lwIP interface has a single IPv4 address, so each address gets an interface of its own. */
void
si_stack_add_address (guint32 address)
{
  struct netif *netif;
  ip4_addr_t ip, mask, gateway;

  g_return_if_fail (stack_addresses < MAX_ADDRESSES);
  netif = &stack_netifs[stack_addresses];
  ip.addr = lwip_htonl (address);
  IP4_ADDR (&mask, 255, 255, 255, 255);
  IP4_ADDR (&gateway, 0, 0, 0, 0);
  si_stack_lock ();
  netif_add (netif, &ip, &mask, &gateway, NULL, netif_initialize, ip_input);
  netif_set_up (netif);
  netif_set_link_up (netif);
  if (stack_addresses == 0)
    netif_set_default (netif);
  stack_addresses++;
  si_stack_unlock ();
}
