#include "wd-http.h"

#include "ww-sock.h"

#include <libsoup/soup.h>

struct WdHttp
{
  SoupServer *server;
  WdHttpHandler handler;
  gpointer context;
};

static void
request_received (SoupServer *server,
                  SoupServerMessage *message,
                  const char *path,
                  GHashTable *query,
                  gpointer data)
{
  WdHttp *http = data;
  g_autoptr (GBytes) body =
      soup_message_body_flatten (soup_server_message_get_request_body (message));
  WdHttpResponse response = { .status = SOUP_STATUS_NOT_FOUND, .type = "application/json" };
  gsize length;

  http->handler (http->context, soup_server_message_get_method (message), path, body, &response);
  soup_server_message_set_status (message, response.status, NULL);
  if (response.body == NULL)
    return;
  length = response.body->len;
  soup_server_message_set_response (message, response.type, SOUP_MEMORY_TAKE,
                                    g_string_free (response.body, FALSE), length);
}

WdHttp *
wd_http_new (WdHttpHandler handler, gpointer context)
{
  WdHttp *http = g_new0 (WdHttp, 1);

  http->server = soup_server_new (NULL, NULL);
  http->handler = handler;
  http->context = context;
  soup_server_add_handler (http->server, NULL, request_received, http, NULL);
  return http;
}

void
wd_http_free (WdHttp *http)
{
  if (http == NULL)
    return;
  soup_server_disconnect (http->server);
  g_object_unref (http->server);
  g_free (http);
}

gboolean
wd_http_listen (WdHttp *http, const WcAddress *address, GError **error)
{
  g_autofree gchar *host = ww_ipv4_format (address->address);
  g_autoptr (GSocketAddress) local = g_inet_socket_address_new_from_string (host, address->port);
  g_autoptr (GError) cause = NULL;

  if (soup_server_listen (http->server, local, 0, &cause))
    return TRUE;
  g_set_error (error, WW_ERROR, WW_ERROR_SOCKET, "cannot listen on %s:%u: %s", host, address->port,
               cause->message);
  return FALSE;
}
