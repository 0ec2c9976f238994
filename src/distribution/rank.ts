/** Rendezvous hashing (Thaler and Ravishankar 1998). */
import { createHash } from "node:crypto";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";

const weight = (hall: HallName, gate: Address): string => createHash("sha256").update(`${hall} ${gate}`).digest("hex");

/** The members in an order that every daemon of the hall computes alike, the first in line first. */
export function rank(members: readonly Address[], hall: HallName): Address[] {
    const weights = new Map(members.map(gate => [gate, weight(hall, gate)]));
    return [...members].sort((a, b) => weights.get(a)! < weights.get(b)! ? -1 : 1);
}
