#pragma once

#include "wc-error.h"
#include "wc-span.h"
#include "wc-value.h"
#include "wc.h"

/**
 * DOC: Encoding of a configuration in the platform's object store and between processes.
 *
 * A part is a JSON document with the same keys as a configuration file. There is one part for each
 * service, one for the tenants, and one for availability zones and drained hosts. A part is stored
 * under its SHA-256 in hexadecimal. The root object holds the version, the apply that wrote it, the
 * applies before it, and the hashes of the parts in order.
 */

/** Largest part or root object in bytes: below the store's 1 MB, with room for JSON escapes. */
#define WC_PART_MAX_BYTES 800000

/** Earlier applies that the root object records, besides the one that wrote it. */
#define WC_ROOT_MAX_HISTORY 8

/** Maximum number of parts of one configuration. */
#define WC_MAX_PARTS 4096

/**
 * struct WcParts - an encoded configuration
 * @hashes: hexadecimal SHA-256 of each part, in order
 * @bodies: hash to GBytes
 * @digest: first 8 bytes of the SHA-256 of the concatenated hashes
 */
typedef struct
{
  GPtrArray *hashes;
  GHashTable *bodies;
  guint64 digest;
} WcParts;

/**
 * wc_parts_encode() - encodes @config
 * @error: WC_ERROR_TOO_LARGE
 */
WcParts *wc_parts_encode (const WcConfig *config, GError **error);
void wc_parts_free (WcParts *parts);

/** wc_part_hash() - (transfer full): hexadecimal SHA-256 */
gchar *wc_part_hash (GBytes *part);

/**
 * struct WcApplyRecord - one run of the apply command
 * @version: configuration version that it wrote
 * @apply_id: chosen by the command; shows whether a write of unknown outcome took place
 */
typedef struct
{
  guint64 version;
  gchar *apply_id;
  gchar *operator_name;
} WcApplyRecord;

/**
 * struct WcRoot - the root object
 * @last_apply: the apply that wrote it; its version is the version of the configuration
 * @history: array of WcApplyRecord; earlier applies, latest first
 * @hashes: array of strings; hashes of the parts
 * @digest: as in WcParts, computed from @hashes
 */
typedef struct
{
  WcApplyRecord last_apply;
  GPtrArray *history;
  GPtrArray *hashes;
  guint64 digest;
} WcRoot;

/**
 * wc_root_new() - the root object of a new version
 * @previous: the root that it replaces, or NULL
 */
WcRoot *wc_root_new (const WcRoot *previous,
                     const gchar *apply_id,
                     const gchar *operator_name,
                     const WcParts *parts);
void wc_root_free (WcRoot *root);

/**
 * wc_root_encode() - encodes the root object for the store
 * @error: WC_ERROR_TOO_LARGE, or WC_ERROR_RANGE when apply id or operator is not a valid name
 */
GBytes *wc_root_encode (const WcRoot *root, GError **error);

/**
 * wc_root_parse() - decodes a root object
 * @error: WC_ERROR
 */
WcRoot *wc_root_parse (GBytes *bytes, GError **error);

typedef struct WcDecoder WcDecoder;

/**
 * struct WcConfigFormat - how a platform stores a configuration
 * @has_no_parts: the root object contains the whole configuration and lists no parts
 * @parse_root: decodes the root object's version and list of parts, and no more of it
 * @decode: decodes the configuration from root object and parts; @decoder may be NULL
 */
typedef struct
{
  gboolean has_no_parts;
  WcRoot *(*parse_root) (GBytes *root, GError **error);
  WcConfig *(*decode) (WcDecoder *decoder, GBytes *root, GHashTable *parts, GError **error);
} WcConfigFormat;

/** wc_config_format_parts - native format: a root object and parts */
extern const WcConfigFormat wc_config_format_parts;

/**
 * wc_root_part_hashes() - hashes of the parts that a stored root object lists
 *
 * Return: (transfer full): array of strings, which it owns; NULL when @root does not decode
 */
GPtrArray *wc_root_part_hashes (const WcConfigFormat *format, GBytes *root);

/**
 * wc_root_missing_parts() - hashes in @root that are not keys of @parts
 *
 * Return: (transfer container): array of strings owned by @root
 */
GPtrArray *wc_root_missing_parts (const WcRoot *root, GHashTable *parts);

/**
 * wc_parts_decode() - decodes and validates a configuration
 * @root: the root object as stored
 * @parts: hash to GBytes; may contain parts that the root object does not list
 * @error: WC_ERROR; the validation is the same as for files
 */
WcConfig *wc_parts_decode (GBytes *root, GHashTable *parts, GError **error);

/**
 * struct WcDecoder - decodes successive versions of a configuration and caches parsed parts
 *
 * Parts that two successive versions share are hashed and parsed only once, so that a small change
 * does not block a daemon's event loop for the time that decoding every part takes.
 */
WcDecoder *wc_decoder_new (void);
void wc_decoder_free (WcDecoder *decoder);

/**
 * wc_decoder_begin_routes() - starts to decode the routes in @source
 *
 * Routes of the version before, whose text is the same, are found by wc_decoder_find_route() and
 * need not be decoded again.
 */
void wc_decoder_begin_routes (WcDecoder *decoder, GBytes *source);

/** wc_decoder_find_route() - (transfer full): the route decoded from the same text, or NULL */
WcRoute *wc_decoder_find_route (WcDecoder *decoder, WcSpan text);

/** wc_decoder_add_route() - records that @route was decoded from @text, which is part of the source
 */
void wc_decoder_add_route (WcDecoder *decoder, WcSpan text, WcRoute *route);

/** wc_decoder_routes_decoded() - number of routes that were decoded and not found; for tests */
guint64 wc_decoder_routes_decoded (const WcDecoder *decoder);

/** wc_decoder_decode() - like wc_parts_decode() */
WcConfig *wc_decoder_decode (WcDecoder *decoder, GBytes *root, GHashTable *parts, GError **error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WcDecoder, wc_decoder_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (WcParts, wc_parts_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (WcRoot, wc_root_free)
