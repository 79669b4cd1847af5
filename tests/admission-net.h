#pragma once

#include "wa-options.h"

/**
 * DOC: Fixture for the admission tests: four endpoints of one service under virtual time.
 *
 * It records each decision of admission for each flow, and queues the messages between the
 * endpoints until a test delivers them, so that a test can lose, repeat or reorder them.
 */

#define ENDPOINTS 4
#define FLOWS 4000
#define MS WB_US_PER_MS
#define S WB_US_PER_S

/* State of a flow at one endpoint, after the decisions of admission and the calls of the test. */
typedef enum
{
  UNKNOWN,
  PLACED,
  WAITING,
  OPEN,
  BUSY,
  REFUSED,
  GRANTED,
  GONE,
} State;

/* A message between endpoints that has not been delivered. */
typedef struct
{
  guint to;
  ww_peer message;
} Sent;

typedef struct Net Net;

/* The context of the callbacks of one endpoint. */
typedef struct
{
  Net *net;
  guint index;
} Side;

/* The endpoints 0 to 3 have the ids 1 to 4. */
struct Net
{
  Side sides[ENDPOINTS];
  WaAdmission *admissions[ENDPOINTS];
  WcConfig *config;
  WcService *service;
  GArray *sent;
  GArray *admitted; /* guint32 flow numbers in order of admission */
  State states[ENDPOINTS][FLOWS];
  guint placed_on[FLOWS];  /* endpoint id, or 0 */
  guint granted_to[FLOWS]; /* endpoint id, or 0 */
  guint retry_after_s;
  gint64 now_us;
};

WbHandle net_handle (guint flow);

/** net_restart() - replaces the admission of an endpoint; @cold: its server has just started */
void net_restart (Net *net, guint index, gboolean cold);

/** net_new() - a service with the tenants "other", 1 and 2 of the weights 1, 1 and 3 */
Net *net_new (guint slots, guint reserve_short);

void net_free (Net *net);

/** net_open() - calls wa_admission_open() and records the state of the flow */
WaVerdict net_open (Net *net, guint endpoint, guint flow, WcClass class, guint tenant);

/** net_occupy() - opens a flow and sends its payload, so that it uses a slot until net_done() */
void net_occupy (Net *net, guint endpoint, guint flow, WcClass class);

/** net_done() - ends the request of a flow, which frees its slot */
void net_done (Net *net, guint endpoint, guint flow);

void net_advance (Net *net, guint endpoint, gint64 by_us);

void net_deliver (Net *net, const Sent *sent);

/** net_deliver_all() - delivers the queued messages and their replies, each @copies times */
void net_deliver_all (Net *net, guint copies);

guint net_sent_of_kind (const Net *net, ww_peer_kind kind);

/** net_admitted_at() - returns the @i-th flow admitted from a queue, or FLOWS when there is none */
guint net_admitted_at (const Net *net, guint i);

/** net_counter() - returns a counter of one endpoint */
guint64 net_counter (const Net *net, guint endpoint, const gchar *name);

/** net_place() - places a flow whose rank order begins with endpoint @first */
void net_place (Net *net, guint home, guint flow, guint first);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Net, net_free)
