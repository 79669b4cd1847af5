#include "admission-net.h"

/* Guards against short requests that wait behind long ones which arrived earlier. */
static void
test_class_order (void)
{
  g_autoptr (Net) net = net_new (1, 0);

  net_occupy (net, 0, 1, WC_CLASS_LONG);
  g_assert_cmpint (net_open (net, 0, 2, WC_CLASS_LONG, 0), ==, WA_QUEUED);
  g_assert_cmpint (net_open (net, 0, 3, WC_CLASS_MIXED, 0), ==, WA_QUEUED);
  g_assert_cmpint (net_open (net, 0, 4, WC_CLASS_SHORT, 0), ==, WA_QUEUED);
  g_assert_cmpint (net_open (net, 0, 2, WC_CLASS_LONG, 0), ==, WA_QUEUED);
  g_assert_cmpuint (wa_admission_queue_length (net->admissions[0]), ==, 3);
  net_done (net, 0, 1);
  net_done (net, 0, 4);
  net_done (net, 0, 2);
  g_assert_cmpuint (net_admitted_at (net, 0), ==, 4);
  g_assert_cmpuint (net_admitted_at (net, 1), ==, 2);
  g_assert_cmpuint (net_admitted_at (net, 2), ==, 3);
}

/* Guards against long requests that starve while short ones keep arriving, and against aged long
 * requests that block the short class. */
static void
test_ageing (void)
{
  g_autoptr (Net) net = net_new (1, 0);
  guint i;

  net_occupy (net, 0, 1, WC_CLASS_SHORT);
  for (i = 2; i <= 4; i++)
    g_assert_cmpint (net_open (net, 0, i, WC_CLASS_LONG, 0), ==, WA_QUEUED);
  net->now_us += net->service->deadline_us / 2;
  for (i = 5; i <= 7; i++)
    g_assert_cmpint (net_open (net, 0, i, WC_CLASS_SHORT, 0), ==, WA_QUEUED);
  net_done (net, 0, 1);
  for (i = 0; i < 4; i++)
    net_done (net, 0, net_admitted_at (net, i));
  g_assert_cmpuint (net_admitted_at (net, 0), ==, 2);
  g_assert_cmpuint (net_admitted_at (net, 1), ==, 5);
  g_assert_cmpuint (net_admitted_at (net, 2), ==, 3);
  g_assert_cmpuint (net_admitted_at (net, 3), ==, 6);
}

/* Guards against a backlog after an outage that makes every response late, because the oldest
 * entries, which cannot meet their objective any more, are admitted first; and against late entries
 * that starve. */
static void
test_on_time_first (void)
{
  g_autoptr (Net) net = net_new (1, 0);
  guint i;

  net->service->deadline_us = 2 * S;
  net_restart (net, 0, FALSE);
  net_occupy (net, 0, 1, WC_CLASS_SHORT);
  for (i = 2; i <= 4; i++)
    {
      g_assert_cmpint (net_open (net, 0, i, WC_CLASS_SHORT, 0), ==, WA_QUEUED);
      wa_admission_set_objective (net->admissions[0], net_handle (i), 0, 150 * MS, net->now_us);
    }
  net->now_us += 300 * MS;
  for (i = 5; i <= 9; i++)
    {
      g_assert_cmpint (net_open (net, 0, i, WC_CLASS_SHORT, 0), ==, WA_QUEUED);
      wa_admission_set_objective (net->admissions[0], net_handle (i), i == 9 ? 0 : 1, 250 * MS,
                                  net->now_us);
    }
  net_done (net, 0, 1);
  for (i = 0; i < 5; i++)
    net_done (net, 0, net_admitted_at (net, i));
  g_assert_cmpuint (net_admitted_at (net, 0), ==, 9);
  g_assert_cmpuint (net_admitted_at (net, 1), ==, 5);
  g_assert_cmpuint (net_admitted_at (net, 2), ==, 6);
  g_assert_cmpuint (net_admitted_at (net, 3), ==, 2);
  g_assert_cmpuint (net_admitted_at (net, 4), ==, 7);
}

/* Guards against a tenant whose burst takes the share of another tenant, and against weights
 * without effect. */
static void
test_tenant_fairness (void)
{
  g_autoptr (Net) net = net_new (1, 0);
  guint admitted_of_weight_three = 0;
  guint i;

  net->service->deadline_us = 1000 * S;
  net_restart (net, 0, FALSE);
  net_occupy (net, 0, 0, WC_CLASS_LONG);
  for (i = 1; i <= 100; i++)
    net_open (net, 0, i, WC_CLASS_LONG, i <= 60 ? 1 : 2);
  net_done (net, 0, 0);
  for (i = 0; i < 40; i++)
    {
      guint flow = net_admitted_at (net, i);

      admitted_of_weight_three += flow > 60;
      net->now_us += 100 * MS;
      net_done (net, 0, flow);
    }
  g_assert_cmpuint (admitted_of_weight_three, >=, 28);
  g_assert_cmpuint (admitted_of_weight_three, <=, 32);
}

/* Guards against a refusal that is sent only at the deadline, and against an unbounded queue. */
static void
test_refusal (void)
{
  g_autoptr (Net) net = net_new (1, 0);
  guint queued = 0;
  guint i;

  net->service->deadline_us = 2 * S;
  net->service->queue_limit = 10;
  net_restart (net, 0, FALSE);
  net_occupy (net, 0, 1, WC_CLASS_LONG);
  for (i = 2; i < 8; i++)
    queued += net_open (net, 0, i, WC_CLASS_LONG, 0) == WA_QUEUED;
  g_assert_cmpuint (queued, ==, 3);
  g_assert_cmpuint (net_counter (net, 0, "admission_refused_predicted"), ==, 3);
  g_assert_cmpuint (net->retry_after_s, >=, 1);
  g_assert_cmpuint (net->retry_after_s, <=, 5);
  for (i = 8; i < 40; i++)
    net_open (net, 0, i, WC_CLASS_SHORT, 0);
  g_assert_cmpuint (wa_admission_queue_length (net->admissions[0]), ==, 10);
  g_assert_cmpint (net->states[0][4], ==, REFUSED);
  net->now_us += 2 * S;
  net_advance (net, 0, 20 * MS);
  g_assert_cmpuint (wa_admission_queue_length (net->admissions[0]), ==, 0);
}

/* Guards against entries that stay queued although they cannot meet their deadline any more. */
static void
test_refusal_sweep (void)
{
  g_autoptr (Net) net = net_new (1, 0);

  net->service->deadline_us = 2 * S;
  net_restart (net, 0, FALSE);
  net_occupy (net, 0, 1, WC_CLASS_LONG);
  net_open (net, 0, 2, WC_CLASS_LONG, 0);
  net_open (net, 0, 3, WC_CLASS_LONG, 0);
  net_advance (net, 0, 1 * S + 500 * MS);
  g_assert_cmpint (net->states[0][2], ==, WAITING);
  g_assert_cmpint (net->states[0][3], ==, REFUSED);
  g_assert_cmpint (wa_admission_next_us (net->admissions[0]), <=, net->now_us + 20 * MS);
}

/* Guards against other classes in the slot reserved for short requests, and against more requests
 * than slots. */
static void
test_slot_limits (void)
{
  g_autoptr (Net) net = net_new (3, 1);

  net_occupy (net, 0, 1, WC_CLASS_LONG);
  net_occupy (net, 0, 2, WC_CLASS_MIXED);
  g_assert_cmpint (net_open (net, 0, 3, WC_CLASS_LONG, 0), ==, WA_QUEUED);
  net_occupy (net, 0, 4, WC_CLASS_SHORT);
  g_assert_cmpint (net_open (net, 0, 5, WC_CLASS_SHORT, 0), ==, WA_QUEUED);
  g_assert_cmpuint (wa_admission_slots_in_use (net->admissions[0]), ==, 3);
  net_done (net, 0, 4);
  g_assert_cmpuint (net_admitted_at (net, 0), ==, 5);
  g_assert_cmpint (net->states[0][3], ==, WAITING);
  wa_admission_recover_request (net->admissions[0], net_handle (6), WC_CLASS_LONG, 0, net->now_us);
  net_done (net, 0, 1);
  g_assert_cmpint (net->states[0][3], ==, WAITING);
}

/* Guards against a client that opens a flow, sends nothing and keeps its reservation, and against a
 * request on an idle flow that is delivered although no slot is free. */
static void
test_reservation (void)
{
  g_autoptr (Net) net = net_new (1, 0);

  g_assert_cmpint (net_open (net, 0, 1, WC_CLASS_SHORT, 0), ==, WA_ADMITTED);
  wa_admission_server_responded (net->admissions[0], net_handle (1), net->now_us);
  g_assert_cmpint (net_open (net, 0, 2, WC_CLASS_SHORT, 0), ==, WA_QUEUED);
  g_assert_cmpint (wa_admission_next_us (net->admissions[0]), <=, net->now_us + 100 * MS);
  net_advance (net, 0, 100 * MS);
  g_assert_cmpint (net->states[0][2], ==, OPEN);
  g_assert_cmpint (wa_admission_request (net->admissions[0], net_handle (1), WC_CLASS_SHORT, 0,
                                         &net->retry_after_s, net->now_us),
                   ==, WA_QUEUED);
  net->states[0][1] = WAITING;
  net_done (net, 0, 2);
  g_assert_cmpint (net->states[0][1], ==, OPEN);
  g_assert_cmpuint (wa_admission_slots_in_use (net->admissions[0]), ==, 1);
}

/* Guards against a placement that is never decided or decided twice when replies are lost or
 * repeated. */
static void
test_placement (void)
{
  g_autoptr (Net) net = net_new (2, 0);

  net_place (net, 0, 1, 0);
  g_assert_cmpuint (net->placed_on[1], ==, 1);
  g_assert_cmpuint (net->sent->len, ==, 0);
  net_occupy (net, 0, 2, WC_CLASS_SHORT);
  net_occupy (net, 1, 3, WC_CLASS_SHORT);
  net_place (net, 0, 4, 0);
  g_assert_cmpuint (net_sent_of_kind (net, WW_PEER_OCCUPANCY_REQUEST), ==, 2);
  g_assert_cmpuint (net->placed_on[4], ==, 0);
  net_deliver_all (net, 2);
  g_assert_cmpuint (net->placed_on[4], ==, 3);
  net_place (net, 0, 5, 0);
  g_array_set_size (net->sent, 0);
  g_assert_cmpint (wa_admission_next_us (net->admissions[0]), ==, net->now_us + 5 * MS);
  net_advance (net, 0, 5 * MS);
  g_assert_cmpuint (net->placed_on[5], ==, 1);
  g_assert_cmpuint (net_counter (net, 0, "admission_query_timeouts"), ==, 1);
  net_place (net, 0, 6, 0);
  wa_admission_remove (net->admissions[0], net_handle (6), net->now_us);
  net_deliver_all (net, 1);
  g_assert_cmpuint (net->placed_on[6], ==, 0);
}

/* Guards against two endpoints that are granted the same initial packet, and against lost offers or
 * pulls that leave entries queued while other endpoints have free slots. */
static void
test_pull_granted_once (void)
{
  g_autoptr (Net) net = net_new (1, 0);
  ww_peer first_pull;
  guint i;

  net_occupy (net, 0, 1, WC_CLASS_LONG);
  net_open (net, 0, 2, WC_CLASS_LONG, 0);
  g_assert_cmpuint (net_sent_of_kind (net, WW_PEER_OFFER), ==, 3);
  g_array_set_size (net->sent, 0);
  net_open (net, 0, 3, WC_CLASS_SHORT, 0);
  for (i = 0; i < 2; i++)
    net_deliver (net, &g_array_index (net->sent, Sent, i));
  g_assert_cmpuint (net_sent_of_kind (net, WW_PEER_PULL), ==, 2);
  first_pull = g_array_index (net->sent, Sent, 3).message;
  for (i = 0; i < 3; i++)
    wa_admission_receive (net->admissions[0], &first_pull, net->now_us);
  g_assert_cmpint (net->states[0][3], ==, GRANTED);
  g_assert_cmpint (net->states[0][2], ==, WAITING);
  g_assert_cmpuint (net_counter (net, 0, "admission_pulls_repeated"), ==, 2);
  wa_admission_receive (net->admissions[0], &g_array_index (net->sent, Sent, 4).message,
                        net->now_us);
  g_assert_cmpint (net->states[0][2], ==, GRANTED);
  g_assert_cmpuint (net->granted_to[2], !=, net->granted_to[3]);
  g_array_set_size (net->sent, 0);
  net_advance (net, 1, 5 * MS);
  g_assert_cmpuint (wa_admission_occupancy (net->admissions[1], net->now_us).busy, ==, 0);
}

/* Guards against an entry that is granted to two pulls. */
static void
test_two_pulls_for_one_entry (void)
{
  g_autoptr (Net) net = net_new (1, 0);

  net_occupy (net, 0, 1, WC_CLASS_LONG);
  net_open (net, 0, 2, WC_CLASS_LONG, 0);
  net_deliver_all (net, 1);
  g_assert_cmpint (net->states[0][2], ==, GRANTED);
  g_assert_cmpuint (net_counter (net, 0, "admission_granted"), ==, 1);
  g_assert_cmpuint (net_counter (net, 0, "admission_pulls_empty"), >=, 1);
}

/* Guards against endless pulls, which delay long requests, when the queue of a peer has only
 * requests of flows that it holds; and against occupancy reports with absurd numbers. */
static void
test_bounded_pulls (void)
{
  g_autoptr (Net) net = net_new (1, 0);
  ww_peer reply = { .magic = WW_PEER_MAGIC, .service_id = net->service->id, .sender_id = 2 };
  ww_occupancy *occupancy = &reply.body.ww_peer_body_u.occupancy_reply.occupancy;

  net_occupy (net, 0, 1, WC_CLASS_LONG);
  wa_admission_request (net->admissions[0], net_handle (2), WC_CLASS_SHORT, 0, &net->retry_after_s,
                        net->now_us);
  net->states[0][2] = WAITING;
  net_occupy (net, 1, 3, WC_CLASS_LONG);
  net_open (net, 1, 4, WC_CLASS_LONG, 0);
  g_array_set_size (net->sent, 0);
  net_place (net, 0, 5, 0);
  net_deliver_all (net, 1);
  net_done (net, 1, 3);
  net_deliver_all (net, 1);
  g_assert_cmpint (net->states[1][4], ==, OPEN);
  g_assert_cmpuint (net_counter (net, 1, "admission_pulls_sent"), ==, 1);
  g_assert_cmpuint (net_counter (net, 0, "admission_pulls_empty"), <=, ENDPOINTS - 1);
  reply.body.kind = WW_PEER_OCCUPANCY_REPLY;
  *occupancy = (ww_occupancy){ .slots = G_MAXUINT32,
                               .busy = G_MAXUINT32,
                               .waiting_short = G_MAXUINT32,
                               .waiting_long = G_MAXUINT32 };
  net_done (net, 0, 1);
  net_done (net, 0, 2);
  wa_admission_receive (net->admissions[0], &reply, net->now_us);
  g_assert_cmpuint (net->sent->len, <=, 1);
}

/* Guards against initial packets that stay queued at a draining endpoint. */
static void
test_draining_hands_over_queue (void)
{
  g_autoptr (Net) net = net_new (1, 0);
  guint i;

  net_occupy (net, 0, 1, WC_CLASS_LONG);
  for (i = 2; i < 5; i++)
    net_open (net, 0, i, WC_CLASS_LONG, 0);
  wa_admission_request (net->admissions[0], net_handle (5), WC_CLASS_LONG, 0, &net->retry_after_s,
                        net->now_us);
  net->states[0][5] = WAITING;
  wa_admission_set_draining (net->admissions[0], TRUE, net->now_us);
  for (i = 2; i < 5; i++)
    g_assert_cmpint (net->states[0][i], ==, GRANTED);
  g_assert_cmpuint (net->granted_to[2] + net->granted_to[3] + net->granted_to[4], ==, 2 + 3 + 4);
  g_assert_cmpint (net->states[0][5], ==, WAITING);
  net_done (net, 0, 1);
  g_assert_cmpint (net->states[0][5], ==, OPEN);
  net_place (net, 0, 6, 0);
  net_deliver_all (net, 1);
  g_assert_cmpuint (net->placed_on[6], >, 1);
  net_done (net, 0, 5);
  g_assert_cmpint (net_open (net, 0, 7, WC_CLASS_SHORT, 0), ==, WA_QUEUED);
  g_assert_cmpint (wa_admission_next_us (net->admissions[0]), <=, net->now_us);
  net_advance (net, 0, 0);
  g_assert_cmpint (net->states[0][7], ==, GRANTED);
}

/* Guards against slots that stay idle during the handshake with a distant client while entries
 * wait: a server that announces its slots has a queue of its own, so flows are opened ahead. */
static void
test_open_ahead_of_announced_slots (void)
{
  g_autoptr (Net) net = net_new (1, 0);
  guint i;

  wa_admission_set_capacity (net->admissions[0], 4, 0, net->now_us);
  for (i = 1; i <= 64; i++)
    {
      net_open (net, 0, i, WC_CLASS_SHORT, 0);
      wa_admission_server_responded (net->admissions[0], net_handle (i), net->now_us);
      net->now_us += 10 * MS;
      wa_admission_start_request (net->admissions[0], net_handle (i), WC_CLASS_SHORT, 0,
                                  net->now_us);
      net->now_us += 50 * MS;
      net_done (net, 0, i);
    }
  for (i = 101; i <= 104; i++)
    net_occupy (net, 0, i, WC_CLASS_SHORT);
  for (i = 111; i <= 118; i++)
    net_open (net, 0, i, WC_CLASS_SHORT, 0);
  net_advance (net, 0, 0);
  g_assert_cmpuint (net->admitted->len, ==, 2);
  wa_admission_start_request (net->admissions[0], net_handle (111), WC_CLASS_SHORT, 0, net->now_us);
  g_assert_cmpuint (wa_admission_slots_in_use (net->admissions[0]), ==, 5);
  net_advance (net, 0, 0);
  g_assert_cmpuint (net->admitted->len, ==, 2);
  net_done (net, 0, 101);
  g_assert_cmpuint (wa_admission_slots_in_use (net->admissions[0]), ==, 4);
  g_assert_cmpuint (net->admitted->len, ==, 3);
}

#define RUSH_SLOTS 2
#define RUSH_SERVICE_MS 26
#define RUSH_PAYLOAD_MS 8
#define RUSH_GONE_EVERY 8
#define RUSH_WAITING 16
#define RUSH_MS 4000
/* 95% of the requests that the slots could serve. */
#define RUSH_SERVED_MIN (RUSH_SLOTS * RUSH_MS / RUSH_SERVICE_MS * 95 / 100)

typedef struct
{
  guint payload_ms[FLOWS]; /* when the first payload arrives; 0 for never */
  guint running[RUSH_SLOTS];
  guint done_ms[RUSH_SLOTS];
  GQueue queued; /* flows that wait at the server for one of its slots */
  guint opened;
  guint admitted;
  guint served;
} Rush;

static void
rush_answer (Net *net, Rush *rush, guint flow, guint now_ms)
{
  wa_admission_server_responded (net->admissions[0], net_handle (flow), net->now_us);
  if (flow % RUSH_GONE_EVERY != 0)
    rush->payload_ms[flow] = now_ms + RUSH_PAYLOAD_MS;
}

static void
rush_open (Net *net, Rush *rush, guint now_ms)
{
  while (wa_admission_queue_length (net->admissions[0]) < RUSH_WAITING)
    if (net_open (net, 0, ++rush->opened, WC_CLASS_SHORT, 0) == WA_ADMITTED)
      rush_answer (net, rush, rush->opened, now_ms);
  for (; rush->admitted < net->admitted->len; rush->admitted++)
    rush_answer (net, rush, net_admitted_at (net, rush->admitted), now_ms);
}

static void
rush_send (Net *net, Rush *rush, guint now_ms)
{
  guint flow;

  for (flow = 1; flow <= rush->opened; flow++)
    if (rush->payload_ms[flow] == now_ms)
      {
        wa_admission_start_request (net->admissions[0], net_handle (flow), WC_CLASS_SHORT, 0,
                                    net->now_us);
        g_queue_push_tail (&rush->queued, GUINT_TO_POINTER (flow));
      }
}

static void
rush_serve (Net *net, Rush *rush, guint now_ms)
{
  guint i;

  for (i = 0; i < RUSH_SLOTS; i++)
    {
      if (rush->running[i] != 0 && rush->done_ms[i] <= now_ms)
        {
          net_done (net, 0, rush->running[i]);
          rush->served++;
          rush->running[i] = 0;
        }
      if (rush->running[i] != 0 || g_queue_is_empty (&rush->queued))
        continue;
      rush->running[i] = GPOINTER_TO_UINT (g_queue_pop_head (&rush->queued));
      rush->done_ms[i] = now_ms + RUSH_SERVICE_MS;
    }
}

/* Guards against idle slots while many entries wait, after an outage when every eighth client has
 * given up before its initial packet is delivered; and against a server that gets more requests
 * than it can hold. */
static void
test_overload_after_outage (void)
{
  g_autoptr (Net) net = net_new (RUSH_SLOTS, 0);
  g_autofree Rush *rush = g_new0 (Rush, 1);
  guint now_ms;

  net->service->deadline_us = 60 * S;
  net_restart (net, 0, FALSE);
  wa_admission_set_capacity (net->admissions[0], RUSH_SLOTS, 0, net->now_us);
  for (now_ms = 1; now_ms <= RUSH_MS; now_ms++)
    {
      rush_open (net, rush, now_ms);
      rush_send (net, rush, now_ms);
      rush_serve (net, rush, now_ms);
      net_advance (net, 0, MS);
      g_assert_cmpuint (g_queue_get_length (&rush->queued), <=, RUSH_SLOTS);
    }
  g_queue_clear (&rush->queued);
  g_assert_cmpuint (rush->served, >=, RUSH_SERVED_MIN);
}

/* Guards against flows opened ahead whose requests exceed the slots, and against more than one such
 * flow. */
static void
test_open_ahead (void)
{
  g_autoptr (Net) net = net_new (1, 0);
  guint i;

  for (i = 1; i <= 64; i++)
    {
      net_open (net, 0, i, WC_CLASS_SHORT, 0);
      wa_admission_server_responded (net->admissions[0], net_handle (i), net->now_us);
      net->now_us += 10 * MS;
      wa_admission_request (net->admissions[0], net_handle (i), WC_CLASS_SHORT, 0,
                            &net->retry_after_s, net->now_us);
      net->now_us += 50 * MS;
      net_done (net, 0, i);
    }
  net_occupy (net, 0, 100, WC_CLASS_SHORT);
  for (i = 101; i <= 104; i++)
    {
      net_open (net, 0, i, WC_CLASS_SHORT, 0);
      net->now_us += 1 * MS;
    }
  net_advance (net, 0, 0);
  g_assert_cmpuint (net->admitted->len, ==, 1);
  g_assert_cmpuint (net_admitted_at (net, 0), ==, 101);
  g_assert_cmpuint (wa_admission_slots_in_use (net->admissions[0]), ==, 1);
  g_assert_cmpint (wa_admission_request (net->admissions[0], net_handle (101), WC_CLASS_SHORT, 0,
                                         &net->retry_after_s, net->now_us),
                   ==, WA_QUEUED);
  net->states[0][101] = WAITING;
  net_advance (net, 0, 10 * MS);
  g_assert_cmpuint (net->admitted->len, ==, 1);
  net_done (net, 0, 100);
  g_assert_cmpuint (net_admitted_at (net, 1), ==, 101);
  g_assert_cmpuint (net_admitted_at (net, 2), ==, 102);
  g_assert_cmpuint (net->admitted->len, ==, 3);
  g_assert_cmpuint (wa_admission_slots_in_use (net->admissions[0]), ==, 1);
}

/* Guards against a client that waits for twice the deadline, first with its initial packet and then
 * with its first request, and against a retransmitted initial packet that restarts the wait. */
static void
test_late_payload (void)
{
  g_autoptr (Net) net = net_new (1, 0);

  net->service->deadline_us = 2 * S;
  net_restart (net, 0, FALSE);
  net_occupy (net, 0, 1, WC_CLASS_SHORT);
  net_open (net, 0, 2, WC_CLASS_SHORT, 0);
  net_advance (net, 0, 1500 * MS);
  net_done (net, 0, 1);
  g_assert_cmpint (net->states[0][2], ==, OPEN);
  wa_admission_server_responded (net->admissions[0], net_handle (2), net->now_us);
  net_advance (net, 0, 100 * MS);
  net_occupy (net, 0, 3, WC_CLASS_SHORT);
  g_assert_cmpint (net_open (net, 0, 2, WC_CLASS_SHORT, 0), ==, WA_ADMITTED);
  g_assert_cmpint (wa_admission_request (net->admissions[0], net_handle (2), WC_CLASS_SHORT, 0,
                                         &net->retry_after_s, net->now_us),
                   ==, WA_QUEUED);
  net->states[0][2] = WAITING;
  net_advance (net, 0, 400 * MS);
  g_assert_cmpint (net->states[0][2], ==, WAITING);
  net_advance (net, 0, 200 * MS);
  g_assert_cmpint (net->states[0][2], ==, REFUSED);
}

/* Guards against an initial packet that is delivered after its client has given up, because earlier
 * transmissions were lost in an outage and the wait is counted from the one that arrived; and
 * against the admission of such an entry before one that can still meet its objective. */
static void
test_waited_before_arrival (void)
{
  g_autoptr (Net) net = net_new (1, 0);
  WaAdmission *admission;

  net->service->deadline_us = 1200 * MS;
  net_restart (net, 0, FALSE);
  admission = net->admissions[0];
  net_occupy (net, 0, 1, WC_CLASS_SHORT);
  g_assert_cmpint (wa_admission_open (admission, net_handle (2), WC_CLASS_SHORT, 0, 600 * MS,
                                      &net->retry_after_s, net->now_us),
                   ==, WA_QUEUED);
  net->states[0][2] = WAITING;
  wa_admission_set_objective (admission, net_handle (2), 0, 300 * MS, net->now_us);
  net_open (net, 0, 3, WC_CLASS_SHORT, 0);
  wa_admission_set_objective (admission, net_handle (3), 0, 300 * MS, net->now_us);
  net_done (net, 0, 1);
  g_assert_cmpint (net->states[0][3], ==, OPEN);
  wa_admission_start_request (admission, net_handle (3), WC_CLASS_SHORT, 0, net->now_us);
  net_advance (net, 0, 500 * MS);
  g_assert_cmpint (net->states[0][2], ==, WAITING);
  net_advance (net, 0, 100 * MS);
  g_assert_cmpint (net->states[0][2], ==, REFUSED);
}

/* Guards against queue entries and slots that stay occupied after their client has gone. */
static void
test_client_gone (void)
{
  g_autoptr (Net) net = net_new (1, 0);

  net_occupy (net, 0, 1, WC_CLASS_LONG);
  net_open (net, 0, 2, WC_CLASS_LONG, 0);
  net_open (net, 0, 3, WC_CLASS_LONG, 0);
  net->states[0][2] = GONE;
  wa_admission_remove (net->admissions[0], net_handle (2), net->now_us);
  g_assert_cmpuint (wa_admission_queue_length (net->admissions[0]), ==, 1);
  wa_admission_remove (net->admissions[0], net_handle (1), net->now_us);
  g_assert_cmpuint (net_admitted_at (net, 0), ==, 3);
  wa_admission_remove (net->admissions[0], net_handle (3), net->now_us);
  g_assert_cmpuint (wa_admission_slots_in_use (net->admissions[0]), ==, 0);
}

/* Guards against a server that gets as many flows right after its start as a warm one. */
static void
test_cold_start (void)
{
  g_autoptr (Net) net = net_new (4, 0);

  net_restart (net, 0, TRUE);
  net_occupy (net, 0, 1, WC_CLASS_LONG);
  net_occupy (net, 0, 2, WC_CLASS_LONG);
  g_assert_cmpint (net_open (net, 0, 3, WC_CLASS_LONG, 0), ==, WA_QUEUED);
  g_assert_cmpuint (
      wa_admission_occupancy (net->admissions[0], net->now_us).flags & WA_OCCUPANCY_COLD, !=, 0);
  net->service->deadline_us = 60 * S;
  wa_admission_set_config (net->admissions[0], net->config, net->service);
  net_advance (net, 0, net->service->cold_start_us);
  g_assert_cmpint (net->states[0][3], ==, OPEN);
}

/* Guards against flows placed on a server that accepts no connections, and against a server that is
 * never tried again. */
static void
test_unresponsive_server (void)
{
  g_autoptr (Net) net = net_new (4, 0);
  guint i;

  for (i = 1; i <= 3; i++)
    net_open (net, 0, i, WC_CLASS_SHORT, 0);
  net_advance (net, 0, 100 * MS);
  g_assert_cmpuint (wa_admission_occupancy (net->admissions[0], net->now_us).flags &
                        WA_OCCUPANCY_NOT_ANSWERING,
                    !=, 0);
  net_place (net, 0, 4, 0);
  net_deliver_all (net, 1);
  g_assert_cmpuint (net->placed_on[4], >, 1);
  net_advance (net, 0, 3 * S);
  g_assert_cmpuint (wa_admission_occupancy (net->admissions[0], net->now_us).busy, ==, 0);
  net_open (net, 0, 5, WC_CLASS_SHORT, 0);
  net_advance (net, 0, 100 * MS);
  g_assert_cmpuint (net_counter (net, 0, "admission_not_answering"), ==, 2);
}

/* Guards against a crashed server whose initial packets are all returned at once: it looks idle, so
 * that the flows of its peers are placed on it; and against a server that is still avoided after it
 * has recovered. */
static void
test_returned_initial_packets (void)
{
  g_autoptr (Net) net = net_new (4, 0);
  guint i;

  for (i = 1; i <= 3; i++)
    {
      net_open (net, 0, i, WC_CLASS_SHORT, 0);
      net->states[0][i] = GONE;
      wa_admission_packet_returned (net->admissions[0], net_handle (i), net->now_us);
    }
  g_assert_cmpuint (wa_admission_slots_in_use (net->admissions[0]), ==, 0);
  net_place (net, 0, 4, 0);
  net_deliver_all (net, 1);
  g_assert_cmpuint (net->placed_on[4], >, 1);
  net_open (net, 0, 5, WC_CLASS_SHORT, 0);
  net_advance (net, 0, 0);
  g_assert_cmpint (net->states[0][5], ==, GRANTED);
  net_advance (net, 0, 200 * MS);
  g_assert_cmpint (net_open (net, 0, 6, WC_CLASS_SHORT, 0), ==, WA_ADMITTED);
  wa_admission_server_responded (net->admissions[0], net_handle (6), net->now_us);
  g_assert_cmpuint (wa_admission_occupancy (net->admissions[0], net->now_us).flags &
                        WA_OCCUPANCY_NOT_ANSWERING,
                    ==, 0);
}

/* Guards against an endpoint that gets all flows because it always reports that it is idle. */
static void
test_implausible_occupancy (void)
{
  g_autoptr (Net) net = net_new (4, 0);
  ww_peer offer = { .magic = WW_PEER_MAGIC, .service_id = net->service->id, .sender_id = 2 };
  guint i;

  offer.body.kind = WW_PEER_OFFER;
  offer.body.ww_peer_body_u.offer.occupancy.slots = 4;
  for (i = 0; i < 2; i++)
    wa_admission_receive (net->admissions[0], &offer, net->now_us);
  g_assert_cmpuint (net_counter (net, 0, "admission_distrusted"), ==, 1);
  net_occupy (net, 0, 1, WC_CLASS_SHORT);
  net_occupy (net, 2, 2, WC_CLASS_SHORT);
  net_occupy (net, 2, 3, WC_CLASS_SHORT);
  net_place (net, 0, 4, 0);
  net_deliver_all (net, 1);
  g_assert_cmpuint (net->placed_on[4], ==, 1);
}

/* Guards against a slow server that gets as many flows as the others. */
static void
test_slow_server (void)
{
  g_autoptr (Net) net = net_new (4, 0);
  guint flow = 1;
  guint i, j;

  for (i = 0; i < 40; i++)
    for (j = 0; j < 3; j++)
      {
        gint64 begin_us = net->now_us;

        net_occupy (net, j, flow, WC_CLASS_SHORT);
        net->now_us += j == 0 ? 150 * MS : 50 * MS;
        net_done (net, j, flow++);
        net->now_us = begin_us;
      }
  net->now_us += 1 * S;
  net_occupy (net, 0, flow++, WC_CLASS_SHORT);
  net_occupy (net, 1, flow++, WC_CLASS_SHORT);
  net_occupy (net, 2, flow++, WC_CLASS_SHORT);
  net_place (net, 0, flow, 0);
  net_deliver_all (net, 1);
  g_assert_cmpuint (net->placed_on[flow], ==, 2);
  g_assert_cmpuint (wa_admission_occupancy (net->admissions[0], net->now_us).slots, ==, 2);
  g_assert_cmpuint (wa_admission_occupancy (net->admissions[1], net->now_us).slots, ==, 4);
}

/* Guards against replies to an endpoint that is not in the service. */
static void
test_unknown_sender (void)
{
  g_autoptr (Net) net = net_new (1, 0);
  ww_peer message = { .magic = WW_PEER_MAGIC, .service_id = net->service->id, .sender_id = 99 };

  message.body.kind = WW_PEER_OCCUPANCY_REQUEST;
  wa_admission_receive (net->admissions[0], &message, net->now_us);
  message.sender_id = 2;
  message.service_id++;
  wa_admission_receive (net->admissions[0], &message, net->now_us);
  g_assert_cmpuint (net->sent->len, ==, 0);
  g_assert_cmpuint (net_counter (net, 0, "admission_unknown_peer"), ==, 2);
}

static void
random_message (Net *net, GRand *random)
{
  gint index = g_rand_int_range (random, 0, (gint32) net->sent->len);
  Sent sent = g_array_index (net->sent, Sent, index);
  gint outcome = g_rand_int_range (random, 0, 10);

  if (outcome != 0) /* 1 in 10 is delivered again later, 1 in 10 is lost */
    g_array_remove_index_fast (net->sent, (guint) index);
  if (outcome != 1)
    net_deliver (net, &sent);
}

static void
random_step (Net *net, guint endpoint, guint flow, GRand *random)
{
  WaAdmission *admission = net->admissions[endpoint];
  State *state = &net->states[endpoint][flow];
  WcClass class = (WcClass) (flow % WC_N_CLASSES);
  WaVerdict verdict;

  switch (g_rand_int_range (random, 0, 8))
    {
    case 0:
    case 1:
      if (*state == UNKNOWN)
        net_open (net, endpoint, flow, class, flow % 5);
      break;
    case 2:
      net_place (net, endpoint, flow, endpoint);
      break;
    case 3:
      if (*state != OPEN)
        break;
      verdict = wa_admission_request (admission, net_handle (flow), class, flow % 5,
                                      &net->retry_after_s, net->now_us);
      *state = verdict == WA_ADMITTED ? BUSY : verdict == WA_QUEUED ? WAITING : REFUSED;
      break;
    case 4:
      if (*state == BUSY)
        net_done (net, endpoint, flow);
      break;
    case 5:
      if (*state != WAITING && g_rand_int_range (random, 0, 4) != 0)
        break;
      *state = GONE;
      wa_admission_remove (admission, net_handle (flow), net->now_us);
      break;
    case 6:
      if (g_rand_int_range (random, 0, 20) == 0)
        wa_admission_set_draining (admission, g_rand_boolean (random), net->now_us);
      break;
    default:
      net_advance (net, endpoint, g_rand_int_range (random, 0, 30 * MS));
      break;
    }
}

/* Checks flows from @oldest on: older ones are not used any more, and leaving them out only lowers
 * the counts. */
static void
check_slots (const Net *net, guint oldest)
{
  guint i, flow;

  for (i = 0; i < ENDPOINTS; i++)
    {
      guint busy = 0, busy_rest = 0;

      for (flow = oldest; flow < MIN (FLOWS, oldest + 40); flow++)
        {
          busy += net->states[i][flow] == BUSY;
          busy_rest += net->states[i][flow] == BUSY && flow % WC_N_CLASSES != WC_CLASS_SHORT;
        }
      g_assert_cmpuint (busy, <=, net->service->slots);
      g_assert_cmpuint (busy_rest, <=, net->service->slots - net->service->reserve_short);
      g_assert_cmpuint (wa_admission_slots_in_use (net->admissions[i]), <=, net->service->slots);
      g_assert_cmpuint (wa_admission_queue_length (net->admissions[i]), <=,
                        net->service->queue_limit);
    }
}

/* Guards against more requests than slots, and against entries that get no decision or more than
 * one, when messages are lost, repeated or reordered. */
static void
test_random_messages (void)
{
  guint32 seed;
  guint i, j;

  for (seed = 1; seed <= 20; seed++)
    {
      g_autoptr (Net) net = net_new (3, 1);
      g_autoptr (GRand) random = g_rand_new_with_seed (seed);

      net->service->queue_limit = 20;
      for (i = 0; i < ENDPOINTS; i++)
        wa_admission_set_config (net->admissions[i], net->config, net->service);
      for (i = 0; i < 20000; i++)
        {
          guint newest = MIN (FLOWS, 40 + i / 6);

          if (net->sent->len > 0 && g_rand_boolean (random))
            random_message (net, random);
          else
            random_step (net, (guint) g_rand_int_range (random, 0, ENDPOINTS),
                         (guint) g_rand_int_range (random, newest - 40, newest), random);
          check_slots (net, newest - 40);
        }
      net->now_us += 20 * S;
      for (i = 0; i < ENDPOINTS; i++)
        {
          net_advance (net, i, 20 * MS);
          g_assert_cmpuint (wa_admission_queue_length (net->admissions[i]), ==, 0);
          for (j = 0; j < FLOWS; j++)
            g_assert_cmpint (net->states[i][j], !=, WAITING);
        }
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/admission/order", test_class_order);
  g_test_add_func ("/admission/ageing", test_ageing);
  g_test_add_func ("/admission/on-time-first", test_on_time_first);
  g_test_add_func ("/admission/fairness", test_tenant_fairness);
  g_test_add_func ("/admission/refusal", test_refusal);
  g_test_add_func ("/admission/refusal-sweep", test_refusal_sweep);
  g_test_add_func ("/admission/slots", test_slot_limits);
  g_test_add_func ("/admission/reservation", test_reservation);
  g_test_add_func ("/admission/placement", test_placement);
  g_test_add_func ("/admission/pull", test_pull_granted_once);
  g_test_add_func ("/admission/two-pulls", test_two_pulls_for_one_entry);
  g_test_add_func ("/admission/bounded-pulls", test_bounded_pulls);
  g_test_add_func ("/admission/drain", test_draining_hands_over_queue);
  g_test_add_func ("/admission/late-payload", test_late_payload);
  g_test_add_func ("/admission/open-ahead", test_open_ahead);
  g_test_add_func ("/admission/ahead-of-announced", test_open_ahead_of_announced_slots);
  g_test_add_func ("/admission/rush-after-outage", test_overload_after_outage);
  g_test_add_func ("/admission/waited-before-arrival", test_waited_before_arrival);
  g_test_add_func ("/admission/client-gone", test_client_gone);
  g_test_add_func ("/admission/cold-start", test_cold_start);
  g_test_add_func ("/admission/not-answering", test_unresponsive_server);
  g_test_add_func ("/admission/returning", test_returned_initial_packets);
  g_test_add_func ("/admission/misleading", test_implausible_occupancy);
  g_test_add_func ("/admission/slow", test_slow_server);
  g_test_add_func ("/admission/unknown-sender", test_unknown_sender);
  g_test_add_func ("/admission/random", test_random_messages);
  return g_test_run ();
}
