#include "wb-output.h"

#include <errno.h>
#include <unistd.h>

#include <glib-unix.h>

/* Holds some seconds of lines when all events are at their limit. */
#define BUFFER_MAX_BYTES ((gsize) 256 * 1024)

struct WbOutput
{
  gint fd;
  gboolean disabled; /* write failed, or the descriptor cannot be non-blocking */
  GByteArray *buffer;
  guint64 dropped;
};

WbOutput *
wb_output_new (gint fd)
{
  WbOutput *output = g_new0 (WbOutput, 1);
  g_autoptr (GError) error = NULL;

  output->fd = fd;
  output->buffer = g_byte_array_new ();
  /* Writing to a blocking descriptor could stop packet processing. */
  output->disabled = !g_unix_set_fd_nonblocking (fd, TRUE, &error);
  return output;
}

void
wb_output_free (WbOutput *output)
{
  if (output == NULL)
    return;
  g_byte_array_unref (output->buffer);
  g_free (output);
}

void
wb_output_flush (WbOutput *output)
{
  gssize written;

  if (output->disabled || output->buffer->len == 0)
    return;
  written = write (output->fd, output->buffer->data, output->buffer->len);
  if (written > 0)
    g_byte_array_remove_range (output->buffer, 0, (guint) written);
  else if (written < 0 && errno != EAGAIN && errno != EINTR)
    {
      output->disabled = TRUE;
      g_byte_array_set_size (output->buffer, 0);
    }
}

void
wb_output_append (WbOutput *output, const gchar *line, gsize length)
{
  if (output->disabled || output->buffer->len + length > BUFFER_MAX_BYTES)
    {
      output->dropped++;
      return;
    }
  g_byte_array_append (output->buffer, (const guint8 *) line, (guint) length);
  wb_output_flush (output);
}

gsize
wb_output_pending_bytes (const WbOutput *output)
{
  return output->buffer->len;
}

guint64
wb_output_dropped (const WbOutput *output)
{
  return output->dropped;
}
