/** Whether another attempt follows, and why. */

/** What the attempt is paid with: nothing, since it moves or was refused before it ran, or the retry budget. */
type Again = { readonly again: true; readonly why: "moves" | "free" | "budget"; };

type Ended = {
    readonly again: false;
    readonly why:
        | "time-over"
        | "quarantined"
        | "body-gone"
        | "retried-below"
        | "attempts-spent"
        | "may-have-run"
        | "budget-spent"
        | "no-upstream";
};

/** `why` is a field of the decision's log line. */
export type RetryDecision = Again | Ended;
