#pragma once

#include "wc-settings.h"
#include "wd-platform.h"
#include "wm.h"
#include "ww-pktio.h"

/**
 * DOC: What the balancer daemon and the agent daemon do alike: sockets, membership, configuration
 * hand-over, platform access, replies to operators, pause detection and signals.
 */

typedef struct WdNode WdNode;

/**
 * struct WdCallbacks - what a daemon does on its own
 * @data_received: a datagram on the data address from a member's address
 * @members_changed: wm_node_usable_endpoints() may give another result
 * @config_changed: @config is in effect from now on
 * @tick: runs what is due
 * @next_us: when the next tick is due
 * @resumed: the process was paused
 * @stop: SIGTERM or SIGINT; the daemon calls wd_node_quit() when it has finished
 * @is_ready: (optional): whether the daemon itself can serve
 * @announced: (optional): the backend server has announced or withdrawn itself; returns whether the
 *   daemon took note of it
 * @fill_status: completes the reply to an operator
 * @append_metrics: appends the daemon's own counters
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
  void (*stop) (gpointer context, gint64 now_us);
  gboolean (*is_ready) (gpointer context);
  gboolean (*announced) (gpointer context, const WdRequest *request, gint64 now_us);
  void (*fill_status) (gpointer context, ww_status_reply *status);
  void (*append_metrics) (gpointer context, GString *text);
} WdCallbacks;

/**
 * wd_node_new() - opens the sockets and joins
 * @platform: how packets, objects, configurations and requests look
 * @error: WW_ERROR_SOCKET, WS_ERROR_UNREACHABLE for a platform URL that cannot be used
 */
WdNode *wd_node_new (const WcSettings *settings,
                     const WdPlatform *platform,
                     ww_role role,
                     const WdCallbacks *callbacks,
                     GError **error);
void wd_node_free (WdNode *node);

/** wd_node_run() - runs until wd_node_quit() */
void wd_node_run (WdNode *node);
void wd_node_quit (WdNode *node);

/** wd_node_member() - the membership core; owned by the node */
WmNode *wd_node_member (WdNode *node);

/** wd_node_config() - the configuration in effect, or NULL */
WcConfig *wd_node_config (WdNode *node);

/** wd_node_send_data() - sends a datagram from the data address */
void
wd_node_send_data (WdNode *node, guint32 address, guint16 port, const guint8 *data, gsize length);

/** wd_pktio_new() - opens packet input and output as the settings say */
WwPktio *wd_pktio_new (const WcPktioSettings *settings,
                       const WwPacketFormat *format,
                       WwPktioReceived received,
                       gpointer context,
                       GError **error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WdNode, wd_node_free)
