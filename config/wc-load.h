#pragma once

#include "wc-error.h"
#include "wc.h"

/**
 * wc_load_directory() - reads all files "*.toml" of a directory as one configuration
 * @error: WC_ERROR, with file, line and key; all problems found, one a line
 *
 * Return: the configuration, with version 0
 */
WcConfig *wc_load_directory (const gchar *path, GError **error);

/** wc_load_text() - like wc_load_directory() for one file in memory; @name is used in messages */
WcConfig *wc_load_text (const gchar *name, const gchar *text, GError **error);
