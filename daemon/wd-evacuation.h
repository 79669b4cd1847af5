#pragma once

#include "wc-settings.h"
#include "wm.h"
#include "ws-client.h"

/**
 * DOC: Reads the evacuations of availability zones from the platform's store and passes them to the
 * membership, which disseminates them.
 *
 * Every process reads the list once at its start; a few balancers keep a watch. All functions
 * accept NULL, which stands for a process whose settings do not call for evacuations.
 */
typedef struct WdEvacuation WdEvacuation;

/**
 * wd_evacuation_new() - starts to read the evacuations
 * @member, @client: must outlive the result; @client is NULL without a platform
 *
 * Return: NULL when the settings do not call for evacuations
 */
WdEvacuation *
wd_evacuation_new (const WcSettings *settings, WmNode *member, WsClient *client, gint64 now_us);
void wd_evacuation_free (WdEvacuation *evacuation);

/** wd_evacuation_members_changed() - starts or stops the watch when the rank of this process has
 * changed */
void wd_evacuation_members_changed (WdEvacuation *evacuation);

/** wd_evacuation_tick() - does the work that is due */
void wd_evacuation_tick (WdEvacuation *evacuation, gint64 now_us);

/** wd_evacuation_next_us() - when wd_evacuation_tick() has to be called next */
gint64 wd_evacuation_next_us (const WdEvacuation *evacuation);

/** wd_evacuation_is_settled() - whether a starting process need not wait for a view any longer: it
 * has one, or has waited long enough */
gboolean wd_evacuation_is_settled (const WdEvacuation *evacuation);

/** wd_evacuation_append_metrics() - appends the counters to @text */
void wd_evacuation_append_metrics (const WdEvacuation *evacuation, GString *text);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WdEvacuation, wd_evacuation_free)
