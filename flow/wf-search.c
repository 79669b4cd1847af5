#include "wf-search-agents.h"
#include "wf-search-round.h"

#include "wf-table.h"

#include <string.h>

/* Replies take a round trip between two availability zones, about 2 ms. After this time the packet
 * is sent to agents that cannot tell, although others have not replied. */
#define REPLY_WAIT_US (20 * WB_US_PER_MS)

/* After this time without all replies the search ends without a result. */
#define SEARCH_TIMEOUT_US (100 * WB_US_PER_MS)

/* An agent takes a packet that its server has not returned within 100 ms as held. */
#define PROBE_WAIT_US (120 * WB_US_PER_MS)

/* Further packets of a flow within this time do not repeat its questions. The first retransmission
 * of a client comes after 200 ms. */
#define ASK_AGAIN_US (50 * WB_US_PER_MS)

/* Packets whose sequence and acknowledgment numbers are closer belong to one connection: nobody
 * serves the flow, so its client sends no more than a window. */
#define SAME_CONNECTION_BYTES (1 << 20)

/* What is known of a flow at one agent. */
typedef enum
{
  AGENT_NOT_ASKED,
  AGENT_ASKED,
  AGENT_ABSENT,
  AGENT_UNKNOWN,
  AGENT_PROBED,    /* it was sent the packet */
  AGENT_HELD,      /* it has said that it holds the flow */
  AGENT_SENT_BACK, /* it has said so, but has sent the packet back */
  AGENT_N_STATES,
} AgentState;

typedef enum
{
  PHASE_PENDING, /* in the next message */
  PHASE_WORKING,
  PHASE_ENDED, /* held or unanswered; the next packet asks again */
  PHASE_ABSENT,
} Phase;

/* A row of the table of flows. */
typedef struct
{
  WwFlowKey key;
  guint32 sequence;
  guint32 acknowledgment;
  guint32 since_id; /* earlier questions concern an earlier connection */
  guint32 entry_zone;
  guint hops;  /* least of its packets: a returned packet has taken more */
  guint asked; /* questions sent */
  Phase phase;
  gint64 begun_us;
  gint64 asked_us;
  gint64 probed_us;
  gint64 expires_us;
  GBytes *packet;
  guint64 found_id; /* agent to which the packet was sent as to the holder, or 0 */
  guint8 *states;   /* AgentState of each agent, in the order of WfSearch.agents */
} SearchRow;

struct WfSearch
{
  guint64 self_id;
  WfSearchCallbacks callbacks;
  WfTable *rows;
  GArray *agents;  /* of guint64, sorted */
  GArray *pending; /* of WbHandle */
  WfSearchRounds *rounds;
  gint64 flush_due_us;
  guint64 digest;
  gsize packet_bytes;
};

WfSearch *
wf_search_new (guint64 self_id, const WfSearchCallbacks *callbacks, guint32 seed)
{
  WfSearch *search = g_new0 (WfSearch, 1);

  search->self_id = self_id;
  search->callbacks = *callbacks;
  search->rows = wf_table_new (sizeof (SearchRow), seed);
  search->agents = wf_search_agents_new (self_id, NULL, 0);
  search->digest = wf_search_agents_digest (search->agents);
  search->pending = g_array_new (FALSE, FALSE, sizeof (WbHandle));
  search->flush_due_us = WB_NEVER;
  search->rounds = wf_search_rounds_new (seed);
  return search;
}

static void
set_packet (WfSearch *search, SearchRow *row, const WfSearchPacket *packet)
{
  if (row->packet != NULL)
    {
      search->packet_bytes -= g_bytes_get_size (row->packet);
      g_clear_pointer (&row->packet, g_bytes_unref);
    }
  if (packet == NULL)
    return;
  row->packet = g_bytes_new (packet->data, packet->length);
  row->sequence = packet->sequence;
  row->acknowledgment = packet->acknowledgment;
  search->packet_bytes += packet->length;
}

static WfSearchPacket
row_packet (const WfSearch *search, const SearchRow *row)
{
  WfSearchPacket packet = { .key = row->key,
                            .sequence = row->sequence,
                            .acknowledgment = row->acknowledgment,
                            .hops = row->hops,
                            .entry_zone = row->entry_zone,
                            .sender_id = search->self_id };

  if (row->packet != NULL)
    packet.data = g_bytes_get_data (row->packet, &packet.length);
  return packet;
}

static void
remove_row (WfSearch *search, SearchRow *row, WbHandle handle)
{
  set_packet (search, row, NULL);
  g_free (row->states);
  wf_table_remove (search->rows, handle);
}

void
wf_search_free (WfSearch *search)
{
  guint32 cursor = 0;
  WbHandle handle;
  SearchRow *row;

  if (search == NULL)
    return;
  while ((row = wf_table_next (search->rows, &cursor, &handle)) != NULL)
    remove_row (search, row, handle);
  wf_table_free (search->rows);
  wf_search_rounds_free (search->rounds);
  g_array_unref (search->agents);
  g_array_unref (search->pending);
  g_free (search);
}

guint
wf_search_agents (const WfSearch *search)
{
  return search->agents->len;
}

guint64
wf_search_digest (const WfSearch *search)
{
  return search->digest;
}

static void
note (WfSearch *search, const SearchRow *row, WfSearchEvent event, gint64 now_us)
{
  search->callbacks.note (search->callbacks.context, event, &row->key, row->asked,
                          now_us - row->begun_us);
}

static void
make_pending (WfSearch *search, SearchRow *row, WbHandle handle, gint64 now_us)
{
  if (row->phase == PHASE_PENDING)
    return;
  row->phase = PHASE_PENDING;
  g_array_append_val (search->pending, handle);
  search->flush_due_us = search->pending->len >= WW_MAX_SEARCH_FLOWS
                             ? now_us
                             : MIN (search->flush_due_us, now_us + WF_SEARCH_COLLECT_US);
}

static void
end_row (
    WfSearch *search, SearchRow *row, WbHandle handle, Phase phase, WfSearchEvent event, gint64 now)
{
  row->phase = phase;
  row->expires_us = now + WF_SEARCH_RESULT_US;
  wf_table_set_due (search->rows, handle, row->expires_us);
  note (search, row, event, now);
}

static void
end_found (WfSearch *search,
           SearchRow *row,
           WbHandle handle,
           guint64 holder_id,
           gboolean forward,
           gint64 now_us)
{
  WfSearchPacket packet = row_packet (search, row);

  row->found_id = holder_id;
  end_row (search, row, handle, PHASE_ENDED, WF_SEARCH_FOUND, now_us);
  search->callbacks.found (search->callbacks.context, &packet, holder_id, forward);
}

static void
send_probes (WfSearch *search, SearchRow *row, guint probed, gint64 now_us)
{
  WfSearchPacket packet = row_packet (search, row);
  guint i;

  for (i = 0; i < search->agents->len && probed < WF_SEARCH_PROBES_MAX; i++)
    {
      if (row->states[i] != AGENT_UNKNOWN)
        continue;
      row->states[i] = AGENT_PROBED;
      row->probed_us = now_us;
      probed++;
      search->callbacks.probe (search->callbacks.context, &packet,
                               g_array_index (search->agents, guint64, i));
    }
}

/* Counts the agents in each state and returns one that holds the flow, or -1. */
static gint
count_states (const WfSearch *search, const SearchRow *row, guint counts[AGENT_N_STATES])
{
  gint held = -1;
  guint i;

  memset (counts, 0, AGENT_N_STATES * sizeof *counts);
  for (i = 0; i < search->agents->len; i++)
    {
      counts[row->states[i]]++;
      if (row->states[i] == AGENT_HELD)
        held = (gint) i;
    }
  return held;
}

/* Takes over what this agent itself knows of the flow. */
static ww_search_state
update_own_state (WfSearch *search, SearchRow *row)
{
  ww_search_state own = search->callbacks.own_state (search->callbacks.context, &row->key);
  guint8 *state = &row->states[wf_search_agents_find (search->agents, search->self_id)];

  if (own == WW_SEARCH_ABSENT)
    *state = AGENT_ABSENT;
  else if (*state != AGENT_PROBED)
    *state = AGENT_UNKNOWN;
  return own;
}

/* Ends a search that waits for nothing more. */
static void
conclude (WfSearch *search, SearchRow *row, WbHandle handle, guint absent, gint64 now_us)
{
  WfSearchPacket packet = row_packet (search, row);

  if (absent < search->agents->len)
    {
      end_row (search, row, handle, PHASE_ENDED, WF_SEARCH_UNANSWERED, now_us);
      return;
    }
  end_row (search, row, handle, PHASE_ABSENT, WF_SEARCH_ABSENT, now_us);
  search->callbacks.absent (search->callbacks.context, &packet);
  set_packet (search, row, NULL);
}

/* Decides from the states of all agents what to do next. */
static void
evaluate (WfSearch *search, SearchRow *row, WbHandle handle, gint64 now_us)
{
  guint counts[AGENT_N_STATES];
  ww_search_state own;
  gint held;

  if (row->phase != PHASE_WORKING)
    return;
  own = update_own_state (search, row);
  held = count_states (search, row, counts);
  if (own == WW_SEARCH_HELD || held >= 0)
    {
      end_found (search, row, handle,
                 held >= 0 ? g_array_index (search->agents, guint64, held) : search->self_id,
                 held >= 0 || counts[AGENT_PROBED] == 0, now_us);
      return;
    }
  if (counts[AGENT_ASKED] > 0 && now_us < row->asked_us + REPLY_WAIT_US)
    {
      wf_table_set_due (search->rows, handle, row->asked_us + REPLY_WAIT_US);
      return;
    }
  if (counts[AGENT_NOT_ASKED] > 0)
    {
      make_pending (search, row, handle, now_us);
      return;
    }
  if (counts[AGENT_UNKNOWN] > 0 && counts[AGENT_PROBED] < WF_SEARCH_PROBES_MAX)
    {
      send_probes (search, row, counts[AGENT_PROBED], now_us);
      wf_table_set_due (search->rows, handle, now_us + PROBE_WAIT_US);
      return;
    }
  if (counts[AGENT_PROBED] > 0 && now_us < row->probed_us + PROBE_WAIT_US)
    wf_table_set_due (search->rows, handle, row->probed_us + PROBE_WAIT_US);
  else if (counts[AGENT_ASKED] > 0 && now_us < row->asked_us + SEARCH_TIMEOUT_US)
    wf_table_set_due (search->rows, handle, row->asked_us + SEARCH_TIMEOUT_US);
  else
    conclude (search, row, handle, counts[AGENT_ABSENT], now_us);
}

/* Marks the agents that are asked next about a flow, in @wanted too. Returns their number. */
static guint
begin_stage (const WfSearch *search, SearchRow *row, guint8 *wanted)
{
  guint marked = 0;
  guint i;

  for (i = 0; i < search->agents->len && marked < WF_SEARCH_STAGE_AGENTS; i++)
    {
      if (row->states[i] != AGENT_NOT_ASKED ||
          g_array_index (search->agents, guint64, i) == search->self_id)
        continue;
      row->states[i] = AGENT_ASKED;
      wanted[i] = TRUE;
      marked++;
    }
  row->asked += marked;
  return marked;
}

static void
ask_agents (const WfSearch *search, const WfSearchRound *round, const guint8 *wanted)
{
  ww_flow flows[WW_MAX_SEARCH_FLOWS];
  ww_search message = { .search_id = round->id };
  guint i;

  for (i = 0; i < round->count; i++)
    flows[i] = ww_flow_key_to_wire (&round->keys[i]);
  message.flows.flows_len = round->count;
  message.flows.flows_val = flows;
  for (i = 0; i < search->agents->len; i++)
    if (wanted[i])
      search->callbacks.ask (search->callbacks.context, g_array_index (search->agents, guint64, i),
                             &message);
}

/* Drops a flow that cannot be asked about now. What earlier rounds have told stays known. */
static void
drop_limited (WfSearch *search, SearchRow *row, WbHandle handle, gint64 now_us)
{
  note (search, row, WF_SEARCH_LIMITED, now_us);
  if (row->asked == 0)
    remove_row (search, row, handle);
  else
    row->phase = PHASE_ENDED;
}

/* Asks about up to WW_MAX_SEARCH_FLOWS of the pending flows, and removes them from the list. */
static void
ask_round (WfSearch *search, gint64 now_us)
{
  g_autoptr (GByteArray) wanted = g_byte_array_new ();
  WfSearchRound round = { 0 };
  guint taken = MIN (search->pending->len, WW_MAX_SEARCH_FLOWS);
  WbHandle handles[WW_MAX_SEARCH_FLOWS];
  gboolean allowed = wf_search_rounds_allowed (search->rounds, now_us);
  guint marked = 0;
  guint i;

  g_byte_array_set_size (wanted, search->agents->len);
  memset (wanted->data, FALSE, wanted->len);
  memcpy (handles, search->pending->data, taken * sizeof *handles);
  g_array_remove_range (search->pending, 0, taken);
  for (i = 0; i < taken; i++)
    {
      SearchRow *row = wf_table_get (search->rows, handles[i]);

      if (row == NULL || row->phase != PHASE_PENDING)
        continue;
      if (!allowed)
        {
          drop_limited (search, row, handles[i], now_us);
          continue;
        }
      marked += begin_stage (search, row, wanted->data);
      row->phase = PHASE_WORKING;
      row->asked_us = now_us;
      row->expires_us = now_us + WF_SEARCH_RESULT_US;
      round.keys[round.count++] = row->key;
    }
  if (marked > 0)
    {
      wf_search_rounds_add (search->rounds, &round, now_us);
      ask_agents (search, &round, wanted->data);
    }
  for (i = 0; i < taken; i++)
    {
      SearchRow *row = wf_table_get (search->rows, handles[i]);

      if (row != NULL)
        evaluate (search, row, handles[i], now_us);
    }
}

/* Rows that evaluation makes pending again wait for the next round. */
static void
flush (WfSearch *search, gint64 now_us)
{
  guint left = search->pending->len;

  search->flush_due_us = WB_NEVER;
  while (left > 0)
    {
      left -= MIN (left, WW_MAX_SEARCH_FLOWS);
      ask_round (search, now_us);
    }
  if (search->pending->len > 0)
    search->flush_due_us = MIN (search->flush_due_us, now_us + WF_SEARCH_COLLECT_US);
}

static gboolean
is_same_connection (const SearchRow *row, const WfSearchPacket *packet)
{
  return ABS ((gint64) (gint32) (packet->sequence - row->sequence)) < SAME_CONNECTION_BYTES &&
         ABS ((gint64) (gint32) (packet->acknowledgment - row->acknowledgment)) <
             SAME_CONNECTION_BYTES;
}

static void
add_row (WfSearch *search, const WfSearchPacket *packet, gint64 now_us)
{
  gpointer added;
  WbHandle handle;
  SearchRow *row;

  if (wf_table_count (search->rows) >= WF_SEARCH_FLOWS_MAX)
    {
      search->callbacks.note (search->callbacks.context, WF_SEARCH_LIMITED, &packet->key, 0, 0);
      return;
    }
  handle = wf_table_add (search->rows, &packet->key, &added);
  row = added;
  row->since_id = wf_search_rounds_next_id (search->rounds);
  row->hops = packet->hops;
  row->entry_zone = packet->entry_zone;
  row->phase = PHASE_ENDED;
  row->begun_us = now_us;
  row->states = g_new0 (guint8, search->agents->len);
  row->expires_us = now_us + WF_SEARCH_RESULT_US;
  wf_table_set_due (search->rows, handle, row->expires_us);
  set_packet (search, row, packet);
  note (search, row, WF_SEARCH_STARTED, now_us);
  make_pending (search, row, handle, now_us);
}

/* Notes that the agent which sent the packet, or the one found before, does not hold the flow.
 * Returns whether that was unknown. */
static gboolean
note_sent_back (const WfSearch *search, SearchRow *row, const WfSearchPacket *packet)
{
  guint64 id = packet->come_back && row->found_id != 0 ? row->found_id : packet->sender_id;
  gint index = wf_search_agents_find (search->agents, id);

  if (index < 0 || (row->states[index] != AGENT_PROBED && row->states[index] != AGENT_HELD))
    return FALSE;
  row->states[index] = row->states[index] == AGENT_PROBED ? AGENT_NOT_ASKED : AGENT_SENT_BACK;
  row->found_id = 0;
  return TRUE;
}

/* Asks those agents again that have not told for certain that their server lacks the flow. */
static void
ask_again (WfSearch *search, SearchRow *row, WbHandle handle, gint64 now_us)
{
  guint i;

  for (i = 0; i < search->agents->len; i++)
    if (row->states[i] != AGENT_ABSENT && row->states[i] != AGENT_UNKNOWN)
      row->states[i] = AGENT_NOT_ASKED;
  if (row->phase == PHASE_ENDED)
    {
      row->begun_us = now_us;
      row->asked = 0;
      note (search, row, WF_SEARCH_STARTED, now_us);
    }
  row->phase = PHASE_ENDED;
  make_pending (search, row, handle, now_us);
}

void
wf_search_packet (WfSearch *search, const WfSearchPacket *packet, gint64 now_us)
{
  WbHandle handle;
  SearchRow *row = wf_table_find (search->rows, &packet->key, &handle);

  if (row != NULL && !is_same_connection (row, packet))
    {
      remove_row (search, row, handle);
      row = NULL;
    }
  if (row == NULL)
    {
      add_row (search, packet, now_us);
      return;
    }
  if (row->phase == PHASE_ABSENT)
    {
      search->callbacks.absent (search->callbacks.context, packet);
      return;
    }
  set_packet (search, row, packet);
  row->hops = MIN (row->hops, packet->hops);
  if (note_sent_back (search, row, packet))
    {
      if (row->phase == PHASE_ENDED)
        row->phase = PHASE_WORKING;
      evaluate (search, row, handle, now_us);
      return;
    }
  if (row->phase != PHASE_PENDING && now_us - row->asked_us >= ASK_AGAIN_US &&
      now_us - row->probed_us >= ASK_AGAIN_US)
    ask_again (search, row, handle, now_us);
}

/* Takes over the state of one flow from the reply of the agent with @index. */
static void
receive_state (WfSearch *search,
               const WwFlowKey *key,
               guint32 id,
               gint index,
               ww_search_state state,
               gboolean same_agents,
               gint64 now_us)
{
  WbHandle handle;
  SearchRow *row = wf_table_find (search->rows, key, &handle);

  if (row == NULL || (gint32) (id - row->since_id) < 0 || row->phase == PHASE_ABSENT ||
      row->states[index] != AGENT_ASKED)
    return;
  if (state == WW_SEARCH_HELD)
    row->states[index] = AGENT_HELD;
  else if (state == WW_SEARCH_UNKNOWN)
    row->states[index] = AGENT_UNKNOWN;
  else if (state == WW_SEARCH_ABSENT && same_agents)
    row->states[index] = AGENT_ABSENT;
  else
    return;
  /* The reply to an unanswered search is late. A search that has found a holder stays ended. */
  if (row->phase == PHASE_ENDED)
    {
      guint counts[AGENT_N_STATES];

      (void) count_states (search, row, counts);
      if (counts[AGENT_HELD] > (state == WW_SEARCH_HELD ? 1 : 0) ||
          (counts[AGENT_ASKED] > 0 && state == WW_SEARCH_ABSENT))
        return;
      row->phase = PHASE_WORKING;
    }
  evaluate (search, row, handle, now_us);
}

gboolean
wf_search_reply (WfSearch *search, guint64 sender_id, const ww_search_reply *reply, gint64 now_us)
{
  const WfSearchRound *found = wf_search_rounds_find (search->rounds, reply->search_id, now_us);
  gint index = wf_search_agents_find (search->agents, sender_id);
  WfSearchRound round;
  guint i;

  if (found == NULL || index < 0)
    return TRUE;
  if (reply->states.states_len != found->count)
    return FALSE;
  round = *found;
  for (i = 0; i < round.count; i++)
    receive_state (search, &round.keys[i], round.id, index, reply->states.states_val[i],
                   reply->agents_digest == search->digest, now_us);
  return TRUE;
}

void
wf_search_forget (WfSearch *search, const WwFlowKey *key)
{
  WbHandle handle;
  SearchRow *row = wf_table_find (search->rows, key, &handle);

  if (row != NULL)
    remove_row (search, row, handle);
}

/* Keeps the states of the agents that stay listed, but asks those again that have said ABSENT: they
 * agreed with this agent on another set of agents. Returns whether any agent is new. */
static gboolean
remap_states (WfSearch *search, const GArray *previous)
{
  g_autoptr (GArray) origins = g_array_new (FALSE, FALSE, sizeof (gint));
  gboolean added = FALSE;
  guint32 cursor = 0;
  SearchRow *row;
  guint i;

  for (i = 0; i < search->agents->len; i++)
    {
      gint origin = wf_search_agents_find (previous, g_array_index (search->agents, guint64, i));

      g_array_append_val (origins, origin);
      added = added || origin < 0;
    }
  while ((row = wf_table_next (search->rows, &cursor, NULL)) != NULL)
    {
      g_autofree guint8 *states = row->states;

      row->states = g_new0 (guint8, search->agents->len);
      for (i = 0; i < search->agents->len; i++)
        {
          gint origin = g_array_index (origins, gint, i);

          if (origin >= 0 && states[origin] != AGENT_ABSENT)
            row->states[i] = states[origin];
        }
    }
  return added;
}

void
wf_search_set_agents (WfSearch *search, const guint64 *ids, guint count, gint64 now_us)
{
  g_autoptr (GArray) previous = search->agents;
  gboolean added;
  guint32 cursor = 0;
  WbHandle handle;
  SearchRow *row;

  search->agents = wf_search_agents_new (search->self_id, ids, count);
  if (wf_search_agents_equal (previous, search->agents))
    return;
  search->digest = wf_search_agents_digest (search->agents);
  added = remap_states (search, previous);
  while ((row = wf_table_next (search->rows, &cursor, &handle)) != NULL)
    if (row->phase == PHASE_ABSENT && added)
      remove_row (search, row, handle);
    else
      evaluate (search, row, handle, now_us);
}

void
wf_search_tick (WfSearch *search, gint64 now_us)
{
  WbHandle handle;
  SearchRow *row;

  while ((row = wf_table_pop_due (search->rows, now_us, &handle)) != NULL)
    {
      if (now_us >= row->expires_us)
        {
          remove_row (search, row, handle);
          continue;
        }
      wf_table_set_due (search->rows, handle, row->expires_us);
      evaluate (search, row, handle, now_us);
    }
  if (now_us >= search->flush_due_us)
    flush (search, now_us);
}

gint64
wf_search_next_us (const WfSearch *search)
{
  return MIN (search->flush_due_us, wf_table_next_due (search->rows));
}

guint
wf_search_flows (const WfSearch *search)
{
  return wf_table_count (search->rows);
}

gsize
wf_search_memory (const WfSearch *search)
{
  return wf_table_memory (search->rows) + search->packet_bytes +
         (gsize) wf_table_count (search->rows) * search->agents->len;
}
