#pragma once

#include "wb.h"

/**
 * struct WbOutput - non-blocking, buffered writer of lines to a file descriptor
 *
 * Lines that cannot be written yet are kept in a bounded buffer. A line that does not fit is
 * dropped as a whole and counted.
 */
typedef struct WbOutput WbOutput;

/** wb_output_new() - sets @fd to non-blocking; it is not closed by wb_output_free() */
WbOutput *wb_output_new (gint fd);
void wb_output_free (WbOutput *output);

/** wb_output_append() - writes a line, or buffers it until wb_output_flush() */
void wb_output_append (WbOutput *output, const gchar *line, gsize length);

/** wb_output_flush() - writes buffered bytes as far as possible without blocking */
void wb_output_flush (WbOutput *output);

/** wb_output_pending_bytes() - number of buffered bytes */
gsize wb_output_pending_bytes (const WbOutput *output);

/** wb_output_dropped() - number of lines dropped */
guint64 wb_output_dropped (const WbOutput *output);
