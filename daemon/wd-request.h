#pragma once

#include "wf-server.h"

/**
 * DOC: HTTP requests that a daemon answers: readiness and metrics for the platform, announcements
 * of the backend server.
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
 * struct WdRequest - a request read
 * @announcement: for WD_REQUEST_ANNOUNCE and WD_REQUEST_WITHDRAW; a withdrawal has only name and
 *   start time
 */
typedef struct
{
  WdRequestKind kind;
  WfAnnouncement announcement;
} WdRequest;

/**
 * struct WdRequestSchema - how requests are spelled
 * @servers_path: the name of the server's process follows; PUT announces, DELETE withdraws
 * @service, @started, @sequence, @state, @slots, @cold: members of the JSON body
 * @ready, @draining: values of @state
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
} WdRequestSchema;

/** wd_request_schema_native - the spelling of the project's own interface */
extern const WdRequestSchema wd_request_schema_native;

/**
 * wd_request_read() - reads a request
 * @request: (out): cleared with wd_request_clear()
 * @error: WC_ERROR when the body does not decode, has a member missing or of another type, or names
 *   an unknown state
 */
gboolean wd_request_read (const WdRequestSchema *names,
                          const gchar *method,
                          const gchar *path,
                          GBytes *body,
                          WdRequest *request,
                          GError **error);
void wd_request_clear (WdRequest *request);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (WdRequest, wd_request_clear)
