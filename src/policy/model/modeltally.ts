/** What became of the requests of a model. */

/** Counts of first tries of callers. */
export type ClassTally = {
    readonly name: string;
    readonly worth: number;
    asked: number;
    inTime: number;
    late: number;
    refused: number;
    failed: number;
};

/** Sums over a model's classes. */
export type ModelTally = {
    readonly classes: readonly ClassTally[];
    /** Of each second: requests first tried in it, and those answered in time. */
    readonly seconds: readonly { readonly asked: number; readonly inTime: number; }[];
};

/** Worth of what was answered in time, as a share of all; the late count a tenth. */
export function worthShare(classes: readonly ClassTally[]): number {
    const owed = classes.reduce((sum, { asked, worth }) => sum + asked * worth, 0);
    const earned = classes.reduce((sum, { inTime, late, worth }) => sum + (inTime + LATE * late) * worth, 0);
    return owed === 0 ? 0 : earned / owed;
}

/** Of an answer in time. */
const LATE = 0.1;
