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
  WbLogLevel level;
} Seen;

static void
reloaded (gpointer context, const WcSettings *settings)
{
  Seen *seen = context;

  seen->calls++;
  seen->level = settings->log_level;
}

static gchar *
write_settings (gchar *path, const gchar *level)
{
  g_autofree gchar *text = g_strdup_printf (SETTINGS, level);

  if (path == NULL)
    g_close (g_file_open_tmp ("settings-XXXXXX", &path, NULL), NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  return path;
}

/* Guards against SIGHUP that ends the process, and against changed settings that are not taken up
 * or invalid ones that are. */
static void
test_signal (void)
{
  g_autofree gchar *path = write_settings (NULL, "info");
  g_autoptr (WcSettings) settings = wc_settings_load (path, WW_ROLE_BALANCER, NULL);
  Seen seen = { 0 };
  g_autoptr (WdReload) reload = NULL;

  g_assert_nonnull (settings);
  reload = wd_reload_new (settings, WW_ROLE_BALANCER, reloaded, &seen);
  write_settings (path, "debug");
  g_assert_cmpint (raise (SIGHUP), ==, 0);
  while (seen.calls == 0)
    g_main_context_iteration (NULL, TRUE);
  g_assert_cmpint (seen.level, ==, WB_LOG_DEBUG);
  write_settings (path, "loud");
  wd_reload_read (reload);
  g_assert_cmpuint (seen.calls, ==, 1);
  write_settings (path, "error");
  wd_reload_read (reload);
  g_assert_cmpint (seen.level, ==, WB_LOG_ERROR);
  g_unlink (path);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reload/signal", test_signal);
  return g_test_run ();
}
