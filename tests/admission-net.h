#pragma once

#include "wa-options.h"

#define ENDPOINTS 4
#define FLOWS 4000
#define MS WB_US_PER_MS
#define S WB_US_PER_S

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

typedef struct
{
  guint to;
  ww_peer message;
} Sent;

typedef struct Net Net;

typedef struct
{
  Net *net;
  guint index;
} Side;

/* Endpoints 0 to 3 with ids 1 to 4. Messages wait in @sent until a test delivers them. */
struct Net
{
  Side sides[ENDPOINTS];
  WaAdmission *admissions[ENDPOINTS];
  WcConfig *config;
  WcService *service;
  GArray *sent;
  GArray *admitted; /* guint32 flow numbers in order of admission */
  State states[ENDPOINTS][FLOWS];
  guint placed_on[FLOWS];
  guint granted_to[FLOWS];
  guint retry_after_s;
  gint64 now_us;
};

WbHandle net_handle (guint flow);

void net_restart (Net *net, guint index, gboolean cold);

/** net_new() - one tenant "other" of weight 1, tenant 1 of weight 1 and tenant 2 of weight 3 */
Net *net_new (guint slots, guint reserve_short);

void net_free (Net *net);

/** net_open() - wa_admission_open() that records the state */
WaVerdict net_open (Net *net, guint endpoint, guint flow, WcClass class, guint tenant);

/** net_occupy() - opens a flow and sends its payload, so that it uses a slot until net_done() */
void net_occupy (Net *net, guint endpoint, guint flow, WcClass class);

void net_done (Net *net, guint endpoint, guint flow);

void net_advance (Net *net, guint endpoint, gint64 by_us);

void net_deliver (Net *net, const Sent *sent);

/** net_deliver_all() - delivers what has been sent and what is sent in reply, each @copies times */
void net_deliver_all (Net *net, guint copies);

guint net_sent_of_kind (const Net *net, ww_peer_kind kind);

/** net_admitted_at() - the flow that was the @i-th to be admitted from a queue, FLOWS when there is
 * none */
guint net_admitted_at (const Net *net, guint i);

guint64 net_counter (const Net *net, guint endpoint, const gchar *name);

/** net_place() - places a flow whose rank order begins with endpoint @first */
void net_place (Net *net, guint home, guint flow, guint first);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (Net, net_free)
