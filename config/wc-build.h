#pragma once

#include "wc-reader.h"
#include "wc.h"

/**
 * DOC: Converts parsed documents, from TOML files or stored parts, to one validated WcConfig.
 */

/**
 * wc_build_config() - validates documents as one configuration
 * @documents: array of WcValue; each is a file or a part
 * @reader: collects the errors; may already hold some
 *
 * Return: (transfer full): the configuration; it must not be used when @reader has errors
 */
WcConfig *wc_build_config (GPtrArray *documents, WcReader *reader);

/** wc_config_sort() - sorts the contents of @config, so that equal configurations encode alike */
void wc_config_sort (WcConfig *config);
