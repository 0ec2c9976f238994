/** Ranks the daemons of a hall by rendezvous hashing (Thaler and Ravishankar 1998). */
import { createHash } from "node:crypto";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";

const weightOf = (hall: HallName, gate: Address): string =>
    createHash("sha256").update(`${hall} ${gate}`).digest("hex");

/** Returns the members in order of rank, the first in rank first. Every daemon computes the same order. */
export function rank(members: readonly Address[], hall: HallName): Address[] {
    const weightByMember = new Map(members.map(member => [member, weightOf(hall, member)]));
    return [...members].sort((a, b) => weightByMember.get(a)! < weightByMember.get(b)! ? -1 : 1);
}
