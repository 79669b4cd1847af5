#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * enum WcError - errors of the config package
 * @WC_ERROR_FILE: a file or directory cannot be read
 * @WC_ERROR_SYNTAX: a file or part is no valid TOML or JSON
 * @WC_ERROR_UNKNOWN_KEY: a key that has no meaning
 * @WC_ERROR_TYPE: a value of the wrong type
 * @WC_ERROR_RANGE: a value that is malformed, has a wrong unit or is out of range
 * @WC_ERROR_MISSING: a key that is required
 * @WC_ERROR_DUPLICATE: a name, address, port or prefix that is used twice
 * @WC_ERROR_PART: a part is missing or does not match its hash
 * @WC_ERROR_TOO_LARGE: a part or the root object exceeds its size limit
 *
 * When several problems are found, the message has one line for each and the code is that of the
 * first.
 */
typedef enum
{
  WC_ERROR_FILE,
  WC_ERROR_SYNTAX,
  WC_ERROR_UNKNOWN_KEY,
  WC_ERROR_TYPE,
  WC_ERROR_RANGE,
  WC_ERROR_MISSING,
  WC_ERROR_DUPLICATE,
  WC_ERROR_PART,
  WC_ERROR_TOO_LARGE,
} WcError;

#define WC_ERROR (wc_error_quark ())
GQuark wc_error_quark (void);

G_END_DECLS
