#include "wm-private.h"

#include "wb-log.h"

#include <string.h>

/* Interval at which a node sends its view to a random member, which makes up for pushes that missed
 * a member or were lost: one second on average, drawn anew each time, so that processes that start
 * together do not send at the same time. */
#define EXCHANGE_MIN_US (800 * WB_US_PER_MS)
#define EXCHANGE_MAX_US (1200 * WB_US_PER_MS)
/* A node without a view asks this many members, at this interval. It starts to serve without a view
 * after 2 s; from then on it asks one member with every exchange, because the questions of a fleet
 * that has no view at all would take more than half of the default limit of control traffic. */
#define ASKED_MEMBERS 3
#define ASK_INTERVAL_US (250 * WB_US_PER_MS)
#define ASK_TIME_US (2 * WB_US_PER_S)

void
wm_evacuation_init (WmNode *node)
{
  node->evacuation.view.zones.zones_val = node->evacuation.zones;
  node->evacuation.changed_us = node->now_us;
  node->evacuation.next_us = WB_NEVER;
}

void
wm_node_enable_evacuations (WmNode *node)
{
  if (node->evacuation.enabled)
    return;
  node->evacuation.enabled = TRUE;
  node->evacuation.next_us = node->now_us;
  wm_end_call (node);
}

const ww_evacuation *
wm_node_evacuation (const WmNode *node)
{
  return &node->evacuation.view;
}

gboolean
wm_node_has_evacuation_view (const WmNode *node)
{
  return node->evacuation.view.era != 0 || node->evacuation.view.revision != 0;
}

gboolean
wm_node_zone_evacuated (const WmNode *node, guint32 zone)
{
  const ww_evacuation *view = &node->evacuation.view;
  guint i;

  for (i = 0; i < view->zones.zones_len; i++)
    if (view->zones.zones_val[i] == zone)
      return TRUE;
  return FALSE;
}

static gboolean
is_later (const ww_evacuation *view, const ww_evacuation *other)
{
  return view->era > other->era || (view->era == other->era && view->revision > other->revision);
}

static gboolean
send_view (WmNode *node, const WmAddress *to, gboolean wants_reply)
{
  WwCall call = { .xid = wm_next_xid (node), .procedure = WW_PROC_EVACUATION };
  ww_evacuation_message message = { .sender_id = node->settings.id,
                                    .wants_reply = wants_reply,
                                    .view = node->evacuation.view };

  return wm_send (node, WM_PRIORITY_CONFIG, to, &call, xdr_ww_evacuation_message, &message);
}

static void
push_view (WmNode *node)
{
  WmAddress addresses[WM_PUSH_FANOUT];
  guint64 ids[WM_PUSH_FANOUT];
  guint count = wm_pick_random_many (node, wm_is_live, 0, addresses, ids, WM_PUSH_FANOUT);
  guint i;

  for (i = 0; i < count; i++)
    if (send_view (node, &addresses[i], FALSE))
      wb_counters_add (node->counters, WM_COUNTER_EVACUATION_PUSHED, 1);
}

static void
log_change (const WmNode *node, const gchar *source)
{
  const ww_evacuation *view = &node->evacuation.view;
  g_autoptr (GString) zones = g_string_new (NULL);
  guint i;

  for (i = 0; i < view->zones.zones_len; i++)
    g_string_append_printf (zones, "%s%08x", i > 0 ? "," : "", view->zones.zones_val[i]);
  wb_log_info ("evacuation_changed", WB_NUMBER ("era", view->era),
               WB_NUMBER ("revision", view->revision), WB_TEXT ("zones", zones->str),
               WB_TEXT ("source", source),
               WB_NUMBER ("age_ms", (node->now_us - node->evacuation.changed_us) / WB_US_PER_MS));
}

static gint
compare_zones (gconstpointer a, gconstpointer b)
{
  guint32 left = *(const guint32 *) a, right = *(const guint32 *) b;

  return left < right ? -1 : left > right;
}

/* (transfer full): the zones in ascending order, each once, and no more than fit a message */
static GArray *
normalize_zones (const ww_evacuation *view)
{
  GArray *zones = g_array_new (FALSE, FALSE, sizeof (guint32));
  guint i;

  g_array_append_vals (zones, view->zones.zones_val, view->zones.zones_len);
  g_array_sort (zones, compare_zones);
  for (i = zones->len; i > 1; i--)
    if (g_array_index (zones, guint32, i - 1) == g_array_index (zones, guint32, i - 2))
      g_array_remove_index (zones, i - 1);
  if (zones->len > WW_MAX_EVACUATED_ZONES)
    {
      wb_log_error ("evacuated_zones_ignored",
                    WB_NUMBER ("zones", zones->len - WW_MAX_EVACUATED_ZONES));
      g_array_set_size (zones, WW_MAX_EVACUATED_ZONES);
    }
  return zones;
}

/* Takes a later view. One whose zones are the same is not pushed: any write to the store raises the
 * revision, and the exchanges are fast enough for that. */
static void
take_view (WmNode *node, const ww_evacuation *view, const gchar *source)
{
  WmEvacuation *evacuation = &node->evacuation;
  g_autoptr (GArray) zones = normalize_zones (view);
  gsize bytes = zones->len * sizeof (guint32);
  gboolean changed = zones->len != evacuation->view.zones.zones_len ||
                     (bytes > 0 && memcmp (zones->data, evacuation->zones, bytes) != 0);

  evacuation->view.era = view->era;
  evacuation->view.revision = view->revision;
  if (!changed)
    return;
  memcpy (evacuation->zones, zones->data, bytes);
  evacuation->view.zones.zones_len = zones->len;
  log_change (node, source);
  evacuation->changed_us = node->now_us;
  node->change_pending = TRUE;
  push_view (node);
}

void
wm_node_offer_evacuation (WmNode *node, const ww_evacuation *view, gint64 now_us)
{
  node->now_us = MAX (node->now_us, now_us);
  if (!node->evacuation.enabled || !is_later (view, &node->evacuation.view))
    return;
  take_view (node, view, "store");
  wm_end_call (node);
}

void
wm_evacuation_handle (WmNode *node, const WmAddress *from, const ww_evacuation_message *message)
{
  const ww_evacuation *held = &node->evacuation.view;

  if (is_later (&message->view, held))
    {
      wb_counters_add (node->counters, WM_COUNTER_EVACUATION_LEARNED, 1);
      take_view (node, &message->view, "member");
      return;
    }
  if (!is_later (held, &message->view))
    return;
  wb_counters_add (node->counters, WM_COUNTER_EVACUATION_OLDER, 1);
  if (message->wants_reply)
    send_view (node, from, FALSE);
}

/* One of the members asked is the contact that got the first join, because most others do not know
 * this node yet and do not reply to it. */
static void
ask_members (WmNode *node)
{
  const WmJoin *join = &node->join;
  WmAddress addresses[ASKED_MEMBERS];
  guint64 ids[ASKED_MEMBERS];
  guint count = 0, i;

  if (join->n_contacts > 0 && node->contacts->len > 0)
    addresses[count++] =
        join->list_source.address != 0
            ? join->list_source
            : g_array_index (node->contacts, WmAddress, join->first_contact % node->contacts->len);
  count += wm_pick_random_many (node, wm_is_live, 0, addresses + count, ids + count,
                                ASKED_MEMBERS - count);
  for (i = 0; i < count; i++)
    send_view (node, &addresses[i], TRUE);
}

static void
exchange_view (WmNode *node)
{
  WmAddress address;
  guint64 id;

  if (wm_pick_random_many (node, wm_is_live, 0, &address, &id, 1) == 1)
    send_view (node, &address, TRUE);
}

void
wm_evacuation_tick (WmNode *node)
{
  WmEvacuation *evacuation = &node->evacuation;
  gboolean asks =
      !wm_node_has_evacuation_view (node) && node->now_us - node->start_us < ASK_TIME_US;

  if (node->leaving || node->now_us < wm_evacuation_next_us (node))
    return;
  evacuation->asked = evacuation->asked || node->join.joined;
  if (asks)
    ask_members (node);
  else
    exchange_view (node);
  evacuation->next_us =
      node->now_us +
      (asks ? ASK_INTERVAL_US : g_rand_int_range (node->random, EXCHANGE_MIN_US, EXCHANGE_MAX_US));
}

/* A node without a view asks at once when the first member has replied to its join. */
gint64
wm_evacuation_next_us (const WmNode *node)
{
  const WmEvacuation *evacuation = &node->evacuation;

  if (evacuation->enabled && node->join.joined && !evacuation->asked &&
      !wm_node_has_evacuation_view (node))
    return node->now_us;
  return evacuation->next_us;
}
