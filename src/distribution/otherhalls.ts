/** Who is elsewhere. */
import type { Document } from "../config/document.js";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import { sample } from "../policy/placement/sample.js";
import type { RandomSource } from "../policy/randomsource.js";
import { hallMembers } from "./hallmembers.js";

/** One gate, at random, of each hall but `hall`. */
export function otherHalls(document: Document, hall: HallName, random: RandomSource): Address[] {
    const halls = new Set(document.upstreams.map(upstream => upstream.hall));
    halls.delete(hall);
    return [...halls].flatMap(other => sample(hallMembers(document, other), 1, random));
}
