#include "wf-search-round.h"

/* Replies to questions that are older are ignored. */
#define ROUND_LIFETIME_US (1 * WB_US_PER_S)

struct WfSearchRounds
{
  GQueue queue;                           /* of WfSearchRound, oldest first */
  gint64 sent_us[WF_SEARCH_ROUNDS_PER_S]; /* of the last rounds */
  guint cursor;                           /* the oldest of them */
  guint32 next_id;
};

WfSearchRounds *
wf_search_rounds_new (guint32 first_id)
{
  WfSearchRounds *rounds = g_new0 (WfSearchRounds, 1);
  guint i;

  g_queue_init (&rounds->queue);
  rounds->next_id = first_id;
  for (i = 0; i < WF_SEARCH_ROUNDS_PER_S; i++)
    rounds->sent_us[i] = G_MININT64 / 2;
  return rounds;
}

void
wf_search_rounds_free (WfSearchRounds *rounds)
{
  if (rounds == NULL)
    return;
  g_queue_clear_full (&rounds->queue, g_free);
  g_free (rounds);
}

guint32
wf_search_rounds_next_id (const WfSearchRounds *rounds)
{
  return rounds->next_id;
}

gboolean
wf_search_rounds_allowed (const WfSearchRounds *rounds, gint64 now_us)
{
  return now_us - rounds->sent_us[rounds->cursor] >= WB_US_PER_S;
}

static void
drop_old_rounds (WfSearchRounds *rounds, gint64 now_us)
{
  const WfSearchRound *oldest;

  while ((oldest = g_queue_peek_head (&rounds->queue)) != NULL &&
         now_us - oldest->sent_us > ROUND_LIFETIME_US)
    g_free (g_queue_pop_head (&rounds->queue));
}

void
wf_search_rounds_add (WfSearchRounds *rounds, WfSearchRound *round, gint64 now_us)
{
  drop_old_rounds (rounds, now_us);
  round->id = rounds->next_id++;
  round->sent_us = now_us;
  rounds->sent_us[rounds->cursor] = now_us;
  rounds->cursor = (rounds->cursor + 1) % WF_SEARCH_ROUNDS_PER_S;
  g_queue_push_tail (&rounds->queue, g_memdup2 (round, sizeof *round));
}

const WfSearchRound *
wf_search_rounds_find (WfSearchRounds *rounds, guint32 id, gint64 now_us)
{
  const GList *link;

  drop_old_rounds (rounds, now_us);
  for (link = rounds->queue.head; link != NULL; link = link->next)
    if (((const WfSearchRound *) link->data)->id == id)
      return link->data;
  return NULL;
}
