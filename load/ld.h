#pragma once

#include "wb-histogram.h"

#include "si.h"

/**
 * DOC: Load generator. Opens TCP flows of several classes through the fabric, sends requests of the
 * line protocol of si.h, checks every response and reports counts and response times.
 *
 * All functions need the lock of the stack (si_stack_lock()).
 */

/**
 * struct LdFlowClass - parameters of one class of flows, as given by --mix, and its results
 * @service: service that has to respond
 * @address: destination address of the flows
 * @bytes: length of each response body
 * @work_ms: time for which a request occupies a slot of the backend server
 * @requests: requests on each connection
 * @idle_ms: time between the handshake and the first request
 * @pause_ms: time between a response and the next request
 * @read_bytes_per_s: rate at which the client reads, 0 for no limit
 * @next_open_us: when the next flow is opened
 * @opened: flows whose initial packet was sent
 * @completed: flows that got every response complete
 * @refused: flows that got a refusal text
 * @refused_without_retry: refusals without a time to retry after
 * @broken: flows that ended or stalled before the last response was complete
 * @misrouted: flows with a response of another service, endpoint or request
 * @response_time_us: time until the response is complete, from the initial packet for a first
 *   request without @idle_ms and otherwise from the request
 */
typedef struct
{
  gchar *name;
  gchar *service;
  guint32 address;
  guint16 port;
  gdouble flows_per_s;
  guint64 bytes;
  guint work_ms;
  guint requests;
  guint idle_ms;
  guint pause_ms;
  guint64 read_bytes_per_s;
  gint64 next_open_us;
  guint64 opened, completed, refused, refused_without_retry, broken, misrouted, responses;
  WbHistogram *response_time_us;
} LdFlowClass;

/** struct LdEndpoint - responses received from one endpoint */
typedef struct
{
  gchar *name;
  gchar *service;
  guint64 responses;
  guint64 bytes;
} LdEndpoint;

/**
 * struct LdRun - state of a run
 * @client_base: first client address
 * @last_client_ports: port of the last flow of each client address
 * @last_id: id of the last request; ids are unique in runs with different seeds
 * @stall_timeout_us: time without progress after which a flow counts as broken
 * @log: one line for each request: id, outcome, begin and duration in ms, class, endpoint and
 *   client; or NULL
 */
typedef struct
{
  GPtrArray *classes;    /* of LdFlowClass */
  GHashTable *endpoints; /* name to LdEndpoint */
  GQueue flows;          /* open flows */
  GRand *random;
  guint32 client_base;
  guint client_count;
  guint16 *last_client_ports;
  guint64 last_id;
  gint64 start_us;
  gint64 stall_timeout_us;
  GString *log;
} LdRun;

/** ld_flow_open() - opens one flow */
void ld_flow_open (LdRun *run, LdFlowClass *flow_class, gint64 now_us);

/** ld_flows_tick() - sends requests that are due and ends flows without progress */
void ld_flows_tick (LdRun *run, gint64 now_us);

/** ld_flows_abort() - ends all open flows and counts them as broken */
void ld_flows_abort (LdRun *run);

/** ld_report_table() - (transfer full): results as a table */
gchar *ld_report_table (const LdRun *run);

/** ld_report_json() - (transfer full): results as one JSON object */
gchar *ld_report_json (const LdRun *run);
