#pragma once

#include "wb-log.h"
#include "ww-flow-key.h"

/**
 * DOC: Log lines about single flows.
 *
 * Ordinary decisions are logged for a sample of the flows only, refusals and failures for all.
 */

/** Buffer size for ww_flow_name() in bytes, including the final nul. */
#define WW_FLOW_NAME_BYTES 48

/** Buffer size for ww_id_name() in bytes, including the final nul. */
#define WW_ID_NAME_BYTES 17

/** ww_flow_name() - formats the flow as "client:port>service:port". Return: @text */
const gchar *ww_flow_name (const WwFlowKey *key, gchar *text);

/** ww_id_name() - formats the id of a member or service in hexadecimal. Return: @text */
const gchar *ww_id_name (guint64 id, gchar *text);

/** ww_flow_log_enabled() - whether ordinary decisions on the flow are logged; see
 * wb_log_flow_enabled() */
gboolean ww_flow_log_enabled (const WwFlowKey *key);

/** ww_flow_log_write() - writes a line about a flow; called by WW_FLOW_LOG() and
 * WW_FLOW_LOG_ALWAYS() */
void
ww_flow_log_write (const gchar *event, const WwFlowKey *key, const WbLogField *fields, guint count);

/** WW_FLOW_LOG_ALWAYS() - logs a refusal or failure, whether or not the flow is in the sample */
#define WW_FLOW_LOG_ALWAYS(event, key, ...)                                                        \
  ww_flow_log_write (event, key, (const WbLogField[]){ __VA_ARGS__ },                              \
                     sizeof ((const WbLogField[]){ __VA_ARGS__ }) / sizeof (WbLogField))

/** WW_FLOW_LOG() - logs an ordinary decision when the flow is in the sample; otherwise the fields
 * are not evaluated */
#define WW_FLOW_LOG(event, key, ...)                                                               \
  do                                                                                               \
    {                                                                                              \
      if (ww_flow_log_enabled (key))                                                               \
        WW_FLOW_LOG_ALWAYS (event, key, __VA_ARGS__);                                              \
    }                                                                                              \
  while (0)
