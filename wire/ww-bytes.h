#pragma once

#include <glib.h>

/**
 * DOC: Unaligned access to numbers in network byte order, for packet headers.
 */

/** ww_read_u16() - reads the 16-bit number at @data */
static inline guint16
ww_read_u16 (const guint8 *data)
{
  return (guint16) ((data[0] << 8) | data[1]);
}

/** ww_read_u32() - reads the 32-bit number at @data */
static inline guint32
ww_read_u32 (const guint8 *data)
{
  return ((guint32) ww_read_u16 (data) << 16) | ww_read_u16 (data + 2);
}

/** ww_write_u16() - writes a 16-bit number to @data */
static inline void
ww_write_u16 (guint8 *data, guint16 value)
{
  data[0] = (guint8) (value >> 8);
  data[1] = (guint8) value;
}

/** ww_write_u32() - writes a 32-bit number to @data */
static inline void
ww_write_u32 (guint8 *data, guint32 value)
{
  ww_write_u16 (data, (guint16) (value >> 16));
  ww_write_u16 (data + 2, (guint16) value);
}
