#pragma once

#include "ws.h"

/**
 * DOC: Encoding of calls of the object API as HTTP requests, and decoding of the responses.
 *
 * A platform has one codec. Connections, time-outs and outcomes of calls are left to the client.
 */

typedef enum
{
  WS_CALL_GET,
  WS_CALL_WATCH,
  WS_CALL_PUT,
} WsCallKind;

/**
 * struct WsRequest - an encoded call
 * @path: path below the base URL, including the query
 * @body: JSON, or NULL
 * @header: name of the header that carries the condition of a write, or NULL
 * @header_value: value of @header
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
 * struct WsZoneEntry - an availability zone in a list or an event of evacuations
 * @present: the zone is to be evacuated; FALSE in the event of a deletion
 */
typedef struct
{
  gchar *name;
  gboolean present;
} WsZoneEntry;

/**
 * struct WsZones - response to a list or a watch of the evacuations
 * @entries: array of WsZoneEntry, in the order of the response
 * @messages: array of strings, one per entry that was skipped or has an unknown member; bounded
 * @revision: resume position: a watch that starts there sees each later change
 * @era: like WsObject.era
 */
typedef struct
{
  GArray *entries;
  GPtrArray *messages;
  guint64 revision;
  guint64 era;
} WsZones;

/**
 * WsZonesFunc - called with the response to a list or a watch of the evacuations
 * @zones: (transfer none): NULL on an error, and when a watch ended without content
 * @error: WS_ERROR, or NULL
 */
typedef void (*WsZonesFunc) (gpointer context, const WsZones *zones, const GError *error);

/**
 * struct WsZoneStore - interface to an object store; see ws_client_zone_store()
 * @list, @watch: like ws_client_list_zones() and ws_client_watch_zones()
 * @era: like ws_client_era()
 * @cancel: like ws_client_cancel()
 */
typedef struct
{
  gpointer context;
  void (*list) (gpointer context, WsZonesFunc callback, gpointer callback_context);
  void (*watch) (gpointer context,
                 guint64 position,
                 guint timeout_ms,
                 WsZonesFunc callback,
                 gpointer callback_context);
  guint64 (*era) (gpointer context);
  void (*cancel) (gpointer context, gpointer callback_context);
} WsZoneStore;

/**
 * struct WsCodec - encoders and decoders of one object API
 * @name: name of the platform
 * @era_header: name of the response header with the era of the store's content, or NULL
 * @encode_get: encodes a read of an object
 * @encode_watch: encodes a wait for a change of an object after @position, for at most @timeout_ms
 * @encode_put: encodes a write of an object that must have the version @if_version; 0 when it must
 *   not exist yet
 * @decode_response: decodes the body of a successful response; WS_ERROR_NOT_FOUND when there is no
 *   such object, WS_ERROR_BAD_RESPONSE when it does not decode
 * @error_for_status: maps the HTTP status of a failed call to an error
 * @encode_list_zones, @encode_watch_zones, @decode_zones: (optional, all or none): list and watch
 * of the evacuations. @zones is initialized; an entry that is not understood is skipped and gets a
 *   message. WS_ERROR_BAD_RESPONSE when the response as a whole does not decode
 */
typedef struct
{
  const gchar *name;
  const gchar *era_header;
  void (*encode_get) (const gchar *key, WsRequest *request);
  void (*encode_watch) (const gchar *key, guint64 position, guint timeout_ms, WsRequest *request);
  void (*encode_put) (const gchar *key, GBytes *value, guint64 if_version, WsRequest *request);
  gboolean (*decode_response) (
      WsCallKind kind, const gchar *key, GBytes *body, WsObject *object, GError **error);
  WsError (*error_for_status) (WsCallKind kind, guint status);
  void (*encode_list_zones) (WsRequest *request);
  void (*encode_watch_zones) (guint64 position, guint timeout_ms, WsRequest *request);
  gboolean (*decode_zones) (WsCallKind kind, GBytes *body, WsZones *zones, GError **error);
} WsCodec;

/** ws_codec_native - the object API that the project defines */
extern const WsCodec ws_codec_native;

/** ws_request_clear() - frees the members of @request */
void ws_request_clear (WsRequest *request);

void ws_zones_init (WsZones *zones);
void ws_zones_clear (WsZones *zones);

/** ws_zones_add() - appends an entry; @name is copied */
void ws_zones_add (WsZones *zones, const gchar *name, gboolean present);

/** ws_zones_add_message() - appends a message unless there are many */
void ws_zones_add_message (WsZones *zones, const gchar *format, ...) G_GNUC_PRINTF (2, 3);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (WsZones, ws_zones_clear)
