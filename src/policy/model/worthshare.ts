/** How much of the worth of a model's requests was served. */
import type { ClassTally } from "./classtally.js";

/** Of an answer in time. */
const LATE_WORTH_SHARE = 0.1;

/** Worth of what was answered in time, as a share of all; the late count a tenth. */
export function worthShare(classes: readonly ClassTally[]): number {
    const total = classes.reduce((sum, { requests, worth }) => sum + requests * worth, 0);
    const earned = classes.reduce(
        (sum, { inTime, late, worth }) => sum + (inTime + LATE_WORTH_SHARE * late) * worth,
        0,
    );
    return total === 0 ? 0 : earned / total;
}
