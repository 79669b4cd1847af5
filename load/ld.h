#pragma once

#include "wb-histogram.h"

#include "si.h"

/**
 * DOC: Load tool: opens flows of several classes and checks every response.
 *
 * All functions run under the lock of the stack.
 */

/**
 * struct LdMix - one class of flows and its results
 * @rate: flows opened a second
 * @requests: requests on each connection
 * @idle_ms: silence between the handshake and the first request
 * @pause_ms: silence between a response and the next request
 * @pace: bytes a second that the client reads, 0 for no limit
 * @opened: flows whose initial packet was sent
 * @whole: flows that got every response complete
 * @refused: flows that were answered with a refusal text
 * @refused_no_time: refusals that name no time to come back
 * @broken: flows that ended or stalled before the last response was complete
 * @misrouted: flows with a response of another service, endpoint or request
 * @time_us: time from the initial packet (first request) or the request to the complete response
 */
typedef struct
{
  gchar *name;
  gchar *service;
  guint32 address;
  guint16 port;
  gdouble rate;
  guint64 bytes;
  guint work_ms;
  guint requests;
  guint idle_ms;
  guint pause_ms;
  guint64 pace;
  gint64 next_us;
  guint64 opened, whole, refused, refused_no_time, broken, misrouted, responses;
  WbHistogram *time_us;
} LdMix;

/** struct LdEndpoint - work done by one endpoint */
typedef struct
{
  gchar *name;
  gchar *service;
  guint64 responses;
  guint64 bytes;
} LdEndpoint;

/**
 * struct LdRun - state of a run
 * @last_id: id of the last request; ids are unique in runs with different seeds
 * @log: one line for each request: id, outcome, begin and duration in ms, class and endpoint; or
 *   NULL
 */
typedef struct
{
  GPtrArray *mixes;      /* of LdMix */
  GHashTable *endpoints; /* name to LdEndpoint */
  GQueue flows;          /* open flows */
  GRand *random;
  guint32 client_base;
  guint client_count;
  guint16 *client_ports; /* last port used, by client */
  guint64 last_id;
  gint64 begin_us;
  gint64 stall_us;
  GString *log;
} LdRun;

/** ld_flow_open() - opens one flow */
void ld_flow_open (LdRun *run, LdMix *mix, gint64 now_us);

/** ld_flows_tick() - sends requests that are due and ends flows that make no progress */
void ld_flows_tick (LdRun *run, gint64 now_us);

/** ld_flows_abandon() - counts all open flows as broken */
void ld_flows_abandon (LdRun *run);

/** ld_report_table() - (transfer full): results as a table */
gchar *ld_report_table (const LdRun *run);

/** ld_report_json() - (transfer full): results as one JSON object */
gchar *ld_report_json (const LdRun *run);
