/** Selects the daemons of a data hall. */
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import type { DaemonLocation } from "./daemonlocation.js";

/** Returns the addresses of the daemons in a hall, without duplicates. */
export function hallMembers(locations: readonly DaemonLocation[], hall: HallName): Address[] {
    const membersOfHall = locations.filter(location => location.hall === hall);
    return [...new Set(membersOfHall.map(location => location.gate))];
}
