#pragma once

#include "wa-options.h"

/**
 * DOC: The endpoints of one service around the real admission core, in virtual time.
 *
 * The fake has no packets, balancers or membership: it draws the arrivals, delivers peer messages
 * after a fixed delay, and plays the backend servers.
 */

#define FAKE_MESSAGE_DELAY_US 500
#define FAKE_NONE G_MAXUINT
#define FAKE_MAX_TENANTS 4
#define FAKE_MAX_ENDPOINTS 16

/**
 * struct FakeJob - one flow with one request
 * @class: what the request really is, WC_CLASS_SHORT or WC_CLASS_LONG
 * @key: decides the rank order of the endpoints
 */
typedef struct
{
  gint64 arrival_us;
  gint64 service_us;
  WcClass class;
  guint tenant;
  guint64 key;
} FakeJob;

/**
 * struct FakeOptions - one run
 * @central: one central queue instead of admission at each endpoint
 * @central_by_class: the central queue serves short work first
 * @central_ideal: the central queue holds no slot for the time between initial packet and payload
 * @class_known: whether admission is told the class
 * @slow: endpoint whose server takes 3 times as long, or FAKE_NONE
 * @cold: endpoint whose server has just started and takes twice as long for 10 s
 * @misleading: endpoint that always reports itself as empty
 * @client_rtt_us: time from the delivery of an initial packet to the first payload
 * @think_us: further time that clients take for their first payload
 * @bind_at_payload: the agent completes the handshake and places the flow at the first payload
 * @warmup_us: jobs that arrive earlier are not measured
 * @weights: of the tenants 1 and up; 0 ends the list
 * @probe_refusals: measure the time from the decision to refuse to the refusal
 */
typedef struct
{
  guint endpoints;
  guint slots;
  guint reserve_short;
  WaPolicy policy;
  gboolean central;
  gboolean central_by_class;
  gboolean central_ideal;
  gboolean class_known;
  guint slow;
  guint cold;
  guint misleading;
  gint64 client_rtt_us;
  gint64 think_us;
  gboolean bind_at_payload;
  gint64 deadline_us;
  guint queue_limit;
  gint64 warmup_us;
  gint64 duration_us;
  guint weights[FAKE_MAX_TENANTS];
  gboolean probe_refusals;
} FakeOptions;

/**
 * struct FakeResult - sums over the runs given to it
 * @wait: of gint64 in microseconds, by true class: from the arrival to the start of the request,
 * less the client's own time
 * @refusal_delay: of gint64 in microseconds, from the first time that the predicted wait exceeded
 * the deadline to the refusal
 * @offered_us: service time of the measured jobs
 * @work_us: slot time of requests completed within the deadline, inside the duration
 */
typedef struct
{
  GArray *wait[2];
  GArray *refusal_delay;
  gdouble sum_maximum;
  gdouble sum_mean;
  gdouble sum_deviation;
  guint64 flows;
  guint64 messages;
  guint64 message_bytes; /* as datagrams, IPv4 and UDP headers included */
  guint64 packets;
  guint64 extra_hops;
  guint64 completed[2];
  guint64 refused[2];
  gdouble offered_us;
  gdouble work_us;
  gdouble tenant_work_us[FAKE_MAX_TENANTS];
  guint64 tenant_flows[2][FAKE_MAX_TENANTS];
  guint64 tenant_refused[2][FAKE_MAX_TENANTS];
} FakeResult;

/**
 * struct FakeLoad - how arrivals are drawn
 * @load: offered work relative to the capacity
 * @swing: demand changes within seconds between 2/3 and 4/3 of the mean
 */
typedef struct
{
  gdouble load;
  gboolean swing;
  guint tenant;
} FakeLoad;

void fake_options_init (FakeOptions *options);
FakeResult *fake_result_new (void);
void fake_result_free (FakeResult *result);

/** fake_quantile() - exact quantile of an array of gint64, in milliseconds */
gdouble fake_quantile (GArray *values, gdouble quantile);

/** fake_jobs_mixed() - 90% of 50 ms, 9% of 1 s, 1% of 10 s on average, each between half and
 * one and a half times that */
void
fake_jobs_mixed (GArray *jobs, const FakeOptions *options, const FakeLoad *load, GRand *random);

/** fake_jobs_single() - requests of one class and one mean service time */
void fake_jobs_single (GArray *jobs,
                       const FakeOptions *options,
                       const FakeLoad *load,
                       WcClass class,
                       gint64 service_us,
                       GRand *random);

/** fake_jobs_sort() - orders the jobs by arrival; call before fake_run() */
void fake_jobs_sort (GArray *jobs);

/** fake_run() - runs the jobs and adds the measurements to @result */
void fake_run (const FakeOptions *options, const GArray *jobs, guint32 seed, FakeResult *result);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (FakeResult, fake_result_free)
