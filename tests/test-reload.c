#include "wd-reload.h"

#include <signal.h>

#include <glib/gstdio.h>

#define SETTINGS                                                                                   \
  "name = \"b1\"\nhost = \"h1\"\navailability_zone = \"z\"\ncontrol_address = "                    \
  "\"127.0.0.1:7000\"\n"                                                                           \
  "data_address = \"127.0.0.1:7001\"\nlog_level = \"%s\"\n"                                        \
  "[network]\nkind = \"udp\"\naddress = \"127.0.0.1:7002\"\n"

typedef struct
{
  guint calls;
  WbLogLevel log_level;
} ReloadRecord;

static void
on_reload (gpointer context, const WcSettings *settings)
{
  ReloadRecord *record = context;

  record->calls++;
  record->log_level = settings->log_level;
}

/* Writes settings to @path, or to a new temporary file when it is NULL. Returns the path. */
static gchar *
write_settings (gchar *path, const gchar *log_level)
{
  g_autofree gchar *text = g_strdup_printf (SETTINGS, log_level);

  if (path == NULL)
    g_close (g_file_open_tmp ("settings-XXXXXX", &path, NULL), NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  return path;
}

/* Guards against a SIGHUP that ends the process, changed settings that do not take effect, and
 * invalid ones that do. */
static void
test_sighup (void)
{
  g_autofree gchar *path = write_settings (NULL, "info");
  g_autoptr (WcSettings) settings = wc_settings_load (path, WW_ROLE_BALANCER, NULL);
  ReloadRecord record = { 0 };
  g_autoptr (WdReload) reload = NULL;

  g_assert_nonnull (settings);
  reload = wd_reload_new (settings, WW_ROLE_BALANCER, on_reload, &record);
  write_settings (path, "debug");
  g_assert_cmpint (raise (SIGHUP), ==, 0);
  while (record.calls == 0)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpint (record.log_level, ==, WB_LOG_DEBUG);
  write_settings (path, "loud");
  wd_reload_read (reload);
  g_assert_cmpuint (record.calls, ==, 1);
  write_settings (path, "error");
  wd_reload_read (reload);
  g_assert_cmpint (record.log_level, ==, WB_LOG_ERROR);
  g_unlink (path);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reload/signal", test_sighup);
  return g_test_run ();
}
