#pragma once

#include "wf-server.h"

/**
 * DOC: Decodes the HTTP requests that a daemon receives: readiness and metrics requests of the
 * platform, and announcements and withdrawals of the backend server. The caller responds to them.
 */

typedef enum
{
  WD_REQUEST_UNKNOWN,
  WD_REQUEST_READINESS,
  WD_REQUEST_METRICS,
  WD_REQUEST_ANNOUNCE,
  WD_REQUEST_WITHDRAW,
} WdRequestKind;

/**
 * struct WdRequest - a decoded request
 * @announcement: for WD_REQUEST_ANNOUNCE and WD_REQUEST_WITHDRAW; a withdrawal has only name and
 *   start time
 */
typedef struct
{
  WdRequestKind kind;
  WfAnnouncement announcement;
} WdRequest;

/**
 * struct WdRequestSchema - paths, JSON keys and values of the HTTP requests of a platform
 * @readiness_path, @metrics_path: paths of GET requests
 * @servers_path: prefix of the path of an announcement, followed by the name of the server's
 *   process; PUT announces, DELETE withdraws
 * @service, @started, @sequence, @state, @slots, @cold: keys of the JSON body of an announcement
 * @ready, @draining: values of @state
 * @complete: whether an announcement must have @started and @cold too. Where every server sends
 *   them, one without is not from a server.
 * @strings: further keys that an announcement must have, with strings as values; NULL-terminated,
 *   or NULL. Their values are not used.
 */
typedef struct
{
  const gchar *readiness_path;
  const gchar *metrics_path;
  const gchar *servers_path;
  const gchar *service;
  const gchar *started;
  const gchar *sequence;
  const gchar *state;
  const gchar *slots;
  const gchar *cold;
  const gchar *ready;
  const gchar *draining;
  gboolean complete;
  const gchar *const *strings;
} WdRequestSchema;

/** wd_request_schema_native - the requests that this project defines */
extern const WdRequestSchema wd_request_schema_native;

/**
 * wd_request_decode() - decodes a request
 * @request: (out): to be cleared with wd_request_clear(); its kind is WD_REQUEST_UNKNOWN when the
 *   method and path are none of @schema
 * @error: WC_ERROR when the body does not decode, a key is missing or has a value of another type,
 *   or the state is unknown
 */
gboolean wd_request_decode (const WdRequestSchema *schema,
                            const gchar *method,
                            const gchar *path,
                            GBytes *body,
                            WdRequest *request,
                            GError **error);
void wd_request_clear (WdRequest *request);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (WdRequest, wd_request_clear)
