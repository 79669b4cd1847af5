#pragma once

#include "wa-cold.h"
#include "wa-options.h"
#include "wa-speed.h"

/* Time that a placement waits for occupancy replies: a few times the latency between zones. */
#define WA_QUERY_TIMEOUT_US (5 * WB_US_PER_MS)

/* Time after which a pull without a grant has failed. */
#define WA_PULL_TIMEOUT_US (5 * WB_US_PER_MS)

/* Interval of the check for queued entries that can no longer meet their deadline. A refusal has to
 * be sent within 50 ms of the time at which that is known. */
#define WA_SWEEP_INTERVAL_US (20 * WB_US_PER_MS)

/* Endpoints considered for a new flow, and peers that receive an offer for a queued one. */
#define WA_MAX_CANDIDATES 3
#define WA_OFFER_PEERS 3

/* Occupancy queries of one placement. */
#define WA_MAX_QUERIES 4

/* Endpoints of other zones that are queried when those of the entry zone are full. */
#define WA_MAX_OTHER_ZONES 2

/* Placements that wait for replies at the same time; further flows are placed on their first
 * candidate without a query. */
#define WA_MAX_PENDING_PLACEMENTS 256

/* A peer whose queue holds only requests of flows that it serves reports entries that cannot be
 * pulled. After a pull without a grant it gets no other one for this time, unless it sends an
 * offer. */
#define WA_PULL_BACKOFF_US (1 * WB_US_PER_S)

/* Pull ids remembered for each peer to recognise duplicates. */
#define WA_RECENT_PULL_IDS 8

/* Queue levels; queued short work is admitted before the other level. */
typedef enum
{
  WA_LEVEL_SHORT,
  WA_LEVEL_LONG, /* classes long and mixed: a mixed request may be long */
  WA_N_LEVELS,
} WaLevel;

typedef enum
{
  WA_ENTRY_QUEUED_INITIAL,      /* initial packet in the queue */
  WA_ENTRY_QUEUED_REQUEST,      /* first payload of a request in the queue */
  WA_ENTRY_RESERVED,            /* initial packet delivered, holds a slot for the first payload */
  WA_ENTRY_IN_PROGRESS,         /* request in progress, holds a slot */
  WA_ENTRY_OPENED_WITHOUT_SLOT, /* opened ahead, or the reservation expired */
} WaEntryState;

/* A flow that is queued, holds a slot, or is expected to send its first payload. */
typedef struct
{
  WbHandle flow;
  WaEntryState state;
  WcClass class;
  guint tenant;
  gboolean server_responded;      /* to the initial packet */
  gboolean opened_ahead;          /* initial packet delivered before a slot was free */
  gboolean reservation_shortened; /* reserved for less than open_reserve */
  gint64 waiting_since_us;        /* includes the time that the client waited before */
  guint priority;                 /* the lowest value is admitted first */
  gint64 admit_by_us;             /* if admitted later, the response misses its objective */
  gint64 queue_wait_us;           /* from waiting_since_us to admission */
  gint64 started_us;              /* slot acquired, or became OPENED_WITHOUT_SLOT */
  gint64 initial_delivered_us;
  gint64 request_started_us; /* first payload; 0 when not known */
  gint64 charged_us;         /* expected slot time, charged to the tenant in advance */
  GList age_link;            /* in by_age, reserved or opened_without_slot of WaAdmission */
  GList tenant_link;         /* in WaTenantQueue.waiting or WaAdmission.opened_ahead */
} WaEntry;

/* Queued entries and use of slots of one tenant at one level. */
typedef struct
{
  guint weight;
  gdouble weighted_slot_time_us; /* slot time used so far, divided by the weight */
  guint slots_in_use;
  GQueue waiting; /* of WaEntry, longest wait first */
  guint waiting_by_class[WC_N_CLASSES];
  WbHistogram *wait_histogram[WC_N_CLASSES];    /* NULL while nothing was recorded */
  WbHistogram *service_histogram[WC_N_CLASSES]; /* first payload to the end of the response */
} WaTenantQueue;

typedef struct
{
  guint64 id;
  gboolean draining;
  gboolean suspected;
  gboolean evacuated;
  guint32 zone;
  ww_occupancy report; /* last received, plus work that was sent there or pulled since */
  gint64 reported_us;  /* 0 when there is no report */
  guint placed_count;  /* flows that this endpoint placed on the peer */
  guint32 recent_pull_ids[WA_RECENT_PULL_IDS];
  guint next_recent_pull;
  gint64 no_pull_until_us; /* back-off after a pull without a grant; an offer ends it */
  gint64 last_offer_us;
  guint implausible_reports;
  gint64 last_implausible_us;
  gint64 distrust_duration_us;
  gint64 distrusted_until_us;
} WaPeer;

/* Time from the first payload to the end of the response, of one class. */
typedef struct
{
  guint64 samples;
  gdouble mean_log2_steps; /* unit: see SERVICE_TIME_STEPS in wa-health.c */
} WaServiceTime;

typedef struct
{
  guint64 id;
  gboolean replied;
  gboolean last_resort; /* draining or suspected: chosen only when there is no other */
  gboolean reply_expected;
  guint placed_at_query; /* WaPeer.placed_count at the time of the query */
} WaCandidate;

/* A new flow whose endpoint is chosen when the queried candidates have replied. */
typedef struct
{
  WbHandle flow;
  WaLevel level;
  guint32 request_id;
  gint64 expires_us;
  guint32 entry_zone; /* 0: zones have no influence */
  guint candidate_count;
  guint missing_replies;
  WaCandidate candidates[WA_MAX_CANDIDATES + WA_MAX_OTHER_ZONES];
  WaCandidate other_zones[WA_MAX_OTHER_ZONES]; /* become candidates when the others are full */
  guint other_zone_count;
  GList link; /* in WaAdmission.pending_placements */
} WaPlacement;

/* What the service times of endpoints are compared with. */
typedef struct
{
  WcClass class;
  gint median;       /* in steps; 0 when placement takes no account of speed */
  gint64 updated_us; /* 0 when not known */
} WaSpeed;

/* A pull sent to a peer that has not been granted or declined. */
typedef struct
{
  guint64 peer_id;
  guint32 pull_id;
  gint64 expires_us;
} WaPull;

struct WaAdmission
{
  guint64 self_id;
  guint32 zone; /* 0: zones have no influence on placement and offers */
  WaCallbacks callbacks;
  WaPolicy policy;
  GRand *random;
  WbCounters *counters;

  WcConfig *config;
  guint64 service_id;
  guint slots;
  guint reserve_short;
  guint queue_limit;
  gint64 deadline_us;
  gint64 open_reserve_us;
  gint64 cold_start_us;
  gint64 cold_since_us;     /* start of the cold time; WB_NEVER when the server is warm */
  WaColdWindow cold_window; /* requests delivered lately, and the limit while cold */
  gdouble cold_per_s;       /* of the configuration; 0 for no limit */
  gdouble cold_overage;     /* of the settings */
  gdouble cold_slack;
  gint64 cold_checked_us;      /* last wa_budget_update() */
  gboolean cold_limit_logged;  /* the limit applied at that time */
  gboolean capacity_announced; /* slots and cold_start_us come from the backend server */
  gboolean draining;

  GHashTable *entries; /* of WaEntry by flow */
  guint slots_in_use[WA_N_LEVELS];
  GQueue reserved[2];         /* by reservation_shortened, each in order of expiry */
  GQueue opened_without_slot; /* in the order in which they entered that state */
  GQueue opened_ahead;        /* entries opened ahead whose first payload is not overdue */
  guint opened_ahead_queued;  /* entries opened ahead whose first payload is queued for a slot */
  guint payload_samples;
  gint64 mean_payload_delay_us;      /* from the initial packet to the first payload */
  gint64 payload_delay_deviation_us; /* mean deviation, as in RFC 6298 */
  gdouble reservation_used_share;    /* share in which the first payload arrived in time */
  guint reservation_count;

  GPtrArray *tenants[WA_N_LEVELS];  /* of WaTenantQueue */
  GQueue by_age[WA_N_LEVELS];       /* queued entries of all tenants, longest wait first */
  guint active_weight[WA_N_LEVELS]; /* sum of the weights of tenants with queued entries */
  guint waiting_by_class[WC_N_CLASSES];
  gboolean last_was_aged;       /* the last admission was by age, out of the class order */
  guint admissions_past_oldest; /* admissions in a row that passed over a tenant's oldest entry */
  gint64 last_sweep_us;
  gboolean hand_over_due; /* the next tick has to hand queued initial packets over */
  gint64 mean_slot_time_us[WC_N_CLASSES]; /* share of a slot's time, with the reservation */
  gdouble mean_short_slots;               /* slots that short work used lately */
  gint64 mean_short_slots_us;             /* last update of mean_short_slots */

  guint failed_initials; /* initial packets in a row without a response, or returned */
  gint64 not_answering_until_us;
  WaServiceTime service_time[WC_N_CLASSES];
  WaSpeed speed;
  gboolean ignores_speed;

  GPtrArray *peers;          /* of WaPeer */
  GHashTable *placements;    /* of WaPlacement by flow */
  GQueue pending_placements; /* the same, oldest first */
  guint32 next_request_id;
  GArray *pulls; /* of WaPull, oldest first */
  guint32 next_pull_id;
};

enum
{
  WA_COUNTER_PLACED_SELF,
  WA_COUNTER_PLACED_PEER,
  WA_COUNTER_PLACED_IDLE,
  WA_COUNTER_PLACED_IN_ZONE,
  WA_COUNTER_PLACED_OUT_OF_ZONE,
  WA_COUNTER_QUERY_TIMEOUTS,
  WA_COUNTER_ADMITTED,
  WA_COUNTER_QUEUED,
  WA_COUNTER_REFUSED_LIMIT,
  WA_COUNTER_REFUSED_PREDICTED,
  WA_COUNTER_REFUSED_DEADLINE,
  WA_COUNTER_GONE_WAITING,
  WA_COUNTER_AGED,
  WA_COUNTER_RESERVE_EXPIRED,
  WA_COUNTER_OPENED_AHEAD,
  WA_COUNTER_OFFERS_SENT,
  WA_COUNTER_PULLS_SENT,
  WA_COUNTER_PULLS_REPEATED,
  WA_COUNTER_PULLS_EMPTY,
  WA_COUNTER_PULL_TIMEOUTS,
  WA_COUNTER_GRANTED,
  WA_COUNTER_HANDED_OVER,
  WA_COUNTER_UNKNOWN_PEER,
  WA_COUNTER_NOT_ANSWERING,
  WA_COUNTER_DISTRUSTED,
  WA_COUNTER_COLD_LIMITED,
  WA_COUNTER_COLD_DELIVERED,
  WA_N_COUNTERS,
};

/* wa-counters.c */
WbCounters *wa_counters_new (void);

/* wa-admission.c */
void wa_histogram_record (WbHistogram **histogram, gint64 value);

/* wa-slots.c */
WaLevel wa_level_for_class (WcClass class);
WaEntry *wa_entry_find (const WaAdmission *admission, WbHandle flow);
gboolean wa_entry_is_queued (const WaEntry *entry);
gboolean wa_slots_server_is_cold (const WaAdmission *admission, gint64 now_us);
guint wa_slots_usable (const WaAdmission *admission, gint64 now_us);
guint wa_slots_for_aged (const WaAdmission *admission, gint64 now_us);
guint wa_slots_in_use (const WaAdmission *admission);
gboolean wa_slots_free (const WaAdmission *admission, WaLevel level, gint64 now_us);
gboolean wa_slots_available (const WaAdmission *admission, WaLevel level, gint64 now_us);
void wa_slots_acquire (WaAdmission *admission, WaEntry *entry, WaEntryState state, gint64 now_us);
void wa_slots_release (WaAdmission *admission, WaEntry *entry, gint64 now_us);
gint64 wa_slots_reservation_time (const WaAdmission *admission, const WaEntry *entry);
gint64 wa_slots_payload_due_us (const WaAdmission *admission, const WaEntry *entry);
void wa_slots_record_reservation (WaAdmission *admission,
                                  const WaEntry *entry,
                                  gboolean payload_arrived,
                                  gint64 now_us);
gint64 wa_slots_remove_opened (WaAdmission *admission, WbHandle flow, gboolean *opened_ahead);
void wa_slots_open_ahead (WaAdmission *admission, gint64 now_us);
void wa_slots_expire (WaAdmission *admission, gint64 now_us);

/* wa-budget.c */
gboolean wa_budget_applies (const WaAdmission *admission, gint64 now_us);
guint wa_budget_units (const WaAdmission *admission, gint64 now_us);
void wa_budget_count_request (WaAdmission *admission, gint64 now_us);
void wa_budget_count_held_back (WaAdmission *admission, WaLevel level, gint64 now_us);
gint64
wa_budget_predict (const WaAdmission *admission, guint ahead, gint64 slot_wait_us, gint64 now_us);
gint64 wa_budget_next_us (const WaAdmission *admission);
void wa_budget_update (WaAdmission *admission, gint64 now_us);
void wa_budget_set_rate (WaAdmission *admission, gdouble per_s);

/* wa-queue.c */
WaTenantQueue *wa_tenant_queue (WaAdmission *admission, WaLevel level, guint tenant);
void wa_queue_push (WaAdmission *admission, WaEntry *entry);
void wa_queue_unlink (WaAdmission *admission, WaEntry *entry);
void wa_queue_take (WaAdmission *admission, WaEntry *entry);
void wa_queue_delete (WaAdmission *admission, WaEntry *entry);
guint wa_queue_length (const WaAdmission *admission);
WaEntry *
wa_queue_next (WaAdmission *admission, WaLevel level, gboolean initial_only, gint64 now_us);
void wa_queue_dispatch (WaAdmission *admission, gint64 now_us);

/* wa-predict.c */
void wa_predict_record_slot_time (WaAdmission *admission, WcClass class, gint64 slot_time_us);
void wa_predict_update_short_slots (WaAdmission *admission, gint64 now_us);
gint64 wa_predict_arrival_wait (WaAdmission *admission, WcClass class, guint tenant, gint64 now_us);
gint64
wa_predict_on_time_work (const WaAdmission *admission, const WaTenantQueue *tenant, gint64 now_us);
gboolean wa_predict_is_on_time (WaAdmission *admission, const WaArrival *arrival, gint64 now_us);
gint64 wa_predict_entry_wait (WaAdmission *admission,
                              const WaEntry *entry,
                              gint64 tenant_work_us,
                              gint64 now_us);
gint64 wa_predict_backlog_time (const WaAdmission *admission, gint64 now_us);

/* wa-refuse.c */
guint wa_refuse_retry_after (WaAdmission *admission, gint64 now_us);
gboolean wa_refuse_on_arrival (WaAdmission *admission, const WaArrival *arrival, gint64 now_us);
void wa_refuse_sweep (WaAdmission *admission, gint64 now_us);

/* wa-health.c */
void wa_health_server_responded (WaAdmission *admission);
void wa_health_no_response (WaAdmission *admission, gint64 now_us);
void wa_health_packet_returned (WaAdmission *admission, gint64 now_us);
gboolean wa_health_not_answering (const WaAdmission *admission, gint64 now_us);
void wa_health_record_service_time (WaAdmission *admission, WcClass class, gint64 service_us);
guint32 wa_health_service_time_flags (const WaAdmission *admission);
guint wa_health_work_factor (WaAdmission *admission, guint64 id, gint64 now_us);
gboolean wa_health_is_slow (const WaAdmission *admission, gint64 now_us);
void
wa_health_check_report (WaAdmission *admission, WaPeer *peer, gboolean is_offer, gint64 now_us);
gboolean wa_health_peer_distrusted (const WaPeer *peer, gint64 now_us);

/* wa-peers.c */
WaPeer *wa_peer_find (const WaAdmission *admission, guint64 id);
void wa_peer_send (WaAdmission *admission, guint64 id, const ww_peer_body *body);
void wa_peer_send_occupancy_reply (WaAdmission *admission,
                                   guint64 id,
                                   guint32 request_id,
                                   gint64 now_us);

/* wa-place.c */
void wa_place_receive_reply (WaAdmission *admission, guint64 id, guint32 request_id, gint64 now_us);
void wa_place_expire (WaAdmission *admission, gint64 now_us);
void wa_place_cancel (WaAdmission *admission, WbHandle flow);

/* wa-pull.c */
void wa_pull_send_offers (WaAdmission *admission, gint64 now_us);
void wa_pull_for_free_slots (WaAdmission *admission, gint64 now_us);
gboolean wa_pull_short_before_long (WaAdmission *admission, gint64 now_us);
void wa_pull_receive_decline (WaAdmission *admission, WaPeer *peer, guint32 pull_id, gint64 now_us);
void wa_pull_complete_oldest (WaAdmission *admission);
void wa_pull_expire (WaAdmission *admission, gint64 now_us);
void wa_pull_receive (WaAdmission *admission, WaPeer *peer, const ww_pull *pull, gint64 now_us);
gboolean wa_pull_must_hand_over (const WaAdmission *admission, gint64 now_us);
void wa_pull_hand_over_queue (WaAdmission *admission, gint64 now_us);
