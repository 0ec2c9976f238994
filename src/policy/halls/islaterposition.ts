/** Compares two positions in the history of the store. */
import type { StorePosition } from "./storeposition.js";

/** Returns true if `mark` is later than `other`. */
export function isLaterPosition(mark: StorePosition, other: StorePosition): boolean {
    return mark.era > other.era || mark.era === other.era && mark.revision > other.revision;
}
