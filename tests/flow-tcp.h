#pragma once

#include "ww-packet.h"

/**
 * DOC: A minimal TCP endpoint for the flow tests: go-back-N, no options, in-order reception only.
 *
 * The simulation drives it: it passes in packets and the time, and carries what the endpoint sends.
 */

#define FT_MSS_BYTES 100

/* Sequence variables have the names of RFC 9293. */
typedef struct
{
  WwFlowKey key;
  gboolean is_client;
  guint32 iss;
  guint32 snd_una;
  guint32 snd_nxt;
  guint32 rcv_nxt;
  GByteArray *send_buffer;    /* all payload of the connection, from sequence number iss + 1 */
  GByteArray *receive_buffer; /* all payload received in order */
  gboolean fin_queued;        /* FIN follows the payload in @send_buffer */
  gboolean established;
  gboolean fin_received;
  gboolean reset;
  gint64 retransmit_us;    /* next retransmission */
  gint64 rto_us;           /* retransmission timeout */
  gint64 challenge_ack_us; /* when an unacceptable segment was last acknowledged */
  void (*send) (gpointer context, const GByteArray *packet);
  gpointer context;
} FtConnection;

FtConnection *ft_connection_new (const WwFlowKey *key, gboolean is_client, guint32 iss);
void ft_connection_free (gpointer data);

/** ft_open() - sends the SYN, or the SYN-ACK of a server */
void ft_open (FtConnection *connection, gint64 now_us);

/** ft_accept() - opens the server's side of a connection in response to @syn */
void ft_accept (FtConnection *connection, const WwPacket *syn, gint64 now_us);
void ft_input (FtConnection *connection, const WwPacket *packet, gint64 now_us);

/** ft_output() - sends what the window allows */
void ft_output (FtConnection *connection, gint64 now_us);

/** ft_run_timer() - retransmits when the timeout has passed */
void ft_run_timer (FtConnection *connection, gint64 now_us);

/** ft_build_reset() - builds the RST sent in response to a packet without a connection */
GByteArray *ft_build_reset (const WwPacket *packet);
