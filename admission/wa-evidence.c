#include <math.h>

#include "wa-private.h"

/* Initial packets in a row that the server left unanswered before it counts as not answering. One
 * or two can be lost on the way between agent and server. */
#define UNANSWERED_LIMIT 3

/* After this time a server that did not answer gets one initial packet to try. One that returned
 * the packets costs the flow that is tried a few milliseconds only. */
#define RETRY_SERVER_US (3 * WB_US_PER_S)
#define RETRY_RETURNING_US (200 * WB_US_PER_MS)

/* An endpoint that offers has all slots in use. Within this time it cannot become half empty,
 * unless its reports are wrong. */
#define OFFER_VALID_US (5 * WB_US_PER_MS)

/* One contradiction can come from reordered messages. */
#define CONTRADICTION_LIMIT 2
#define CONTRADICTION_WINDOW_US (1 * WB_US_PER_S)
#define DISTRUST_MIN_US (10 * WB_US_PER_S)
#define DISTRUST_MAX_US (300 * WB_US_PER_S)

/* Flags of an occupancy carry the typical service time: class in bits 30 and 31, its logarithm in
 * bits 16 to 29, 64 steps for a factor of 2. */
#define SERVICE_SHIFT 16
#define SERVICE_MASK 0x3fff
#define SERVICE_CLASS_SHIFT 30
#define SERVICE_STEPS 64

/* Requests measured before the time is reported, and peers needed for a comparison. */
#define SERVICE_SAMPLES_MIN 32
#define SERVICE_PEERS_MIN 2
#define SERVICE_REPORT_AGE_US (10 * WB_US_PER_S)
#define SERVICE_SAMPLE_SHARE 64

/* Twice the time of the peers; below that the difference can be chance. */
#define SLOW_STEPS SERVICE_STEPS

void
wa_evidence_answered (WaAdmission *admission)
{
  admission->unanswered = 0;
}

static void
count_unanswered (WaAdmission *admission, gint64 until_us)
{
  if (++admission->unanswered < UNANSWERED_LIMIT)
    return;
  admission->not_answering_until_us = MAX (admission->not_answering_until_us, until_us);
  admission->unanswered = UNANSWERED_LIMIT - 1;
  wb_counters_add (admission->counters, WA_COUNTER_NOT_ANSWERING, 1);
}

void
wa_evidence_unanswered (WaAdmission *admission, gint64 now_us)
{
  count_unanswered (admission, now_us + RETRY_SERVER_US);
}

/* A server that returns everything is idle, so that it would attract the flows of all others. */
void
wa_evidence_returned (WaAdmission *admission, gint64 now_us)
{
  count_unanswered (admission, now_us + RETRY_RETURNING_US);
}

gboolean
wa_evidence_not_answering (const WaAdmission *admission, gint64 now_us)
{
  return admission->unanswered > 0 && now_us < admission->not_answering_until_us;
}

/* The mean of the logarithm, because a mean of the time itself is decided by a few stragglers. */
void
wa_evidence_service (WaAdmission *admission, WcClass class, gint64 service_us)
{
  WaService *service = &admission->service[class];
  gdouble steps = SERVICE_STEPS * log2 ((gdouble) MAX (1, service_us));
  guint share;

  service->samples++;
  share = (guint) MIN (service->samples, SERVICE_SAMPLE_SHARE);
  service->mean_steps += (steps - service->mean_steps) / share;
}

/* The class to compare by: short requests vary least. */
static gboolean
reference_class (const WaAdmission *admission, WcClass *result)
{
  static const WcClass order[] = { WC_CLASS_SHORT, WC_CLASS_MIXED, WC_CLASS_LONG };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (order); i++)
    if (admission->service[order[i]].samples >= SERVICE_SAMPLES_MIN)
      {
        *result = order[i];
        return TRUE;
      }
  return FALSE;
}

guint32
wa_evidence_flags (const WaAdmission *admission)
{
  WcClass class;
  guint32 steps;

  if (!reference_class (admission, &class))
    return 0;
  steps = (guint32) admission->service[class].mean_steps & SERVICE_MASK;
  return ((guint32) class << SERVICE_CLASS_SHIFT) | (steps << SERVICE_SHIFT);
}

static gint
compare_means (gconstpointer a, gconstpointer b)
{
  return *(const gint *) a - *(const gint *) b;
}

/* Median of the service times that peers reported for @class, in steps, or 0. */
static gint
median_of_peers (const WaAdmission *admission, WcClass class, gint64 now_us)
{
  g_autoptr (GArray) means = g_array_new (FALSE, FALSE, sizeof (gint));
  guint i;

  for (i = 0; i < admission->peers->len; i++)
    {
      const WaPeer *peer = g_ptr_array_index (admission->peers, i);
      gint steps = (gint) (peer->report.flags >> SERVICE_SHIFT) & SERVICE_MASK;

      if (peer->reported_us == 0 || now_us - peer->reported_us > SERVICE_REPORT_AGE_US ||
          steps == 0 || peer->report.flags >> SERVICE_CLASS_SHIFT != class)
        continue;
      g_array_append_val (means, steps);
    }
  if (means->len < SERVICE_PEERS_MIN)
    return 0;
  g_array_sort (means, compare_means);
  return g_array_index (means, gint, means->len / 2);
}

/* Whether the own server takes much longer than the peers' servers. */
gboolean
wa_evidence_is_slow (const WaAdmission *admission, gint64 now_us)
{
  WcClass class;
  gint median;

  if (!reference_class (admission, &class))
    return FALSE;
  median = median_of_peers (admission, class, now_us);
  return median > 0 && admission->service[class].mean_steps >= median + SLOW_STEPS;
}

static void
contradict (WaAdmission *admission, WaPeer *peer, gint64 now_us)
{
  if (now_us - peer->contradicted_us > CONTRADICTION_WINDOW_US)
    peer->contradictions = 0;
  peer->contradicted_us = now_us;
  if (++peer->contradictions < CONTRADICTION_LIMIT)
    return;
  peer->contradictions = 0;
  peer->distrust_us = CLAMP (2 * peer->distrust_us, DISTRUST_MIN_US, DISTRUST_MAX_US);
  peer->distrusted_until_us = now_us + peer->distrust_us;
  wb_counters_add (admission->counters, WA_COUNTER_DISTRUSTED, 1);
}

/* Compares a report with the offers that the peer has sent: an offer is made only when an initial
 * packet waits. */
void
wa_evidence_check (WaAdmission *admission, WaPeer *peer, gboolean is_offer, gint64 now_us)
{
  ww_occupancy *report = &peer->report;
  guint waiting = report->waiting_short + report->waiting_long;

  if (is_offer)
    peer->offered_us = now_us;
  if (peer->offered_us == 0 || now_us - peer->offered_us > OFFER_VALID_US || waiting > 0)
    return;
  if (2 * report->busy <= report->slots)
    contradict (admission, peer, now_us);
  if (is_offer)
    report->waiting_short = report->waiting_long = 1;
}

gboolean
wa_evidence_distrusted (const WaPeer *peer, gint64 now_us)
{
  return now_us < peer->distrusted_until_us;
}
