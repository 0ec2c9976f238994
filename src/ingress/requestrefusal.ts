/** The refusal of a caller's request before an upstream is chosen. */
import type { ProblemType } from "../policy/retry/problemtype.js";

/** `retryAfterMs`: the time in milliseconds after which the caller should send the request again. */
export type RequestRefusal = {
    readonly type: "refusal";
    readonly problem: ProblemType;
    readonly detail: string;
    readonly retryAfterMs?: number;
};
