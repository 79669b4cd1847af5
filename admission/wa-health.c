#include <math.h>

#include "wa-private.h"

/*
 * Passive health checks: conclusions from observed traffic that the local backend server does not
 * answer or is slow, and that the occupancy reports of a peer are implausible.
 */

/* Initial packets in a row without a response, or returned, after which the server counts as not
 * answering. One or two can be lost between agent and server. */
#define FAILED_INITIALS_LIMIT 3

/* Time after which one initial packet is sent to a server that counts as not answering, to try it.
 * The try costs a flow only a few milliseconds when the server returns packets instead of dropping
 * them. */
#define RETRY_SILENT_SERVER_US (3 * WB_US_PER_S)
#define RETRY_RETURNING_SERVER_US (200 * WB_US_PER_MS)

/* An endpoint that sends an offer has its slots in use. Within this time half of them cannot become
 * free, so a report which says so is wrong. */
#define OFFER_VALID_US (5 * WB_US_PER_MS)

/* Implausible reports within the window after which a peer is distrusted. A single one can come
 * from reordered messages. The time of distrust doubles each time. */
#define IMPLAUSIBLE_LIMIT 2
#define IMPLAUSIBLE_WINDOW_US (1 * WB_US_PER_S)
#define DISTRUST_MIN_US (10 * WB_US_PER_S)
#define DISTRUST_MAX_US (300 * WB_US_PER_S)

/* The flags of ww_occupancy carry the typical service time: its class in bits 30 and 31, its
 * logarithm in bits 16 to 29, in steps of which 64 are a factor of 2. */
#define SERVICE_TIME_SHIFT 16
#define SERVICE_TIME_MASK 0x3fff
#define SERVICE_TIME_CLASS_SHIFT 30
#define SERVICE_TIME_STEPS WA_SPEED_STEPS

/* Samples needed before a service time is reported, peers needed for a comparison, age up to which
 * their reports are compared, and samples over which the mean is taken. */
#define SERVICE_TIME_SAMPLES_MIN 32
#define SERVICE_TIME_PEERS_MIN 2
#define SERVICE_TIME_REPORT_MAX_AGE_US (10 * WB_US_PER_S)
#define SERVICE_TIME_SAMPLES_MAX 64

/* Interval at which the reports of all peers are compared for placement: short against the time in
 * which a mean over SERVICE_TIME_SAMPLES_MAX requests changes, and far above that of placements. */
#define SPEED_UPDATE_INTERVAL_US (100 * WB_US_PER_MS)

/* A server is slow from twice the service time of the peers; a smaller difference can be chance. */
#define SLOW_STEPS SERVICE_TIME_STEPS

void
wa_health_server_responded (WaAdmission *admission)
{
  admission->failed_initials = 0;
}

static void
count_failed_initial (WaAdmission *admission, gint64 until_us)
{
  if (++admission->failed_initials < FAILED_INITIALS_LIMIT)
    return;
  admission->not_answering_until_us = MAX (admission->not_answering_until_us, until_us);
  /* Until the server responds, one more failure is enough. */
  admission->failed_initials = FAILED_INITIALS_LIMIT - 1;
  wb_counters_add (admission->counters, WA_COUNTER_NOT_ANSWERING, 1);
}

void
wa_health_no_response (WaAdmission *admission, gint64 now_us)
{
  count_failed_initial (admission, now_us + RETRY_SILENT_SERVER_US);
}

/* A server that returns every packet has free slots and would attract new flows of the peers. */
void
wa_health_packet_returned (WaAdmission *admission, gint64 now_us)
{
  count_failed_initial (admission, now_us + RETRY_RETURNING_SERVER_US);
}

gboolean
wa_health_not_answering (const WaAdmission *admission, gint64 now_us)
{
  return admission->failed_initials > 0 && now_us < admission->not_answering_until_us;
}

/* Averages the logarithm, because a few very slow requests would dominate a mean of the times. */
void
wa_health_record_service_time (WaAdmission *admission, WcClass class, gint64 service_us)
{
  WaServiceTime *service = &admission->service_time[class];
  gdouble steps = SERVICE_TIME_STEPS * log2 ((gdouble) MAX (1, service_us));
  guint divisor;

  service->samples++;
  divisor = (guint) MIN (service->samples, SERVICE_TIME_SAMPLES_MAX);
  service->mean_log2_steps += (steps - service->mean_log2_steps) / divisor;
}

/* Finds the class by which servers are compared. Short requests come first, as they vary least. */
static gboolean
find_reference_class (const WaAdmission *admission, WcClass *result)
{
  static const WcClass order[] = { WC_CLASS_SHORT, WC_CLASS_MIXED, WC_CLASS_LONG };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (order); i++)
    if (admission->service_time[order[i]].samples >= SERVICE_TIME_SAMPLES_MIN)
      {
        *result = order[i];
        return TRUE;
      }
  return FALSE;
}

guint32
wa_health_service_time_flags (const WaAdmission *admission)
{
  WcClass class;
  guint32 steps;

  if (!find_reference_class (admission, &class))
    return 0;
  steps = (guint32) admission->service_time[class].mean_log2_steps & SERVICE_TIME_MASK;
  return ((guint32) class << SERVICE_TIME_CLASS_SHIFT) | (steps << SERVICE_TIME_SHIFT);
}

static gint
compare_service_times (gconstpointer a, gconstpointer b)
{
  return *(const gint *) a - *(const gint *) b;
}

/* Return: service time in steps of a report, or 0 when it has none for @class. */
static gint
reported_service_time (guint32 flags, WcClass class)
{
  return flags >> SERVICE_TIME_CLASS_SHIFT == class ? (gint) (flags >> SERVICE_TIME_SHIFT) &
                                                          SERVICE_TIME_MASK
                                                    : 0;
}

/* Return: (transfer full): service times in steps that peers reported lately for @class. */
static GArray *
service_times_of_peers (const WaAdmission *admission, WcClass class, gint64 now_us)
{
  GArray *service_times = g_array_new (FALSE, FALSE, sizeof (gint));
  guint i;

  for (i = 0; i < admission->peers->len; i++)
    {
      const WaPeer *peer = g_ptr_array_index (admission->peers, i);
      gint steps = reported_service_time (peer->report.flags, class);

      if (peer->reported_us == 0 || now_us - peer->reported_us > SERVICE_TIME_REPORT_MAX_AGE_US ||
          steps == 0)
        continue;
      g_array_append_val (service_times, steps);
    }
  return service_times;
}

/* Return: median of the service times in steps that peers reported for @class; 0 for too few. */
static gint
median_service_time_of_peers (const WaAdmission *admission, WcClass class, gint64 now_us)
{
  g_autoptr (GArray) service_times = service_times_of_peers (admission, class, now_us);

  if (service_times->len < SERVICE_TIME_PEERS_MIN)
    return 0;
  g_array_sort (service_times, compare_service_times);
  return g_array_index (service_times, gint, service_times->len / 2);
}

/* Compares the service times of the local server and of the peers. Sets the median to 0 when speed
 * does not count. */
static void
update_speed (WaAdmission *admission, gint64 now_us)
{
  WaSpeed *speed = &admission->speed;
  g_autoptr (GArray) service_times = NULL;
  gint own_steps;

  if (now_us - speed->updated_us < SPEED_UPDATE_INTERVAL_US)
    return;
  speed->updated_us = now_us;
  speed->median = 0;
  if (!find_reference_class (admission, &speed->class))
    return;
  service_times = service_times_of_peers (admission, speed->class, now_us);
  if (service_times->len < SERVICE_TIME_PEERS_MIN)
    return;
  own_steps = (gint) admission->service_time[speed->class].mean_log2_steps;
  g_array_append_val (service_times, own_steps);
  speed->median = wa_speed_median ((gint *) (gpointer) service_times->data, service_times->len);
}

/* Return: factor in thousandths by which work counts at an endpoint; WA_SPEED_NORMAL when its speed
 * is not known, or when the servers of the service are about equal. */
guint
wa_health_work_factor (WaAdmission *admission, guint64 id, gint64 now_us)
{
  const WaPeer *peer = wa_peer_find (admission, id);
  guint32 flags = peer != NULL ? peer->report.flags : wa_health_service_time_flags (admission);
  gint steps;

  if (admission->ignores_speed)
    return WA_SPEED_NORMAL;
  update_speed (admission, now_us);
  steps = reported_service_time (flags, admission->speed.class);
  return admission->speed.median == 0 || steps == 0
             ? WA_SPEED_NORMAL
             : wa_speed_work_factor (steps, admission->speed.median);
}

/* A new process of the server may run at another speed. */
void
wa_admission_server_replaced (WaAdmission *admission)
{
  memset (admission->service_time, 0, sizeof admission->service_time);
  admission->speed = (WaSpeed){ 0 };
}

/* Whether the local server takes much longer than the servers of the peers. */
gboolean
wa_health_is_slow (const WaAdmission *admission, gint64 now_us)
{
  WcClass class;
  gint median;

  if (!find_reference_class (admission, &class))
    return FALSE;
  median = median_service_time_of_peers (admission, class, now_us);
  return median > 0 && admission->service_time[class].mean_log2_steps >= median + SLOW_STEPS;
}

static void
count_implausible_report (WaAdmission *admission, WaPeer *peer, gint64 now_us)
{
  if (now_us - peer->last_implausible_us > IMPLAUSIBLE_WINDOW_US)
    peer->implausible_reports = 0;
  peer->last_implausible_us = now_us;
  if (++peer->implausible_reports < IMPLAUSIBLE_LIMIT)
    return;
  peer->implausible_reports = 0;
  peer->distrust_duration_us =
      CLAMP (2 * peer->distrust_duration_us, DISTRUST_MIN_US, DISTRUST_MAX_US);
  peer->distrusted_until_us = now_us + peer->distrust_duration_us;
  wb_counters_add (admission->counters, WA_COUNTER_DISTRUSTED, 1);
}

/* Checks the report of a peer against its last offer: an endpoint sends an offer only when it has
 * no free slot for an initial packet. The packet is assumed to be queued even if the offer's report
 * does not count it. */
void
wa_health_check_report (WaAdmission *admission, WaPeer *peer, gboolean is_offer, gint64 now_us)
{
  ww_occupancy *report = &peer->report;
  guint waiting = report->waiting_short + report->waiting_long;

  if (is_offer)
    peer->last_offer_us = now_us;
  if (peer->last_offer_us == 0 || now_us - peer->last_offer_us > OFFER_VALID_US || waiting > 0)
    return;
  if (2 * report->busy <= report->slots)
    count_implausible_report (admission, peer, now_us);
  if (is_offer)
    report->waiting_short = report->waiting_long = 1;
}

gboolean
wa_health_peer_distrusted (const WaPeer *peer, gint64 now_us)
{
  return now_us < peer->distrusted_until_us;
}
