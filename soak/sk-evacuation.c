#include "sk.h"

#include "wb.h"

/*
 * Evacuations of one availability zone at a time, as the operator orders and withdraws them.
 * Servers check that they get no new flow while their zone is evacuated.
 */

#define SEED_OFFSET 300000
/* Users' setting: an evacuation is in force this long after the store has acknowledged it. */
#define EVACUATION_BOUND_US (5 * WB_US_PER_S)
/* A process that was paused hears from members within two of their exchanges. */
#define PAUSE_GRACE_US (3 * WB_US_PER_S)
/* Time in which the processes start again after all of them were killed. Only the store can tell
 * them of an evacuation then. */
#define RESTART_US (4 * WB_US_PER_S)

const gchar *const sk_zone_names[SK_ZONE_COUNT] = { "z0", "z1", "z2" };

static GRand *generator; /* NULL without evacuations */
static gboolean evacuated;
static guint zone; /* that is or was evacuated */
static gint64 acknowledged_us;
static gint64 bound_us; /* the evacuation is in force from here on */
static gint64 next_change_us;
static gint64 all_killed_us;
static guint evacuation_count;

void
sk_evacuation_open (guint32 seed, gint64 first_us)
{
  generator = g_rand_new_with_seed (seed + SEED_OFFSET);
  next_change_us = first_us;
}

void
sk_evacuation_close (void)
{
  g_clear_pointer (&generator, g_rand_free);
}

void
sk_evacuation_rewrite (void)
{
  if (generator == NULL)
    return;
  if (evacuated)
    sk_store_put ("evacuations", sk_zone_names[zone], "{}");
  else
    sk_store_delete ("evacuations", sk_zone_names[zone]);
}

static gint64
random_seconds_us (gint minimum, gint maximum)
{
  return g_rand_int_range (generator, minimum, maximum) * WB_US_PER_S;
}

static void
change_evacuation (gint64 now_us)
{
  evacuated = !evacuated;
  if (evacuated)
    {
      zone = (guint) g_rand_int_range (generator, 0, SK_ZONE_COUNT);
      evacuation_count++;
      acknowledged_us = now_us;
      bound_us = now_us + EVACUATION_BOUND_US;
    }
  next_change_us = now_us + (evacuated ? random_seconds_us (8, 15) : random_seconds_us (1, 5));
  sk_evacuation_rewrite ();
}

void
sk_evacuation_tick (gint64 now_us, gboolean store_works, gboolean end)
{
  if (generator == NULL)
    return;
  /* An evacuation of which no process knows can come from the store only. */
  if (!store_works && evacuated &&
      (now_us < bound_us || (all_killed_us != 0 && now_us - all_killed_us < RESTART_US)))
    bound_us = now_us + EVACUATION_BOUND_US;
  if (store_works && (end ? evacuated : now_us >= next_change_us))
    change_evacuation (now_us);
}

void
sk_evacuation_all_killed (gint64 now_us)
{
  all_killed_us = now_us;
}

void
sk_evacuation_check_initial (guint server)
{
  gint64 now_us = g_get_monotonic_time ();

  if (!evacuated || server % SK_ZONE_COUNT != zone || now_us < bound_us ||
      now_us - sk_host_paused_until_us (SK_AGENT_ADDRESS + server) < PAUSE_GRACE_US)
    return;
  sk_report_violation ("server %u received a new flow %d ms after the evacuation of its zone was "
                       "acknowledged",
                       server, (gint) ((now_us - acknowledged_us) / WB_US_PER_MS));
}

guint
sk_evacuation_total (void)
{
  return evacuation_count;
}
