#pragma once

#include "wm.h"

/**
 * DOC: Logs how many members are alive, suspect and dead. When many members start or fail together
 * the counts change with each message; they are then logged at most every 250 ms.
 */

typedef struct WdMemberLog WdMemberLog;

/** wd_member_log_new() - @member must live at least as long as the result */
WdMemberLog *wd_member_log_new (const WmNode *member);
void wd_member_log_free (WdMemberLog *log);

/** wd_member_log_update() - logs the counts if they have changed, now or after the interval */
void wd_member_log_update (WdMemberLog *log);
