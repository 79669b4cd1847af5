#pragma once

/* The platform's metadata store, as far as the programs use it. */

#include <glib.h>

gboolean store_open (const gchar *host, guint port, GError **error);
void store_close (void);

/* While it is silent the store accepts requests and never answers them. */
void store_set_silent (gboolean silent);

/* Writes an object as the operator does. Return: its revision */
guint64 store_put (const gchar *kind, const gchar *name, const gchar *spec);

/* Deletes an object as the operator does. */
void store_delete (const gchar *kind, const gchar *name);
