#pragma once

#include "wf-search.h"

/**
 * DOC: The questions that a searching home has sent, and their limit.
 */

/**
 * struct WfSearchRound - the flows of one message, which went to several agents
 * @id: search_id of the message
 */
typedef struct
{
  guint32 id;
  guint count;
  gint64 sent_us;
  WwFlowKey keys[WW_MAX_SEARCH_FLOWS];
} WfSearchRound;

typedef struct WfSearchRounds WfSearchRounds;

/** wf_search_rounds_new() - @first_id: number of the first round */
WfSearchRounds *wf_search_rounds_new (guint32 first_id);
void wf_search_rounds_free (WfSearchRounds *rounds);

/** wf_search_rounds_next_id() - returns the number that the next round will have */
guint32 wf_search_rounds_next_id (const WfSearchRounds *rounds);

/** wf_search_rounds_allowed() - whether WF_SEARCH_ROUNDS_PER_S allows another round now */
gboolean wf_search_rounds_allowed (const WfSearchRounds *rounds, gint64 now_us);

/** wf_search_rounds_add() - numbers a round that is sent now, and records a copy of it */
void wf_search_rounds_add (WfSearchRounds *rounds, WfSearchRound *round, gint64 now_us);

/** wf_search_rounds_find() - returns a round of the last second, or NULL */
const WfSearchRound *wf_search_rounds_find (WfSearchRounds *rounds, guint32 id, gint64 now_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WfSearchRounds, wf_search_rounds_free)
