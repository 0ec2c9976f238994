/** A change of the configuration that an operator requests. */
import type { Change } from "../config/change.js";
import type { ChangeId } from "../ids/changeid.js";

/** The changes apply to the revision `baseRevision` only; 0 stands for the newest revision. */
export type ChangeRequest = {
    readonly id: ChangeId;
    readonly baseRevision: number;
    readonly changes: readonly Change[];
    readonly dryRun: boolean;
};
