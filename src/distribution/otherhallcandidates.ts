/** Selects the daemons of other halls that propagate a change within their halls. */
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import type { DaemonLocation } from "./daemonlocation.js";
import { hallMembers } from "./hallmembers.js";
import { rank } from "./rank.js";

/**
 * Returns for each hall other than `hall` the addresses of the first `count` daemons in rank. These watch the store as
 * long as it responds to them.
 */
export function otherHallCandidates(locations: readonly DaemonLocation[], hall: HallName, count: number): Address[][] {
    const halls = new Set(locations.map(location => location.hall));
    halls.delete(hall);
    return [...halls].map(other => rank(hallMembers(locations, other), other).slice(0, count));
}
