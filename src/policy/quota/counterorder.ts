/** Orders the daemons that may be the counter of a shard, by rendezvous hashing (Thaler and Ravishankar 1998). */
import { hash } from "./hash.js";

/** Counters of a shard; a daemon that can reach none of these issues tokens from its own share only. */
const MAX_CANDIDATES = 8;

/** Returns the first candidates in order; every daemon that knows the same members computes the same order. */
export function counterOrder<Member extends string>(members: readonly Member[], shard: number): Member[] {
    const weighted = members.map(member => ({ member, weight: hash(`${shard} ${member}`) }));
    weighted.sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1));
    return weighted.slice(0, MAX_CANDIDATES).map(({ member }) => member);
}
