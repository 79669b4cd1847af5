#include "cmd-options.h"
#include "cmd-output.h"
#include "cmd-rpc.h"
#include "wc-reader.h"

#include <string.h>

/* The replies to this many calls fit the receive buffer of a socket. */
#define MAX_CONCURRENT_CALLS 64
/* Bound the list that a faulty node can make the command read. */
#define MAX_NODES 100000
#define MAX_LIST_REPLIES (MAX_NODES / WW_MAX_MEMBERS)

typedef struct Status Status;

typedef struct
{
  Status *status;
  ww_member member;
  gboolean replied;
  ww_status_reply reply;
} Node;

struct Status
{
  const CmdOptions *options;
  CmdRpc *rpc;
  GMainLoop *loop;
  GPtrArray *nodes;       /* of Node */
  GHashTable *member_ids; /* set of the ids in nodes */
  guint offset;
  guint list_replies;
  gboolean list_complete;
  guint next_node;
  guint outstanding_calls;
};

static void request_members (Status *self);

static void
node_free (gpointer data)
{
  Node *node = data;

  ww_body_clear ((xdrproc_t) xdr_ww_status_reply, &node->reply);
  g_free (node);
}

static void start_calls (Status *self);

static void
status_received (gpointer context, const guint8 *body, gsize length)
{
  Node *node = context;

  /* The name is printed, so that it must not contain control sequences of a terminal. */
  node->replied =
      body != NULL &&
      ww_body_decode (body, length, (xdrproc_t) xdr_ww_status_reply, &node->reply, NULL) &&
      wc_name_is_valid (node->reply.name);
  node->status->outstanding_calls--;
  start_calls (node->status);
}

/* Members that are dead or have left are shown without calling them. */
static gboolean
should_call (const Node *node)
{
  return node->member.state != WW_MEMBER_DEAD && node->member.state != WW_MEMBER_LEFT;
}

static void
start_calls (Status *self)
{
  while (self->outstanding_calls < MAX_CONCURRENT_CALLS && self->next_node < self->nodes->len)
    {
      Node *node = g_ptr_array_index (self->nodes, self->next_node++);

      if (!should_call (node))
        continue;
      self->outstanding_calls++;
      cmd_rpc_call (self->rpc, node->member.address, (guint16) (node->member.ports >> 16),
                    WW_PROC_STATUS, (xdrproc_t) xdr_void, NULL, status_received, node);
    }
  if (self->outstanding_calls == 0)
    g_main_loop_quit (self->loop);
}

/* The list may change between two replies, so that a member can appear twice. */
static void
add_members (Status *self, const ww_list_reply *reply)
{
  guint i;

  for (i = 0; i < reply->members.members_len; i++)
    {
      const ww_member *member = &reply->members.members_val[i];
      Node *node;

      if (!g_hash_table_add (self->member_ids, g_memdup2 (&member->id, sizeof member->id)))
        continue;
      node = g_new0 (Node, 1);
      node->status = self;
      node->member = *member;
      g_ptr_array_add (self->nodes, node);
    }
  self->offset += reply->members.members_len;
  self->list_complete = self->offset >= reply->total;
}

static gint
compare_nodes (gconstpointer a, gconstpointer b)
{
  const Node *const *left = a;
  const Node *const *right = b;

  if ((*left)->member.role != (*right)->member.role)
    return (gint) (*left)->member.role - (gint) (*right)->member.role;
  if ((*left)->member.address != (*right)->member.address)
    return (*left)->member.address < (*right)->member.address ? -1 : 1;
  return (*left)->member.ports < (*right)->member.ports   ? -1
         : (*left)->member.ports > (*right)->member.ports ? 1
                                                          : 0;
}

static void
member_list_received (gpointer context, const guint8 *body, gsize length)
{
  Status *self = context;
  ww_list_reply reply = { 0 };
  gboolean valid = FALSE;

  if (body != NULL && ww_body_decode (body, length, (xdrproc_t) xdr_ww_list_reply, &reply, NULL))
    {
      valid = reply.offset == self->offset && ++self->list_replies <= MAX_LIST_REPLIES &&
              (reply.members.members_len > 0 || reply.total <= self->offset);
      if (valid)
        add_members (self, &reply);
      ww_body_clear ((xdrproc_t) xdr_ww_list_reply, &reply);
    }
  if (!valid)
    g_main_loop_quit (self->loop);
  else if (self->list_complete)
    {
      g_ptr_array_sort (self->nodes, compare_nodes);
      start_calls (self);
    }
  else
    request_members (self);
}

static void
request_members (Status *self)
{
  ww_list_request request = { .offset = self->offset };

  cmd_rpc_call (self->rpc, self->options->address, self->options->port, WW_PROC_LIST,
                (xdrproc_t) xdr_ww_list_request, &request, member_list_received, self);
}

static const gchar *
state_name (const Node *node)
{
  static const gchar *const names[] = { "alive", "suspect", "dead", "left" };

  return (guint) node->member.state < G_N_ELEMENTS (names) ? names[node->member.state] : "?";
}

static const gchar *
role_name (const Node *node)
{
  return node->member.role == WW_ROLE_BALANCER ? "balancer" : "agent";
}

/* Sums over the nodes that replied, and the number of nodes that were called and did not reply. */
typedef struct
{
  guint without_reply;
  guint64 refusals;
  guint64 flows_on_draining;
  GArray *versions; /* of VersionCount, ascending */
} Summary;

typedef struct
{
  guint64 version;
  guint nodes;
} VersionCount;

static void
count_version (Summary *summary, guint64 version)
{
  VersionCount entry = { .version = version, .nodes = 1 };
  guint i;

  for (i = 0; i < summary->versions->len; i++)
    {
      VersionCount *count = &g_array_index (summary->versions, VersionCount, i);

      if (count->version == version)
        {
          count->nodes++;
          return;
        }
      if (count->version > version)
        break;
    }
  g_array_insert_val (summary->versions, i, entry);
}

static void
summarize (const Status *self, Summary *summary)
{
  guint i;

  memset (summary, 0, sizeof *summary);
  summary->versions = g_array_new (FALSE, FALSE, sizeof (VersionCount));
  for (i = 0; i < self->nodes->len; i++)
    {
      const Node *node = g_ptr_array_index (self->nodes, i);

      if (!node->replied)
        {
          summary->without_reply += should_call (node);
          continue;
        }
      count_version (summary, node->reply.config_version);
      summary->refusals += node->reply.refusals;
      if (node->reply.draining)
        summary->flows_on_draining += node->reply.flows_held;
    }
}

static void
print_node (const Node *node)
{
  g_autofree gchar *address =
      ww_address_format (node->member.address, (guint16) (node->member.ports >> 16));

  if (node->replied)
    g_print ("%-24s %-21s %-8s %-8s %8" G_GUINT64_FORMAT " %8u %8u %8" G_GUINT64_FORMAT " %s\n",
             node->reply.name, address, role_name (node), state_name (node),
             (guint64) node->reply.config_version, node->reply.flows_held,
             node->reply.flows_waiting, (guint64) node->reply.refusals,
             node->reply.draining ? "yes" : "no");
  else
    g_print ("%-24s %-21s %-8s %-8s %8s %8s %8s %8s %s\n", "?", address, role_name (node),
             state_name (node), "-", "-", "-", "-", "-");
}

static void
print_text (const Status *self, const Summary *summary)
{
  guint i;

  g_print ("%-24s %-21s %-8s %-8s %8s %8s %8s %8s %s\n", "NAME", "CONTROL", "ROLE", "STATE",
           "VERSION", "FLOWS", "WAITING", "REFUSED", "DRAINS");
  for (i = 0; i < self->nodes->len; i++)
    print_node (g_ptr_array_index (self->nodes, i));
  for (i = 0; i < summary->versions->len; i++)
    {
      const VersionCount *count = &g_array_index (summary->versions, VersionCount, i);

      g_print ("nodes with version %" G_GUINT64_FORMAT " in effect: %u\n", count->version,
               count->nodes);
    }
  g_print ("nodes without answer: %u\n", summary->without_reply);
  g_print ("flows held on draining hosts: %" G_GUINT64_FORMAT "\n", summary->flows_on_draining);
  g_print ("requests refused: %" G_GUINT64_FORMAT "\n", summary->refusals);
}

static void
add_node (JsonBuilder *builder, const Node *node)
{
  g_autofree gchar *address =
      ww_address_format (node->member.address, (guint16) (node->member.ports >> 16));
  g_autofree gchar *id = cmd_format_id (node->member.id);

  json_builder_begin_object (builder);
  cmd_add_string (builder, "id", id);
  cmd_add_string (builder, "control_address", address);
  cmd_add_string (builder, "role", role_name (node));
  cmd_add_string (builder, "state", state_name (node));
  cmd_add_boolean (builder, "answered", node->replied);
  if (node->replied)
    {
      cmd_add_string (builder, "name", node->reply.name);
      cmd_add_number (builder, "version", node->reply.config_version);
      cmd_add_number (builder, "members_alive", node->reply.members_alive);
      cmd_add_number (builder, "members_suspect", node->reply.members_suspect);
      cmd_add_number (builder, "members_dead", node->reply.members_dead);
      cmd_add_number (builder, "flows_held", node->reply.flows_held);
      cmd_add_number (builder, "flows_waiting", node->reply.flows_waiting);
      cmd_add_number (builder, "refusals", node->reply.refusals);
      cmd_add_boolean (builder, "draining", node->reply.draining != 0);
      cmd_add_number (builder, "uptime_ms", node->reply.uptime_ms);
    }
  json_builder_end_object (builder);
}

static void
print_json (const Status *self, const Summary *summary)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  guint i;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "nodes");
  json_builder_begin_array (builder);
  for (i = 0; i < self->nodes->len; i++)
    add_node (builder, g_ptr_array_index (self->nodes, i));
  json_builder_end_array (builder);
  json_builder_set_member_name (builder, "versions");
  json_builder_begin_array (builder);
  for (i = 0; i < summary->versions->len; i++)
    {
      const VersionCount *count = &g_array_index (summary->versions, VersionCount, i);

      json_builder_begin_object (builder);
      cmd_add_number (builder, "version", count->version);
      cmd_add_number (builder, "nodes", count->nodes);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  cmd_add_number (builder, "unanswered", summary->without_reply);
  cmd_add_number (builder, "flows_held_on_draining_hosts", summary->flows_on_draining);
  cmd_add_number (builder, "refusals", summary->refusals);
  json_builder_end_object (builder);
  cmd_print_builder (builder);
}

static gboolean
timeout_expired (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_CONTINUE;
}

static void
run_calls (Status *self)
{
  guint timer;

  request_members (self);
  timer = g_timeout_add ((guint) (self->options->timeout_us / WB_US_PER_MS), timeout_expired,
                         self->loop);
  g_main_loop_run (self->loop);
  g_source_remove (timer);
  cmd_rpc_free (self->rpc);
}

int
cmd_status (int argc, char **argv)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (GPtrArray) nodes = g_ptr_array_new_with_free_func (node_free);
  g_autoptr (GHashTable) member_ids =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_autoptr (GError) error = NULL;
  Status self = { .loop = loop, .nodes = nodes, .member_ids = member_ids };
  CmdOptions options;
  Summary summary;

  cmd_options_parse (&options, CMD_OPTION_JSON | CMD_OPTION_NODE | CMD_OPTION_TIMEOUT,
                     CMD_OPTION_NODE,
                     "Asks one node for the members and then every member for its state: the "
                     "version in effect, flows held and waiting, and refusals.",
                     argc, argv);
  self.options = &options;
  self.rpc = cmd_rpc_new (&error);
  if (self.rpc == NULL)
    {
      g_printerr ("%s\n", error->message);
      return CMD_EXIT_FAILED;
    }
  run_calls (&self);
  if (!self.list_complete)
    {
      g_printerr ("%s: no complete list of members from the node\n", argv[0]);
      return CMD_EXIT_FAILED;
    }
  summarize (&self, &summary);
  if (options.json)
    print_json (&self, &summary);
  else
    print_text (&self, &summary);
  g_array_unref (summary.versions);
  return CMD_EXIT_OK;
}
