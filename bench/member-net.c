#include "member-net.h"

#include <string.h>
#include <time.h>

#define BASE_ADDRESS 0x0a000001
#define PORT 7000
#define DELAY_US 500
#define CONTACTS 3

typedef struct
{
  gint64 due_us;
  guint64 sequence;
  guint node;
  guint from;
  GBytes *bytes; /* NULL for a tick */
} Event;

static gboolean
before (const Event *a, const Event *b)
{
  return a->due_us < b->due_us || (a->due_us == b->due_us && a->sequence < b->sequence);
}

static void
push_event (MnNet *net, gint64 due_us, guint node, guint from, GBytes *bytes)
{
  Event event = { due_us, net->sequence++, node, from, bytes };
  Event *heap;
  guint i;

  g_array_append_val (net->queue, event);
  heap = (Event *) (gpointer) net->queue->data;
  for (i = net->queue->len - 1; i > 0 && before (&event, &heap[(i - 1) / 2]); i = (i - 1) / 2)
    heap[i] = heap[(i - 1) / 2];
  heap[i] = event;
}

static Event
pop_event (MnNet *net)
{
  Event *heap = (Event *) (gpointer) net->queue->data;
  Event first = heap[0];
  Event last = heap[net->queue->len - 1];
  guint count = net->queue->len - 1;
  guint i = 0;

  g_array_set_size (net->queue, count);
  while (2 * i + 1 < count)
    {
      guint child = 2 * i + 1;

      if (child + 1 < count && before (&heap[child + 1], &heap[child]))
        child++;
      if (!before (&heap[child], &last))
        break;
      heap[i] = heap[child];
      i = child;
    }
  if (count > 0)
    heap[i] = last;
  return first;
}

static gint64
cpu_clock_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * G_GINT64_CONSTANT (1000000000) + now.tv_nsec;
}

static void
schedule (MnNode *node)
{
  gint64 next_us = MAX (wm_node_next_us (node->core), node->net->now_us);

  if (node->tick_us <= next_us && node->tick_us > node->net->now_us)
    return;
  node->tick_us = next_us;
  push_event (node->net, next_us, (guint) (node - node->net->nodes), 0, NULL);
}

static void
on_send (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  MnNode *node = context;
  MnNet *net = node->net;
  guint from = (guint) (node - net->nodes);
  guint to = address - BASE_ADDRESS;
  guint copies = 1;

  g_assert_cmpuint (length, <=, WW_DATAGRAM_MAX_BYTES);
  if (to >= net->count || (net->cut != NULL && net->cut (net, from, to)))
    return;
  if (net->loss > 0 && g_rand_double (net->random) < net->loss)
    return;
  if (net->repeat > 0 && g_rand_double (net->random) < net->repeat)
    copies = 2;
  while (copies-- > 0)
    {
      gint64 delay_us = DELAY_US;

      if (net->jitter_us > 0)
        delay_us += g_rand_int_range (net->random, 0, (gint32) net->jitter_us);
      push_event (net, net->now_us + delay_us, to, from, g_bytes_new (data, length));
    }
}

static void
on_members_changed (gpointer context)
{
  MnNode *node = context;

  if (node->core != NULL)
    node->most_dead = MAX (node->most_dead, wm_node_count (node->core, WW_MEMBER_DEAD));
}

static void
on_config_complete (gpointer context, guint64 version, GBytes *root, GHashTable *parts)
{
  MnNode *node = context;

  node->reverted = node->reverted || version <= node->applied;
  node->applied = version;
  node->applied_us = node->net->now_us;
  wm_node_set_config (node->core, version, g_bytes_hash (root));
}

static GPtrArray *
on_root_hashes (gpointer context, GBytes *root)
{
  g_autofree gchar *text = g_strndup (g_bytes_get_data (root, NULL), g_bytes_get_size (root));
  const gchar *list = strstr (text, "[\"");
  GPtrArray *hashes;

  if (list == NULL)
    return NULL;
  hashes = g_ptr_array_new_with_free_func (g_free);
  for (list += 2; strlen (list) >= 64; list += 67)
    {
      g_ptr_array_add (hashes, g_strndup (list, 64));
      if (list[65] != ',')
        break;
    }
  return hashes;
}

MnNet *
mn_net_new (guint count, guint balancers, guint service_size, guint zones, guint32 seed)
{
  MnNet *net = g_new0 (MnNet, 1);
  guint i;

  net->nodes = g_new0 (MnNode, count);
  net->count = count;
  net->random = g_rand_new_with_seed (seed);
  net->queue = g_array_new (FALSE, FALSE, sizeof (Event));
  net->required_reporters = WM_SUSPICION_REPORTERS;
  for (i = 0; i < count; i++)
    {
      g_autofree gchar *name = g_strdup_printf ("node-%u", i);
      gboolean balancer = i < balancers;

      net->nodes[i].net = net;
      net->nodes[i].held = g_ptr_array_new ();
      net->nodes[i].settings =
          (WmSettings){ .id = wb_name_id (name),
                        .service_id = balancer ? 0 : 1 + (i - balancers) / service_size,
                        .address = BASE_ADDRESS + i,
                        .control_port = PORT,
                        .data_port = PORT + 1,
                        .zone = 1 + i % zones,
                        .host = i,
                        .role = balancer ? WW_ROLE_BALANCER : WW_ROLE_AGENT };
    }
  return net;
}

static void
drop_held (MnNode *node)
{
  guint i;

  for (i = 0; i < node->held->len; i += 2)
    g_bytes_unref (node->held->pdata[i]);
  g_ptr_array_set_size (node->held, 0);
}

void
mn_net_free (MnNet *net)
{
  guint i;

  for (i = 0; i < net->count; i++)
    {
      mn_kill (net, i);
      g_ptr_array_unref (net->nodes[i].held);
    }
  for (i = 0; i < net->queue->len; i++)
    g_clear_pointer (&g_array_index (net->queue, Event, i).bytes, g_bytes_unref);
  g_array_unref (net->queue);
  g_rand_free (net->random);
  g_free (net->nodes);
  g_free (net);
}

static void
create (MnNet *net, guint index)
{
  MnNode *node = &net->nodes[index];
  WmCallbacks callbacks = { .context = node,
                            .send = on_send,
                            .members_changed = on_members_changed,
                            .config_complete = on_config_complete,
                            .root_hashes = on_root_hashes };

  mn_kill (net, index);
  node->applied = 0;
  node->most_dead = 0;
  node->starts++;
  node->core = wm_node_new (&node->settings, &callbacks, index + 7919 * node->starts, net->now_us);
  wm_node_set_required_reporters (node->core, net->required_reporters);
}

void
mn_start (MnNet *net, guint index)
{
  MnNode *node = &net->nodes[index];
  guint i;

  create (net, index);
  for (i = 0; i < CONTACTS; i++)
    wm_node_add_contact (node->core, BASE_ADDRESS + i, PORT);
  schedule (node);
}

void
mn_start_all (MnNet *net)
{
  guint i, j;

  for (i = 0; i < net->count; i++)
    create (net, i);
  for (i = 0; i < net->count; i++)
    {
      WmNode *core = net->nodes[i].core;

      for (j = 0; j < net->count; j++)
        if (j != i)
          wm_apply_member (core, &wm_self (net->nodes[j].core)->info, FALSE);
      for (j = 0; j < net->count; j += MAX (1, net->count / 64))
        wm_zone_mark_reachable (core, net->nodes[j].settings.zone);
      for (j = 0; j < CONTACTS; j++)
        wm_node_add_contact (core, BASE_ADDRESS + j, PORT);
      core->join.joined = core->join.complete = TRUE;
      core->join.next_anti_entropy_us =
          net->now_us + g_rand_int_range (net->random, 0, 10 * WB_US_PER_S);
      wm_gossip_clear (core);
      wm_gossip_init (core);
      schedule (&net->nodes[i]);
    }
}

void
mn_kill (MnNet *net, guint index)
{
  MnNode *node = &net->nodes[index];

  g_clear_pointer (&node->core, wm_node_free);
  node->paused = FALSE;
  node->tick_us = 0;
  drop_held (node);
}

void
mn_pause (MnNet *net, guint index)
{
  net->nodes[index].paused = TRUE;
}

static void
deliver (MnNet *net, MnNode *node, guint from, GBytes *bytes)
{
  gsize length;
  const guint8 *data = g_bytes_get_data (bytes, &length);
  gint64 begin_ns = net->measure_cpu ? cpu_clock_ns () : 0;

  wm_node_receive (node->core, BASE_ADDRESS + from, PORT, data, length, net->now_us);
  if (net->measure_cpu)
    net->cpu_ns += cpu_clock_ns () - begin_ns;
  schedule (node);
}

void
mn_unpause (MnNet *net, guint index)
{
  MnNode *node = &net->nodes[index];
  guint i;

  node->paused = FALSE;
  for (i = 0; i < node->held->len; i += 2)
    deliver (net, node, GPOINTER_TO_UINT (node->held->pdata[i + 1]), node->held->pdata[i]);
  drop_held (node);
  node->tick_us = 0;
  schedule (node);
}

static void
handle_event (MnNet *net, const Event *event)
{
  MnNode *node = &net->nodes[event->node];
  gint64 begin_ns;

  if (node->core == NULL)
    return;
  if (event->bytes != NULL && node->paused)
    {
      g_ptr_array_add (node->held, g_bytes_ref (event->bytes));
      g_ptr_array_add (node->held, GUINT_TO_POINTER (event->from));
    }
  else if (event->bytes != NULL)
    deliver (net, node, event->from, event->bytes);
  else if (!node->paused && event->due_us == node->tick_us)
    {
      begin_ns = net->measure_cpu ? cpu_clock_ns () : 0;
      wm_node_tick (node->core, net->now_us);
      if (net->measure_cpu)
        net->cpu_ns += cpu_clock_ns () - begin_ns;
      schedule (node);
    }
}

void
mn_run (MnNet *net, gint64 duration_us)
{
  gint64 end_us = net->now_us + duration_us;

  while (net->queue->len > 0 && g_array_index (net->queue, Event, 0).due_us <= end_us)
    {
      Event event = pop_event (net);

      net->now_us = MAX (net->now_us, event.due_us);
      handle_event (net, &event);
      g_clear_pointer (&event.bytes, g_bytes_unref);
    }
  net->now_us = end_us;
}

guint64
mn_id (const MnNet *net, guint index)
{
  return net->nodes[index].settings.id;
}

gint
mn_state (const MnNet *net, guint viewer, guint subject)
{
  const WmMember *row = wm_find (net->nodes[viewer].core, mn_id (net, subject));

  return row != NULL ? (gint) row->info.state : -1;
}

guint
mn_count_views (const MnNet *net, guint subject, gint state)
{
  guint i, count = 0;

  for (i = 0; i < net->count; i++)
    if (net->nodes[i].core != NULL && i != subject)
      count += mn_state (net, i, subject) == state;
  return count;
}

GBytes *
mn_config (guint services, guint64 version, guint variant, GHashTable **parts)
{
  GString *root = g_string_new (NULL);
  GString *part = g_string_new (NULL);
  guint i;

  *parts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  g_string_printf (root, "{\"version\":%" G_GUINT64_FORMAT ",\"apply\":\"%08x\",\"parts\":[",
                   version, (guint) version * 2654435761U);
  for (i = 0; i < services; i++)
    {
      guint8 hash[WM_HASH_BYTES];
      gchar hex[WM_HEX_BYTES];
      GBytes *bytes;

      g_string_printf (part, "{\"service\":\"service-%u\",\"variant\":%u,\"text\":\"", i,
                       i == services / 2 ? variant : 0);
      while (part->len < 700)
        g_string_append_printf (part, "%u,", i * 7919 + (guint) part->len);
      g_string_append (part, "\"}");
      bytes = g_bytes_new (part->str, part->len);
      wm_hash (bytes, hash);
      wm_hash_to_hex (hash, hex);
      g_hash_table_insert (*parts, g_strdup (hex), bytes);
      g_string_append_printf (root, "%s\"%s\"", i > 0 ? "," : "", hex);
    }
  g_string_append (root, "]}");
  g_string_free (part, TRUE);
  return g_string_free_to_bytes (root);
}

void
mn_offer (MnNet *net, guint index, guint64 version, GBytes *root, GHashTable *parts)
{
  MnNode *node = &net->nodes[index];

  wm_node_offer_config (node->core, version, root, parts, net->now_us);
  schedule (node);
}

guint
mn_count_applied (const MnNet *net, guint64 version)
{
  guint i, count = 0;

  for (i = 0; i < net->count; i++)
    count += net->nodes[i].core != NULL && net->nodes[i].applied == version;
  return count;
}
