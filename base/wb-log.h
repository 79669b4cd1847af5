#pragma once

#include "wb.h"

/**
 * DOC: Structured logs, one JSON object per line.
 *
 * Writing never blocks: while the reader is slow, lines are buffered, and once the buffer is full
 * they are dropped and counted. The lines per second are limited for each event; a line with the
 * event "suppressed" gives the number of lines over the limit.
 */

/**
 * enum WbLogLevel - level of a line, and highest level that is written
 * @WB_LOG_ERROR: failures that require an operator's action
 * @WB_LOG_INFO: also state changes, refusals, and decisions on a sample of the flows
 * @WB_LOG_DEBUG: also decisions on all other flows; lines per second are not limited. For tests
 */
typedef enum
{
  WB_LOG_ERROR,
  WB_LOG_INFO,
  WB_LOG_DEBUG,
} WbLogLevel;

/**
 * struct WbLogField - one field of a line; initialize it with WB_TEXT() or WB_NUMBER()
 * @text: value of a text field; NULL for a number
 * @number: value of a number field
 */
typedef struct
{
  const gchar *name;
  const gchar *text;
  gint64 number;
} WbLogField;

#define WB_TEXT(field_name, value)                                                                 \
  {                                                                                                \
    .name = (field_name), .text = (value)                                                          \
  }
#define WB_NUMBER(field_name, value)                                                               \
  {                                                                                                \
    .name = (field_name), .number = (gint64) (value)                                               \
  }

/**
 * wb_log_init() - opens the log
 * @program: value of the field "process"
 * @node: value of the field "node"
 * @fd: lines are written to it; it is set to non-blocking
 *
 * Must not be called again before wb_log_fini(). Lines are discarded while the log is not open, so
 * that tests print none.
 */
void wb_log_init (const gchar *program, const gchar *node, WbLogLevel level, gint fd);

/** wb_log_fini() - writes buffered lines as far as possible without blocking, and closes the log */
void wb_log_fini (void);

/** wb_log_set_level() - changes the highest level that is written */
void wb_log_set_level (WbLogLevel level);

/**
 * wb_log_flow_enabled() - whether ordinary decisions on the flow with this hash are logged
 *
 * The sample depends on the hash only, so that every process that handles the flow logs it or none
 * does.
 */
gboolean wb_log_flow_enabled (guint64 hash);

/** wb_log_write() - writes one line; usually called by wb_log_info() or wb_log_error() */
void wb_log_write (WbLogLevel level, const gchar *event, const WbLogField *fields, guint count);

/** wb_log_flush() - writes buffered lines; call it when the descriptor is writable again */
void wb_log_flush (void);

/** wb_log_has_pending() - whether lines are buffered */
gboolean wb_log_has_pending (void);

/** wb_log_dropped() - number of lines dropped because the buffer was full */
guint64 wb_log_dropped (void);

#define WB_LOG_LINE(level, event, ...)                                                             \
  wb_log_write (level, event, (const WbLogField[]){ __VA_ARGS__ },                                 \
                sizeof ((const WbLogField[]){ __VA_ARGS__ }) / sizeof (WbLogField))

/** wb_log_info() - logs a state change or failed request; fields are WB_TEXT() and WB_NUMBER() */
#define wb_log_info(event, ...) WB_LOG_LINE (WB_LOG_INFO, event, __VA_ARGS__)

/** wb_log_error() - logs a failure that requires an operator's action */
#define wb_log_error(event, ...) WB_LOG_LINE (WB_LOG_ERROR, event, __VA_ARGS__)
