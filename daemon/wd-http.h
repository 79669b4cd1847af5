#pragma once

#include "wc-settings.h"

/**
 * DOC: HTTP server of a daemon, for readiness, metrics and the announcements of backend servers.
 *
 * It only transports requests and responses; see wd-request.h for their content.
 */

/**
 * struct WdHttpResponse - response to a request
 * @status: HTTP status code
 * @type: media type of @body
 * @body: (transfer full): NULL for a response without body
 */
typedef struct
{
  guint status;
  const gchar *type;
  GString *body;
} WdHttpResponse;

/** WdHttpHandler - fills in the response to a request; the response is sent when it returns */
typedef void (*WdHttpHandler) (gpointer context,
                               const gchar *method,
                               const gchar *path,
                               GBytes *body,
                               WdHttpResponse *response);

/** struct WdHttp - an HTTP server on the default main context */
typedef struct WdHttp WdHttp;

WdHttp *wd_http_new (WdHttpHandler handler, gpointer context);
void wd_http_free (WdHttp *http);

/**
 * wd_http_listen() - listens on one more address
 * @error: WW_ERROR_SOCKET
 */
gboolean wd_http_listen (WdHttp *http, const WcAddress *address, GError **error);
