/** Reads the limit of requests a second that an upstream states. */
import type { StatedLimit } from "../policy/rate/statedlimit.js";

const DECIMAL = /^\d+(\.\d+)?$/;

/** A decimal number from 0 up; a field that is there twice is unreadable. */
export function readLimit(value: string | string[] | undefined): StatedLimit {
    if (value === undefined) {
        return { type: "none" };
    }
    const text = typeof value === "string" ? value.trim() : value.join(", ");
    const perSecond = DECIMAL.test(text) ? Number(text) : NaN;
    return Number.isFinite(perSecond) ? { type: "perSecond", perSecond } : { type: "unreadable", text };
}
