#include "wd-access.h"

struct WdAccess
{
  GHashTable *allowed; /* set of addresses */
  GHashTable *grace;   /* address to gint64, when its grace began */
};

WdAccess *
wd_access_new (void)
{
  WdAccess *access = g_new0 (WdAccess, 1);

  access->allowed = g_hash_table_new (NULL, NULL);
  access->grace = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return access;
}

void
wd_access_free (WdAccess *access)
{
  if (access == NULL)
    return;
  g_hash_table_unref (access->allowed);
  g_hash_table_unref (access->grace);
  g_free (access);
}

void
wd_access_allow (WdAccess *access, guint32 address)
{
  g_hash_table_add (access->allowed, GUINT_TO_POINTER (address));
}

gboolean
wd_access_is_allowed (const WdAccess *access, guint32 address)
{
  return g_hash_table_contains (access->allowed, GUINT_TO_POINTER (address));
}

static void
forget_old (WdAccess *access, gint64 now_us)
{
  GHashTableIter iter;
  gpointer begin_us;

  g_hash_table_iter_init (&iter, access->grace);
  while (g_hash_table_iter_next (&iter, NULL, &begin_us))
    if (now_us - *(gint64 *) begin_us > WD_GRACE_US + WD_BLOCK_US)
      g_hash_table_iter_remove (&iter);
}

gboolean
wd_access_check (WdAccess *access, guint32 address, gint64 now_us)
{
  gint64 *begin_us = g_hash_table_lookup (access->grace, GUINT_TO_POINTER (address));

  if (wd_access_is_allowed (access, address))
    return TRUE;
  if (begin_us != NULL && now_us - *begin_us <= WD_GRACE_US + WD_BLOCK_US)
    return now_us - *begin_us <= WD_GRACE_US;
  if (begin_us == NULL && g_hash_table_size (access->grace) >= WD_GRACE_ADDRESSES)
    forget_old (access, now_us);
  if (begin_us == NULL && g_hash_table_size (access->grace) >= WD_GRACE_ADDRESSES)
    return FALSE;
  g_hash_table_insert (access->grace, GUINT_TO_POINTER (address),
                       g_memdup2 (&now_us, sizeof now_us));
  return TRUE;
}
