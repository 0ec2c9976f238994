/** Who is in a data hall. */
import type { Document } from "../config/document.js";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";

/** The gates of a hall, each once. */
export function hallMembers(document: Document, hall: HallName): Address[] {
    const inHall = document.upstreams.filter(upstream => upstream.hall === hall);
    return [...new Set(inHall.map(upstream => upstream.gate))];
}
