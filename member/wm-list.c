#include "wm-private.h"

/*
 * Member list in the platform's store. A starting node that reads it knows the fleet at once, where
 * the contacts could not send the list to hundreds of nodes that start together.
 */

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  const ww_member *left = a;
  const ww_member *right = b;

  return left->id < right->id ? -1 : left->id > right->id;
}

GBytes *
wm_node_encode_members (const WmNode *node)
{
  g_autoptr (GArray) members = wm_node_members (node);
  g_autoptr (GByteArray) out = g_byte_array_new ();
  g_autoptr (GBytes) bytes = NULL;
  ww_member_list list;
  guint i;

  g_array_sort (members, compare_ids);
  /* The state is this node's own view; only live members are listed. */
  for (i = 0; i < members->len; i++)
    g_array_index (members, ww_member, i).state = WW_MEMBER_ALIVE;
  list.members.members_val = (ww_member *) (gpointer) members->data;
  list.members.members_len = members->len;
  g_byte_array_set_size (out, (guint) xdr_sizeof ((xdrproc_t) xdr_ww_member_list, &list));
  if (!ww_body_encode ((xdrproc_t) xdr_ww_member_list, &list, out->data, out->len))
    g_error ("member list of %u members does not encode", members->len);
  bytes = g_byte_array_free_to_bytes (g_steal_pointer (&out));
  return wm_delta_encode (NULL, bytes);
}

gboolean
wm_node_add_members (WmNode *node, GBytes *encoded, gint64 now_us)
{
  g_autoptr (GBytes) bytes = wm_delta_apply (NULL, encoded, WM_OBJECT_MAX_BYTES);
  ww_member_list list = { 0 };
  gsize length;
  const guint8 *data;
  guint i;

  if (bytes == NULL)
    return FALSE;
  data = g_bytes_get_data (bytes, &length);
  if (!ww_body_decode (data, length, (xdrproc_t) xdr_ww_member_list, &list, NULL))
    return FALSE;
  node->now_us = MAX (node->now_us, now_us);
  /* Of a fleet that starts at once, the contact that replied to the join may know nobody else. */
  if (wm_join_recently_started (node) && !node->leaving)
    {
      for (i = 0; i < list.members.members_len; i++)
        wm_apply_member (node, &list.members.members_val[i], FALSE);
      wm_join_list_known (node);
    }
  ww_body_clear ((xdrproc_t) xdr_ww_member_list, &list);
  wm_end_call (node);
  return TRUE;
}

GBytes *
wm_config_compress (GBytes *root)
{
  return wm_delta_encode (NULL, root);
}

GBytes *
wm_config_expand (GBytes *compressed)
{
  return wm_delta_apply (NULL, compressed, WM_OBJECT_MAX_BYTES);
}

guint32
wm_node_list_digest (const WmNode *node)
{
  return node->list_digest;
}
