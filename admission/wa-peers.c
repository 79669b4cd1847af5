#include "wa-private.h"

/* Limit of the numbers in received reports, so that sums and products of them cannot overflow. */
#define REPORT_NUMBER_MAX G_MAXUINT16

WaPeer *
wa_peer_find (const WaAdmission *admission, guint64 id)
{
  guint i;

  for (i = 0; i < admission->peers->len; i++)
    {
      WaPeer *peer = g_ptr_array_index (admission->peers, i);

      if (peer->id == id)
        return peer;
    }
  return NULL;
}

static void
store_report (WaAdmission *admission,
              WaPeer *peer,
              const ww_occupancy *occupancy,
              gboolean is_offer,
              gint64 now_us)
{
  peer->report = *occupancy;
  peer->report.slots = MIN (occupancy->slots, REPORT_NUMBER_MAX);
  peer->report.busy = MIN (occupancy->busy, REPORT_NUMBER_MAX);
  peer->report.waiting_short = MIN (occupancy->waiting_short, REPORT_NUMBER_MAX);
  peer->report.waiting_long = MIN (occupancy->waiting_long, REPORT_NUMBER_MAX);
  if (is_offer)
    peer->no_pull_until_us = 0;
  peer->reported_us = now_us;
  wa_health_check_report (admission, peer, is_offer, now_us);
}

void
wa_peer_send (WaAdmission *admission, guint64 id, const ww_peer_body *body)
{
  ww_peer message = { .magic = WW_PEER_MAGIC,
                      .service_id = admission->service_id,
                      .sender_id = admission->self_id,
                      .body = *body };

  admission->callbacks.send (admission->callbacks.context, id, &message);
}

void
wa_admission_set_peers (WaAdmission *admission, const WaEndpoint *peers, guint count)
{
  GPtrArray *updated = g_ptr_array_new_with_free_func (g_free);
  guint i;

  for (i = 0; i < count; i++)
    {
      WaPeer *known = wa_peer_find (admission, peers[i].id);
      WaPeer *peer;

      if (peers[i].id == admission->self_id)
        continue;
      peer = known != NULL ? g_memdup2 (known, sizeof *known) : g_new0 (WaPeer, 1);
      peer->id = peers[i].id;
      peer->draining = peers[i].draining;
      peer->suspected = peers[i].suspected;
      peer->evacuated = peers[i].evacuated;
      peer->zone = peers[i].zone;
      g_ptr_array_add (updated, peer);
    }
  g_ptr_array_unref (admission->peers);
  admission->peers = updated;
}

void
wa_admission_set_zone (WaAdmission *admission, guint32 zone)
{
  admission->zone = zone;
}

/* Replies to an occupancy request, or to a pull for which nothing is queued. */
void
wa_peer_send_occupancy_reply (WaAdmission *admission, guint64 id, guint32 request_id, gint64 now_us)
{
  ww_peer_body body = { .kind = WW_PEER_OCCUPANCY_REPLY };

  body.ww_peer_body_u.occupancy_reply.request_id = request_id;
  body.ww_peer_body_u.occupancy_reply.occupancy = wa_admission_occupancy (admission, now_us);
  wa_peer_send (admission, id, &body);
}

void
wa_admission_receive (WaAdmission *admission, const ww_peer *message, gint64 now_us)
{
  const ww_peer_body *body = &message->body;
  WaPeer *peer = wa_peer_find (admission, message->sender_id);

  if (peer == NULL || message->service_id != admission->service_id)
    {
      wb_counters_add (admission->counters, WA_COUNTER_UNKNOWN_PEER, 1);
      return;
    }
  switch (body->kind)
    {
    case WW_PEER_OCCUPANCY_REQUEST:
      store_report (admission, peer, &body->ww_peer_body_u.occupancy_request.occupancy, FALSE,
                    now_us);
      wa_peer_send_occupancy_reply (admission, peer->id,
                                    body->ww_peer_body_u.occupancy_request.request_id, now_us);
      break;
    case WW_PEER_OCCUPANCY_REPLY:
      store_report (admission, peer, &body->ww_peer_body_u.occupancy_reply.occupancy, FALSE,
                    now_us);
      wa_pull_receive_decline (admission, peer, body->ww_peer_body_u.occupancy_reply.request_id,
                               now_us);
      wa_place_receive_reply (admission, peer->id, body->ww_peer_body_u.occupancy_reply.request_id,
                              now_us);
      break;
    case WW_PEER_OFFER:
      store_report (admission, peer, &body->ww_peer_body_u.offer.occupancy, TRUE, now_us);
      break;
    case WW_PEER_PULL:
      store_report (admission, peer, &body->ww_peer_body_u.pull.occupancy, FALSE, now_us);
      wa_pull_receive (admission, peer, &body->ww_peer_body_u.pull, now_us);
      break;
    case WW_PEER_REGISTER:
    case WW_PEER_RELEASE:
    case WW_PEER_UNREGISTER:
    case WW_PEER_SEARCH:
    case WW_PEER_SEARCH_REPLY:
      return;
    }
  wa_queue_dispatch (admission, now_us);
}
