#pragma once

#include "ws.h"

/**
 * DOC: How calls of the object API look on the wire. The client owns connections, time-outs and
 * outcomes; a dialect only encodes and decodes.
 */

typedef enum
{
  WS_CALL_GET,
  WS_CALL_WATCH,
  WS_CALL_PUT,
} WsCallKind;

/**
 * struct WsRequest - an encoded call
 * @path: below the base URL, with the query
 * @body: JSON, or NULL
 * @header: name of a header that carries the condition of a write, or NULL
 */
typedef struct
{
  const gchar *method;
  gchar *path;
  GBytes *body;
  const gchar *header;
  gchar *header_value;
} WsRequest;

/**
 * struct WsCodec - encoders and decoders of one object API
 * @get: reads an object
 * @watch: waits for a change of an object after @position, for at most @timeout_ms
 * @put: writes an object whose version is @if_version; 0 when it must not exist yet
 * @read: reads the body of a successful answer; WS_ERROR_NOT_FOUND when there is no such object,
 *   WS_ERROR_BAD_RESPONSE when it does not decode
 * @error: what an answer with this status means
 */
typedef struct
{
  const gchar *name;
  void (*get) (const gchar *key, WsRequest *request);
  void (*watch) (const gchar *key, guint64 position, guint timeout_ms, WsRequest *request);
  void (*put) (const gchar *key, GBytes *value, guint64 if_version, WsRequest *request);
  gboolean (*read) (
      WsCallKind kind, const gchar *key, GBytes *body, WsObject *object, GError **error);
  WsError (*error) (WsCallKind kind, guint status);
} WsCodec;

/** ws_codec_native - the object API that the project defines */
extern const WsCodec ws_codec_native;

/** ws_request_clear() - frees what the request holds */
void ws_request_clear (WsRequest *request);
