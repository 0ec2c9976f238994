/**
 * Decides which part of the bound on repeats one daemon may use, so that all daemons together keep it without
 * coordination.
 *
 * - Half of the ratio: each daemon counts back from its own last repeat, so the requests that it counts may lie in two
 *   windows of the bound.
 * - Half of the slack, divided by the number of daemons: a host whose daemon restarts within a window may spend the
 *   part of two incarnations in it. A daemon's part of the slack grows with its uptime up to one window, so that a
 *   series of short incarnations gets no more than one long incarnation.
 *
 * Tested by retrymodel.test.ts (several daemons, restarts, calls, rising and falling load).
 */
import type { Allowance } from "./allowance.js";
import type { RepeatBound } from "./repeatbound.js";

/** The part of the ratio and of the slack that is used, for the reasons above. */
const USABLE_SHARE = 0.5;

/** Describes the bounds and the daemon. */
type AllowanceInput = {
    readonly bound: RepeatBound;
    /** The operators' limit for the service, as a share of its requests. */
    readonly serviceRatio: number;
    /** The operators' limit for the reserve of one daemon. */
    readonly burst: number;
    /** The largest number of daemons that were known at the same time. */
    readonly daemonCount: number;
    /** Milliseconds since the daemon's start. */
    readonly uptimeMs: number;
};

/** Returns the daemon's allowance, within the operators' limits `serviceRatio` and `burst`. */
export function daemonAllowance({ bound, serviceRatio, burst, daemonCount, uptimeMs }: AllowanceInput): Allowance {
    const fullReserve = Math.min(burst, bound.slack * USABLE_SHARE / Math.max(1, daemonCount));
    const ageFactor = Math.min(1, uptimeMs / bound.windowMs);
    return { ratio: Math.min(serviceRatio, bound.ratio * USABLE_SHARE), reserve: fullReserve * ageFactor };
}
