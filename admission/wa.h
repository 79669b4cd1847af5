#pragma once

#include "wb-counter.h"
#include "wb-histogram.h"
#include "wc.h"
#include "ww-message.h"

/**
 * DOC: Admission control of one endpoint, used by the flow package of the agent.
 *
 * Admission counts the slots of the backend server, chooses the endpoint of each new flow, queues
 * what has no free slot, and decides which requests are refused. It exchanges occupancy reports,
 * offers and pulls with the other endpoints of the service.
 *
 * The flow package owns the packets and the flows; admission refers to a flow by the WbHandle that
 * the flow package chose. All decisions are reported through WaCallbacks, possibly before the call
 * that caused them returns.
 */

/**
 * struct WaEndpoint - an endpoint of the service, as membership reports it
 * @draining: takes no new flows
 * @suspected: membership suspects that its agent has failed
 * @evacuated: its availability zone is evacuated; it gets no new flow, not even when there is no
 *   other endpoint
 * @zone: its availability zone, as in ww_member; 0 when it is not known
 */
typedef struct
{
  guint64 id;
  gboolean draining;
  gboolean suspected;
  gboolean evacuated;
  guint32 zone;
} WaEndpoint;

typedef enum
{
  WA_ADMITTED, /* deliver the packet now */
  WA_QUEUED,   /* hold the packet until admit, refuse or grant is called for the flow */
  WA_REFUSED,  /* send the client a refusal now */
} WaVerdict;

/**
 * struct WaCallbacks - decisions of admission
 * @place: a new flow is placed on @endpoint_id, which may be this endpoint
 * @admit: a queued initial packet or request may be delivered now. An initial packet may be
 * admitted shortly before a slot is free; the request that follows it is then queued
 * @refuse: a queued entry is refused; the client may retry after @retry_after_s seconds
 * @grant: a queued initial packet is handed to @endpoint_id; admission has removed its entry
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
 * wa_admission_new() - creates the admission control of the endpoint @self_id
 * @seed: seed of the jitter of retry-after times and of the random choice of peers
 * @cold: whether the backend server counts as just started at @now_us
 */
WaAdmission *wa_admission_new (
    guint64 self_id, const WaCallbacks *callbacks, guint32 seed, gboolean cold, gint64 now_us);
void wa_admission_free (WaAdmission *admission);

/** wa_admission_set_config() - applies the limits of @service and the weights of the tenants; holds
 * a reference to @config. @service may be NULL when @config has no such service. */
void wa_admission_set_config (WaAdmission *admission, WcConfig *config, const WcService *service);

/**
 * wa_admission_set_capacity() - applies the capacity that the backend server has announced, which
 * replaces the slots and the cold start time of the service's configuration
 * @slots: requests that the server serves at a time
 * @cold_us: time for which the server is still slow after its start; 0 when it is warm
 */
void wa_admission_set_capacity (WaAdmission *admission, guint slots, gint64 cold_us, gint64 now_us);

/**
 * wa_admission_set_cold_allowance() - sets how far the requests that a cold backend server receives
 * within a second may exceed the rate of the service's configuration (WcService.cold_per_s)
 * @overage: factor of the rate; 1 by default
 * @slack: number of requests added to it; 0 by default
 *
 * Has no effect while no rate is configured.
 */
void wa_admission_set_cold_allowance (WaAdmission *admission, gdouble overage, gdouble slack);

/** wa_admission_server_replaced() - another process of the backend server has started; its speed is
 * measured anew */
void wa_admission_server_replaced (WaAdmission *admission);

/** wa_admission_set_peers() - sets the other endpoints of the service; peers that were known before
 * keep their occupancy reports */
void wa_admission_set_peers (WaAdmission *admission, const WaEndpoint *peers, guint count);

/** wa_admission_set_zone() - sets the availability zone of this endpoint, for which flows and
 * offers stay in their zone as long as it has free slots; 0, the default: zones have no influence
 */
void wa_admission_set_zone (WaAdmission *admission, guint32 zone);

/** wa_admission_set_draining() - starts or ends draining. A draining endpoint takes no new flows
 * and hands its queued initial packets over to its peers; one that still arrives is queued and
 * granted by the next tick. */
void wa_admission_set_draining (WaAdmission *admission, gboolean draining, gint64 now_us);

/**
 * wa_admission_place() - chooses the endpoint of a new flow and reports it through @place
 * @class: WC_CLASS_MIXED when it is not known
 * @ranked: all endpoints of the service, this one included, in rank order for this flow
 * @allow_self: FALSE when the flow must not be placed on this endpoint
 *
 * For a flow of the short class, slots reserved for short work count as free and queued long work
 * only decides between equally loaded endpoints. A flow whose class is not known is placed like a
 * long one.
 */
void wa_admission_place (WaAdmission *admission,
                         WbHandle flow,
                         WcClass class,
                         const WaEndpoint *ranked,
                         guint count,
                         gboolean allow_self,
                         gint64 now_us);

/**
 * wa_admission_place_in_zone() - wa_admission_place() for a flow that enters through a zone
 * @entry_zone: as in WaEndpoint.zone; 0 when it is not known
 *
 * With a zone set by wa_admission_set_zone(), the flow goes to the least loaded of the first three
 * endpoints of the entry zone while one of them has a free slot; then to another endpoint of the
 * entry zone that has reported one; then to endpoints of other zones, which are asked only now.
 */
void wa_admission_place_in_zone (WaAdmission *admission,
                                 WbHandle flow,
                                 WcClass class,
                                 guint32 entry_zone,
                                 const WaEndpoint *ranked,
                                 guint count,
                                 gboolean allow_self,
                                 gint64 now_us);

/**
 * struct WaArrival - an initial packet that was placed on this endpoint
 * @waited_us: how long the client has waited already; counts against the deadline
 * @priority: among entries of the same class and tenant the lowest value is admitted first
 * @objective_us: time from the initial packet within which the client wants the response; 0 for no
 *   objective
 */
typedef struct
{
  WcClass class;
  guint tenant;
  gint64 waited_us;
  guint priority;
  gint64 objective_us;
} WaArrival;

/**
 * wa_admission_open_for() - decides on an initial packet
 * @retry_after_s: (out) (optional): set for WA_REFUSED
 *
 * Entries that can still meet their objective are admitted before those that cannot. At least every
 * eighth admission is that of a tenant's oldest entry, so that late entries do not starve.
 *
 * An initial packet that is admitted to a free slot reserves it until the first payload arrives or
 * the reservation expires. A retransmission is queued while the initial packet is, and admitted
 * after it was delivered.
 *
 * Only for protocols whose server responds to the initial packet: after three in a row without
 * wa_admission_server_responded() the endpoint reports itself as full for a while. For a UDP flow
 * call wa_admission_request().
 */
WaVerdict wa_admission_open_for (WaAdmission *admission,
                                 WbHandle flow,
                                 const WaArrival *arrival,
                                 guint *retry_after_s,
                                 gint64 now_us);

/** wa_admission_open() - wa_admission_open_for() without priority and objective */
WaVerdict wa_admission_open (WaAdmission *admission,
                             WbHandle flow,
                             WcClass class,
                             guint tenant,
                             gint64 waited_us,
                             guint *retry_after_s,
                             gint64 now_us);

/**
 * wa_admission_set_objective() - sets the priority and the response time objective of a queued flow
 * @priority, @objective_us: see WaArrival
 */
void wa_admission_set_objective (
    WaAdmission *admission, WbHandle flow, guint priority, gint64 objective_us, gint64 now_us);

/**
 * wa_admission_request() - decides on a request whose first payload arrived on a flow held here
 * @retry_after_s: (out) (optional): set for WA_REFUSED
 *
 * Uses the slot that the initial packet reserved, if there is one. Payload of a flow that has a
 * request in progress is admitted. The wait of the initial packet counts against the deadline of
 * the first request.
 */
WaVerdict wa_admission_request (WaAdmission *admission,
                                WbHandle flow,
                                WcClass class,
                                guint tenant,
                                guint *retry_after_s,
                                gint64 now_us);

/** wa_admission_start_request() - counts a request that starts on a flow held here and cannot be
 * queued, because it could no longer be refused. Uses the slot that the initial packet reserved; if
 * there is none, the slots in use may exceed the capacity. */
void wa_admission_start_request (
    WaAdmission *admission, WbHandle flow, WcClass class, guint tenant, gint64 now_us);

/** wa_admission_request_delivered() - counts a request that is delivered although its slot is
 * counted by wa_admission_recover_request() */
void wa_admission_request_delivered (WaAdmission *admission, gint64 now_us);

/** wa_admission_recover_request() - counts the slot of a request in progress whose start is not
 * known, such as one found after a restart of the agent */
void wa_admission_recover_request (
    WaAdmission *admission, WbHandle flow, WcClass class, guint tenant, gint64 now_us);

/** wa_admission_server_responded() - the server has responded to the initial packet */
void wa_admission_server_responded (WaAdmission *admission, WbHandle flow, gint64 now_us);

/** wa_admission_packet_returned() - the server has returned the initial packet; frees its slot.
 * After three in a row the endpoint reports itself as full for a moment. */
void wa_admission_packet_returned (WaAdmission *admission, WbHandle flow, gint64 now_us);

/** wa_admission_finish_request() - the request in progress on the flow is complete; frees its slot
 */
void wa_admission_finish_request (WaAdmission *admission, WbHandle flow, gint64 now_us);

/** wa_admission_remove() - the flow has ended: frees its slot, removes it from the queue and
 * cancels its pending placement */
void wa_admission_remove (WaAdmission *admission, WbHandle flow, gint64 now_us);

/** wa_admission_receive() - handles an occupancy request, occupancy reply, offer or pull of a peer;
 * ignores other peer messages, and counts those of endpoints that are not in the service */
void wa_admission_receive (WaAdmission *admission, const ww_peer *message, gint64 now_us);

/** wa_admission_tick() - handles expired timers and admits queued entries; call at
 * wa_admission_next_us() or every few milliseconds */
void wa_admission_tick (WaAdmission *admission, gint64 now_us);

/** wa_admission_next_us() - time of the next tick, or WB_NEVER when no timer is pending */
gint64 wa_admission_next_us (const WaAdmission *admission);

/** wa_admission_occupancy() - the occupancy report that this endpoint sends to its peers */
ww_occupancy wa_admission_occupancy (const WaAdmission *admission, gint64 now_us);

const WbCounters *wa_admission_counters (const WaAdmission *admission);

/** wa_admission_wait_histogram() - histogram of the wait in microseconds of admitted entries of a
 * class and tenant, or NULL when there are none */
const WbHistogram *
wa_admission_wait_histogram (const WaAdmission *admission, WcClass class, guint tenant);

/** wa_admission_service_histogram() - histogram of the time in microseconds from the first payload
 * of a request to the end of its response, or NULL when none was measured */
const WbHistogram *
wa_admission_service_histogram (const WaAdmission *admission, WcClass class, guint tenant);

/** Flags of ww_occupancy. Bits 16 to 31 carry the typical service time: see wa-health.c. */
#define WA_OCCUPANCY_DRAINING 0x1
#define WA_OCCUPANCY_COLD 0x2
#define WA_OCCUPANCY_NOT_ANSWERING 0x4

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WaAdmission, wa_admission_free)
