#pragma once

#include "wd.h"
#include "wf.h"

/**
 * struct AgtDaemon - the process beside one backend server
 */
typedef struct AgtDaemon AgtDaemon;

/**
 * agt_daemon_new() - opens the sockets and joins
 * @error: as wd_node_new() and wd_pktio_new()
 */
AgtDaemon *agt_daemon_new (const WcSettings *settings, const WdPlatform *platform, GError **error);
void agt_daemon_free (AgtDaemon *daemon);

/** agt_daemon_run() - runs until a planned stop is complete */
void agt_daemon_run (AgtDaemon *daemon);

/**
 * agt_metrics_append() - appends the agent's counters, and its waits and service times per class
 * and tenant of @service
 * @config: the configuration in effect, for the tenants' names, or NULL
 */
void agt_metrics_append (const WfAgent *agent,
                         const WcConfig *config,
                         const gchar *service,
                         GString *text);
