/** The result of a change that an operator requested. */
import type { ChangeRecord } from "../config/changerecord.js";
import type { Issue } from "../config/issue.js";

/**
 * `unknown`: the change may or may not have been written. The operator can send it again with the same change id; it
 * can't take effect twice.
 */
export type ChangeResult =
    | { readonly type: "accepted"; readonly revision: number; readonly difference: readonly string[]; }
    | { readonly type: "dry-run"; readonly revision: number; readonly difference: readonly string[]; }
    | { readonly type: "conflict"; readonly revision: number; readonly latestChange: ChangeRecord | undefined; }
    | { readonly type: "invalid"; readonly issues: readonly Issue[]; }
    | { readonly type: "not-applied"; readonly issues: readonly Issue[]; }
    | { readonly type: "unknown"; readonly issues: readonly Issue[]; };
