/**
 * Decides how long a request may be queued at a gate, in milliseconds.
 *
 * A request whose rule has a target response time may wait a share of it, less the time already spent: a caller that is
 * soon refused because all upstreams are busy can retry and still be served in time. A call made for a running request
 * may wait as long as its service allows, because the work already done on that request would be lost otherwise.
 */

/** Share of the target for waiting; the rest is for the work itself, and for a retry after a refusal. */
const TARGET_WAIT_SHARE = 0.25;

/** `startedAt` is a time in milliseconds on the daemon's clock. */
type MaxWaitInput = {
    /** The longest wait that the service allows. */
    readonly serviceMaxWaitMs: number;
    /** The time within which a response is worth most, by the rule; undefined if the rule has no target. */
    readonly targetMs: number | undefined;
    readonly startedAt: number;
    /** The number of nested calls between services that led to this request. */
    readonly depth: number;
};

/** Returns the longest wait from now on, in milliseconds. */
export function maxWait({ serviceMaxWaitMs, targetMs, startedAt, depth }: MaxWaitInput, now: number): number {
    if (targetMs === undefined || depth > 0) {
        return serviceMaxWaitMs;
    }
    const remainingMs = targetMs * TARGET_WAIT_SHARE - (now - startedAt);
    return Math.max(0, Math.min(serviceMaxWaitMs, remainingMs));
}
