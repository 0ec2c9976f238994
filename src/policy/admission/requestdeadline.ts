/**
 * By when must a request have its answer?
 *
 * By its rule's time limit, or sooner if the caller says that it will not wait so long, or if the request for which it is made
 * ends sooner: a chain of calls runs out of time as one.
 */

/** Limits in milliseconds, times in milliseconds on the daemon's clock. */
type DeadlineInput = {
    readonly ruleLimitMs: number;
    /** Infinity for a caller that does not say. */
    readonly callerLimitMs: number;
    /** The deadline of the request for which this one is made, if there is one. */
    readonly parentDeadline: number | undefined;
};

/** On the daemon's clock. */
export function requestDeadline(input: DeadlineInput, startedAt: number): number {
    const { ruleLimitMs, callerLimitMs, parentDeadline = Infinity } = input;
    return Math.min(startedAt + Math.min(ruleLimitMs, callerLimitMs), parentDeadline);
}
