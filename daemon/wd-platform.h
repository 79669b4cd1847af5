#pragma once

#include "wc-parts.h"
#include "wd-request.h"
#include "ws-codec.h"

/**
 * DOC: The formats and protocols in which platforms differ, and the choice of one by its name.
 */

/**
 * struct WdPlatform - formats and protocols of one platform
 * @name: value of the settings key platform_protocol
 * @packet_format: packets of clients and backend servers
 * @object_codec: HTTP requests and responses of the object API
 * @config_format: root object and parts of a configuration
 * @request_schema: HTTP requests that the daemons receive
 */
typedef struct
{
  const gchar *name;
  const WwPacketFormat *packet_format;
  const WsCodec *object_codec;
  const WcConfigFormat *config_format;
  const WdRequestSchema *request_schema;
} WdPlatform;

/** wd_platform_native - the formats and protocols that this project defines */
extern const WdPlatform wd_platform_native;

/** wd_platform_find() - looks up a platform by name in a NULL-terminated list; NULL if unknown */
const WdPlatform *wd_platform_find (const WdPlatform *const *platforms, const gchar *name);
