#pragma once

#include "wc-reader.h"
#include "wc.h"

/**
 * wc_build() - validates documents as one whole configuration
 * @documents: of WcValue; files or parts
 * @reader: collects the problems; may hold some already
 *
 * Return: the configuration; it is meaningful only when @reader has no problem
 */
WcConfig *wc_build (GPtrArray *documents, WcReader *reader);

/** wc_build_sort() - puts the contents of @config into canonical order */
void wc_build_sort (WcConfig *config);
