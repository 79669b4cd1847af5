#pragma once

#include "wb-counter.h"
#include "wb-histogram.h"
#include "wc.h"
#include "ww-message.h"

/**
 * DOC: Slots, wait queue, placement and refusal decision of one endpoint.
 *
 * The flow package owns the packets; admission refers to a flow by the WbHandle that the flow
 * package chose. All decisions come out through WaCallbacks, possibly before the call that caused
 * them returns.
 */

/** State of one endpoint as admission at an agent sees it; endpoints are given in rank order for
 * each flow. */
typedef struct
{
  guint64 id;
  gboolean draining;
  gboolean suspected;
} WaEndpoint;

typedef enum
{
  WA_ADMITTED, /* deliver the packet now */
  WA_QUEUED,   /* keep the packet; admit, refuse or grant follows */
  WA_REFUSED,  /* answer with a refusal now */
} WaVerdict;

/**
 * struct WaCallbacks - decisions of admission
 * @place: a new flow goes to @endpoint_id, which may be the own endpoint
 * @admit: a queued entry may be delivered now. An initial packet may be admitted shortly before a
 * slot is free; the request that follows it is then queued
 * @refuse: a queued entry is refused; the client may come back after @retry_after_s seconds
 * @grant: a queued initial packet is handed to @endpoint_id; the entry has left admission
 * @send: sends a peer message to another endpoint of the service
 */
typedef struct
{
  gpointer context;
  void (*place) (gpointer context, WbHandle flow, guint64 endpoint_id);
  void (*admit) (gpointer context, WbHandle flow);
  void (*refuse) (gpointer context, WbHandle flow, guint retry_after_s);
  void (*grant) (gpointer context, WbHandle flow, guint64 endpoint_id);
  void (*send) (gpointer context, guint64 endpoint_id, const ww_peer *message);
} WaCallbacks;

typedef struct WaAdmission WaAdmission;

/**
 * wa_admission_new() - admission of the endpoint @self_id
 * @seed: seed of the jitter of retry-after times
 * @now_us: current time; the backend server counts as just started when @cold is set
 */
WaAdmission *wa_admission_new (
    guint64 self_id, const WaCallbacks *callbacks, guint32 seed, gboolean cold, gint64 now_us);
void wa_admission_free (WaAdmission *admission);

/** wa_admission_set_config() - takes over the limits of @service and the weights of the tenants */
void wa_admission_set_config (WaAdmission *admission, WcConfig *config, const WcService *service);

/**
 * wa_admission_set_capacity() - what the backend server has said of itself; replaces the service's
 * settings
 * @slots: requests that it serves at a time
 * @cold_us: how much longer it is slow after its start; 0 when it is warm
 */
void wa_admission_set_capacity (WaAdmission *admission, guint slots, gint64 cold_us, gint64 now_us);

/** wa_admission_set_peers() - the other endpoints of the service; their occupancy is kept by id */
void wa_admission_set_peers (WaAdmission *admission, const WaEndpoint *peers, guint count);

/** wa_admission_set_draining() - a draining endpoint takes no new flows and hands its queue to its
 * peers; an initial packet that still arrives is queued and granted by the next tick */
void wa_admission_set_draining (WaAdmission *admission, gboolean draining, gint64 now_us);

/**
 * wa_admission_place() - chooses the endpoint of a new flow; the result comes through @place
 * @class: WC_CLASS_MIXED when it is not known
 * @ranked: all endpoints of the service in rank order for this flow, the own one included
 * @allow_self: FALSE when the own endpoint may not take the flow
 *
 * Short work can use the slots reserved for it, and long work that waits does not delay it; neither
 * is taken into account for a flow whose class is not known.
 */
void wa_admission_place (WaAdmission *admission,
                         WbHandle flow,
                         WcClass class,
                         const WaEndpoint *ranked,
                         guint count,
                         gboolean allow_self,
                         gint64 now_us);

/**
 * wa_admission_open() - an initial packet has been placed here
 * @waited_us: how long the client has waited already; counts against the deadline
 * @retry_after_s: (out): set for WA_REFUSED
 *
 * For protocols whose server answers the initial packet: three in a row that are not reported with
 * wa_admission_answered() make the endpoint count as full. For a UDP flow call
 * wa_admission_request().
 */
WaVerdict wa_admission_open (WaAdmission *admission,
                             WbHandle flow,
                             WcClass class,
                             guint tenant,
                             gint64 waited_us,
                             guint *retry_after_s,
                             gint64 now_us);

/**
 * wa_admission_set_objective() - what the client of a queued flow expects
 * @priority: 0 comes first among entries of the same class and tenant
 * @objective_us: time from the initial packet to the answer within which the answer is on time; 0
 *   when the client has not said
 *
 * Entries that can be on time go before those that can only be late. Every fourth admission is the
 * oldest entry's, so that late ones are not starved.
 */
void wa_admission_set_objective (
    WaAdmission *admission, WbHandle flow, guint priority, gint64 objective_us, gint64 now_us);

/**
 * wa_admission_request() - the first payload of a request has arrived on a flow held here
 *
 * Uses the slot that the initial packet reserved, when there is one. A flow that has a request in
 * progress is admitted. The wait of the initial packet counts against the deadline of the first
 * request.
 */
WaVerdict wa_admission_request (WaAdmission *admission,
                                WbHandle flow,
                                WcClass class,
                                guint tenant,
                                guint *retry_after_s,
                                gint64 now_us);

/** wa_admission_start_request() - a request begins on a flow held here and is not made to wait,
 * because the system could not refuse it any more; uses the slot that the initial packet
 * reserved */
void wa_admission_start_request (
    WaAdmission *admission, WbHandle flow, WcClass class, guint tenant, gint64 now_us);

/** wa_admission_recover_request() - a flow is found with a request in progress (recovery); counts
 * its slot */
void wa_admission_recover_request (
    WaAdmission *admission, WbHandle flow, WcClass class, guint tenant, gint64 now_us);

/** wa_admission_answered() - the server has answered the initial packet */
void wa_admission_answered (WaAdmission *admission, WbHandle flow, gint64 now_us);

/** wa_admission_returned() - the server has not accepted the initial packet; frees its slot. Three
 * in a row make the endpoint count as full for a moment. */
void wa_admission_returned (WaAdmission *admission, WbHandle flow, gint64 now_us);

/** wa_admission_finish_request() - the request in progress on the flow is complete; frees its
 * slot */
void wa_admission_finish_request (WaAdmission *admission, WbHandle flow, gint64 now_us);

/** wa_admission_remove() - the flow is gone: frees its slot, its place in the queue and a placement
 * in progress */
void wa_admission_remove (WaAdmission *admission, WbHandle flow, gint64 now_us);

/** wa_admission_receive() - a peer message of kind occupancy request, occupancy reply, offer or
 * pull */
void wa_admission_receive (WaAdmission *admission, const ww_peer *message, gint64 now_us);

/** wa_admission_tick() - runs what is due; call at wa_admission_next_us() or every few milliseconds
 */
void wa_admission_tick (WaAdmission *admission, gint64 now_us);

/** wa_admission_next_us() - when the next tick is due, WB_NEVER when nothing is pending */
gint64 wa_admission_next_us (const WaAdmission *admission);

/** wa_admission_occupancy() - what the endpoint reports of itself */
ww_occupancy wa_admission_occupancy (const WaAdmission *admission, gint64 now_us);

const WbCounters *wa_admission_counters (const WaAdmission *admission);

/** wa_admission_wait_histogram() - histogram of the wait in microseconds of admitted entries of a
 * class and tenant, or NULL */
const WbHistogram *
wa_admission_wait_histogram (const WaAdmission *admission, WcClass class, guint tenant);

/** wa_admission_service_histogram() - histogram of the time in microseconds from the first payload
 * of a request to the end of its response, or NULL */
const WbHistogram *
wa_admission_service_histogram (const WaAdmission *admission, WcClass class, guint tenant);

/** Flags of ww_occupancy. Bits 16 to 31 carry the typical service time: see wa-evidence.c. */
#define WA_OCCUPANCY_DRAINING 0x1
#define WA_OCCUPANCY_COLD 0x2
#define WA_OCCUPANCY_NOT_ANSWERING 0x4

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WaAdmission, wa_admission_free)
