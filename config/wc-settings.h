#pragma once

#include "wb-log.h"
#include "wc-error.h"
#include "ww-proto.h"

/**
 * DOC: Settings of one balancer or agent process, read from its TOML settings file.
 *
 * They describe the process itself: its name, addresses and packet I/O. Services and tenants belong
 * to the configuration that all processes share (WcConfig).
 */

/** Default of "platform_watch", in microseconds. */
#define WC_DEFAULT_WATCH_TIMEOUT_US (2 * WB_US_PER_S)

/**
 * struct WcAddress - an IPv4 address and a port, in host byte order
 */
typedef struct
{
  guint32 address;
  guint16 port;
} WcAddress;

/**
 * enum WcPktioKind - how a process exchanges IP packets with clients or the backend server
 * @WC_PKTIO_UDP: in UDP datagrams, with one peer
 * @WC_PKTIO_DIRECT: in UDP datagrams, sent to the destination address of each packet
 * @WC_PKTIO_TUN: through a TUN device
 */
typedef enum
{
  WC_PKTIO_UDP,
  WC_PKTIO_DIRECT,
  WC_PKTIO_TUN,
} WcPktioKind;

/**
 * struct WcPktioSettings - packet I/O on one side, clients or backend server
 * @local: receiving UDP address, for WC_PKTIO_UDP and WC_PKTIO_DIRECT; its port is also the
 *   destination port of WC_PKTIO_DIRECT
 * @peer: UDP address that packets are sent to, for WC_PKTIO_UDP; zero when not given
 * @device: name of the TUN device, for WC_PKTIO_TUN
 */
typedef struct
{
  WcPktioKind kind;
  WcAddress local;
  WcAddress peer;
  gchar *device;
} WcPktioSettings;

/**
 * struct WcSettings - settings of a balancer or agent
 * @path: file that the settings were loaded from; NULL when they were loaded from memory
 * @name: unique among the members; the member id is its wb_name_id()
 * @control, @data: addresses of the control and the data socket; they share one IPv4 address
 * @network: packet I/O on the side of the clients
 * @service: name of the service that the backend server belongs to; NULL for a balancer
 * @server: packet I/O on the side of the backend server; unused for a balancer
 * @stop_limit_us: longest time that a stopping agent waits for its flows to end
 * @server_interval_us: interval of the backend server's announcements
 * @cold_overage: factor by which the requests that a cold backend server receives in a second may
 *   exceed WcService.cold_per_s
 * @cold_slack: requests by which they may exceed it in addition
 * @control_bytes_per_s: maximum rate of control traffic, with datagram headers
 * @leave_linger_us: time for which a process that has left the membership still forwards packets; 0
 *   for the default
 * @platform_url: base URL of the platform's object API, or NULL
 * @platform_protocol: name of the platform's protocol, as in WdPlatform; "native" by default
 * @platform_watch_timeout_us: longest time that one watch request of the object API stays open
 * @link_kbps: capacity of the host's network link in kbit/s; 0 when not given
 * @evacuations: availability zones are evacuated as the platform's store says
 * @flow_search: an agent searches the holders of unknown flows in large services
 * @contacts: array of WcAddress; control addresses of members to join through
 * @zone_affinity: whether flows stay in the availability zone of the balancer that receives them
 * @readiness_address: serves HTTP readiness checks; port 0 when not given
 * @servers_address: receives the backend server's announcements over HTTP; port 0 when not given
 * @metrics_address: serves metrics over HTTP; port 0 when not given
 */
typedef struct
{
  gchar *path;
  gchar *name;
  gchar *host;
  gchar *zone;
  WcAddress control;
  WcAddress data;
  WcPktioSettings network;
  gchar *service;
  WcPktioSettings server;
  gint64 stop_limit_us;
  gint64 server_interval_us;
  gdouble cold_overage;
  gdouble cold_slack;
  guint control_bytes_per_s;
  gint64 leave_linger_us;
  gchar *platform_url;
  gchar *platform_protocol;
  gint64 platform_watch_timeout_us;
  guint64 link_kbps;
  gboolean evacuations;
  gboolean flow_search;
  GArray *contacts;
  gboolean zone_affinity;
  WcAddress readiness_address;
  WcAddress servers_address;
  WcAddress metrics_address;
  WbLogLevel log_level;
} WcSettings;

/**
 * wc_settings_load() - reads and checks a settings file
 * @role: WW_ROLE_BALANCER or WW_ROLE_AGENT
 * @error: WC_ERROR; one line per error, each with file, line and key
 */
WcSettings *wc_settings_load (const gchar *path, ww_role role, GError **error);

/** wc_settings_load_text() - like wc_settings_load() for a file in memory */
WcSettings *
wc_settings_load_text (const gchar *name, const gchar *text, ww_role role, GError **error);
void wc_settings_free (WcSettings *settings);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WcSettings, wc_settings_free)
