#include "cmd.h"
#include "wc-value.h"
#include "ww-flow-log.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

#define EXIT_NOT_FOUND CMD_EXIT_FAILED

/* Longer lines are not ours. */
#define LINE_MAX_BYTES 8192

/* Time after a request in which a change of its backend server may explain its failure: a crashed
 * one counts as absent after three announcements that did not come. */
#define SERVER_CHANGE_MS 10000

typedef struct
{
  const gchar *id;
  GPtrArray *files; /* of gchar */
} Arguments;

/* A line of a log that concerns the request or flow. */
typedef struct
{
  gint64 time_ms;
  guint order; /* in the files, for equal times */
  gchar *node;
  gchar *event;
  gchar *details;
} Step;

typedef struct
{
  const gchar *id;
  GHashTable *flows; /* set of the flows that the id belongs to */
  GPtrArray *steps;
  GHashTable *served; /* node to the Step of the last request that its server was given */
  guint lines;
  guint skipped;
} Search;

/* Events that decide the fate of a flow, and what they mean for its client. */
static const struct
{
  const gchar *event;
  const gchar *meaning;
} verdicts[] = {
  { "flow_refused", "refused: no backend server has seen it, and the client may try again" },
  { "flow_lost", "broken off: its backend server no longer holds it" },
  { "flow_absent", "silent: the endpoints that were asked do not hold it" },
  { "flow_recovered", "continued: an endpoint found it at its backend server" },
  { "flow_unknown", "silent: no endpoint is known to hold it" },
  { "server_changed", "given to a backend server that was lost or replaced afterwards" },
  { "started", "given to a backend server whose agent was restarted afterwards" },
};

static void
step_free (gpointer data)
{
  Step *step = data;

  g_free (step->node);
  g_free (step->event);
  g_free (step->details);
  g_free (step);
}

static const gchar *
text_of (const WcValue *line, const gchar *key)
{
  const WcValue *node = wc_value_find (line, key);

  return node != NULL && node->kind == WC_VALUE_STRING ? node->text : NULL;
}

static gboolean
is_header (const gchar *key)
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

      if (is_header (field->key))
        continue;
      if (field->kind == WC_VALUE_STRING)
        g_string_append_printf (text, " %s=%s", field->key, field->text);
      else if (field->kind == WC_VALUE_INTEGER)
        g_string_append_printf (text, " %s=%" G_GINT64_FORMAT, field->key, field->number);
    }
  return g_string_free (text, FALSE);
}

/* A line may carry a prefix of whoever collected it. */
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
  if (line != NULL && (text_of (line, "event") == NULL || text_of (line, "node") == NULL))
    g_clear_pointer (&line, wc_value_free);
  return line;
}

/* The id is that of a request, or the address of a client: no server has read the id of a request
 * that was refused. */
static void
note_flow (Search *search, const WcValue *line)
{
  const gchar *flow = text_of (line, "flow");
  const gchar *request = text_of (line, "request");
  gsize length = strlen (search->id);

  if (flow == NULL)
    return;
  if ((request != NULL && strcmp (request, search->id) == 0) ||
      (strncmp (flow, search->id, length) == 0 && flow[length] == ':'))
    g_hash_table_add (search->flows, g_strdup (flow));
}

static gint64
time_of (const WcValue *line)
{
  const WcValue *time = wc_value_find (line, "time_ms");

  return time != NULL && time->kind == WC_VALUE_INTEGER ? time->number : 0;
}

/* The set also holds the id itself. */
static gboolean
has_several (const Search *search)
{
  return g_hash_table_size (search->flows) > 2;
}

static Step *
add_step (Search *search, const WcValue *line)
{
  Step *step = g_new0 (Step, 1);

  step->time_ms = time_of (line);
  step->order = search->steps->len;
  step->node = g_strdup (text_of (line, "node"));
  step->event = g_strdup (text_of (line, "event"));
  step->details = format_details (line);
  g_ptr_array_add (search->steps, step);
  return step;
}

static void
note_step (Search *search, const WcValue *line)
{
  const gchar *flow = text_of (line, "flow");
  Step *step;

  if (flow == NULL || !g_hash_table_contains (search->flows, flow))
    return;
  step = add_step (search, line);
  if (has_several (search))
    {
      g_autofree gchar *details = g_steal_pointer (&step->details);

      step->details = g_strconcat (" flow=", flow, details, NULL);
    }
  if (strcmp (step->event, "request") == 0)
    g_hash_table_replace (search->served, step->node, step);
}

/* What became of the server, or of its agent, after it was given the request. */
static void
note_server (Search *search, const WcValue *line)
{
  const gchar *event = text_of (line, "event");
  const Step *request = g_hash_table_lookup (search->served, text_of (line, "node"));
  gint64 time_ms = time_of (line);

  if (request == NULL || time_ms <= request->time_ms ||
      time_ms > request->time_ms + SERVER_CHANGE_MS ||
      (strcmp (event, "server_changed") != 0 && strcmp (event, "started") != 0))
    return;
  add_step (search, line);
  g_hash_table_remove (search->served, text_of (line, "node"));
}

typedef void (*LineFunc) (Search *search, const WcValue *line);

static gboolean
read_file (Search *search, const gchar *path, LineFunc each, gboolean count)
{
  FILE *file = fopen (path, "re");
  gchar text[LINE_MAX_BYTES];

  if (file == NULL)
    return FALSE;
  while (fgets (text, sizeof text, file) != NULL)
    {
      g_autoptr (WcValue) line = parse_line (text);

      if (count)
        search->lines++;
      if (count && line == NULL)
        search->skipped++;
      if (line != NULL)
        each (search, line);
    }
  (void) fclose (file);
  return TRUE;
}

static gboolean
read_files (Search *search, const GPtrArray *files, LineFunc each, gboolean count)
{
  guint i;

  for (i = 0; i < files->len; i++)
    if (!read_file (search, g_ptr_array_index (files, i), each, count))
      {
        g_printerr ("%s: cannot be read\n", (const gchar *) g_ptr_array_index (files, i));
        return FALSE;
      }
  return TRUE;
}

static gint
compare_steps (gconstpointer a, gconstpointer b)
{
  const Step *left = *(const Step *const *) a;
  const Step *right = *(const Step *const *) b;

  if (left->time_ms != right->time_ms)
    return left->time_ms < right->time_ms ? -1 : 1;
  return left->order < right->order ? -1 : left->order > right->order;
}

static const gchar *
find_verdict (const Search *search)
{
  guint i, j;

  for (i = search->steps->len; i > 0; i--)
    {
      const Step *step = g_ptr_array_index (search->steps, i - 1);

      for (j = 0; j < G_N_ELEMENTS (verdicts); j++)
        if (strcmp (step->event, verdicts[j].event) == 0)
          return verdicts[j].meaning;
    }
  return "no refusal or loss is logged";
}

static void
print_steps (const Search *search)
{
  const Step *first = g_ptr_array_index (search->steps, 0);
  guint i;

  for (i = 0; i < search->steps->len; i++)
    {
      const Step *step = g_ptr_array_index (search->steps, i);

      g_print ("%8" G_GINT64_FORMAT " ms  %-18s %s%s\n", step->time_ms - first->time_ms, step->node,
               step->event, step->details);
    }
  g_print ("%s\n", has_several (search)
                       ? "several flows: explain one of them, as \"client:port>service:port\""
                       : find_verdict (search));
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
  if (!read_files (search, files, note_flow, TRUE) ||
      !read_files (search, files, note_step, FALSE) ||
      (!has_several (search) && g_hash_table_size (search->served) > 0 &&
       !read_files (search, files, note_server, FALSE)))
    return CMD_EXIT_INVALID;
  if (search->skipped > 0)
    g_printerr ("%u of %u lines skipped: not written by waxwinghitch\n", search->skipped,
                search->lines);
  if (search->steps->len == 0)
    {
      g_printerr ("%s: not in these logs\n", search->id);
      return EXIT_NOT_FOUND;
    }
  g_ptr_array_sort (search->steps, compare_steps);
  print_steps (search);
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
  g_autoptr (GPtrArray) steps = g_ptr_array_new_with_free_func (step_free);
  Arguments arguments = { .files = files };
  g_autoptr (GHashTable) served = g_hash_table_new (g_str_hash, g_str_equal);
  Search search = { .flows = flows, .steps = steps, .served = served };

  argp_err_exit_status = CMD_EXIT_USAGE;
  if (argp_parse (&argp, argc, argv, 0, NULL, &arguments) != 0)
    return CMD_EXIT_USAGE;
  search.id = arguments.id;
  return explain (&search, files);
}
