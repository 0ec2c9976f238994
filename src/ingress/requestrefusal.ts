/** Why a caller's request is refused before any upstream is chosen. */
import type { ProblemType } from "../policy/retry/problemtype.js";

/** `retryAfterMs`: when to come back, in milliseconds. */
export type RequestRefusal = {
    readonly type: "refusal";
    readonly problem: ProblemType;
    readonly detail: string;
    readonly retryAfterMs?: number;
};
