#include <math.h>
#include <string.h>

#include "admission-fake.h"
#include "ww-flow-key.h"

#define IP_UDP_HEADERS 28

#define SAMPLE_INTERVAL_US (10 * WB_US_PER_MS)
#define PROBE_INTERVAL_US (5 * WB_US_PER_MS)
#define COLD_US (10 * WB_US_PER_S)

/* Time after the last arrival for requests in progress to end; the longest takes 15 s, or 45 s at a
 * slow endpoint. */
#define TAIL_US (50 * WB_US_PER_S)

/* A client sends one packet for each 20 ms of a response and a few for opening and closing. */
#define PACKET_INTERVAL_US (20 * WB_US_PER_MS)
#define PACKETS_PER_FLOW 4

typedef struct Fake Fake;

typedef enum
{
  EVENT_ARRIVAL, /* the first packet reaches the home */
  EVENT_OPEN,    /* a placed or granted initial packet reaches its endpoint */
  EVENT_PAYLOAD, /* the client's first payload reaches the endpoint */
  EVENT_DONE,
  EVENT_MESSAGE,
  EVENT_TICK,
  EVENT_SAMPLE,
  EVENT_PROBE,
} EventKind;

typedef struct
{
  gint64 time_us;
  guint64 order;
  EventKind kind;
  guint endpoint;
  guint job;
  ww_peer *message;
} Event;

typedef enum
{
  FLOW_NEW,
  FLOW_QUEUED,
  FLOW_OPEN,
  FLOW_PAYLOAD_QUEUED,
  FLOW_RUNNING,
  FLOW_ENDED,
} FlowState;

typedef struct
{
  FlowState state;
  guint home;
  guint endpoint;
  gboolean late;     /* started after the deadline */
  gint64 arrival_us; /* at the home, of the packet that is placed */
  gint64 decided_us; /* when the predicted wait first exceeded the deadline */
  gint64 client_us;  /* time that the client itself took between arrival and payload */
} Flow;

typedef struct
{
  Fake *fake;
  guint index;
  WaAdmission *admission;
  guint running;
  guint held; /* slots that the central queue has given out */
  gint64 tick_us;
} Endpoint;

struct Fake
{
  const FakeOptions *options;
  const GArray *jobs;
  FakeResult *result;
  WcConfig *config;
  const WcService *service;
  GArray *events; /* binary heap of Event */
  guint64 order;
  gint64 now_us;
  Endpoint endpoints[FAKE_MAX_ENDPOINTS];
  Flow *flows;
  GQueue central[2];
};

static gboolean
event_before (const Event *a, const Event *b)
{
  return a->time_us < b->time_us || (a->time_us == b->time_us && a->order < b->order);
}

static Event *
event_at (Fake *fake, guint i)
{
  return &g_array_index (fake->events, Event, i);
}

static void
schedule (Fake *fake, Event event, gint64 delay_us)
{
  guint i = fake->events->len;

  event.time_us = fake->now_us + delay_us;
  event.order = fake->order++;
  g_array_append_val (fake->events, event);
  while (i > 0 && event_before (event_at (fake, i), event_at (fake, (i - 1) / 2)))
    {
      Event parent = *event_at (fake, (i - 1) / 2);

      *event_at (fake, (i - 1) / 2) = *event_at (fake, i);
      *event_at (fake, i) = parent;
      i = (i - 1) / 2;
    }
}

static Event
pop_event (Fake *fake)
{
  Event first = *event_at (fake, 0);
  guint count = fake->events->len - 1;
  guint i = 0;

  *event_at (fake, 0) = *event_at (fake, count);
  g_array_set_size (fake->events, count);
  for (;;)
    {
      guint least = i;
      guint child;
      Event event;

      for (child = 2 * i + 1; child <= 2 * i + 2 && child < count; child++)
        if (event_before (event_at (fake, child), event_at (fake, least)))
          least = child;
      if (least == i)
        return first;
      event = *event_at (fake, i);
      *event_at (fake, i) = *event_at (fake, least);
      *event_at (fake, least) = event;
      i = least;
    }
}

static const FakeJob *
job_at (const Fake *fake, guint job)
{
  return &g_array_index (fake->jobs, FakeJob, job);
}

static gboolean
is_measured (const Fake *fake, guint job)
{
  return job_at (fake, job)->arrival_us >= fake->options->warmup_us;
}

static WbHandle
handle_of (guint job)
{
  return (WbHandle){ .index = job, .generation = 1 };
}

static WcClass
told_class (const Fake *fake, guint job)
{
  return fake->options->class_known ? job_at (fake, job)->class : WC_CLASS_MIXED;
}

static void
refused (Fake *fake, guint job)
{
  Flow *flow = &fake->flows[job];

  flow->state = FLOW_ENDED;
  if (!is_measured (fake, job))
    return;
  fake->result->refused[job_at (fake, job)->class]++;
  fake->result->tenant_refused[job_at (fake, job)->class][job_at (fake, job)->tenant]++;
  if (fake->options->probe_refusals)
    {
      gint64 delay_us = flow->decided_us == 0 ? 0 : fake->now_us - flow->decided_us;

      g_array_append_val (fake->result->refusal_delay, delay_us);
    }
}

static gint64
service_time (const Fake *fake, guint endpoint, guint job)
{
  gint64 service_us = job_at (fake, job)->service_us;

  if (endpoint == fake->options->slow)
    service_us *= 3;
  if (endpoint == fake->options->cold && fake->now_us < COLD_US)
    service_us *= 2;
  return service_us;
}

static void
start (Fake *fake, guint job)
{
  Flow *flow = &fake->flows[job];
  const FakeJob *description = job_at (fake, job);
  Endpoint *endpoint = &fake->endpoints[flow->endpoint];
  gint64 wait_us = fake->now_us - flow->arrival_us - flow->client_us;
  gint64 service_us = service_time (fake, flow->endpoint, job);

  flow->state = FLOW_RUNNING;
  flow->late = wait_us > fake->options->deadline_us;
  endpoint->running++;
  g_assert (endpoint->running <= fake->options->slots);
  if (is_measured (fake, job))
    {
      guint64 packets = PACKETS_PER_FLOW + (guint64) (service_us / PACKET_INTERVAL_US);

      g_array_append_val (fake->result->wait[description->class], wait_us);
      fake->result->packets += packets;
      if (flow->endpoint != flow->home)
        fake->result->extra_hops += packets;
    }
  schedule (fake, (Event){ .kind = EVENT_DONE, .endpoint = flow->endpoint, .job = job },
            service_us);
}

/* Counts the part of the work that lies inside the measured time. */
static void
count_completed (Fake *fake, guint job)
{
  const FakeOptions *options = fake->options;
  const FakeJob *description = job_at (fake, job);
  gint64 begin_us = fake->now_us - service_time (fake, fake->flows[job].endpoint, job);
  gint64 work_us = MIN (fake->now_us, options->duration_us) - MAX (begin_us, options->warmup_us);

  if (is_measured (fake, job))
    fake->result->completed[description->class]++;
  if (work_us <= 0 || fake->flows[job].late)
    return;
  fake->result->work_us += work_us;
  fake->result->tenant_work_us[description->tenant] += work_us;
}

/* An initial packet has been delivered to the server: the payload follows. */
static void
opened (Fake *fake, guint job)
{
  const FakeOptions *options = fake->options;
  Flow *flow = &fake->flows[job];
  gint64 delay_us = options->client_rtt_us + options->think_us;

  wa_admission_server_responded (fake->endpoints[flow->endpoint].admission, handle_of (job),
                                 fake->now_us);
  flow->state = FLOW_OPEN;
  if (options->bind_at_payload)
    delay_us = 0;
  else
    flow->client_us = delay_us;
  schedule (fake, (Event){ .kind = EVENT_PAYLOAD, .endpoint = flow->endpoint, .job = job },
            delay_us);
}

static void
on_admit (gpointer context, WbHandle handle)
{
  const Endpoint *endpoint = context;
  Fake *fake = endpoint->fake;
  Flow *flow = &fake->flows[handle.index];

  g_assert (flow->endpoint == endpoint->index);
  if (flow->state == FLOW_QUEUED)
    opened (fake, handle.index);
  else
    start (fake, handle.index);
}

static void
on_refuse (gpointer context, WbHandle handle, guint retry_after_s)
{
  const Endpoint *endpoint = context;

  refused (endpoint->fake, handle.index);
}

static void
open_later (Fake *fake, guint job, guint64 endpoint_id)
{
  guint target = (guint) endpoint_id - 1;
  Flow *flow = &fake->flows[job];

  flow->endpoint = target;
  schedule (fake, (Event){ .kind = EVENT_OPEN, .endpoint = target, .job = job },
            FAKE_MESSAGE_DELAY_US);
}

static void
on_grant (gpointer context, WbHandle handle, guint64 endpoint_id)
{
  const Endpoint *endpoint = context;

  open_later (endpoint->fake, handle.index, endpoint_id);
}

static void
open_here (Fake *fake, guint index, guint job)
{
  Endpoint *endpoint = &fake->endpoints[index];
  Flow *flow = &fake->flows[job];
  guint retry_after_s;
  WaVerdict verdict;

  flow->endpoint = index;
  flow->state = FLOW_QUEUED;
  verdict = wa_admission_open (endpoint->admission, handle_of (job), told_class (fake, job),
                               job_at (fake, job)->tenant, 0, &retry_after_s, fake->now_us);
  if (verdict == WA_ADMITTED)
    opened (fake, job);
  else if (verdict == WA_REFUSED)
    refused (fake, job);
}

static void
on_place (gpointer context, WbHandle handle, guint64 endpoint_id)
{
  const Endpoint *endpoint = context;

  if (endpoint_id == endpoint->index + 1)
    open_here (endpoint->fake, endpoint->index, handle.index);
  else
    open_later (endpoint->fake, handle.index, endpoint_id);
}

static void
report_empty (ww_peer *message)
{
  ww_occupancy *occupancy;

  switch (message->body.kind)
    {
    case WW_PEER_OCCUPANCY_REQUEST:
      occupancy = &message->body.ww_peer_body_u.occupancy_request.occupancy;
      break;
    case WW_PEER_OCCUPANCY_REPLY:
      occupancy = &message->body.ww_peer_body_u.occupancy_reply.occupancy;
      break;
    case WW_PEER_OFFER:
      occupancy = &message->body.ww_peer_body_u.offer.occupancy;
      break;
    default:
      occupancy = &message->body.ww_peer_body_u.pull.occupancy;
      break;
    }
  occupancy->busy = occupancy->waiting_short = occupancy->waiting_long = occupancy->flags = 0;
}

static guint
datagram_bytes (const ww_peer *message)
{
  g_autoptr (GByteArray) bytes = g_byte_array_new ();

  ww_peer_encode (message, bytes);
  return bytes->len + IP_UDP_HEADERS;
}

static void
on_send (gpointer context, guint64 endpoint_id, const ww_peer *message)
{
  const Endpoint *endpoint = context;
  Event event = { .kind = EVENT_MESSAGE, .endpoint = (guint) endpoint_id - 1 };

  event.message = g_memdup2 (message, sizeof *message);
  if (endpoint->index == endpoint->fake->options->misleading)
    report_empty (event.message);
  endpoint->fake->result->messages++;
  endpoint->fake->result->message_bytes += datagram_bytes (message);
  schedule (endpoint->fake, event, FAKE_MESSAGE_DELAY_US);
}

static void
central_dispatch (Fake *fake)
{
  for (;;)
    {
      GQueue *queue = fake->central[0].length > 0 ? &fake->central[0] : &fake->central[1];
      guint best = 0;
      guint job, i;

      for (i = 1; i < fake->options->endpoints; i++)
        if (fake->endpoints[i].held < fake->endpoints[best].held)
          best = i;
      if (queue->length == 0 || fake->endpoints[best].held >= fake->options->slots)
        return;
      job = GPOINTER_TO_UINT (g_queue_pop_head (queue));
      fake->endpoints[best].held++;
      fake->flows[job].endpoint = fake->flows[job].home = best;
      if (!fake->options->central_ideal)
        fake->flows[job].client_us = fake->options->client_rtt_us + fake->options->think_us;
      schedule (fake, (Event){ .kind = EVENT_PAYLOAD, .endpoint = best, .job = job },
                fake->flows[job].client_us);
    }
}

/* The rank order of the endpoints for a job; the first one is the home. */
static void
rank (const Fake *fake, guint job, WaEndpoint *ranked)
{
  guint64 ids[FAKE_MAX_ENDPOINTS];
  guint16 order[FAKE_MAX_ENDPOINTS];
  WwFlowKey key = { .client_address = (guint32) job_at (fake, job)->key,
                    .client_port = (guint16) (job_at (fake, job)->key >> 32),
                    .service_port = 80,
                    .protocol = 6 };
  guint i;

  for (i = 0; i < fake->options->endpoints; i++)
    ids[i] = i + 1;
  ww_rank_endpoints (&key, ids, fake->options->endpoints, order);
  for (i = 0; i < fake->options->endpoints; i++)
    ranked[i] = (WaEndpoint){ .id = ids[order[i]] };
}

static void
on_arrival (Fake *fake, guint job)
{
  const FakeOptions *options = fake->options;
  WaEndpoint ranked[FAKE_MAX_ENDPOINTS] = { 0 };
  Flow *flow = &fake->flows[job];

  if (is_measured (fake, job))
    {
      fake->result->flows++;
      fake->result->tenant_flows[job_at (fake, job)->class][job_at (fake, job)->tenant]++;
      fake->result->offered_us += job_at (fake, job)->service_us;
    }
  flow->arrival_us = fake->now_us;
  if (options->central)
    {
      guint queue = options->central_by_class && job_at (fake, job)->class != WC_CLASS_SHORT;

      g_queue_push_tail (&fake->central[queue], GUINT_TO_POINTER (job));
      central_dispatch (fake);
      return;
    }
  rank (fake, job, ranked);
  flow->home = (guint) ranked[0].id - 1;
  wa_admission_place (fake->endpoints[flow->home].admission, handle_of (job),
                      told_class (fake, job), ranked, options->endpoints, TRUE, fake->now_us);
}

static void
on_payload (Fake *fake, guint job)
{
  Flow *flow = &fake->flows[job];
  guint retry_after_s;
  WaVerdict verdict;

  if (fake->options->central)
    {
      start (fake, job);
      return;
    }
  verdict = wa_admission_request (fake->endpoints[flow->endpoint].admission, handle_of (job),
                                  told_class (fake, job), job_at (fake, job)->tenant,
                                  &retry_after_s, fake->now_us);
  if (verdict == WA_ADMITTED)
    start (fake, job);
  else if (verdict == WA_REFUSED)
    refused (fake, job);
  else
    flow->state = FLOW_PAYLOAD_QUEUED;
}

static void
on_done (Fake *fake, guint index, guint job)
{
  Endpoint *endpoint = &fake->endpoints[index];

  fake->flows[job].state = FLOW_ENDED;
  endpoint->running--;
  count_completed (fake, job);
  if (fake->options->central)
    {
      endpoint->held--;
      central_dispatch (fake);
    }
  else
    wa_admission_finish_request (endpoint->admission, handle_of (job), fake->now_us);
}

/* Occupancy is what an endpoint has in progress and in its queue. */
static void
on_sample (Fake *fake)
{
  guint count = fake->options->endpoints;
  gdouble sum = 0, squares = 0, maximum = 0;
  guint i;

  for (i = 0; i < count; i++)
    {
      const Endpoint *endpoint = &fake->endpoints[i];
      gdouble occupancy = endpoint->held;

      if (!fake->options->central)
        occupancy = wa_admission_slots_in_use (endpoint->admission) +
                    wa_admission_queue_length (endpoint->admission);
      sum += occupancy;
      squares += occupancy * occupancy;
      maximum = MAX (maximum, occupancy);
    }
  if (fake->now_us >= fake->options->warmup_us && fake->now_us < fake->options->duration_us)
    {
      fake->result->sum_maximum += maximum;
      fake->result->sum_mean += sum / count;
      fake->result->sum_deviation +=
          sqrt (MAX (0, squares / count - (sum / count) * (sum / count)));
    }
  schedule (fake, (Event){ .kind = EVENT_SAMPLE }, SAMPLE_INTERVAL_US);
}

static void
on_probe (Fake *fake)
{
  guint job;

  for (job = 0; job < fake->jobs->len; job++)
    {
      Flow *flow = &fake->flows[job];
      gint64 predicted_us, left_us;

      if (job_at (fake, job)->arrival_us > fake->now_us)
        break;
      if (flow->state != FLOW_QUEUED)
        continue;
      left_us = fake->options->deadline_us - (fake->now_us - flow->arrival_us);
      predicted_us = wa_admission_predicted_wait (fake->endpoints[flow->endpoint].admission,
                                                  handle_of (job), fake->now_us);
      if (predicted_us < 0 || predicted_us <= left_us)
        flow->decided_us = 0;
      else if (flow->decided_us == 0)
        flow->decided_us = fake->now_us;
    }
  schedule (fake, (Event){ .kind = EVENT_PROBE }, PROBE_INTERVAL_US);
}

static void
handle_event (Fake *fake, const Event *event)
{
  Endpoint *endpoint = &fake->endpoints[event->endpoint];

  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      on_arrival (fake, event->job);
      break;
    case EVENT_OPEN:
      open_here (fake, event->endpoint, event->job);
      break;
    case EVENT_PAYLOAD:
      on_payload (fake, event->job);
      break;
    case EVENT_DONE:
      on_done (fake, event->endpoint, event->job);
      break;
    case EVENT_MESSAGE:
      wa_admission_receive (endpoint->admission, event->message, fake->now_us);
      g_free (event->message);
      break;
    case EVENT_TICK:
      if (endpoint->tick_us == event->time_us)
        {
          endpoint->tick_us = WB_NEVER;
          wa_admission_tick (endpoint->admission, fake->now_us);
        }
      break;
    case EVENT_SAMPLE:
      on_sample (fake);
      break;
    case EVENT_PROBE:
      on_probe (fake);
      break;
    }
}

static void
schedule_ticks (Fake *fake)
{
  guint i;

  for (i = 0; i < fake->options->endpoints; i++)
    {
      Endpoint *endpoint = &fake->endpoints[i];
      gint64 next_us = MAX (wa_admission_next_us (endpoint->admission), fake->now_us);

      if (next_us >= endpoint->tick_us)
        continue;
      endpoint->tick_us = next_us;
      schedule (fake, (Event){ .kind = EVENT_TICK, .endpoint = i }, next_us - fake->now_us);
    }
}

static void
set_up_config (Fake *fake)
{
  const FakeOptions *options = fake->options;
  WcService *service = wc_service_new ("bench", 1);
  guint i;

  service->slots = options->slots;
  service->reserve_short = options->class_known ? options->reserve_short : 0;
  service->queue_limit = options->queue_limit;
  service->deadline_us = options->deadline_us;
  fake->config = wc_config_new ();
  wc_config_add_service (fake->config, service);
  fake->service = service;
  for (i = 0; i < FAKE_MAX_TENANTS && options->weights[i] > 0; i++)
    {
      g_autofree gchar *name = g_strdup_printf ("tenant-%u", i + 1);

      wc_config_add_tenant (fake->config, name, options->weights[i], i + 1, 32);
    }
}

static void
set_up_endpoint (Fake *fake, guint index, guint32 seed)
{
  Endpoint *endpoint = &fake->endpoints[index];
  WaEndpoint peers[FAKE_MAX_ENDPOINTS];
  WaCallbacks callbacks = { .context = endpoint,
                            .place = on_place,
                            .admit = on_admit,
                            .refuse = on_refuse,
                            .grant = on_grant,
                            .send = on_send };
  guint count = 0;
  guint i;

  for (i = 0; i < fake->options->endpoints; i++)
    if (i != index)
      peers[count++] = (WaEndpoint){ .id = i + 1 };
  endpoint->fake = fake;
  endpoint->index = index;
  endpoint->tick_us = WB_NEVER;
  endpoint->admission =
      wa_admission_new (index + 1, &callbacks, seed + index, index == fake->options->cold, 0);
  wa_admission_set_config (endpoint->admission, fake->config, fake->service);
  wa_admission_set_peers (endpoint->admission, peers, count);
  wa_admission_set_policy (endpoint->admission, fake->options->policy);
}

static void
schedule_arrivals (Fake *fake)
{
  const FakeOptions *options = fake->options;
  guint job;

  for (job = 0; job < fake->jobs->len; job++)
    {
      gint64 delay_us = job_at (fake, job)->arrival_us;

      if (options->bind_at_payload)
        delay_us += options->client_rtt_us + options->think_us;
      schedule (fake, (Event){ .kind = EVENT_ARRIVAL, .job = job }, delay_us);
    }
}

static void
clean_up (Fake *fake)
{
  guint i;

  for (i = 0; i < fake->options->endpoints; i++)
    wa_admission_free (fake->endpoints[i].admission);
  for (i = 0; i < fake->events->len; i++)
    g_free (event_at (fake, i)->message);
  g_array_unref (fake->events);
  g_queue_clear (&fake->central[0]);
  g_queue_clear (&fake->central[1]);
  wc_config_unref (fake->config);
  g_free (fake->flows);
}

void
fake_run (const FakeOptions *options, const GArray *jobs, guint32 seed, FakeResult *result)
{
  Fake fake = { .options = options, .jobs = jobs, .result = result };
  guint i;

  fake.events = g_array_new (FALSE, FALSE, sizeof (Event));
  fake.flows = g_new0 (Flow, jobs->len + 1);
  set_up_config (&fake);
  for (i = 0; i < options->endpoints; i++)
    set_up_endpoint (&fake, i, seed);
  schedule_arrivals (&fake);
  schedule (&fake, (Event){ .kind = EVENT_SAMPLE }, SAMPLE_INTERVAL_US);
  if (options->probe_refusals)
    schedule (&fake, (Event){ .kind = EVENT_PROBE }, PROBE_INTERVAL_US);
  while (fake.now_us < options->duration_us + TAIL_US)
    {
      Event event = pop_event (&fake);

      fake.now_us = event.time_us;
      handle_event (&fake, &event);
      if (!options->central)
        schedule_ticks (&fake);
    }
  clean_up (&fake);
}
