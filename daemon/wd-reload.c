#include "wd-reload.h"

#include <signal.h>

#include <glib-unix.h>
#include <glib/gstdio.h>

/* The file may be changed without a SIGHUP. Polling its modification time costs one system call. */
#define POLL_INTERVAL_MS 2000

struct WdReload
{
  gchar *path;
  ww_role role;
  WdReloadFunc callback;
  gpointer context;
  gint64 modification_time_s;
  gint64 size_bytes;
  guint signal_source;
  guint timer;
};

/* Returns whether the file's modification time or size differs from the previous call. */
static gboolean
update_file_status (WdReload *reload)
{
  GStatBuf status;

  if (g_stat (reload->path, &status) != 0)
    return FALSE;
  if (status.st_mtime == reload->modification_time_s && status.st_size == reload->size_bytes)
    return FALSE;
  reload->modification_time_s = status.st_mtime;
  reload->size_bytes = status.st_size;
  return TRUE;
}

void
wd_reload_read (WdReload *reload)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (WcSettings) settings = wc_settings_load (reload->path, reload->role, &error);

  if (settings == NULL)
    {
      wb_log_error ("settings_invalid", WB_TEXT ("file", reload->path),
                    WB_TEXT ("error", error->message));
      return;
    }
  reload->callback (reload->context, settings);
}

static gboolean
hangup_received (gpointer data)
{
  WdReload *reload = data;

  (void) update_file_status (reload);
  wd_reload_read (reload);
  return G_SOURCE_CONTINUE;
}

static gboolean
timer_expired (gpointer data)
{
  WdReload *reload = data;

  if (update_file_status (reload))
    wd_reload_read (reload);
  return G_SOURCE_CONTINUE;
}

WdReload *
wd_reload_new (const WcSettings *settings, ww_role role, WdReloadFunc callback, gpointer context)
{
  WdReload *reload;

  if (settings->path == NULL)
    return NULL;
  reload = g_new0 (WdReload, 1);
  reload->path = g_strdup (settings->path);
  reload->role = role;
  reload->callback = callback;
  reload->context = context;
  (void) update_file_status (reload);
  reload->signal_source = g_unix_signal_add (SIGHUP, hangup_received, reload);
  reload->timer = g_timeout_add (POLL_INTERVAL_MS, timer_expired, reload);
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
