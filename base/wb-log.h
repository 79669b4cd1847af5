#pragma once

#include "wb.h"

/**
 * wb_log_init() - sets up log4c to write structured lines to standard error
 * @program: name of the category that the lines carry
 *
 * Call once. Without it all lines are discarded, so that tests stay quiet.
 */
void wb_log_init (const gchar *program);
void wb_log_fini (void);

/**
 * wb_log_state() - writes one line for a change of state
 * @event: lower case with underscores
 * @format: printf format of the rest of the line, as key=value pairs
 */
void wb_log_state (const gchar *event, const gchar *format, ...) G_GNUC_PRINTF (2, 3);

/** wb_log_error() - writes one line for a failure that an operator has to act on */
void wb_log_error (const gchar *event, const gchar *format, ...) G_GNUC_PRINTF (2, 3);
