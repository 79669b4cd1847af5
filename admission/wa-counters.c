#include "wa-private.h"

static const WbCounterDef definitions[WA_N_COUNTERS] = {
  [WA_COUNTER_PLACED_SELF] = { "admission_placed_self",
                               "New flows that the home placed on itself." },
  [WA_COUNTER_PLACED_PEER] = { "admission_placed_peer",
                               "New flows that the home placed on a peer." },
  [WA_COUNTER_PLACED_IDLE] = { "admission_placed_idle",
                               "New flows placed on the idle home without a query." },
  [WA_COUNTER_PLACED_IN_ZONE] = { "admission_placed_in_zone",
                                  "New flows placed in the zone through which they entered." },
  [WA_COUNTER_PLACED_OUT_OF_ZONE] = { "admission_placed_out_of_zone",
                                      "New flows placed outside the zone through which they "
                                      "entered." },
  [WA_COUNTER_QUERY_TIMEOUTS] = { "admission_query_timeouts",
                                  "Placements decided before all occupancy replies had arrived." },
  [WA_COUNTER_ADMITTED] = { "admission_admitted", "Initial packets and requests delivered." },
  [WA_COUNTER_QUEUED] = { "admission_queued", "Initial packets and requests that had to wait." },
  [WA_COUNTER_REFUSED_LIMIT] = { "admission_refused_limit",
                                 "Refusals because the queue was full." },
  [WA_COUNTER_REFUSED_PREDICTED] = { "admission_refused_predicted",
                                     "Refusals because the predicted wait exceeded the deadline." },
  [WA_COUNTER_REFUSED_DEADLINE] = { "admission_refused_deadline",
                                    "Refusals because the deadline passed." },
  [WA_COUNTER_GONE_WAITING] = { "admission_gone_waiting",
                                "Flows that ended while they were queued." },
  [WA_COUNTER_AGED] = { "admission_aged",
                        "Long and mixed entries admitted early because of their age." },
  [WA_COUNTER_RESERVE_EXPIRED] = { "admission_reserve_expired",
                                   "Reservations that expired before the first payload arrived." },
  [WA_COUNTER_OPENED_AHEAD] = { "admission_opened_ahead",
                                "Initial packets delivered shortly before a slot was free." },
  [WA_COUNTER_OFFERS_SENT] = { "admission_offers_sent", "Offers sent to peers." },
  [WA_COUNTER_PULLS_SENT] = { "admission_pulls_sent", "Pulls sent to peers." },
  [WA_COUNTER_PULLS_REPEATED] = { "admission_pulls_repeated",
                                  "Duplicate pulls that were ignored." },
  [WA_COUNTER_PULLS_EMPTY] = { "admission_pulls_empty",
                               "Pulls of peers for which no initial packet was queued." },
  [WA_COUNTER_PULL_TIMEOUTS] = { "admission_pull_timeouts",
                                 "Pulls sent that were neither granted nor declined in time." },
  [WA_COUNTER_GRANTED] = { "admission_granted",
                           "Queued initial packets granted to a peer that pulled." },
  [WA_COUNTER_HANDED_OVER] = { "admission_handed_over",
                               "Queued initial packets handed over because the endpoint was "
                               "draining or its server was not answering." },
  [WA_COUNTER_UNKNOWN_PEER] = { "admission_unknown_peer",
                                "Peer messages from endpoints that are not in the service." },
  [WA_COUNTER_NOT_ANSWERING] = { "admission_not_answering",
                                 "Times that the backend server was found not to answer." },
  [WA_COUNTER_DISTRUSTED] = { "admission_distrusted",
                              "Times that a peer was distrusted for implausible reports." },
  [WA_COUNTER_COLD_LIMITED] = { "admission_cold_limited",
                                "Initial packets and requests that found a free slot, but no "
                                "budget of the cold server." },
  [WA_COUNTER_COLD_DELIVERED] = { "admission_cold_delivered",
                                  "Requests delivered while the server was cold and its rate "
                                  "limited." },
};

WbCounters *
wa_counters_new (void)
{
  return wb_counters_new (definitions, WA_N_COUNTERS);
}
