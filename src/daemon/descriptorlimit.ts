/** Determines how many descriptors this process may have open. */
import { readFileSync } from "node:fs";
import { log } from "../log/log.js";

const LIMITS_FILE = "/proc/self/limits";
/** The usual default of the system, for systems that do not state the limit. */
const DEFAULT_LIMIT = 1024;

const logger = log("daemon");

/** Returns the limit in the settings, or the system's. */
export function descriptorLimit(stated: number | undefined): number {
    if (stated !== undefined) {
        return stated;
    }
    try {
        const limit = /^Max open files\s+(\d+)/m.exec(readFileSync(LIMITS_FILE, "utf8"))?.[1];
        return limit === undefined ? DEFAULT_LIMIT : Number(limit);
    }
    catch (err) {
        logger.warn("Could not read the limit on descriptors; a default is used.", err, { limit: DEFAULT_LIMIT });
        return DEFAULT_LIMIT;
    }
}
