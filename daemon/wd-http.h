#pragma once

#include "wc-settings.h"

/**
 * struct WdHttpResponse - the answer to a request
 * @status: HTTP status
 * @type: media type of @body
 * @body: (transfer full): NULL for none
 */
typedef struct
{
  guint status;
  const gchar *type;
  GString *body;
} WdHttpResponse;

/** WdHttpHandler - answers one request at once */
typedef void (*WdHttpHandler) (
    gpointer context, const gchar *method, const gchar *path, GBytes *body, WdHttpResponse *answer);

/** struct WdHttp - an HTTP server on the default main context */
typedef struct WdHttp WdHttp;

WdHttp *wd_http_new (WdHttpHandler handler, gpointer context);
void wd_http_free (WdHttp *http);

/**
 * wd_http_listen() - listens on one more address
 * @error: WW_ERROR_SOCKET
 */
gboolean wd_http_listen (WdHttp *http, const WcAddress *address, GError **error);
