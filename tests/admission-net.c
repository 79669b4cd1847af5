#include "admission-net.h"

static Net *
net_of (const Side *side)
{
  return side->net;
}

WbHandle
net_handle (guint flow)
{
  return (WbHandle){ .index = flow, .generation = 1 };
}

static void
on_place (gpointer context, WbHandle flow, guint64 endpoint_id)
{
  net_of (context)->placed_on[flow.index] = (guint) endpoint_id;
}

/* Records the final decision of a queued entry. Each entry must get exactly one: for a second one
 * the state is no longer WAITING. */
static void
settle (Side *side, WbHandle flow, State state)
{
  State *current = &net_of (side)->states[side->index][flow.index];

  g_assert_cmpint (*current, ==, WAITING);
  *current = state;
}

static void
on_admit (gpointer context, WbHandle flow)
{
  settle (context, flow, OPEN);
  g_array_append_val (net_of (context)->admitted, flow.index);
}

static void
on_refuse (gpointer context, WbHandle flow, guint retry_after_s)
{
  settle (context, flow, REFUSED);
  net_of (context)->retry_after_s = retry_after_s;
}

static void
on_grant (gpointer context, WbHandle flow, guint64 endpoint_id)
{
  settle (context, flow, GRANTED);
  net_of (context)->granted_to[flow.index] = (guint) endpoint_id;
}

static void
on_send (gpointer context, guint64 endpoint_id, const ww_peer *message)
{
  Sent sent = { .to = (guint) endpoint_id - 1, .message = *message };

  g_array_append_val (net_of (context)->sent, sent);
}

void
net_restart (Net *net, guint index, gboolean cold)
{
  WaCallbacks callbacks = { .context = &net->sides[index],
                            .place = on_place,
                            .admit = on_admit,
                            .refuse = on_refuse,
                            .grant = on_grant,
                            .send = on_send };
  WaEndpoint peers[ENDPOINTS] = { { .id = 1 }, { .id = 2 }, { .id = 3 }, { .id = 4 } };

  wa_admission_free (net->admissions[index]);
  net->admissions[index] = wa_admission_new (index + 1, &callbacks, 7 + index, cold, net->now_us);
  wa_admission_set_config (net->admissions[index], net->config, net->service);
  wa_admission_set_peers (net->admissions[index], peers, ENDPOINTS);
}

Net *
net_new (guint slots, guint reserve_short)
{
  Net *net = g_new0 (Net, 1);
  guint i;

  net->now_us = 1 * S;
  net->sent = g_array_new (FALSE, FALSE, sizeof (Sent));
  net->admitted = g_array_new (FALSE, FALSE, sizeof (guint32));
  net->service = wc_service_new ("test", 1);
  net->service->slots = slots;
  net->service->reserve_short = reserve_short;
  net->config = wc_config_new ();
  wc_config_add_service (net->config, net->service);
  wc_config_add_tenant (net->config, "one", 1, 1, 32);
  wc_config_add_tenant (net->config, "three", 3, 2, 32);
  for (i = 0; i < ENDPOINTS; i++)
    {
      net->sides[i].net = net;
      net->sides[i].index = i;
      net_restart (net, i, FALSE);
    }
  return net;
}

void
net_free (Net *net)
{
  guint i;

  for (i = 0; i < ENDPOINTS; i++)
    wa_admission_free (net->admissions[i]);
  g_array_unref (net->sent);
  g_array_unref (net->admitted);
  wc_config_unref (net->config);
  g_free (net);
}

WaVerdict
net_open (Net *net, guint endpoint, guint flow, WcClass class, guint tenant)
{
  static const State states[] = { OPEN, WAITING, REFUSED };
  WaVerdict verdict = wa_admission_open (net->admissions[endpoint], net_handle (flow), class,
                                         tenant, 0, &net->retry_after_s, net->now_us);

  net->states[endpoint][flow] = states[verdict];
  return verdict;
}

void
net_occupy (Net *net, guint endpoint, guint flow, WcClass class)
{
  g_assert_cmpint (net_open (net, endpoint, flow, class, 0), ==, WA_ADMITTED);
  wa_admission_server_responded (net->admissions[endpoint], net_handle (flow), net->now_us);
  g_assert_cmpint (wa_admission_request (net->admissions[endpoint], net_handle (flow), class, 0,
                                         &net->retry_after_s, net->now_us),
                   ==, WA_ADMITTED);
  net->states[endpoint][flow] = BUSY;
}

void
net_done (Net *net, guint endpoint, guint flow)
{
  net->states[endpoint][flow] = GONE;
  wa_admission_finish_request (net->admissions[endpoint], net_handle (flow), net->now_us);
}

void
net_advance (Net *net, guint endpoint, gint64 by_us)
{
  net->now_us += by_us;
  wa_admission_tick (net->admissions[endpoint], net->now_us);
}

void
net_deliver (Net *net, const Sent *sent)
{
  wa_admission_receive (net->admissions[sent->to], &sent->message, net->now_us);
}

void
net_deliver_all (Net *net, guint copies)
{
  guint i, j;

  for (i = 0; i < net->sent->len; i++)
    {
      Sent sent = g_array_index (net->sent, Sent, i);

      for (j = 0; j < copies; j++)
        net_deliver (net, &sent);
    }
  g_array_set_size (net->sent, 0);
}

guint
net_sent_of_kind (const Net *net, ww_peer_kind kind)
{
  guint count = 0;
  guint i;

  for (i = 0; i < net->sent->len; i++)
    count += g_array_index (net->sent, Sent, i).message.body.kind == kind;
  return count;
}

guint
net_admitted_at (const Net *net, guint i)
{
  return i < net->admitted->len ? g_array_index (net->admitted, guint32, i) : FLOWS;
}

guint64
net_counter (const Net *net, guint endpoint, const gchar *name)
{
  return wb_counters_get_by_name (wa_admission_counters (net->admissions[endpoint]), name);
}

void
net_place (Net *net, guint home, guint flow, guint first)
{
  WaEndpoint ranked[ENDPOINTS];
  guint i;

  for (i = 0; i < ENDPOINTS; i++)
    ranked[i] = (WaEndpoint){ .id = (first + i) % ENDPOINTS + 1 };
  wa_admission_place (net->admissions[home], net_handle (flow), WC_CLASS_SHORT, ranked, ENDPOINTS,
                      TRUE, net->now_us);
}
