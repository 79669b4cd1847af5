#pragma once

#include "wd.h"
#include "wf.h"

/**
 * DOC: The agent daemon, which runs beside one backend server. It connects the flow handling of
 * wf.h to the network, to the backend server and to the shared daemon runtime of wd.h.
 */

/** struct AgtDaemon - the agent daemon of this process */
typedef struct AgtDaemon AgtDaemon;

/**
 * agt_daemon_new() - opens sockets and packet input and output, and starts to join the members
 * @error: as of wd_node_new() and wd_pktio_new()
 */
AgtDaemon *agt_daemon_new (const WcSettings *settings, const WdPlatform *platform, GError **error);
void agt_daemon_free (AgtDaemon *daemon);

/** agt_daemon_run() - runs until a planned stop is complete */
void agt_daemon_run (AgtDaemon *daemon);

/**
 * agt_metrics_append() - appends the agent's counters, and the histograms of its waits and service
 * times by class and tenant
 * @config: (nullable): the configuration in effect, which has the names of the tenants
 * @service_label: name of the service, escaped for the value of a label
 * @text: the metrics text to append to
 */
void agt_metrics_append (const WfAgent *agent,
                         const WcConfig *config,
                         const gchar *service_label,
                         GString *text);
