/** Applies a change from the store to the halls that are known to be evacuated. */
import type { EvacuatedHalls } from "./evacuatedhalls.js";
import type { HallsChange } from "./hallschange.js";
import { isLaterPosition } from "./islaterposition.js";

/**
 * Returns the new state, or undefined if the change is not later than the known state. A change that is not complete
 * may start before the known state: it holds the latest state of each hall that it names, and the other halls have not
 * changed.
 */
export function applyHallsChange(known: EvacuatedHalls, change: HallsChange): EvacuatedHalls | undefined {
    const { position, complete, evacuated, ended, unreadable } = change;
    if (!isLaterPosition(position, known.mark)) {
        return undefined;
    }
    const kept = complete
        ? known.halls.filter(hall => unreadable.includes(hall))
        : known.halls.filter(hall => !ended.includes(hall));
    return { mark: position, halls: [...new Set([...kept, ...evacuated])].sort() };
}
