#include "cmd.h"

#include "wb-log.h"
#include "wd-command.h"
#include "wd.h"
#include "wl-rotation.h"
#include "wl.h"
#include "wp.h"

/* Time for which a leaving balancer still forwards packets that are in transit. */
#define LEAVE_LINGER_US (2 * WB_US_PER_S)

/* Time after the start at which the known endpoints count as complete: the processes of a fleet
 * that start at the same time know each other after some seconds. */
#define ENDPOINTS_COMPLETE_US (5 * WB_US_PER_S)

/* Time for which a balancer that has failed or left counts as one of its zone: the fabric may go on
 * to count it, and takes all when fewer than half are in rotation. */
#define ZONE_MEMBER_US (60 * WB_US_PER_S)

typedef struct
{
  WdNode *node;
  WlBalancer *balancer;
  WlRotation rotation;
  WwPktio *network;
  guint64 id;
  guint64 link_kbps;
  guint n_usable_endpoints;
  gint64 leave_linger_us;
  gint64 endpoints_complete_us; /* when the known endpoints count as complete */
  gint64 quit_at_us;
} Daemon;

static void
send_to_agent (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  Daemon *daemon = context;

  wd_node_send_data (daemon->node, address, port, data, length);
}

static void
send_to_client (gpointer context, const guint8 *packet, gsize length)
{
  Daemon *daemon = context;

  ww_pktio_send (daemon->network, packet, length);
}

static void
packet_received (gpointer context, const guint8 *packet, gsize length)
{
  Daemon *daemon = context;

  wl_balancer_packet (daemon->balancer, packet, length);
}

static gboolean
is_needed_in_rotation (const Daemon *daemon)
{
  g_autoptr (GArray) balancers =
      wm_node_zone_balancers (wd_node_member (daemon->node), ZONE_MEMBER_US);
  g_autoptr (GArray) members = g_array_new (FALSE, FALSE, sizeof (WlRotationMember));
  const WlRotationMember *sorted;
  guint size, i;

  for (i = 0; i < balancers->len; i++)
    {
      const ww_member *balancer = &g_array_index (balancers, ww_member, i);
      WlRotationMember member = { .id = balancer->id,
                                  .capacity_kbps = wm_member_capacity_kbps (balancer),
                                  .available = balancer->state == WW_MEMBER_ALIVE };

      g_array_append_val (members, member);
    }
  sorted = (const WlRotationMember *) (gpointer) members->data;
  size = wl_rotation_size ((WlRotationMember *) (gpointer) members->data, members->len);
  for (i = 0; i < size; i++)
    if (sorted[i].id == daemon->id)
      return TRUE;
  return FALSE;
}

static void
log_rotation (const Daemon *daemon)
{
  wb_log_info ("rotation_changed", WB_NUMBER ("in_rotation", daemon->rotation.in_rotation),
               WB_NUMBER ("link_kbps", daemon->link_kbps));
}

/* Large bodies pass through the balancers on their way to the servers, responses do not. So only
 * a configuration with uploads loads the links of the balancers, and only there the weak ones may
 * leave rotation. */
static void
update_rotation (Daemon *daemon, gint64 now_us)
{
  const WcConfig *config = wd_node_config (daemon->node);
  gboolean applies = config != NULL && config->has_uploads && daemon->link_kbps != 0;
  gboolean was_in_rotation = daemon->rotation.in_rotation;

  wm_node_set_zone_probes (wd_node_member (daemon->node), applies);
  wl_rotation_update (&daemon->rotation, !applies || is_needed_in_rotation (daemon), now_us);
  if (daemon->rotation.in_rotation != was_in_rotation)
    log_rotation (daemon);
}

static void
members_changed (gpointer context, gint64 now_us)
{
  Daemon *daemon = context;
  g_autoptr (GArray) members = wm_node_usable_endpoints (wd_node_member (daemon->node), 0);
  g_autoptr (GArray) endpoints = g_array_new (FALSE, FALSE, sizeof (WlEndpoint));
  guint i;

  for (i = 0; i < members->len; i++)
    {
      const ww_member *member = &g_array_index (members, ww_member, i);
      WlEndpoint endpoint = { .id = member->id,
                              .service_id = member->service_id,
                              .address = member->address,
                              .data_port = wm_member_data_port (member),
                              .zone = member->zone };

      g_array_append_val (endpoints, endpoint);
    }
  daemon->n_usable_endpoints = endpoints->len;
  wl_balancer_set_endpoints (daemon->balancer, (const WlEndpoint *) (gpointer) endpoints->data,
                             endpoints->len);
  update_rotation (daemon, now_us);
}

static void
config_changed (gpointer context, WcConfig *config, gint64 now_us)
{
  Daemon *daemon = context;

  wl_balancer_set_config (daemon->balancer, config);
  update_rotation (daemon, now_us);
}

static void
tick (gpointer context, gint64 now_us)
{
  Daemon *daemon = context;

  if (now_us >= daemon->endpoints_complete_us)
    {
      wl_balancer_set_endpoints_complete (daemon->balancer, TRUE);
      daemon->endpoints_complete_us = WB_NEVER;
    }
  if (wl_rotation_tick (&daemon->rotation, now_us))
    log_rotation (daemon);
  if (daemon->quit_at_us <= now_us)
    wd_node_quit (daemon->node);
}

static gint64
next_us (gpointer context)
{
  Daemon *daemon = context;

  return MIN (daemon->rotation.leave_us, MIN (daemon->endpoints_complete_us, daemon->quit_at_us));
}

static void
resumed (gpointer context, gint64 now_us)
{
}

static void
stop_requested (gpointer context, gint64 now_us)
{
  Daemon *daemon = context;

  wm_node_leave (wd_node_member (daemon->node), now_us);
  daemon->quit_at_us = now_us + daemon->leave_linger_us;
}

static gboolean
is_ready (gpointer context)
{
  const Daemon *daemon = context;

  return daemon->n_usable_endpoints > 0 && daemon->rotation.in_rotation;
}

static void
fill_status (gpointer context, ww_status_reply *status)
{
}

static void
append_metrics (gpointer context, GString *text)
{
  Daemon *daemon = context;

  wb_counters_append_text (wl_balancer_counters (daemon->balancer), text);
  g_string_append_printf (text, "balancer_in_rotation %d\n", daemon->rotation.in_rotation);
}

static gboolean
daemon_open (Daemon *daemon, const WcSettings *settings, const WdPlatform *platform, GError **error)
{
  WlCallbacks balancer_callbacks = { .context = daemon,
                                     .to_agent = send_to_agent,
                                     .to_client = send_to_client };
  WdCallbacks callbacks = { .context = daemon,
                            .members_changed = members_changed,
                            .config_changed = config_changed,
                            .tick = tick,
                            .next_us = next_us,
                            .resumed = resumed,
                            .stop_requested = stop_requested,
                            .is_ready = is_ready,
                            .fill_status = fill_status,
                            .append_metrics = append_metrics };

  wl_rotation_init (&daemon->rotation);
  daemon->id = wb_name_id (settings->name);
  daemon->link_kbps = settings->link_kbps;
  daemon->quit_at_us = WB_NEVER;
  daemon->endpoints_complete_us = g_get_monotonic_time () + ENDPOINTS_COMPLETE_US;
  daemon->leave_linger_us =
      settings->leave_linger_us != 0 ? settings->leave_linger_us : LEAVE_LINGER_US;
  daemon->balancer = wl_balancer_new (wb_name_id (settings->name), &balancer_callbacks);
  wl_balancer_set_format (daemon->balancer, platform->packet_format);
  if (settings->zone_affinity)
    wl_balancer_set_entry_zone (daemon->balancer, (guint32) wb_name_id (settings->zone));
  daemon->node = wd_node_new (settings, platform, WW_ROLE_BALANCER, &callbacks, error);
  if (daemon->node == NULL)
    return FALSE;
  daemon->network =
      wd_pktio_new (&settings->network, platform->packet_format, packet_received, daemon, error);
  return daemon->network != NULL;
}

static void
daemon_close (Daemon *daemon)
{
  ww_pktio_free (daemon->network);
  wd_node_free (daemon->node);
  wl_balancer_free (daemon->balancer);
}

static gboolean
run_balancer (const WcSettings *settings, const WdPlatform *platform, GError **error)
{
  Daemon daemon = { 0 };
  gboolean ok = daemon_open (&daemon, settings, platform, error);

  if (ok)
    wd_node_run (daemon.node);
  daemon_close (&daemon);
  return ok;
}

int
bal_command (int argc, char **argv)
{
  const WdCommand command = { .name = "waxwinghitch balancer",
                              .log_name = "balancer",
                              .doc = "Runs a balancer until SIGTERM or SIGINT.",
                              .role = WW_ROLE_BALANCER,
                              .platforms = wp_platforms,
                              .run = run_balancer };

  return wd_command_run (&command, argc, argv);
}
