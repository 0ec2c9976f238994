/** Who tells the rest of a change. */
import { hallMembers } from "../distribution/hallmembers.js";
import { otherHalls } from "../distribution/otherhalls.js";
import type { Place } from "../distribution/place.js";
import { rank } from "../distribution/rank.js";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";

/** Of the own hall, which no link between halls has to carry. */
const OWN_RELAYS = 2;
/** Of each other hall; the store tells the watchers there too. */
const OTHER_RELAYS = 1;

/** The first in rank of each hall, the own one first: they watch the store while they can, and tell their halls. */
export function relaysOf(places: readonly Place[], hall: HallName, self: Address): Address[] {
    const own = rank(hallMembers(places, hall).filter(gate => gate !== self), hall).slice(0, OWN_RELAYS);
    return [...own, ...otherHalls(places, hall, OTHER_RELAYS).flat()];
}
