/** Compares two positions in the history of the store. */
import type { StoreMark } from "./storemark.js";

/** Returns true if `mark` is later than `other`. */
export function isLaterMark(mark: StoreMark, other: StoreMark): boolean {
    return mark.era > other.era || mark.era === other.era && mark.revision > other.revision;
}
