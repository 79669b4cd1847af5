#pragma once

#include "wa-options.h"

/**
 * DOC: Fixture for the admission tests: four endpoints of one service under virtual time.
 *
 * It records each decision of admission for each flow, and queues the messages between the
 * endpoints until a test delivers them, so that a test can lose, repeat or reorder them.
 */

#define N_ENDPOINTS 4
#define N_FLOWS 4000
#define MS WB_US_PER_MS
#define S WB_US_PER_S

/* State of a flow at one endpoint, after the decisions of admission and the calls of the test. */
typedef enum
{
  FLOW_UNKNOWN,
  FLOW_PLACED,
  FLOW_QUEUED,
  FLOW_OPEN,
  FLOW_BUSY,
  FLOW_REFUSED,
  FLOW_GRANTED,
  FLOW_ENDED,
} FlowState;

/* A message between endpoints that has not been delivered. */
typedef struct
{
  guint to; /* index of the receiving endpoint */
  ww_peer message;
} QueuedMessage;

typedef struct AdmissionFixture AdmissionFixture;

/* The context of the callbacks of one endpoint. */
typedef struct
{
  AdmissionFixture *fixture;
  guint index;
} EndpointContext;

/* The endpoints 0 to 3 have the ids 1 to 4. */
struct AdmissionFixture
{
  EndpointContext contexts[N_ENDPOINTS];
  WaAdmission *admissions[N_ENDPOINTS];
  WcConfig *config;
  WcService *service;
  GArray *messages; /* QueuedMessage, in order of sending */
  GArray *admitted; /* guint32 flow numbers in order of admission */
  FlowState flow_states[N_ENDPOINTS][N_FLOWS];
  guint placed_on[N_FLOWS];  /* endpoint id, or 0 */
  guint granted_to[N_FLOWS]; /* endpoint id, or 0 */
  guint retry_after_s;
  gint64 now_us;
};

WbHandle flow_handle (guint flow);

/** fixture_restart_admission() - replaces the admission of an endpoint and loses its queue;
 * @cold: its server has just started */
void fixture_restart_admission (AdmissionFixture *fixture, guint index, gboolean cold);

/** fixture_new() - a service with the tenants 0 ("other"), 1 and 2, whose weights are 1, 1
 * and 3; each endpoint has @slots slots */
AdmissionFixture *fixture_new (guint slots, guint reserve_short);

void fixture_free (AdmissionFixture *fixture);

/** fixture_open() - calls wa_admission_open() and records the state of the flow */
WaVerdict
fixture_open (AdmissionFixture *fixture, guint endpoint, guint flow, WcClass class, guint tenant);

/** fixture_occupy() - opens a flow and sends its first request, which uses a slot until
 * fixture_finish_request() */
void fixture_occupy (AdmissionFixture *fixture, guint endpoint, guint flow, WcClass class);

/** fixture_finish_request() - ends the request of a flow, which frees its slot */
void fixture_finish_request (AdmissionFixture *fixture, guint endpoint, guint flow);

/** fixture_advance() - advances the time, which all endpoints share, and runs the timers of one
 * endpoint */
void fixture_advance (AdmissionFixture *fixture, guint endpoint, gint64 by_us);

/** fixture_deliver() - delivers a message without removing it from the queue */
void fixture_deliver (AdmissionFixture *fixture, const QueuedMessage *queued);

/** fixture_deliver_all() - delivers the queued messages and their replies, each @copies times */
void fixture_deliver_all (AdmissionFixture *fixture, guint copies);

/** fixture_count_messages() - returns the number of queued messages of a kind */
guint fixture_count_messages (const AdmissionFixture *fixture, ww_peer_kind kind);

/** fixture_admitted_at() - returns the flow that was the @i-th, from 0, to be admitted from a
 * queue, or N_FLOWS if there is none */
guint fixture_admitted_at (const AdmissionFixture *fixture, guint i);

/** fixture_counter() - returns a counter of one endpoint */
guint64 fixture_counter (const AdmissionFixture *fixture, guint endpoint, const gchar *name);

/** fixture_place() - places a flow whose rank order begins with endpoint @first */
void fixture_place (AdmissionFixture *fixture, guint home, guint flow, guint first);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (AdmissionFixture, fixture_free)
