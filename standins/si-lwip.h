#pragma once

/* Include before any other header: the TI-RPC headers define macros with names of lwIP functions.
 */
#define LWIP_DONT_PROVIDE_BYTEORDER_FUNCTIONS 1

#include <lwip/ip.h>
#include <lwip/netif.h>
#include <lwip/tcp.h>
#include <lwip/tcpip.h>
