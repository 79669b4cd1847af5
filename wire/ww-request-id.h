#pragma once

#include "wb.h"

/** Buffer size for a request id in bytes, including the final nul. */
#define WW_REQUEST_ID_BYTES 65

/**
 * ww_request_id_find() - finds the value of a header in the first bytes of an HTTP request, for
 * logs
 * @header_name: without the colon
 * @id: (out): buffer of WW_REQUEST_ID_BYTES
 *
 * A value that does not fit, or has characters other than letters, digits, dots, hyphens and
 * underscores, is ignored.
 *
 * Return: whether a valid value was found
 */
gboolean
ww_request_id_find (const guint8 *payload, gsize length, const gchar *header_name, gchar *id);
