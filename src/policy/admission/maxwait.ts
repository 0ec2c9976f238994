/** How long a request may wait for its turn. */
import type { Plan } from "./plan.js";

/**
 * A caller that is told soon that all are busy can still be served in time when it comes back: so no more than this
 * share of the target is spent on waiting.
 */
const WAIT_SHARE = 0.25;

/** Milliseconds from now on; a call for a request that already runs waits as long as it can, since its work is spent. */
export function maxWaitMs(plan: Plan, now: number): number {
    const { service, rule, startedAt, depth } = plan;
    if (rule.targetMs === undefined || depth > 0) {
        return service.maxWaitMs;
    }
    const leftMs = rule.targetMs * WAIT_SHARE - (now - startedAt);
    return Math.max(0, Math.min(service.maxWaitMs, leftMs));
}
