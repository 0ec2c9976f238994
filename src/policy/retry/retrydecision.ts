/** The decision whether another attempt follows, and its reason. */

/**
 * Another attempt follows.
 *
 * `moves`: it is a free redirect.
 * `free`: it costs no budget, since the request has not run and was not refused for load.
 * `budget`: it is paid for from the retry budget.
 */
type NextAttempt = { readonly again: true; readonly why: "moves" | "free" | "budget"; };

/** No further attempt follows. */
type NoAttempt = {
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

/** `why` is a field of the log line that reports the decision. */
export type RetryDecision = NextAttempt | NoAttempt;
