#pragma once

#include "flow-world.h"

/* Shared by the world and the ends of the connections in it. */

typedef enum
{
  TO_AGENT,
  TO_BALANCER,
  TO_SERVER,
  FROM_SERVER,
  TO_CLIENT,
  VIEW_AGENT,
  VIEW_BALANCER,
  CONFIG_AGENT,
  CONFIG_BALANCER,
} FwEventKind;

#define FW_MEMBER_LATENCY_US 500
#define FW_CLIENT_LATENCY_US 3000
#define FW_SERVER_LATENCY_US 50

void fw_post (FwWorld *world, FwEventKind kind, guint target, GBytes *data, gint64 delay_us);
void fw_post_lossy (FwWorld *world,
                    FwEventKind kind,
                    guint target,
                    const guint8 *data,
                    gsize length,
                    gint64 latency_us);
void fw_fault (FwWorld *world, const gchar *format, ...);
void fw_served_free (gpointer data);
void fw_server_step (FwWorld *world, guint index, FwServed *served);
void fw_server_input (FwWorld *world, guint index, const guint8 *data, gsize length);
void fw_client_step (FwWorld *world, guint number);
void fw_client_input (FwWorld *world, const guint8 *data, gsize length);
