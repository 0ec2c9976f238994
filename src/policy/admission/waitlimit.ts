/** When does a request's wait at a gate end without its turn: at its longest wait, or at its deadline if that is sooner? */

/** Milliseconds from now on, and the reason for which the request is refused then. */
type WaitLimit = { readonly afterMs: number; readonly reason: "wait-too-long" | "deadline"; };

/** Both in milliseconds from now on. */
export function waitLimit(maxWaitMs: number, untilDeadlineMs: number): WaitLimit {
    return maxWaitMs < untilDeadlineMs
        ? { afterMs: maxWaitMs, reason: "wait-too-long" }
        : { afterMs: untilDeadlineMs, reason: "deadline" };
}
