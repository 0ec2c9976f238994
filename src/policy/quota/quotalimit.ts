/**
 * Divides what the bound allows beyond rate and burst.
 *
 * A part covers tokens for waiting requests that are on their way when the window begins. Another part is added to the
 * depth of the bucket, so that the random arrivals of a team with a small burst are not refused. A third part covers
 * tokens returned by requests that did not run, and the rest covers prefetched tokens.
 */
import type { QuotaBound } from "./quotabound.js";
import { quotaTimes } from "./quotatimes.js";
import type { TeamLimit } from "./teamlimit.js";

const MS_PER_SECOND = 1000;
/** Share of the slack that is added to the depth of the bucket. */
const DEPTH_SHARE = 0.85;
/** Share of the remaining allowance for returned tokens. */
const RETURN_SHARE = 0.25;

/**
 * - `ratePerSecond`: tokens per second if all shares are leased.
 * - `depth`: tokens that the bucket holds at most if all shares are leased.
 * - `maxSpares`: prefetched tokens that are valid at the same time.
 * - `maxReturned`: tokens returned in any window.
 */
type QuotaLimit = {
    readonly ratePerSecond: number;
    readonly depth: number;
    readonly maxSpares: number;
    readonly maxReturned: number;
};

/** Returns the division of the bound for a team. */
export function quotaLimit({ ratePerSecond, burst }: TeamLimit, bound: QuotaBound): QuotaLimit {
    const allowance = bound.overage * (ratePerSecond * bound.windowS + burst) + bound.slack;
    const onTheWay = ratePerSecond * quotaTimes.wantedMs / MS_PER_SECOND;
    const extraDepth = Math.max(0, Math.min(bound.slack * DEPTH_SHARE, allowance - onTheWay));
    const rest = Math.max(0, allowance - onTheWay - extraDepth);
    const maxReturned = rest * RETURN_SHARE;
    return { ratePerSecond, depth: burst + extraDepth, maxSpares: rest - maxReturned, maxReturned };
}
