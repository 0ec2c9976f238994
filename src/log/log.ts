/** Structured logs, a line of JSON each, on standard output. */
import type { Part } from "./part.js";
import { PartLog } from "./partlog.js";

/** The log of one part. */
export function log(part: Part): PartLog {
    return new PartLog(part);
}
