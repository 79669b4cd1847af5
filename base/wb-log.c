#include "wb-log.h"

#include <log4c.h>
#include <string.h>
#include <time.h>

#include "wb-output.h"

/* Limit for each event, so that logging under load does not take processor time from packets. */
#define MAX_LINES_PER_SECOND 50

/* One flow in this many is in the sample. */
#define FLOW_SAMPLE_INTERVAL 64

/* Longer text values, which may come from clients or servers, are truncated. */
#define TEXT_MAX_BYTES 256

typedef struct
{
  const gchar *event;
  gint64 second;
  guint written_lines;
  guint suppressed_lines;
} EventBudget;

static log4c_category_t *log_category;
static WbOutput *log_output;
static GHashTable *log_budgets; /* event name to EventBudget */
static gchar *log_program_name;
static gchar *log_node_name;
static WbLogLevel log_level;

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  wb_output_append (log_output, event->evt_msg, strlen (event->evt_msg));
  return 0;
}

static const log4c_appender_type_t appender_type = {
  .name = "waxwinghitch",
  .append = append_line,
};

void
wb_log_init (const gchar *program, const gchar *node, WbLogLevel level, gint fd)
{
  static gboolean is_initialized;
  log4c_appender_t *appender;

  /* log4c_init() reads a log4crc file from the working directory; the settings below override it.
   * log4c cannot be initialized again after log4c_fini(), so it stays initialized until the process
   * ends. */
  if (!is_initialized && log4c_init () != 0)
    return;
  if (!is_initialized)
    log4c_appender_type_set (&appender_type);
  is_initialized = TRUE;
  log_output = wb_output_new (fd);
  log_budgets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  log_program_name = g_strdup (program);
  log_node_name = g_strdup (node);
  log_level = level;
  appender = log4c_appender_get ("waxwinghitch");
  log4c_appender_set_type (appender, &appender_type);
  log_category = log4c_category_get (program);
  log4c_category_set_appender (log_category, appender);
  log4c_category_set_additivity (log_category, 0);
  log4c_category_set_priority (log_category, LOG4C_PRIORITY_DEBUG);
}

void
wb_log_fini (void)
{
  if (log_category == NULL)
    return;
  log_category = NULL;
  wb_output_flush (log_output);
  g_clear_pointer (&log_output, wb_output_free);
  g_clear_pointer (&log_budgets, g_hash_table_unref);
  g_clear_pointer (&log_program_name, g_free);
  g_clear_pointer (&log_node_name, g_free);
}

void
wb_log_set_level (WbLogLevel level)
{
  log_level = level;
}

gboolean
wb_log_flow_enabled (guint64 hash)
{
  if (log_category == NULL || log_level < WB_LOG_INFO)
    return FALSE;
  return log_level >= WB_LOG_DEBUG || hash % FLOW_SAMPLE_INTERVAL == 0;
}

/* Escapes all characters that could end the string or the line, so that a value cannot forge
 * another line. */
static void
append_json_string (GString *line, const gchar *text)
{
  gsize i;

  g_string_append_c (line, '"');
  for (i = 0; text[i] != '\0' && i < TEXT_MAX_BYTES; i++)
    {
      guchar c = (guchar) text[i];

      if (c == '"' || c == '\\')
        g_string_append_printf (line, "\\%c", c);
      else if (c < 0x20 || c >= 0x7f)
        g_string_append_printf (line, "\\u%04x", c);
      else
        g_string_append_c (line, (gchar) c);
    }
  g_string_append_c (line, '"');
}

static void
append_field (GString *line, const WbLogField *field)
{
  g_string_append_printf (line, ",\"%s\":", field->name);
  if (field->text != NULL)
    append_json_string (line, field->text);
  else
    g_string_append_printf (line, "%" G_GINT64_FORMAT, field->number);
}

static void
write_line (WbLogLevel level, const gchar *event, const WbLogField *fields, guint count)
{
  static const gint priorities[] = { LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_INFO,
                                     LOG4C_PRIORITY_DEBUG };
  static const gchar *const names[] = { "error", "info", "debug" };
  g_autoptr (GString) line = g_string_sized_new (256);
  gint64 now_us = g_get_real_time ();
  guint i;

  g_string_append_printf (line,
                          "{\"time_ms\":%" G_GINT64_FORMAT ",\"steady_ms\":%" G_GINT64_FORMAT
                          ",\"level\":\"%s\",\"process\":\"%s\",\"node\":",
                          now_us / WB_US_PER_MS, g_get_monotonic_time () / WB_US_PER_MS,
                          names[level], log_program_name);
  append_json_string (line, log_node_name);
  g_string_append_printf (line, ",\"event\":\"%s\"", event);
  for (i = 0; i < count; i++)
    append_field (line, &fields[i]);
  g_string_append (line, "}\n");
  log4c_category_log (log_category, priorities[level], "%s", line->str);
}

/* Counts a line against the limit of its event. Returns whether it may be written. */
static gboolean
consume_line_budget (const gchar *event)
{
  gint64 second = g_get_monotonic_time () / WB_US_PER_S;
  EventBudget *budget = g_hash_table_lookup (log_budgets, event);

  if (budget == NULL)
    {
      budget = g_new0 (EventBudget, 1);
      budget->event = event;
      g_hash_table_insert (log_budgets, (gpointer) event, budget);
    }
  if (second != budget->second)
    {
      guint suppressed_lines = budget->suppressed_lines;

      budget->second = second;
      budget->written_lines = budget->suppressed_lines = 0;
      if (suppressed_lines > 0)
        write_line (
            WB_LOG_INFO, "suppressed",
            (const WbLogField[]){ WB_TEXT ("of", event), WB_NUMBER ("count", suppressed_lines) },
            2);
    }
  if (budget->written_lines >= MAX_LINES_PER_SECOND)
    {
      budget->suppressed_lines++;
      return FALSE;
    }
  budget->written_lines++;
  return TRUE;
}

void
wb_log_write (WbLogLevel level, const gchar *event, const WbLogField *fields, guint count)
{
  if (log_category == NULL || level > log_level)
    return;
  if (log_level >= WB_LOG_DEBUG || consume_line_budget (event))
    write_line (level, event, fields, count);
}

void
wb_log_flush (void)
{
  if (log_output != NULL)
    wb_output_flush (log_output);
}

gboolean
wb_log_has_pending (void)
{
  return log_output != NULL && wb_output_pending_bytes (log_output) > 0;
}

guint64
wb_log_dropped (void)
{
  return log_output != NULL ? wb_output_dropped (log_output) : 0;
}
