/**
 * Decides how many of its free slots a gate holds for requests that a sibling hands back.
 *
 * Only a share of the free slots is offered. If a gate held all of them for several siblings at once, its own requests
 * would queue, and it would ask siblings for slots itself.
 */

/** Share of the free slots that is offered to one sibling. */
const OFFERED_SHARE = 0.5;

/** Returns the number of slots to offer to a sibling that wants to hand back `requested` requests. */
export function slotsToOffer(requested: number, freeSlots: number): number {
    return Math.min(requested, Math.floor(freeSlots * OFFERED_SHARE));
}
