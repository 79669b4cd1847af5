#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * enum WcError - errors of the config package
 * @WC_ERROR_FILE: a file or directory cannot be read
 * @WC_ERROR_SYNTAX: a file or part is not valid TOML or JSON
 * @WC_ERROR_UNKNOWN_KEY: a table contains a key that is not defined
 * @WC_ERROR_TYPE: a value has the wrong type
 * @WC_ERROR_RANGE: a value is malformed, has a wrong unit or is out of range
 * @WC_ERROR_MISSING: a required key is missing
 * @WC_ERROR_DUPLICATE: a name, address, port or prefix is used twice
 * @WC_ERROR_PART: a part is missing or does not match its hash
 * @WC_ERROR_TOO_LARGE: a part or the root object exceeds its size limit
 *
 * A validation reports all errors that it finds: the message has one line per error, and the code
 * is that of the first.
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
