#pragma once

#include "wf-search.h"

/**
 * DOC: Sets of agents as sorted arrays of ids (guint64).
 */

/** wf_search_agents_new() - (transfer full): the set of @ids and @self_id */
GArray *wf_search_agents_new (guint64 self_id, const guint64 *ids, guint count);

gboolean wf_search_agents_equal (const GArray *a, const GArray *b);

/** wf_search_agents_find() - returns the index of an agent, or -1 */
gint wf_search_agents_find (const GArray *agents, guint64 id);

/** wf_search_agents_digest() - returns the exclusive or of the hashes of the ids */
guint64 wf_search_agents_digest (const GArray *agents);
