#include "wm-private.h"

#include <string.h>

/*
 * Fuzzes a membership node with datagrams and time steps. The input is a sequence of records: a
 * byte for the sender (low three bits) and the time step (high four bits, in 100 ms), a byte for
 * the header, two bytes of length, and the body. Header bits: 7 for a reply to the last call, 0 to
 * 3 for the procedure; with bits 4 to 6 all set the datagram is the body alone. Without a prepared
 * header the fuzzer would rarely get past the checks of the RPC header and the transaction id.
 */

#define MEMBER_COUNT 6
#define BASE_ADDRESS 0x0a000001
#define PORT 7000

/* Transaction id of the last call that the node sent. */
static guint32 last_xid;

static void
on_send (gpointer context, guint32 address, guint16 port, const guint8 *data, gsize length)
{
  if (length > WW_DATAGRAM_MAX_BYTES)
    g_error ("datagram of %" G_GSIZE_FORMAT " bytes", length);
  /* An RPC message begins with the transaction id and a word that is 0 for a call. */
  if (ww_datagram_first_word (data + 4, length - 4) == 0)
    last_xid = ww_datagram_first_word (data, length);
}

static void
on_config_complete (gpointer context, guint64 version, GBytes *root, GHashTable *parts)
{
  WmNode *node = *(WmNode **) context;

  if (version <= wm_node_config_version (node))
    g_error ("configuration version did not increase");
  wm_node_set_config (node, version, version);
}

/* A root is a list of hashes in hexadecimal digits without separators. */
static GPtrArray *
on_root_hashes (gpointer context, GBytes *root)
{
  GPtrArray *hashes = g_ptr_array_new_with_free_func (g_free);
  g_autofree gchar *text = g_strndup (g_bytes_get_data (root, NULL), g_bytes_get_size (root));
  const gchar *remaining = text;

  for (; strlen (remaining) >= WM_HEX_LENGTH; remaining += WM_HEX_LENGTH)
    g_ptr_array_add (hashes, g_strndup (remaining, WM_HEX_LENGTH));
  return hashes;
}

static void
add_members (WmNode *node)
{
  guint64 i;

  for (i = 1; i <= MEMBER_COUNT; i++)
    {
      ww_member member = { .id = i,
                           .incarnation = 1,
                           .service_id = i % 3,
                           .address = BASE_ADDRESS + (guint32) i,
                           .ports = PORT << 16,
                           .zone = i % 2,
                           .role = WW_ROLE_AGENT };

      wm_apply_member (node, &member, FALSE);
    }
}

static GByteArray *
make_datagram (guint8 header, const guint8 *body, gsize length)
{
  WwCall call = { .xid = header & 0x80 ? last_xid : header,
                  .is_reply = (header & 0x80) != 0,
                  .procedure = (ww_procedure) (header & 0x0f) };
  GByteArray *bytes = g_byte_array_new ();

  if ((header & 0x70) != 0x70)
    {
      g_byte_array_unref (bytes);
      bytes = ww_call_encode (&call, NULL, NULL, NULL);
    }
  return g_byte_array_append (bytes, body, (guint) length);
}

int LLVMFuzzerTestOneInput (const guint8 *data, gsize size);

int
LLVMFuzzerTestOneInput (const guint8 *data, gsize size)
{
  WmNode *node = NULL;
  WmSettings settings = { .id = 99,
                          .service_id = 1,
                          .address = BASE_ADDRESS,
                          .control_port = PORT,
                          .data_port = PORT + 1,
                          .zone = 1,
                          .role = WW_ROLE_AGENT };
  WmCallbacks callbacks = { .context = &node,
                            .send = on_send,
                            .config_complete = on_config_complete,
                            .root_hashes = on_root_hashes };
  gint64 now_us = 0;

  node = wm_node_new (&settings, &callbacks, 1, now_us);
  add_members (node);
  while (size >= 4)
    {
      gsize length = MIN (((gsize) data[2] << 8) | data[3], size - 4);
      g_autoptr (GByteArray) bytes = make_datagram (data[1], data + 4, length);

      now_us += (gint64) (data[0] >> 4) * (100 * WB_US_PER_MS);
      wm_node_tick (node, now_us);
      wm_node_receive (node, BASE_ADDRESS + (data[0] & 7), PORT, bytes->data, bytes->len, now_us);
      data += 4 + length;
      size -= 4 + length;
    }
  wm_node_tick (node, now_us + WB_US_PER_S / 2);
  wm_node_free (node);
  return 0;
}
