#pragma once

#include "wc-settings.h"
#include "wd-platform.h"
#include "wm.h"
#include "ww-pktio.h"

/**
 * DOC: The runtime that the balancer daemon and the agent daemon share.
 *
 * It opens the control and data sockets and the HTTP server, runs the membership protocol, fetches
 * the configuration from the platform and from members, replies to operator commands, detects
 * pauses of the process and handles signals. Forwarding of packets is left to the daemon, which is
 * called through struct WdCallbacks.
 */

typedef struct WdNode WdNode;

/**
 * struct WdCallbacks - callbacks from the shared runtime into the daemon
 * @data_received: (optional): a datagram from a member's address arrived on the data address
 * @members_changed: the result of wm_node_usable_endpoints() may have changed
 * @config_changed: @config is in effect from now on
 * @tick: does the work that is due
 * @next_us: monotonic time at which the next tick is due; WB_NEVER for none
 * @resumed: the process was paused and runs again
 * @stop_requested: SIGTERM or SIGINT was received; the daemon calls wd_node_quit() when it has
 *   finished
 * @is_ready: (optional): whether the daemon can serve, asked for the readiness request
 * @announcement_received: (optional): the backend server has announced or withdrawn itself; returns
 *   whether the daemon accepted the announcement
 * @fill_status: fills in the daemon's part of a reply to the operator command status
 * @append_metrics: appends the daemon's counters to @text
 */
typedef struct
{
  gpointer context;
  void (*data_received) (gpointer context, const guint8 *data, gsize length, gint64 now_us);
  void (*members_changed) (gpointer context, gint64 now_us);
  void (*config_changed) (gpointer context, WcConfig *config, gint64 now_us);
  void (*tick) (gpointer context, gint64 now_us);
  gint64 (*next_us) (gpointer context);
  void (*resumed) (gpointer context, gint64 now_us);
  void (*stop_requested) (gpointer context, gint64 now_us);
  gboolean (*is_ready) (gpointer context);
  gboolean (*announcement_received) (gpointer context, const WdRequest *request, gint64 now_us);
  void (*fill_status) (gpointer context, ww_status_reply *status);
  void (*append_metrics) (gpointer context, GString *text);
} WdCallbacks;

/**
 * wd_node_new() - opens the sockets and the HTTP server and starts to join the members
 * @platform: formats of packets, object API, configurations and HTTP requests
 * @error: WW_ERROR_SOCKET, WS_ERROR_UNREACHABLE for a platform URL that cannot be used
 */
WdNode *wd_node_new (const WcSettings *settings,
                     const WdPlatform *platform,
                     ww_role role,
                     const WdCallbacks *callbacks,
                     GError **error);
void wd_node_free (WdNode *node);

/** wd_node_run() - runs the main loop until wd_node_quit() */
void wd_node_run (WdNode *node);
void wd_node_quit (WdNode *node);

/** wd_node_member() - (transfer none): the membership of this process */
WmNode *wd_node_member (WdNode *node);

/** wd_node_config() - (transfer none): the configuration in effect, or NULL */
WcConfig *wd_node_config (WdNode *node);

/** wd_node_send_data() - sends a datagram from the data address */
void
wd_node_send_data (WdNode *node, guint32 address, guint16 port, const guint8 *data, gsize length);

/** wd_pktio_new() - opens packet input and output of the kind that the settings name */
WwPktio *wd_pktio_new (const WcPktioSettings *settings,
                       const WwPacketFormat *format,
                       WwPktioReceiveFunc received,
                       gpointer context,
                       GError **error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WdNode, wd_node_free)
