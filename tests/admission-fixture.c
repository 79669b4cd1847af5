#include "admission-fixture.h"

static AdmissionFixture *
fixture_of (const EndpointContext *self)
{
  return self->fixture;
}

WbHandle
flow_handle (guint flow)
{
  return (WbHandle){ .index = flow, .generation = 1 };
}

static void
on_place (gpointer context, WbHandle flow, guint64 endpoint_id)
{
  fixture_of (context)->placed_on[flow.index] = (guint) endpoint_id;
}

/* Records the final decision of a queued entry. Each entry must get exactly one: for a second one
 * the state is no longer FLOW_QUEUED. */
static void
record_decision (EndpointContext *self, WbHandle flow, FlowState state)
{
  FlowState *current = &fixture_of (self)->flow_states[self->index][flow.index];

  g_assert_cmpint (*current, ==, FLOW_QUEUED);
  *current = state;
}

static void
on_admit (gpointer context, WbHandle flow)
{
  record_decision (context, flow, FLOW_OPEN);
  g_array_append_val (fixture_of (context)->admitted, flow.index);
}

static void
on_refuse (gpointer context, WbHandle flow, guint retry_after_s)
{
  record_decision (context, flow, FLOW_REFUSED);
  fixture_of (context)->retry_after_s = retry_after_s;
}

static void
on_grant (gpointer context, WbHandle flow, guint64 endpoint_id)
{
  record_decision (context, flow, FLOW_GRANTED);
  fixture_of (context)->granted_to[flow.index] = (guint) endpoint_id;
}

static void
on_send (gpointer context, guint64 endpoint_id, const ww_peer *message)
{
  QueuedMessage queued = { .to = (guint) endpoint_id - 1, .message = *message };

  g_array_append_val (fixture_of (context)->messages, queued);
}

void
fixture_restart_admission (AdmissionFixture *fixture, guint index, gboolean cold)
{
  WaCallbacks callbacks = { .context = &fixture->contexts[index],
                            .place = on_place,
                            .admit = on_admit,
                            .refuse = on_refuse,
                            .grant = on_grant,
                            .send = on_send };
  WaEndpoint peers[N_ENDPOINTS] = { { .id = 1 }, { .id = 2 }, { .id = 3 }, { .id = 4 } };

  wa_admission_free (fixture->admissions[index]);
  fixture->admissions[index] =
      wa_admission_new (index + 1, &callbacks, 7 + index, cold, fixture->now_us);
  wa_admission_set_config (fixture->admissions[index], fixture->config, fixture->service);
  wa_admission_set_peers (fixture->admissions[index], peers, N_ENDPOINTS);
}

AdmissionFixture *
fixture_new (guint slots, guint reserve_short)
{
  AdmissionFixture *fixture = g_new0 (AdmissionFixture, 1);
  guint i;

  fixture->now_us = 1 * S;
  fixture->messages = g_array_new (FALSE, FALSE, sizeof (QueuedMessage));
  fixture->admitted = g_array_new (FALSE, FALSE, sizeof (guint32));
  fixture->service = wc_service_new ("test", 1);
  fixture->service->slots = slots;
  fixture->service->reserve_short = reserve_short;
  fixture->config = wc_config_new ();
  wc_config_add_service (fixture->config, fixture->service);
  wc_config_add_tenant (fixture->config, "one", 1, 1, 32);
  wc_config_add_tenant (fixture->config, "three", 3, 2, 32);
  for (i = 0; i < N_ENDPOINTS; i++)
    {
      fixture->contexts[i].fixture = fixture;
      fixture->contexts[i].index = i;
      fixture_restart_admission (fixture, i, FALSE);
    }
  return fixture;
}

void
fixture_free (AdmissionFixture *fixture)
{
  guint i;

  for (i = 0; i < N_ENDPOINTS; i++)
    wa_admission_free (fixture->admissions[i]);
  g_array_unref (fixture->messages);
  g_array_unref (fixture->admitted);
  wc_config_unref (fixture->config);
  g_free (fixture);
}

WaVerdict
fixture_open (AdmissionFixture *fixture, guint endpoint, guint flow, WcClass class, guint tenant)
{
  static const FlowState states[] = { FLOW_OPEN, FLOW_QUEUED, FLOW_REFUSED };
  WaVerdict verdict = wa_admission_open (fixture->admissions[endpoint], flow_handle (flow), class,
                                         tenant, 0, &fixture->retry_after_s, fixture->now_us);

  fixture->flow_states[endpoint][flow] = states[verdict];
  return verdict;
}

void
fixture_occupy (AdmissionFixture *fixture, guint endpoint, guint flow, WcClass class)
{
  g_assert_cmpint (fixture_open (fixture, endpoint, flow, class, 0), ==, WA_ADMITTED);
  wa_admission_server_responded (fixture->admissions[endpoint], flow_handle (flow),
                                 fixture->now_us);
  g_assert_cmpint (wa_admission_request (fixture->admissions[endpoint], flow_handle (flow), class,
                                         0, &fixture->retry_after_s, fixture->now_us),
                   ==, WA_ADMITTED);
  fixture->flow_states[endpoint][flow] = FLOW_BUSY;
}

void
fixture_finish_request (AdmissionFixture *fixture, guint endpoint, guint flow)
{
  fixture->flow_states[endpoint][flow] = FLOW_ENDED;
  wa_admission_finish_request (fixture->admissions[endpoint], flow_handle (flow), fixture->now_us);
}

void
fixture_advance (AdmissionFixture *fixture, guint endpoint, gint64 by_us)
{
  fixture->now_us += by_us;
  wa_admission_tick (fixture->admissions[endpoint], fixture->now_us);
}

void
fixture_deliver (AdmissionFixture *fixture, const QueuedMessage *queued)
{
  wa_admission_receive (fixture->admissions[queued->to], &queued->message, fixture->now_us);
}

void
fixture_deliver_all (AdmissionFixture *fixture, guint copies)
{
  guint i, j;

  for (i = 0; i < fixture->messages->len; i++)
    {
      QueuedMessage queued = g_array_index (fixture->messages, QueuedMessage, i);

      for (j = 0; j < copies; j++)
        fixture_deliver (fixture, &queued);
    }
  g_array_set_size (fixture->messages, 0);
}

guint
fixture_count_messages (const AdmissionFixture *fixture, ww_peer_kind kind)
{
  guint count = 0;
  guint i;

  for (i = 0; i < fixture->messages->len; i++)
    count += g_array_index (fixture->messages, QueuedMessage, i).message.body.kind == kind;
  return count;
}

guint
fixture_admitted_at (const AdmissionFixture *fixture, guint i)
{
  return i < fixture->admitted->len ? g_array_index (fixture->admitted, guint32, i) : N_FLOWS;
}

guint64
fixture_counter (const AdmissionFixture *fixture, guint endpoint, const gchar *name)
{
  return wb_counters_get_by_name (wa_admission_counters (fixture->admissions[endpoint]), name);
}

void
fixture_place (AdmissionFixture *fixture, guint home, guint flow, guint first)
{
  WaEndpoint ranked[N_ENDPOINTS];
  guint i;

  for (i = 0; i < N_ENDPOINTS; i++)
    ranked[i] = (WaEndpoint){ .id = (first + i) % N_ENDPOINTS + 1 };
  wa_admission_place (fixture->admissions[home], flow_handle (flow), WC_CLASS_SHORT, ranked,
                      N_ENDPOINTS, TRUE, fixture->now_us);
}
