/** What became of the requests of a model. */
import type { ClassTally } from "./classtally.js";

/** Sums over a model's classes. */
export type ModelTally = {
    readonly classes: readonly ClassTally[];
    /** Of each second: requests first tried in it, and those answered in time. */
    readonly seconds: readonly { readonly requests: number; readonly inTime: number; }[];
};
