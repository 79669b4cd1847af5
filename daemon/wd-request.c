#include "wd-request.h"

#include "wc-reader.h"

#include <string.h>

/* Generous: an announcement takes about 200 bytes. */
#define BODY_MAX_BYTES 16384
#define SLOTS_MAX 100000
#define COLD_MAX_MS 3600000

const WdRequestSchema wd_request_schema_native = {
  .readiness_path = "/ready",
  .metrics_path = "/metrics",
  .servers_path = "/servers/",
  .service = "service",
  .started = "started_ms",
  .sequence = "sequence",
  .state = "state",
  .slots = "slots",
  .cold = "cold_ms",
  .ready = "ready",
  .draining = "draining",
};

static gint64
read_integer (WcReader *reader,
              const WcValue *body,
              const gchar *key,
              gint64 minimum,
              gint64 maximum,
              gboolean required)
{
  gint64 value = 0;

  if (required && wc_value_find (body, key) == NULL)
    wc_reader_add_error (reader, body, key, WC_ERROR_MISSING, "missing");
  wc_reader_integer (reader, body, key, minimum, maximum, &value);
  return value;
}

/* A start time of 0 stands for a missing one, which not every schema allows. */
static gint64
read_started (const WdRequestSchema *schema,
              WcReader *reader,
              const WcValue *body,
              gboolean required)
{
  return read_integer (reader, body, schema->started, schema->complete ? 1 : 0, G_MAXINT64,
                       required);
}

static void
check_strings (const WdRequestSchema *schema, WcReader *reader, const WcValue *body)
{
  guint i;

  for (i = 0; schema->strings != NULL && schema->strings[i] != NULL; i++)
    (void) wc_reader_string (reader, body, schema->strings[i], TRUE);
}

static gboolean
decode_announcement (const WdRequestSchema *schema,
                     const WcValue *body,
                     WfAnnouncement *announcement,
                     GError **error)
{
  const gchar *const states[] = { schema->ready, schema->draining, NULL };
  const gchar *service;
  WcReader reader;
  gboolean ok;

  wc_reader_init (&reader);
  service = wc_reader_string (&reader, body, schema->service, TRUE);
  (void) wc_reader_string (&reader, body, schema->state, TRUE);
  announcement->service_id = service != NULL ? wb_name_id (service) : 0;
  announcement->draining = wc_reader_choice (&reader, body, schema->state, states, 0) == 1;
  announcement->sequence =
      (guint64) read_integer (&reader, body, schema->sequence, 0, G_MAXINT64, TRUE);
  announcement->started_ms = read_started (schema, &reader, body, schema->complete);
  announcement->slots = (guint) read_integer (&reader, body, schema->slots, 0, SLOTS_MAX, TRUE);
  announcement->cold_us =
      read_integer (&reader, body, schema->cold, 0, COLD_MAX_MS, schema->complete) * WB_US_PER_MS;
  check_strings (schema, &reader, body);
  ok = wc_reader_finish (&reader, error);
  wc_reader_clear (&reader);
  return ok;
}

/* The body of a withdrawal is optional. */
static gboolean
decode_withdrawal (const WdRequestSchema *schema,
                   const WcValue *body,
                   WfAnnouncement *announcement,
                   GError **error)
{
  WcReader reader;
  gboolean ok;

  if (body == NULL)
    return TRUE;
  wc_reader_init (&reader);
  announcement->started_ms = read_started (schema, &reader, body, FALSE);
  ok = wc_reader_finish (&reader, error);
  wc_reader_clear (&reader);
  return ok;
}

static gboolean
decode_server_request (const WdRequestSchema *schema,
                       const gchar *method,
                       const gchar *name,
                       GBytes *body,
                       WdRequest *request,
                       GError **error)
{
  g_autoptr (WcValue) document = NULL;
  gboolean is_announcement = strcmp (method, "PUT") == 0;

  if (name[0] == '\0' || (!is_announcement && strcmp (method, "DELETE") != 0))
    return TRUE;
  if (is_announcement || g_bytes_get_size (body) > 0)
    {
      document = wc_json_parse_bytes ("announcement", body, BODY_MAX_BYTES, error);
      if (document == NULL)
        return FALSE;
    }
  request->kind = is_announcement ? WD_REQUEST_ANNOUNCE : WD_REQUEST_WITHDRAW;
  request->announcement.name = g_strdup (name);
  return is_announcement ? decode_announcement (schema, document, &request->announcement, error)
                         : decode_withdrawal (schema, document, &request->announcement, error);
}

gboolean
wd_request_decode (const WdRequestSchema *schema,
                   const gchar *method,
                   const gchar *path,
                   GBytes *body,
                   WdRequest *request,
                   GError **error)
{
  memset (request, 0, sizeof *request);
  if (g_str_has_prefix (path, schema->servers_path))
    return decode_server_request (schema, method, path + strlen (schema->servers_path), body,
                                  request, error);
  if (strcmp (method, "GET") != 0)
    return TRUE;
  if (strcmp (path, schema->readiness_path) == 0)
    request->kind = WD_REQUEST_READINESS;
  else if (strcmp (path, schema->metrics_path) == 0)
    request->kind = WD_REQUEST_METRICS;
  return TRUE;
}

void
wd_request_clear (WdRequest *request)
{
  wf_announcement_clear (&request->announcement);
}
