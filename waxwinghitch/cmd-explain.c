#include "cmd.h"
#include "wc-value.h"
#include "ww-flow-log.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

#define EXIT_NOT_FOUND CMD_EXIT_FAILED

/* Log lines of this project are shorter. */
#define LINE_MAX_BYTES 8192

/* Time after a request in which a change of its backend server may explain the failure. A crashed
 * server counts as absent only after three announcements are missing. */
#define SERVER_CHANGE_WINDOW_MS 10000

typedef struct
{
  const gchar *id;
  GPtrArray *files; /* of gchar */
} Arguments;

/* A log line about the request or flow. */
typedef struct
{
  gint64 time_ms;
  guint order; /* position in the files, to sort entries of equal time */
  gchar *node;
  gchar *event;
  gchar *details;
} LogEntry;

typedef struct
{
  const gchar *id;
  GHashTable *flows; /* set of the id itself and the flows that match it */
  GPtrArray *entries;
  GHashTable *last_requests; /* node to LogEntry of the last request delivered there */
  guint lines;
  guint skipped;
} Search;

/* Events that determine the outcome of a flow, and their meaning for the client. */
static const struct
{
  const gchar *event;
  const gchar *meaning;
} conclusions[] = {
  { "flow_refused", "refused: no backend server has seen it, and the client may try again" },
  { "flow_lost", "broken off: its backend server no longer holds it" },
  { "flow_absent", "silent: the endpoints that were asked do not hold it" },
  { "flow_recovered", "continued: an endpoint found it at its backend server" },
  { "flow_unknown", "silent: no endpoint is known to hold it" },
  { "server_changed", "given to a backend server that was lost or replaced afterwards" },
  { "started", "given to a backend server whose agent was restarted afterwards" },
};

static void
log_entry_free (gpointer data)
{
  LogEntry *entry = data;

  g_free (entry->node);
  g_free (entry->event);
  g_free (entry->details);
  g_free (entry);
}

static const gchar *
get_string (const WcValue *line, const gchar *key)
{
  const WcValue *value = wc_value_find (line, key);

  return value != NULL && value->kind == WC_VALUE_STRING ? value->text : NULL;
}

static gboolean
is_header_field (const gchar *key)
{
  static const gchar *const keys[] = { "time_ms", "steady_ms", "level", "process",
                                       "node",    "event",     "flow",  NULL };

  return g_strv_contains (keys, key);
}

static gchar *
format_details (const WcValue *line)
{
  GString *text = g_string_new (NULL);
  guint i;

  for (i = 0; i < line->children->len; i++)
    {
      const WcValue *field = g_ptr_array_index (line->children, i);

      if (is_header_field (field->key))
        continue;
      if (field->kind == WC_VALUE_STRING)
        g_string_append_printf (text, " %s=%s", field->key, field->text);
      else if (field->kind == WC_VALUE_INTEGER)
        g_string_append_printf (text, " %s=%" G_GINT64_FORMAT, field->key, field->number);
    }
  return g_string_free (text, FALSE);
}

/* Skips a prefix that a log collector may have added to the line. */
static WcValue *
parse_line (const gchar *text)
{
  const gchar *brace = strchr (text, '{');
  gchar *file;
  WcValue *line;

  if (brace == NULL)
    return NULL;
  file = g_ref_string_new ("log");
  line = wc_json_parse (file, brace, strlen (brace), NULL);
  g_ref_string_release (file);
  if (line != NULL && (get_string (line, "event") == NULL || get_string (line, "node") == NULL))
    g_clear_pointer (&line, wc_value_free);
  return line;
}

/* Adds the flow of @line when its request id or its client address matches the id searched for.
 * Refused requests are found by the address, since no server has read their request id. */
static void
collect_flow (Search *search, const WcValue *line)
{
  const gchar *flow = get_string (line, "flow");
  const gchar *request = get_string (line, "request");
  gsize length = strlen (search->id);

  if (flow == NULL)
    return;
  if ((request != NULL && strcmp (request, search->id) == 0) ||
      (strncmp (flow, search->id, length) == 0 && flow[length] == ':'))
    g_hash_table_add (search->flows, g_strdup (flow));
}

static gint64
get_time_ms (const WcValue *line)
{
  const WcValue *time = wc_value_find (line, "time_ms");

  return time != NULL && time->kind == WC_VALUE_INTEGER ? time->number : 0;
}

/* The set also contains the id itself. */
static gboolean
has_several_flows (const Search *search)
{
  return g_hash_table_size (search->flows) > 2;
}

static LogEntry *
add_entry (Search *search, const WcValue *line)
{
  LogEntry *entry = g_new0 (LogEntry, 1);

  entry->time_ms = get_time_ms (line);
  entry->order = search->entries->len;
  entry->node = g_strdup (get_string (line, "node"));
  entry->event = g_strdup (get_string (line, "event"));
  entry->details = format_details (line);
  g_ptr_array_add (search->entries, entry);
  return entry;
}

static void
collect_entry (Search *search, const WcValue *line)
{
  const gchar *flow = get_string (line, "flow");
  LogEntry *entry;

  if (flow == NULL || !g_hash_table_contains (search->flows, flow))
    return;
  entry = add_entry (search, line);
  if (has_several_flows (search))
    {
      g_autofree gchar *details = g_steal_pointer (&entry->details);

      entry->details = g_strconcat (" flow=", flow, details, NULL);
    }
  if (strcmp (entry->event, "request") == 0)
    g_hash_table_replace (search->last_requests, entry->node, entry);
}

/* Adds the first change of the server, or restart of its agent, after the request was delivered. */
static void
collect_server_change (Search *search, const WcValue *line)
{
  const gchar *event = get_string (line, "event");
  const LogEntry *request = g_hash_table_lookup (search->last_requests, get_string (line, "node"));
  gint64 time_ms = get_time_ms (line);

  if (request == NULL || time_ms <= request->time_ms ||
      time_ms > request->time_ms + SERVER_CHANGE_WINDOW_MS ||
      (strcmp (event, "server_changed") != 0 && strcmp (event, "started") != 0))
    return;
  add_entry (search, line);
  g_hash_table_remove (search->last_requests, get_string (line, "node"));
}

typedef void (*LineFunc) (Search *search, const WcValue *line);

static gboolean
read_file (Search *search, const gchar *path, LineFunc handle_line, gboolean count_lines)
{
  FILE *file = fopen (path, "re");
  gchar text[LINE_MAX_BYTES];

  if (file == NULL)
    return FALSE;
  while (fgets (text, sizeof text, file) != NULL)
    {
      g_autoptr (WcValue) line = parse_line (text);

      if (count_lines)
        search->lines++;
      if (count_lines && line == NULL)
        search->skipped++;
      if (line != NULL)
        handle_line (search, line);
    }
  (void) fclose (file);
  return TRUE;
}

static gboolean
read_files (Search *search, const GPtrArray *files, LineFunc handle_line, gboolean count_lines)
{
  guint i;

  for (i = 0; i < files->len; i++)
    if (!read_file (search, g_ptr_array_index (files, i), handle_line, count_lines))
      {
        g_printerr ("%s: cannot be read\n", (const gchar *) g_ptr_array_index (files, i));
        return FALSE;
      }
  return TRUE;
}

static gint
compare_entries (gconstpointer a, gconstpointer b)
{
  const LogEntry *left = *(const LogEntry *const *) a;
  const LogEntry *right = *(const LogEntry *const *) b;

  if (left->time_ms != right->time_ms)
    return left->time_ms < right->time_ms ? -1 : 1;
  return left->order < right->order ? -1 : left->order > right->order;
}

static const gchar *
find_conclusion (const Search *search)
{
  guint i, j;

  for (i = search->entries->len; i > 0; i--)
    {
      const LogEntry *entry = g_ptr_array_index (search->entries, i - 1);

      for (j = 0; j < G_N_ELEMENTS (conclusions); j++)
        if (strcmp (entry->event, conclusions[j].event) == 0)
          return conclusions[j].meaning;
    }
  return "no refusal or loss is logged";
}

static void
print_entries (const Search *search)
{
  const LogEntry *first = g_ptr_array_index (search->entries, 0);
  guint i;

  for (i = 0; i < search->entries->len; i++)
    {
      const LogEntry *entry = g_ptr_array_index (search->entries, i);

      g_print ("%8" G_GINT64_FORMAT " ms  %-18s %s%s\n", entry->time_ms - first->time_ms,
               entry->node, entry->event, entry->details);
    }
  g_print ("%s\n", has_several_flows (search)
                       ? "several flows: explain one of them, as \"client:port>service:port\""
                       : find_conclusion (search));
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Arguments *arguments = state->input;

  if (key == ARGP_KEY_ARG && arguments->id == NULL)
    arguments->id = argument;
  else if (key == ARGP_KEY_ARG)
    g_ptr_array_add (arguments->files, argument);
  else if (key == ARGP_KEY_END && arguments->files->len == 0)
    argp_error (state, "an id and at least one file are required");
  else if (key != ARGP_KEY_END)
    return ARGP_ERR_UNKNOWN;
  return 0;
}

static int
explain (Search *search, const GPtrArray *files)
{
  /* The id may be the flow itself, as "client:port>service:port". */
  g_hash_table_add (search->flows, g_strdup (search->id));
  if (!read_files (search, files, collect_flow, TRUE) ||
      !read_files (search, files, collect_entry, FALSE) ||
      (!has_several_flows (search) && g_hash_table_size (search->last_requests) > 0 &&
       !read_files (search, files, collect_server_change, FALSE)))
    return CMD_EXIT_INVALID;
  if (search->skipped > 0)
    g_printerr ("%u of %u lines skipped: not written by waxwinghitch\n", search->skipped,
                search->lines);
  if (search->entries->len == 0)
    {
      g_printerr ("%s: not in these logs\n", search->id);
      return EXIT_NOT_FOUND;
    }
  g_ptr_array_sort (search->entries, compare_entries);
  print_entries (search);
  return CMD_EXIT_OK;
}

int
cmd_explain (int argc, char **argv)
{
  const struct argp argp = {
    .parser = parse_option,
    .args_doc = "ID FILE...",
    .doc = "Shows from the logs of several processes what each did with a request, a flow or the "
           "flows of a client's address.",
  };
  g_autoptr (GPtrArray) files = g_ptr_array_new ();
  g_autoptr (GHashTable) flows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (log_entry_free);
  Arguments arguments = { .files = files };
  g_autoptr (GHashTable) last_requests = g_hash_table_new (g_str_hash, g_str_equal);
  Search search = { .flows = flows, .entries = entries, .last_requests = last_requests };

  argp_err_exit_status = CMD_EXIT_USAGE;
  if (argp_parse (&argp, argc, argv, 0, NULL, &arguments) != 0)
    return CMD_EXIT_USAGE;
  search.id = arguments.id;
  return explain (&search, files);
}
