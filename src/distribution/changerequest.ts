/** A change that an operator asks for. */
import type { Change } from "../config/change.js";
import type { ChangeId } from "../ids/changeid.js";

/** `baseRevision` 0 means the newest, whatever it is. */
export type ChangeRequest = {
    readonly id: ChangeId;
    readonly baseRevision: number;
    readonly changes: readonly Change[];
    readonly dryRun: boolean;
};
