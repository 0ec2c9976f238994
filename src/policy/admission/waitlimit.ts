/** Decides when a queued request is refused: after its longest wait in milliseconds, or at its deadline if sooner. */

/** The time from now on, and the reason of the refusal. */
type WaitLimit = { readonly afterMs: number; readonly reason: "wait-too-long" | "deadline"; };

/** Returns the earlier of both limits, which are milliseconds from now on. */
export function waitLimit(maxWaitMs: number, remainingMs: number): WaitLimit {
    return maxWaitMs < remainingMs
        ? { afterMs: maxWaitMs, reason: "wait-too-long" }
        : { afterMs: remainingMs, reason: "deadline" };
}
