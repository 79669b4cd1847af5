#include "wd-platform.h"

#include <string.h>

const WdPlatform wd_platform_native = {
  .name = "native",
  .packet_format = &ww_packet_format_ip,
  .object_codec = &ws_codec_native,
  .config_format = &wc_config_format_parts,
  .request_schema = &wd_request_schema_native,
};

const WdPlatform *
wd_platform_find (const WdPlatform *const *platforms, const gchar *name)
{
  for (; *platforms != NULL; platforms++)
    if (strcmp ((*platforms)->name, name) == 0)
      return *platforms;
  return NULL;
}
