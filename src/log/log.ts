/** Provides structured logs: one line of JSON per entry, on standard output. */
import type { LogPart } from "./logpart.js";
import { PartLog } from "./partlog.js";

/** Returns the log of one part of the daemon. */
export function log(part: LogPart): PartLog {
    return new PartLog(part);
}
