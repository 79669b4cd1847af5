#pragma once

#include "wc.h"

/**
 * DOC: Earlier targets of routes.
 *
 * A configuration that changes the targets of a route concerns new flows only. The history tells to
 * which service a flow belongs that was opened before the change. It is kept in memory: a process
 * that starts later has none.
 */

typedef struct WcHistory WcHistory;

WcHistory *wc_history_new (void);
void wc_history_free (WcHistory *history);

/**
 * wc_history_record() - records the routes of which a new configuration changes the targets
 * @previous: configuration in effect until now
 * @next: configuration that replaces it
 *
 * Routes that @next does not have are forgotten: their flows end.
 *
 * Return: number of routes with other targets
 */
guint wc_history_record (WcHistory *history,
                         const WcConfig *previous,
                         const WcConfig *next,
                         gint64 now_us);

/**
 * wc_history_service() - the service that an earlier configuration chose for a flow
 * @config: configuration in effect
 * @since_us: earlier changes are left out
 *
 * Return: id of the latest one that differs from the choice of @config; 0 when there is none
 */
guint64 wc_history_service (const WcHistory *history,
                            const WcConfig *config,
                            const WwFlowKey *key,
                            gint64 since_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WcHistory, wc_history_free)
