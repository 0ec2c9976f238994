/** Counts the results of the requests of one class in a simulation. */

/** Counts each request once, whatever the number of its attempts. */
export type ClassTally = {
    readonly name: string;
    readonly worth: number;
    requests: number;
    inTime: number;
    late: number;
    refused: number;
    failed: number;
};
