#pragma once

#include "wc-parts.h"
#include "wd-request.h"
#include "ws-codec.h"

/**
 * struct WdPlatform - what differs between platforms: how packets, objects, configurations and
 * requests look
 * @name: value of the settings key platform_protocol
 */
typedef struct
{
  const gchar *name;
  const WwPacketFormat *packets;
  const WsCodec *objects;
  const WcConfigFormat *configs;
  const WdRequestSchema *requests;
} WdPlatform;

/** wd_platform_native - the project's own interface */
extern const WdPlatform wd_platform_native;

/** wd_platform_find() - the platform of that name in a NULL-terminated list, or NULL */
const WdPlatform *wd_platform_find (const WdPlatform *const *platforms, const gchar *name);
