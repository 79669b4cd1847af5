#include "wd-reload.h"

#include <signal.h>

#include <glib-unix.h>
#include <glib/gstdio.h>

/* A file may change without a signal. Comparing its time costs one system call. */
#define CHECK_INTERVAL_MS 2000

struct WdReload
{
  gchar *path;
  ww_role role;
  WdReloadFunc reloaded;
  gpointer context;
  gint64 modified_s;
  gint64 size;
  guint signal_source;
  guint timer;
};

/* Returns whether the file looks different from the last time. */
static gboolean
has_changed (WdReload *reload)
{
  GStatBuf status;

  if (g_stat (reload->path, &status) != 0)
    return FALSE;
  if (status.st_mtime == reload->modified_s && status.st_size == reload->size)
    return FALSE;
  reload->modified_s = status.st_mtime;
  reload->size = status.st_size;
  return TRUE;
}

void
wd_reload_check (WdReload *reload)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (WcSettings) settings = wc_settings_load (reload->path, reload->role, &error);

  if (settings == NULL)
    {
      wb_log_error ("settings_invalid", WB_TEXT ("file", reload->path),
                    WB_TEXT ("error", error->message));
      return;
    }
  reload->reloaded (reload->context, settings);
}

static gboolean
signal_received (gpointer data)
{
  WdReload *reload = data;

  (void) has_changed (reload);
  wd_reload_check (reload);
  return G_SOURCE_CONTINUE;
}

static gboolean
check_due (gpointer data)
{
  WdReload *reload = data;

  if (has_changed (reload))
    wd_reload_check (reload);
  return G_SOURCE_CONTINUE;
}

WdReload *
wd_reload_new (const WcSettings *settings, ww_role role, WdReloadFunc reloaded, gpointer context)
{
  WdReload *reload;

  if (settings->path == NULL)
    return NULL;
  reload = g_new0 (WdReload, 1);
  reload->path = g_strdup (settings->path);
  reload->role = role;
  reload->reloaded = reloaded;
  reload->context = context;
  (void) has_changed (reload);
  reload->signal_source = g_unix_signal_add (SIGHUP, signal_received, reload);
  reload->timer = g_timeout_add (CHECK_INTERVAL_MS, check_due, reload);
  return reload;
}

void
wd_reload_free (WdReload *reload)
{
  if (reload == NULL)
    return;
  g_source_remove (reload->signal_source);
  g_source_remove (reload->timer);
  g_free (reload->path);
  g_free (reload);
}
