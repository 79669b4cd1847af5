#pragma once

#include "wc-settings.h"

/**
 * DOC: Reloads the settings file while a process runs: on SIGHUP, and when the file's modification
 * time or size has changed. The callback decides which settings take effect without a restart.
 */
typedef struct WdReload WdReload;

/** WdReloadFunc - the file has been read again and its settings are valid */
typedef void (*WdReloadFunc) (gpointer context, const WcSettings *settings);

/**
 * wd_reload_new() - watches the file that @settings were loaded from
 *
 * Return: NULL when @settings were not loaded from a file
 */
WdReload *
wd_reload_new (const WcSettings *settings, ww_role role, WdReloadFunc callback, gpointer context);
void wd_reload_free (WdReload *reload);

/** wd_reload_read() - reads the file now; invalid settings are logged and otherwise ignored */
void wd_reload_read (WdReload *reload);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WdReload, wd_reload_free)
