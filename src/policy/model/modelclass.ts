/** Describes a class of requests that callers send in a simulation. */
import type { Priority } from "../../config/priority.js";

/**
 * Requests of one kind. Half way through its work, a share `calls.share` of them makes the call `calls.name`. Times
 * are milliseconds.
 */
export type ModelClass = {
    readonly name: string;
    readonly service: string;
    readonly priority: Priority;
    readonly perSecond: number;
    readonly workMs: number;
    readonly targetMs: number;
    readonly timeLimitMs: number;
    /** Time for which a caller waits for a response, including its second attempt. */
    readonly callerTimeoutMs: number;
    readonly worth: number;
    readonly calls?: { readonly name: string; readonly share: number; };
};
