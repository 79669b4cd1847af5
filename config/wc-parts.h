#pragma once

#include "wc-error.h"
#include "wc-value.h"
#include "wc.h"

/**
 * DOC: The form of a configuration in the platform's object store and between nodes.
 *
 * A part is a JSON document of the same keys as a configuration file: one for each service, one for
 * the tenants, one for availability zones and drained hosts. It is addressed by its SHA-256 in
 * hexadecimal. The root object lists the hashes in order.
 */

/** Largest part or root in bytes; below 1 MB with room for the escapes of a JSON string. */
#define WC_PART_MAX_BYTES 800000

/** Applies that the root object remembers, the one that wrote it not included. */
#define WC_ROOT_MAX_HISTORY 8

/** Most parts of one configuration. */
#define WC_MAX_PARTS 4096

/**
 * struct WcParts - an encoded configuration
 * @hashes: hexadecimal SHA-256 of each part, in order
 * @bodies: hash to GBytes
 * @digest: first 8 bytes of the SHA-256 of the list of hashes
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

typedef struct
{
  guint64 version;
  gchar *apply_id;
  gchar *operator_name;
} WcApplyRecord;

/**
 * struct WcRoot - the root object
 * @last: the apply that wrote it; its version is the version of the configuration
 * @history: of WcApplyRecord; the applies before it, latest first
 * @hashes: of gchar; the parts
 * @digest: computed from @hashes
 */
typedef struct
{
  WcApplyRecord last;
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
 * wc_root_encode() - the root object as stored
 * @error: WC_ERROR_TOO_LARGE, or WC_ERROR_RANGE when apply id or operator is no name
 */
GBytes *wc_root_encode (const WcRoot *root, GError **error);

/**
 * wc_root_parse() - reads a root object
 * @error: WC_ERROR
 */
WcRoot *wc_root_parse (GBytes *bytes, GError **error);

typedef struct WcDecoder WcDecoder;

/**
 * struct WcConfigFormat - how a configuration is stored
 * @whole: the root object is the configuration and lists no parts
 * @parse_root: reads the root object: its version and the parts that it lists, if any. @decoder may
 *   be NULL; else what was parsed may be kept there for @decode
 * @decode: the whole configuration
 */
typedef struct
{
  gboolean whole;
  WcRoot *(*parse_root) (WcDecoder *decoder, GBytes *root, GError **error);
  WcConfig *(*decode) (WcDecoder *decoder, GBytes *root, GHashTable *parts, GError **error);
} WcConfigFormat;

/** wc_config_format_parts - a root object and parts */
extern const WcConfigFormat wc_config_format_parts;

/**
 * wc_root_hashes() - (transfer full): hashes of the parts that a stored root object lists, or NULL
 * when it is no root object; the array frees its elements
 */
GPtrArray *wc_root_hashes (const WcConfigFormat *format, GBytes *root);

/** wc_root_missing() - (transfer container): hashes of @root that are not keys of @parts */
GPtrArray *wc_root_missing (const WcRoot *root, GHashTable *parts);

/**
 * wc_parts_decode() - checks and decodes a whole configuration
 * @root: the root object as stored
 * @parts: hash to GBytes; it may hold others
 * @error: WC_ERROR; the same validation as for files
 */
WcConfig *wc_parts_decode (GBytes *root, GHashTable *parts, GError **error);

/**
 * struct WcDecoder - decodes one version after another
 *
 * Parts that two successive versions share are hashed and parsed once. A daemon uses it so that a
 * change does not stop its event loop for the time that a whole configuration takes.
 */
WcDecoder *wc_decoder_new (void);
void wc_decoder_free (WcDecoder *decoder);

/** wc_decoder_cache_document() - keeps the document parsed from @source; takes @document */
void wc_decoder_cache_document (WcDecoder *decoder, GBytes *source, WcValue *document);

/** wc_decoder_take_document() - (transfer full): the document kept for the bytes of @source, or
 * NULL */
WcValue *wc_decoder_take_document (WcDecoder *decoder, GBytes *source);

/** wc_decoder_decode() - like wc_parts_decode() */
WcConfig *wc_decoder_decode (WcDecoder *decoder, GBytes *root, GHashTable *parts, GError **error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WcDecoder, wc_decoder_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (WcParts, wc_parts_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (WcRoot, wc_root_free)
