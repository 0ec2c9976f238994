/** The order of a LoadReport's fields on the wire. */
import type { LoadReport } from "../policy/loadreport.js";

/** What is often left out comes last. */
export const reportFields: readonly (keyof LoadReport)[] = [
    "running",
    "waiting",
    "limit",
    "serviceMs",
    "baseMs",
    "pace",
];
