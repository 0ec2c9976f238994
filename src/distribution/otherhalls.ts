/** Who is elsewhere, and tells the rest of its hall. */
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import { hallMembers } from "./hallmembers.js";
import type { Place } from "./place.js";
import { rank } from "./rank.js";

/** Of each hall but `hall`, the gates that are first in rank, as many as asked for: those that watch while they can. */
export function otherHalls(places: readonly Place[], hall: HallName, count: number): Address[][] {
    const halls = new Set(places.map(place => place.hall));
    halls.delete(hall);
    return [...halls].map(other => rank(hallMembers(places, other), other).slice(0, count));
}
