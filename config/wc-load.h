#pragma once

#include "wc-error.h"
#include "wc.h"

/**
 * DOC: Loads and validates a configuration from an operator's TOML files.
 */

/**
 * wc_load_directory() - reads all files "*.toml" of a directory as one configuration
 * @error: WC_ERROR; one line per error, each with file, line and key
 *
 * Return: (transfer full): the configuration, with version 0
 */
WcConfig *wc_load_directory (const gchar *path, GError **error);

/** wc_load_text() - like wc_load_directory() for one file in memory; @name appears in messages */
WcConfig *wc_load_text (const gchar *name, const gchar *text, GError **error);
