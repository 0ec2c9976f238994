/** Structured logs, a line of JSON each, on standard output. */
import type { LogPart } from "./logpart.js";
import { PartLog } from "./partlog.js";

/** The log of one part. */
export function log(part: LogPart): PartLog {
    return new PartLog(part);
}
