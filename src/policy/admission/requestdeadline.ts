/**
 * Decides the deadline of a request, in milliseconds on the daemon's clock.
 *
 * It is the earliest of the rule's time limit, the caller's own time limit and the deadline of the parent request (the
 * one for which this one is made), so that all requests of a chain of calls expire together.
 */

/** Limits are in milliseconds; times are milliseconds on the daemon's clock. */
type DeadlineInput = {
    readonly ruleLimitMs: number;
    /** Infinity if the caller states no limit. */
    readonly callerLimitMs: number;
    /** The deadline of the parent request, or undefined if there is none. */
    readonly parentDeadline: number | undefined;
};

/** Returns the deadline on the daemon's clock. */
export function requestDeadline(input: DeadlineInput, startedAt: number): number {
    const { ruleLimitMs, callerLimitMs, parentDeadline = Infinity } = input;
    return Math.min(startedAt + Math.min(ruleLimitMs, callerLimitMs), parentDeadline);
}
