#pragma once

#include "wb.h"

/**
 * DOC: Which addresses may send control messages while they are not members yet (R4).
 *
 * A joining member is not known to anyone. Its first messages are accepted for a short grace, after
 * which its address must be that of a member. The number of addresses in grace is bounded, so that
 * a flood of forged addresses costs a bounded amount of memory and work.
 */

/** Time in which a joining member has to become known. */
#define WD_GRACE_US (10 * WB_US_PER_S)

/** Time after the grace in which an address that did not become a member is ignored. */
#define WD_BLOCK_US (60 * WB_US_PER_S)

/** Most addresses in grace or ignored at a time. */
#define WD_GRACE_ADDRESSES 256

typedef struct WdAccess WdAccess;

WdAccess *wd_access_new (void);
void wd_access_free (WdAccess *access);

/** wd_access_allow() - an address that is always accepted, such as a contact from the settings */
void wd_access_allow (WdAccess *access, guint32 address);

/** wd_access_is_allowed() - whether the address was given to wd_access_allow() */
gboolean wd_access_is_allowed (const WdAccess *access, guint32 address);

/** wd_access_check() - whether a message of membership from an address that no member uses is
 * accepted now */
gboolean wd_access_check (WdAccess *access, guint32 address, gint64 now_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (WdAccess, wd_access_free)
