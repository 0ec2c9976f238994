/** How much of the worth of a model's requests was served. */
import type { ClassTally } from "./classtally.js";

/** Of an answer in time. */
const LATE = 0.1;

/** Worth of what was answered in time, as a share of all; the late count a tenth. */
export function worthShare(classes: readonly ClassTally[]): number {
    const owed = classes.reduce((sum, { asked, worth }) => sum + asked * worth, 0);
    const earned = classes.reduce((sum, { inTime, late, worth }) => sum + (inTime + LATE * late) * worth, 0);
    return owed === 0 ? 0 : earned / owed;
}
