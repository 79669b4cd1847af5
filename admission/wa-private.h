#pragma once

#include "wa-options.h"

/* Time for which a placement waits for occupancy replies: a few times the latency between zones. */
#define WA_QUERY_TIMEOUT_US (5 * WB_US_PER_MS)

/* A pull without a grant is given up after this time. */
#define WA_PULL_TIMEOUT_US (5 * WB_US_PER_MS)

/* Interval of the check for queued entries that can no longer meet their deadline. A refusal has to
 * leave within 50 ms of that decision. */
#define WA_SWEEP_INTERVAL_US (20 * WB_US_PER_MS)

/* Endpoints considered for a new flow, and peers that are told of a queued one. */
#define WA_RANKS 3
#define WA_OFFER_PEERS 3

/* Placements that wait for replies at a time; further ones are decided on what is known. */
#define WA_MAX_PLACEMENTS 256

/* A peer whose queue holds only requests of flows that it serves reports entries that nobody can
 * pull. It is asked again after this time or when it offers. */
#define WA_DECLINED_US (1 * WB_US_PER_S)

/* Pulls remembered per peer to recognise repeated ones. */
#define WA_PULL_IDS 8

typedef enum
{
  WA_LEVEL_SHORT,
  WA_LEVEL_REST, /* long and mixed: a mixed request may be long */
  WA_N_LEVELS,
} WaLevel;

typedef enum
{
  WA_ENTRY_WAITING_OPEN,
  WA_ENTRY_WAITING_REQUEST,
  WA_ENTRY_RESERVED,
  WA_ENTRY_BUSY,
  WA_ENTRY_OPENED, /* no slot: the first payload did not come within the reservation */
} WaEntryState;

/* A flow that waits or uses a slot. */
typedef struct
{
  WbHandle flow;
  WaEntryState state;
  WcClass class;
  guint tenant;
  gboolean answered;
  gboolean ahead; /* opened before a slot was free */
  gboolean brief; /* reservation shorter than open_reserve */
  gint64 queued_us;
  guint priority;    /* 0 comes first */
  gint64 on_time_us; /* admitted until then, the answer can meet its objective */
  gint64 waited_us;  /* as an initial packet */
  gint64 started_us;
  gint64 delivered_us; /* initial packet */
  gint64 requested_us; /* first payload */
  gint64 charged_us;   /* service time that the tenant was charged in advance */
  GList by_age;        /* in WaAdmission.by_age, or in .reserved */
  GList by_tenant;     /* in WaTenant.waiting, or in WaAdmission.ahead */
} WaEntry;

/* A tenant's share of one level. */
typedef struct
{
  guint weight;
  gdouble service_us; /* received so far, divided by the weight */
  guint in_use;
  GQueue waiting;
  guint waiting_by_class[WC_N_CLASSES];
  WbHistogram *wait[WC_N_CLASSES];    /* NULL while nothing was recorded */
  WbHistogram *service[WC_N_CLASSES]; /* from the first payload to the end of the response */
} WaTenant;

typedef struct
{
  guint64 id;
  gboolean draining;
  gboolean suspected;
  ww_occupancy report;
  gint64 reported_us; /* 0 when there is no report */
  guint placed;       /* flows placed on the peer by this endpoint */
  guint32 pull_ids[WA_PULL_IDS];
  guint next_pull_id;
  gint64 declined_until_us; /* a pull brought nothing; not asked again before, unless it offers */
  gint64 offered_us;
  guint contradictions;
  gint64 contradicted_us;
  gint64 distrust_us;
  gint64 distrusted_until_us;
} WaPeer;

/* Time from the first payload to the end of the response, of one class. */
typedef struct
{
  guint64 samples;
  gdouble mean_steps; /* of the logarithm: see wa-evidence.c */
} WaService;

typedef struct
{
  guint64 id;
  gboolean replied;
  gboolean last; /* draining or suspected: chosen when there is no other */
  guint placed;  /* value of WaPeer.placed at the time of the query */
} WaCandidate;

/* A new flow whose endpoint is being chosen. */
typedef struct
{
  WbHandle flow;
  WaLevel level;
  guint32 request_id;
  gint64 due_us;
  guint count;
  guint missing;
  WaCandidate candidates[WA_RANKS];
  GList link;
} WaPlacement;

typedef struct
{
  guint64 peer_id;
  guint32 pull_id;
  gint64 due_us;
} WaPull;

struct WaAdmission
{
  guint64 self_id;
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
  gint64 started_us;     /* of the backend server, or WB_NEVER when it is warm */
  gboolean server_known; /* the backend server itself has said how many slots it has */
  gboolean draining;

  GHashTable *entries; /* of WaEntry by flow */
  guint in_use[WA_N_LEVELS];
  GQueue reserved[2]; /* in order of expiry: full and brief reservations */
  GQueue opened;      /* in order of the end of the reservation */
  GQueue ahead;       /* entries opened ahead whose first payload is still expected */
  guint ahead_queued; /* entries opened ahead whose first payload waits for a slot */
  guint payload_samples;
  gint64 mean_payload_us;      /* from the initial packet to the first payload */
  gint64 payload_deviation_us; /* mean, as RFC 6298 has it */
  gdouble reserve_used;        /* share of the reservations that a payload followed in time */
  guint reserve_probe;         /* counts reservations, to keep some of them long */

  GPtrArray *tenants[WA_N_LEVELS]; /* of WaTenant */
  GQueue by_age[WA_N_LEVELS];
  guint active_weight[WA_N_LEVELS]; /* sum of the weights of tenants with queued entries */
  guint waiting_by_class[WC_N_CLASSES];
  gboolean last_was_aged;
  guint in_order; /* admissions in a row that were not the oldest entry's */
  gint64 swept_us;
  gboolean hand_over_due;
  gint64 mean_service_us[WC_N_CLASSES];
  gdouble short_use; /* slots used by short work, averaged up to short_use_us */
  gint64 short_use_us;

  guint unanswered; /* initial packets in a row */
  gint64 not_answering_until_us;
  WaService service[WC_N_CLASSES];

  GPtrArray *peers;       /* of WaPeer */
  GHashTable *placements; /* of WaPlacement by flow */
  GQueue placing;
  guint32 next_request_id;
  GArray *pulls; /* of WaPull, oldest first */
  guint32 next_pull_id;
};

enum
{
  WA_COUNTER_PLACED_SELF,
  WA_COUNTER_PLACED_PEER,
  WA_COUNTER_PLACED_IDLE,
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
  WA_N_COUNTERS,
};

/* wa-counters.c */
WbCounters *wa_counters_new (void);

/* wa-admission.c */
void wa_record (WbHistogram **histogram, gint64 value);

/* wa-slots.c */
WaLevel wa_level (WcClass class);
WaEntry *wa_entry_get (const WaAdmission *admission, WbHandle flow);
gboolean wa_entry_waits (const WaEntry *entry);
gboolean wa_slots_cold (const WaAdmission *admission, gint64 now_us);
guint wa_slots_usable (const WaAdmission *admission, gint64 now_us);
guint wa_slots_aged (const WaAdmission *admission, gint64 now_us);
guint wa_slots_busy (const WaAdmission *admission);
gboolean wa_slots_free (const WaAdmission *admission, WaLevel level, gint64 now_us);
void wa_slots_take (WaAdmission *admission, WaEntry *entry, WaEntryState state, gint64 now_us);
void wa_slots_release (WaAdmission *admission, WaEntry *entry, gint64 now_us);
gint64 wa_slots_reserve_time (const WaAdmission *admission, const WaEntry *entry);
gint64 wa_slots_ahead_until (const WaAdmission *admission, const WaEntry *entry);
void
wa_slots_reserve_used (WaAdmission *admission, const WaEntry *entry, gboolean used, gint64 now_us);
gint64 wa_slots_forget_opened (WaAdmission *admission, WbHandle flow, gboolean *ahead);
void wa_slots_open_ahead (WaAdmission *admission, gint64 now_us);
void wa_slots_expire (WaAdmission *admission, gint64 now_us);

/* wa-queue.c */
WaTenant *wa_tenant (WaAdmission *admission, WaLevel level, guint tenant);
void wa_queue_push (WaAdmission *admission, WaEntry *entry);
void wa_queue_remove (WaAdmission *admission, WaEntry *entry);
void wa_queue_drop (WaAdmission *admission, WaEntry *entry);
guint wa_queue_length (const WaAdmission *admission);
WaEntry *
wa_queue_next (WaAdmission *admission, WaLevel level, gboolean initial_only, gint64 now_us);
void wa_queue_dispatch (WaAdmission *admission, gint64 now_us);

/* wa-predict.c */
void wa_predict_record (WaAdmission *admission, WcClass class, gint64 service_us);
void wa_predict_short_use (WaAdmission *admission, gint64 now_us);
gint64 wa_predict_arrival (WaAdmission *admission, WcClass class, guint tenant, gint64 now_us);
gint64
wa_predict_entry (WaAdmission *admission, const WaEntry *entry, gint64 own_ahead_us, gint64 now_us);
gint64 wa_predict_drain (const WaAdmission *admission, gint64 now_us);

/* wa-refuse.c */
guint wa_refuse_retry_after (WaAdmission *admission, gint64 now_us);
gboolean wa_refuse_on_arrival (
    WaAdmission *admission, WcClass class, guint tenant, gint64 waited_us, gint64 now_us);
void wa_refuse_sweep (WaAdmission *admission, gint64 now_us);

/* wa-evidence.c */
void wa_evidence_answered (WaAdmission *admission);
void wa_evidence_unanswered (WaAdmission *admission, gint64 now_us);
void wa_evidence_returned (WaAdmission *admission, gint64 now_us);
gboolean wa_evidence_not_answering (const WaAdmission *admission, gint64 now_us);
void wa_evidence_service (WaAdmission *admission, WcClass class, gint64 service_us);
guint32 wa_evidence_flags (const WaAdmission *admission);
gboolean wa_evidence_is_slow (const WaAdmission *admission, gint64 now_us);
void wa_evidence_check (WaAdmission *admission, WaPeer *peer, gboolean is_offer, gint64 now_us);
gboolean wa_evidence_distrusted (const WaPeer *peer, gint64 now_us);

/* wa-peers.c */
WaPeer *wa_peer_get (const WaAdmission *admission, guint64 id);
void wa_peer_send (WaAdmission *admission, guint64 id, const ww_peer_body *body);

void wa_peer_answer (WaAdmission *admission, guint64 id, guint32 request_id, gint64 now_us);

/* wa-place.c */
void wa_place_reply (WaAdmission *admission, guint64 id, guint32 request_id, gint64 now_us);
void wa_place_expire (WaAdmission *admission, gint64 now_us);
void wa_place_cancel (WaAdmission *admission, WbHandle flow);

/* wa-pull.c */
void wa_pull_offer (WaAdmission *admission, gint64 now_us);
void wa_pull_try (WaAdmission *admission, gint64 now_us);
gboolean wa_pull_short_first (WaAdmission *admission, gint64 now_us);
void wa_pull_declined (WaAdmission *admission, WaPeer *peer, guint32 pull_id, gint64 now_us);
void wa_pull_settle (WaAdmission *admission);
void wa_pull_expire (WaAdmission *admission, gint64 now_us);
void wa_pull_answer (WaAdmission *admission, WaPeer *peer, const ww_pull *pull, gint64 now_us);
gboolean wa_pull_hands_over (const WaAdmission *admission, gint64 now_us);
void wa_pull_hand_over (WaAdmission *admission, gint64 now_us);
