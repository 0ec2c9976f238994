/** Assigns teams to shards; the teams of a shard have the same counters. */
import { hash } from "./hash.js";
import { shardCount } from "./shardcount.js";

/** Returns the number of a team's shard, from 0. */
export function shardOf(team: string): number {
    return hash(team) % shardCount;
}
