/** Who is in a data hall. */
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import type { Place } from "./place.js";

/** The gates of a hall, each once. */
export function hallMembers(places: readonly Place[], hall: HallName): Address[] {
    const inHall = places.filter(place => place.hall === hall);
    return [...new Set(inHall.map(place => place.gate))];
}
