#pragma once

#include "wb.h"

/**
 * ww_response_length() - reads the length of an HTTP/1 response from its header
 * @data: begins with the status line
 * @total: (out): bytes of the header and the body
 *
 * Only a length that both ends must agree on counts: the header is complete, has exactly one
 * Content-Length and no Transfer-Encoding. Responses to HEAD are not recognised; their length comes
 * out too high.
 *
 * Return: FALSE when the end of the response cannot be known from @data, also for an interim
 * response (1xx)
 */
gboolean ww_response_length (const guint8 *data, gsize length, guint32 *total);
