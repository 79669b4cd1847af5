#include "ww-flow-log.h"

#include <string.h>

/* Maximum number of fields of a log line about a flow, the field "flow" included. */
#define MAX_FIELDS 10

const gchar *
ww_flow_name (const WwFlowKey *key, gchar *text)
{
  guint32 client = key->client_address;
  guint32 service = key->service_address;

  g_snprintf (text, WW_FLOW_NAME_BYTES, "%u.%u.%u.%u:%u>%u.%u.%u.%u:%u", client >> 24,
              (client >> 16) & 255, (client >> 8) & 255, client & 255, key->client_port,
              service >> 24, (service >> 16) & 255, (service >> 8) & 255, service & 255,
              key->service_port);
  return text;
}

const gchar *
ww_id_name (guint64 id, gchar *text)
{
  g_snprintf (text, WW_ID_NAME_BYTES, "%016" G_GINT64_MODIFIER "x", id);
  return text;
}

gboolean
ww_flow_log_enabled (const WwFlowKey *key)
{
  return wb_log_flow_enabled (ww_flow_key_hash (key));
}

void
ww_flow_log_write (const gchar *event, const WwFlowKey *key, const WbLogField *fields, guint count)
{
  WbLogField all_fields[MAX_FIELDS];
  gchar name[WW_FLOW_NAME_BYTES];

  count = MIN (count, MAX_FIELDS - 1);
  all_fields[0] = (WbLogField) WB_TEXT ("flow", ww_flow_name (key, name));
  memcpy (&all_fields[1], fields, count * sizeof *fields);
  wb_log_write (WB_LOG_INFO, event, all_fields, count + 1);
}
