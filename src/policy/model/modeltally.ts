/** Counts the results of all requests of a simulation. */
import type { ClassTally } from "./classtally.js";

/** Counts by class and by second. */
export type ModelTally = {
    readonly classes: readonly ClassTally[];
    /** For each second, the requests whose first attempt was made in it, and how many of them were served in time. */
    readonly seconds: readonly { readonly requests: number; readonly inTime: number; }[];
};
