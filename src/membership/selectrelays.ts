/** Selects the daemons that propagate a change to their halls. */
import type { DaemonLocation } from "../distribution/daemonlocation.js";
import { hallMembers } from "../distribution/hallmembers.js";
import { otherHallCandidates } from "../distribution/otherhallcandidates.js";
import { rank } from "../distribution/rank.js";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";

/** The number of relays in the own hall; messages to them use no link between halls. */
const OWN_HALL_RELAYS = 2;
/** The number of relays in each other hall, where the watchers are notified by the store as well. */
const RELAYS_PER_OTHER_HALL = 1;

/**
 * Returns the highest-ranked daemons of each hall except `self`, those of the own hall first. They watch the store
 * while they can reach it, and notify their halls.
 */
export function selectRelays(locations: readonly DaemonLocation[], hall: HallName, self: Address): Address[] {
    const own = rank(hallMembers(locations, hall).filter(gate => gate !== self), hall).slice(0, OWN_HALL_RELAYS);
    return [...own, ...otherHallCandidates(locations, hall, RELAYS_PER_OTHER_HALL).flat()];
}
