#include "wb-log.h"

#include <log4c.h>
#include <stdio.h>

static log4c_category_t *log_category;

static void
write_line (gint priority, const gchar *event, const gchar *format, va_list arguments)
{
  g_autofree gchar *text = NULL;

  if (log_category == NULL)
    return;
  text = g_strdup_vprintf (format, arguments);
  log4c_category_log (log_category, priority, "event=%s %s", event, text);
}

void
wb_log_init (const gchar *program)
{
  log4c_appender_t *appender;
  log4c_layout_t *layout;

  /* log4c looks for a log4crc file in the working directory; the settings here replace it. */
  if (log4c_init () != 0)
    return;
  appender = log4c_appender_get ("stderr");
  layout = log4c_layout_get ("dated");
  log4c_layout_set_type (layout, log4c_layout_type_get ("dated"));
  log4c_appender_set_layout (appender, layout);
  log_category = log4c_category_get (program);
  log4c_category_set_appender (log_category, appender);
  log4c_category_set_priority (log_category, LOG4C_PRIORITY_INFO);
}

void
wb_log_fini (void)
{
  if (log_category == NULL)
    return;
  log_category = NULL;
  log4c_fini ();
}

void
wb_log_state (const gchar *event, const gchar *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  write_line (LOG4C_PRIORITY_INFO, event, format, arguments);
  va_end (arguments);
}

void
wb_log_error (const gchar *event, const gchar *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  write_line (LOG4C_PRIORITY_ERROR, event, format, arguments);
  va_end (arguments);
}
