/** What callers of a model send. Times in milliseconds. */
import type { Priority } from "../../config/priority.js";

/** Requests of one kind. `calls`: a share of the runs makes one call, half way through. */
export type ModelClass = {
    readonly name: string;
    readonly service: string;
    readonly priority: Priority;
    readonly perSecond: number;
    readonly workMs: number;
    readonly targetMs: number;
    readonly timeLimitMs: number;
    /** How long a caller waits, its second try among it. */
    readonly callerTimeoutMs: number;
    readonly worth: number;
    readonly calls?: { readonly name: string; readonly share: number; };
};
