#pragma once

#include "wb.h"

#include "ww-flow-key.h"

/**
 * DOC: Search for the holder of flows that the home does not know.
 *
 * The home asks the agents of the service whether their servers hold the flow of a packet. This
 * module decides whom to ask, and what follows from the states they report; it sends nothing itself
 * and knows neither flow table nor registry. docs/design/flow-search.md gives the reasons.
 */

/** WF_SEARCH_AGENTS_MIN - services with fewer agents are not searched: a chain visits them all */
#define WF_SEARCH_AGENTS_MIN 13

/** WF_SEARCH_COLLECT_US - time for which flows are collected into one message */
#define WF_SEARCH_COLLECT_US (5 * WB_US_PER_MS)

/** WF_SEARCH_ROUNDS_PER_S - most messages in one second to each agent */
#define WF_SEARCH_ROUNDS_PER_S 50

/** WF_SEARCH_FLOWS_MAX - most flows in the table */
#define WF_SEARCH_FLOWS_MAX 4096

/** WF_SEARCH_STAGE_AGENTS - most agents asked about a flow at a time */
#define WF_SEARCH_STAGE_AGENTS 64

/** WF_SEARCH_PROBES_MAX - most agents to which the packet of a flow is sent at a time */
#define WF_SEARCH_PROBES_MAX 4

/** WF_SEARCH_RESULT_US - time for which a result is kept */
#define WF_SEARCH_RESULT_US (10 * WB_US_PER_S)

/**
 * struct WfSearchPacket - a packet of a flow that is searched for
 * @hops: hops that it has taken
 * @entry_zone: availability zone through which it entered; 0 when unknown
 * @sender_id: the agent or balancer that sent it here; an agent that returns it does not hold it
 * @come_back: the agent that was found has sent the packet on to one that returned it
 */
typedef struct
{
  WwFlowKey key;
  guint32 sequence;
  guint32 acknowledgment;
  guint hops;
  guint32 entry_zone;
  guint64 sender_id;
  gboolean come_back;
  const guint8 *data;
  gsize length;
} WfSearchPacket;

/**
 * enum WfSearchEvent - what has happened to a search
 * @WF_SEARCH_STARTED: the agents will be asked
 * @WF_SEARCH_FOUND: an agent holds the flow
 * @WF_SEARCH_ABSENT: no agent of the service holds it, for certain
 * @WF_SEARCH_UNANSWERED: some agents have not answered, or could not tell
 * @WF_SEARCH_LIMITED: the packet was dropped at a limit
 */
typedef enum
{
  WF_SEARCH_STARTED,
  WF_SEARCH_FOUND,
  WF_SEARCH_ABSENT,
  WF_SEARCH_UNANSWERED,
  WF_SEARCH_LIMITED,
} WfSearchEvent;

/**
 * struct WfSearchCallbacks - effects of a search
 * @own_state: what this agent itself knows of the flow
 * @ask: sends a message to an agent
 * @found: @endpoint_id holds the flow; @forward is FALSE when its agent already has the packet
 * @probe: sends the packet to an agent whose server may hold the flow
 * @absent: no server holds the flow of the packet
 * @note: for counters and logs; @asked is the number of agents asked, @duration_us the time since
 *   the search began
 *
 * A callback must not call back into the search.
 */
typedef struct
{
  gpointer context;
  ww_search_state (*own_state) (gpointer context, const WwFlowKey *key);
  void (*ask) (gpointer context, guint64 endpoint_id, const ww_search *message);
  void (*found) (gpointer context,
                 const WfSearchPacket *packet,
                 guint64 endpoint_id,
                 gboolean forward);
  void (*probe) (gpointer context, const WfSearchPacket *packet, guint64 endpoint_id);
  void (*absent) (gpointer context, const WfSearchPacket *packet);
  void (*note) (
      gpointer context, WfSearchEvent event, const WwFlowKey *key, guint asked, gint64 duration_us);
} WfSearchCallbacks;

typedef struct WfSearch WfSearch;

/** wf_search_new() - searches of the agent @self_id; @seed: of flow table and message numbers */
WfSearch *wf_search_new (guint64 self_id, const WfSearchCallbacks *callbacks, guint32 seed);
void wf_search_free (WfSearch *search);

/**
 * wf_search_set_agents() - sets the agents of the service that are alive or suspected
 *
 * This agent is added when it is missing. Searches without a result ask again the agents that have
 * said ABSENT, since they knew other agents. Remembered results are dropped when an agent is new,
 * because it was not asked.
 */
void wf_search_set_agents (WfSearch *search, const guint64 *ids, guint count, gint64 now_us);

/** wf_search_agents() - returns the number of agents of the service, this one included */
guint wf_search_agents (const WfSearch *search);

/** wf_search_digest() - returns the exclusive or of the hashes of the agents' ids */
guint64 wf_search_digest (const WfSearch *search);

/** wf_search_packet() - starts or continues the search for the holder of a packet's flow */
void wf_search_packet (WfSearch *search, const WfSearchPacket *packet, gint64 now_us);

/** wf_search_reply() - handles a reply. Return: FALSE when it does not fit its question */
gboolean
wf_search_reply (WfSearch *search, guint64 sender_id, const ww_search_reply *reply, gint64 now_us);

/** wf_search_forget() - ends the search, or the memory of its result, because an initial packet has
 * begun a new connection with the 5-tuple */
void wf_search_forget (WfSearch *search, const WwFlowKey *key);

/** wf_search_tick() - runs the timers that are due */
void wf_search_tick (WfSearch *search, gint64 now_us);
gint64 wf_search_next_us (const WfSearch *search);

/** wf_search_flows() - returns the flows in the table */
guint wf_search_flows (const WfSearch *search);

/** wf_search_memory() - returns the bytes of the table and its packets */
gsize wf_search_memory (const WfSearch *search);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WfSearch, wf_search_free)
