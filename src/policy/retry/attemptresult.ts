/** What became of one attempt. */
import type { Reason } from "./reason.js";

/** The caller has its answer, or as much of it as it wanted. */
type Served = { readonly outcome: "served"; };

/** The upstream ran the request and its own answer says that it failed. */
type Failed<Answer> = {
    readonly outcome: "failed";
    readonly answer: Answer;
    readonly status: number;
    /** A hop nearer to the failure has tried again already. */
    readonly retriedBelow: boolean;
};

/** No answer of the upstream. */
type Unanswered = {
    readonly outcome: "not-run" | "unknown";
    readonly reason: Reason;
    /** The gate says that the request was sent to the upstream. */
    readonly arrived?: boolean;
    /** When a request refused now is likely to find a slot there, in milliseconds from now. */
    readonly retryAfterMs?: number;
    /** The upstream where a slot is held for the request, and the offer by which it is held. */
    readonly goTo?: string;
    readonly offer?: string;
    /** The revision of the gate's configuration. */
    readonly revision?: number;
};

/** `Answer` is an upstream's answer, which is none of the policy's business. */
export type AttemptResult<Answer> = Served | Failed<Answer> | Unanswered;
