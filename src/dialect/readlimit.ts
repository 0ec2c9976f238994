/** Reads the rate limit that an upstream states, in requests per second. */
import type { StatedLimit } from "../policy/rate/statedlimit.js";

const DECIMAL = /^\d+(\.\d+)?$/;

/** Accepts a decimal number that is 0 or greater; a field that is present twice is unreadable. */
export function readLimit(value: string | string[] | undefined): StatedLimit {
    if (value === undefined) {
        return { type: "none" };
    }
    const text = typeof value === "string" ? value.trim() : value.join(", ");
    const perSecond = DECIMAL.test(text) ? Number(text) : NaN;
    return Number.isFinite(perSecond) ? { type: "perSecond", perSecond } : { type: "unreadable", text };
}
