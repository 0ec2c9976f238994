/** Compares two positions in the history of the store. */
import type { StorePosition } from "./storeposition.js";

/** Returns true if `position` is later than `other`. */
export function isLaterPosition(position: StorePosition, other: StorePosition): boolean {
    return position.era > other.era || position.era === other.era && position.revision > other.revision;
}
