/**
 * Decides whether a gate hands back queued requests so that siblings serve them.
 *
 * The input is the gate's load report. Requests are handed back only if the expected wait is at least as long as a
 * usual service time and as handing back takes; otherwise, they are served sooner where they are.
 */
import type { LoadReport } from "../placement/loadreport.js";

/** Handing back a request costs about two hops; a shorter wait is not worth it. */
const MIN_WAIT_MS = 6;

/** Returns true if the wait that the gate's own report shows is long enough to hand requests back. */
export function isWorthHandingBack({ waiting, limit, serviceMs, baseMs }: LoadReport): boolean {
    return waiting > 0 && waiting * serviceMs / limit >= Math.max(MIN_WAIT_MS, baseMs);
}
