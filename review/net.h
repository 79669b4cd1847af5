#pragma once

/* Packets of the platform and one end of a flow, as PROTOCOL.md describes them. Shares no code with
 * the programs under test. */

#include <glib.h>

#define HEADER_BYTES 34
#define PAYLOAD_MAX 1200
#define WINDOW_PACKETS 16

#define FLAG_SYN 1
#define FLAG_ACK 4
#define FLAG_RST 16
#define FLAG_BOUNCED 32
#define FLAG_FIN 64

typedef struct
{
  guint32 source, destination; /* host byte order */
  guint16 source_port, destination_port;
  guint32 sequence, acknowledgment, sum;
  guint8 flags;
  const guint8 *data;
  gsize length;
} Packet;

gsize packet_write (const Packet *packet, guint8 *bytes);
gboolean packet_read (const guint8 *bytes, gsize length, Packet *packet);

/* Whether the packet is as its sender wrote it. */
gboolean packet_is_intact (const guint8 *bytes, gsize length);

/* One end of an open flow: sends what is in @out, collects what arrives in @in. */
typedef struct
{
  guint32 local, remote;
  guint16 local_port, remote_port;
  guint32 send_first; /* sequence number of out->data[0] */
  guint32 send_next;  /* next one to be sent */
  guint32 acknowledged;
  guint32 receive_next;
  GByteArray *out;
  GByteArray *in;
  GHashTable *early;            /* sequence number to GBytes that arrived out of order */
  guint unacknowledged_packets; /* received and not acknowledged yet */
  gint64 retransmit_us;         /* when the oldest packet is sent again, or 0 */
  gint64 interval_us;
  guint retransmissions; /* in a row */
  void (*send) (gpointer context, const guint8 *bytes, gsize length);
  gpointer context;
} End;

void end_open (End *end, guint32 send_first, guint32 receive_next);
void end_clear (End *end);
void end_write (End *end, const gchar *bytes, gsize length, gint64 now_us);
void end_receive (End *end, const Packet *packet, gint64 now_us);
void end_tick (End *end, gint64 now_us);
void end_send_flags (End *end, guint8 flags, guint32 sequence, guint32 acknowledgment);
