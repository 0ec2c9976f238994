/**
 * Orders the daemons that may be the counter of a shard, by rendezvous hashing (Thaler and Ravishankar 1998).
 *
 * All shards use one order of the members, of which each takes every fourth, so that a daemon is a counter of one shard
 * only where there are enough daemons.
 */
import { hash } from "./hash.js";
import { shardCount } from "./shardcount.js";

/** Counters of a shard; a daemon that can reach none of these issues tokens from its own share only. */
const MAX_CANDIDATES = 9;

/** Returns the first candidates in order; every daemon that knows the same members computes the same order. */
export function counterOrder<Member extends string>(members: readonly Member[], shard: number): Member[] {
    const weighted = members.map(member => ({ member, weight: hash(member) }));
    weighted.sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1));
    const count = Math.min(MAX_CANDIDATES, members.length);
    const places = Array.from({ length: MAX_CANDIDATES }, (_, index) => (shard + index * shardCount) % members.length);
    const order = [...new Set([...places, ...weighted.keys()])].slice(0, count);
    return order.map(place => weighted[place]!.member);
}
