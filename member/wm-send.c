#include "wm-private.h"

/*
 * Token bucket. The limit is 2,048 bytes a second, datagram headers included. Tokens are added at
 * 1,911 bytes a second up to 8,192, so a burst is at most 8,192 bytes and any 60 s carry at most
 * 60 * 1,911 + 8,192 = 122,852 bytes, which is 2 KB/s on average. The depth lets a node send a
 * changed configuration to 4 members at once; with 2,048 bytes each hop would take a second.
 */
#define DEFAULT_LIMIT_BYTES_PER_S 2048
#define RATE_BYTES_PER_S 1911
#define BURST_BYTES 8192
/* A process starts with a credit on top, because the whole member list is exchanged when a fleet
 * starts at once. One third of the added tokens repays it, so that the first minute carries no more
 * than any other. */
#define STARTUP_CREDIT_BYTES 36864
#define CREDIT_REPAYMENT_DIVISOR 3
#define MILLIONTHS_PER_BYTE G_GINT64_CONSTANT (1000000)

/* IPv4 and UDP headers of a datagram. */
#define DATAGRAM_OVERHEAD_BYTES 28
#define QUEUE_MAX_DATAGRAMS 32
/* Shorter than the time after which the requester repeats its request, so that no budget goes into
 * replies that are no longer awaited. Without this limit 60 nodes that joined within 6 s were still
 * repeating requests after 60 s. */
#define QUEUE_MAX_AGE_US (500 * WB_US_PER_MS)
#define MIN_PIGGYBACK_BYTES 64
#define CREDIT_PIGGYBACK_BYTES 128

/* Tokens that a message has to leave for higher priorities. Joins and configurations need fewer
 * than WM_PRIORITY_PUSH: while many members are replaced, pushes use up all tokens above their
 * reserve, and a new member has to get in and a configuration to be in effect all the same.
 * WM_PRIORITY_BACKGROUND, which includes piggybacked items, leaves enough for one datagram of
 * configuration: with 2,048 bytes the items kept the level just below what a chunk takes. */
static const gint64 reserves_bytes[WM_N_PRIORITIES] = { 0, 256, 512, 768, 512, 640, 1024, 2560 };

/* Scales a quantity chosen for the default limit to the limit of this node. */
static gint64
scale_to_limit (const WmNode *node, gint64 bytes)
{
  return node->settings.control_limit == 0
             ? bytes
             : bytes * node->settings.control_limit / DEFAULT_LIMIT_BYTES_PER_S;
}

void
wm_send_init (WmNode *node)
{
  guint i;

  node->tokens = scale_to_limit (node, BURST_BYTES + STARTUP_CREDIT_BYTES) * MILLIONTHS_PER_BYTE;
  node->credit_owed = scale_to_limit (node, STARTUP_CREDIT_BYTES) * MILLIONTHS_PER_BYTE;
  node->tokens_updated_us = node->now_us;
  for (i = 0; i < WM_N_PRIORITIES; i++)
    g_queue_init (&node->send_queues[i]);
}

static void
queued_datagram_free (gpointer data)
{
  WmQueuedDatagram *queued = data;

  g_byte_array_unref (queued->bytes);
  g_free (queued);
}

void
wm_send_clear (WmNode *node)
{
  guint i;

  for (i = 0; i < WM_N_PRIORITIES; i++)
    g_queue_clear_full (&node->send_queues[i], queued_datagram_free);
}

guint32
wm_next_xid (WmNode *node)
{
  node->next_xid++;
  return node->next_xid;
}

static void
refill (WmNode *node)
{
  gint64 passed_us = MAX (node->now_us - node->tokens_updated_us, 0);
  gint64 burst = scale_to_limit (node, BURST_BYTES) * MILLIONTHS_PER_BYTE;
  gint64 gained, repaid;

  /* The bucket is full after a shorter time anyway; the bound avoids an overflow of the product. */
  passed_us = MIN (passed_us, 3600 * WB_US_PER_S);
  gained = passed_us * scale_to_limit (node, RATE_BYTES_PER_S);
  repaid = MIN (node->credit_owed, gained / CREDIT_REPAYMENT_DIVISOR);
  node->credit_owed -= repaid;
  if (node->tokens < burst)
    node->tokens = MIN (node->tokens + gained - repaid, burst);
  node->tokens_updated_us = node->now_us;
}

static gint64
cost_millionths (gsize length)
{
  return (gint64) (length + DATAGRAM_OVERHEAD_BYTES) * MILLIONTHS_PER_BYTE;
}

static gboolean
within_budget (const WmNode *node, WmSendPriority priority, gsize length)
{
  return node->tokens - cost_millionths (length) >= reserves_bytes[priority] * MILLIONTHS_PER_BYTE;
}

static void
transmit (WmNode *node, guint32 address, guint16 port, const GByteArray *bytes)
{
  node->tokens -= cost_millionths (bytes->len);
  wb_counters_add (node->counters, WM_COUNTER_SENT_BYTES, bytes->len + DATAGRAM_OVERHEAD_BYTES);
  wb_counters_add (node->counters, WM_COUNTER_SENT_MESSAGES, 1);
  node->callbacks.send (node->callbacks.context, address, port, bytes->data, bytes->len);
}

/*
 * Probes, acks and pushes are useless when late, so they are dropped when the budget is used up;
 * messages of lower priority are queued.
 *
 * Return: FALSE when the datagram was dropped. A probe that was not sent must not count as failed:
 * otherwise a node that has used up its budget suspects all others.
 */
gboolean
wm_send (WmNode *node,
         WmSendPriority priority,
         const WmAddress *to,
         const WwCall *call,
         gpointer encoder,
         gpointer body)
{
  g_autoptr (GByteArray) bytes = ww_call_encode (call, (xdrproc_t) encoder, body, NULL);
  WmQueuedDatagram *queued;

  if (bytes == NULL)
    return FALSE;
  refill (node);
  if (g_queue_is_empty (&node->send_queues[priority]) && within_budget (node, priority, bytes->len))
    {
      transmit (node, to->address, to->port, bytes);
      return TRUE;
    }
  if (priority <= WM_PRIORITY_PUSH || node->send_queues[priority].length >= QUEUE_MAX_DATAGRAMS)
    {
      wb_counters_add (node->counters, WM_COUNTER_OVER_BUDGET, 1);
      return FALSE;
    }
  queued = g_new0 (WmQueuedDatagram, 1);
  queued->bytes = g_steal_pointer (&bytes);
  queued->address = to->address;
  queued->port = to->port;
  queued->expires_us = node->now_us + QUEUE_MAX_AGE_US;
  g_queue_push_tail (&node->send_queues[priority], queued);
  return TRUE;
}

void
wm_send_tick (WmNode *node)
{
  guint priority;

  refill (node);
  for (priority = WM_PRIORITY_JOIN; priority < WM_N_PRIORITIES; priority++)
    {
      WmQueuedDatagram *queued = g_queue_peek_head (&node->send_queues[priority]);

      while (queued != NULL && (node->now_us >= queued->expires_us ||
                                within_budget (node, priority, queued->bytes->len)))
        {
          g_queue_pop_head (&node->send_queues[priority]);
          if (node->now_us < queued->expires_us)
            transmit (node, queued->address, queued->port, queued->bytes);
          else
            wb_counters_add (node->counters, WM_COUNTER_OVER_BUDGET, 1);
          queued_datagram_free (queued);
          queued = g_queue_peek_head (&node->send_queues[priority]);
        }
    }
}

gint64
wm_send_next_us (const WmNode *node)
{
  gint64 next_us = WB_NEVER;
  guint priority;

  for (priority = WM_PRIORITY_JOIN; priority < WM_N_PRIORITIES; priority++)
    {
      const WmQueuedDatagram *queued =
          node->send_queues[priority].head ? node->send_queues[priority].head->data : NULL;
      gint64 missing;

      if (queued == NULL)
        continue;
      missing = cost_millionths (queued->bytes->len) +
                reserves_bytes[priority] * MILLIONTHS_PER_BYTE - node->tokens;
      next_us = MIN (next_us, node->tokens_updated_us +
                                  MAX (missing, 0) / scale_to_limit (node, RATE_BYTES_PER_S) + 1);
      next_us = MIN (next_us, queued->expires_us);
    }
  return next_us;
}

/* Bytes that a message of this priority may take now. */
gsize
wm_send_available_bytes (WmNode *node, WmSendPriority priority)
{
  refill (node);
  return (gsize) MAX (node->tokens / MILLIONTHS_PER_BYTE - reserves_bytes[priority], 0);
}

/* Limit on the bytes of piggybacked items in one message. It shrinks to one item when the budget is
 * used up, so that probes are still sent and items do not starve other messages. */
gsize
wm_send_piggyback_bytes (WmNode *node)
{
  if (!g_queue_is_empty (&node->send_queues[WM_PRIORITY_TRANSFER]))
    return MIN_PIGGYBACK_BYTES;
  /* The startup credit is for joins and member lists; piggybacked items would spend it on records
   * that the lists carry anyway. */
  if (node->credit_owed > 0)
    return CREDIT_PIGGYBACK_BYTES;
  return MIN_PIGGYBACK_BYTES + wm_send_available_bytes (node, WM_PRIORITY_BACKGROUND) / 6;
}
