/** What became of the requests of one class of a model. */

/** Counts of first tries of callers. */
export type ClassTally = {
    readonly name: string;
    readonly worth: number;
    requests: number;
    inTime: number;
    late: number;
    refused: number;
    failed: number;
};
