#pragma once

#include "wm-private.h"

/**
 * DOC: A set of membership nodes in one process under virtual time, for the tests and the
 * benchmark.
 *
 * Datagrams are delayed, lost, repeated or cut off as told; there is no other model of a network.
 */

/** struct MnNode - a node and what was seen of it */
typedef struct
{
  WmNode *core; /* NULL when it is not running */
  WmSettings settings;
  struct MnNet *net;
  gint64 tick_us; /* time of the tick in the queue */
  gboolean paused;
  GPtrArray *held; /* datagrams that arrived during a pause */
  guint64 applied; /* configuration version in effect */
  gint64 applied_us;
  gboolean reverted;
  guint most_dead; /* largest number of dead members in its view */
  guint starts;
} MnNode;

/**
 * struct MnNet - the nodes
 * @cut: whether datagrams from one node to another are lost, or NULL
 * @loss, @repeat: probabilities
 * @jitter_us: largest addition to the delay of 500 us; reorders datagrams
 * @cpu_ns: time spent in the nodes while @measure_cpu is set
 */
typedef struct MnNet
{
  MnNode *nodes;
  guint count;
  GRand *random;
  gint64 now_us;
  GArray *queue;
  guint64 sequence;
  gboolean (*cut) (struct MnNet *net, guint from, guint to);
  guint cut_argument;
  gdouble loss;
  gdouble repeat;
  gint64 jitter_us;
  guint required_reporters;
  gboolean measure_cpu;
  gint64 cpu_ns;
} MnNet;

/** mn_net_new() - @count nodes that do not run; every @service_size agents share a service, the
 * first
 * @balancers nodes are balancers, and zones go round */
MnNet *mn_net_new (guint count, guint balancers, guint service_size, guint zones, guint32 seed);
void mn_net_free (MnNet *net);

/** mn_start() - starts or restarts a node, which joins through the first 3 nodes */
void mn_start (MnNet *net, guint index);
/** mn_start_all() - starts all nodes with the whole list of members */
void mn_start_all (MnNet *net);
void mn_kill (MnNet *net, guint index);
void mn_pause (MnNet *net, guint index);
void mn_unpause (MnNet *net, guint index);
void mn_run (MnNet *net, gint64 duration_us);

guint64 mn_id (const MnNet *net, guint index);
/** mn_state() - what @viewer takes @subject for, or -1 when it does not know it */
gint mn_state (const MnNet *net, guint viewer, guint subject);
/** mn_count_views() - running nodes that take @subject for @state */
guint mn_count_views (const MnNet *net, guint subject, gint state);

/** mn_config() - a configuration of @services parts, of which the first is altered by @variant
 * @parts: (out): hash to GBytes
 * Return: the root object */
GBytes *mn_config (guint services, guint64 version, guint variant, GHashTable **parts);
void mn_offer (MnNet *net, guint index, guint64 version, GBytes *root, GHashTable *parts);
/** mn_count_applied() - running nodes with @version in effect */
guint mn_count_applied (const MnNet *net, guint64 version);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (MnNet, mn_net_free)
