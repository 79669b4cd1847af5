#include "ws.h"

/* Keeps the shifted delay within 64 bits. */
#define MAX_DOUBLINGS 20

G_DEFINE_QUARK (ws - error - quark, ws_error)

void
ws_backoff_init (WsBackoff *backoff, gint64 first_us, gint64 maximum_us, guint32 seed)
{
  backoff->rand = g_rand_new_with_seed (seed);
  backoff->first_us = first_us;
  backoff->maximum_us = maximum_us;
  backoff->attempt = 0;
}

void
ws_backoff_clear (WsBackoff *backoff)
{
  g_clear_pointer (&backoff->rand, g_rand_free);
}

void
ws_backoff_reset (WsBackoff *backoff)
{
  backoff->attempt = 0;
}

gint64
ws_backoff_next_us (WsBackoff *backoff)
{
  gint64 limit =
      MIN (backoff->first_us << MIN (backoff->attempt, MAX_DOUBLINGS), backoff->maximum_us);

  backoff->attempt++;
  return (gint64) ((gdouble) limit * g_rand_double_range (backoff->rand, 0.5, 1.0));
}
