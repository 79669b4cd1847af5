#pragma once

#include "ww-packet.h"

/**
 * DOC: A small TCP end for the flow tests: go-back-N, no options, in-order reception only.
 */

#define FT_MSS 100

typedef struct
{
  WwFlowKey key;
  gboolean is_client;
  guint32 iss;
  guint32 una;
  guint32 next;
  guint32 received_next;
  GByteArray *out; /* all payload to send, from sequence number iss + 1 */
  GByteArray *in;  /* all payload received in order */
  gboolean fin;    /* FIN follows the payload in @out */
  gboolean established;
  gboolean peer_fin;
  gboolean reset;
  gint64 due_us; /* next retransmission */
  gint64 interval_us;
  gint64 challenged_us; /* when an empty unacceptable segment was answered last */
  void (*emit) (gpointer context, const GByteArray *packet);
  gpointer context;
} FtConnection;

FtConnection *ft_connection_new (const WwFlowKey *key, gboolean is_client, guint32 iss);
void ft_connection_free (gpointer data);
void ft_open (FtConnection *connection, gint64 now_us);
void ft_accept (FtConnection *connection, const WwPacket *syn, gint64 now_us);
void ft_input (FtConnection *connection, const WwPacket *packet, gint64 now_us);

/** ft_output() - sends what the window allows */
void ft_output (FtConnection *connection, gint64 now_us);
void ft_timer (FtConnection *connection, gint64 now_us);

/** ft_reset_reply() - the RST that answers a packet without a connection */
GByteArray *ft_reset_reply (const WwPacket *packet);
