#pragma once

#include "wc-settings.h"

/**
 * DOC: Settings that change while a process runs. The file is read again on SIGHUP, and when its
 * modification time has changed.
 */
typedef struct WdReload WdReload;

/** WdReloadFunc - the file holds other valid settings than before */
typedef void (*WdReloadFunc) (gpointer context, const WcSettings *settings);

/**
 * wd_reload_new() - follows the file that @settings were loaded from
 *
 * Settings that were not loaded from a file are not followed.
 */
WdReload *
wd_reload_new (const WcSettings *settings, ww_role role, WdReloadFunc reloaded, gpointer context);
void wd_reload_free (WdReload *reload);

/** wd_reload_check() - reads the file now; what is invalid is logged and changes nothing */
void wd_reload_check (WdReload *reload);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WdReload, wd_reload_free)
