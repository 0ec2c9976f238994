/** Computes how much of the worth of a simulation's requests was served. */
import type { ClassTally } from "./classtally.js";

/** The worth of a late response, as a share of that of one in time. */
const LATE_WORTH_SHARE = 0.1;

/** Returns the worth of the served requests as a share of the worth of all requests, or 0 if there were none. */
export function worthShare(classes: readonly ClassTally[]): number {
    const total = classes.reduce((sum, { requests, worth }) => sum + requests * worth, 0);
    const earned = classes.reduce(
        (sum, { inTime, late, worth }) => sum + (inTime + LATE_WORTH_SHARE * late) * worth,
        0,
    );
    return total === 0 ? 0 : earned / total;
}
