/** Assigns teams to shards; the teams of a shard have the same counters. */
import { hash } from "./hash.js";

/**
 * The same at all daemons and in all versions. A daemon renews a lease for each shard; with fewer shards a counter
 * would handle a larger part of the requests.
 */
const SHARDS = 4;

/** Returns the shard of a team, from 0 to 3. */
export function shardOf(team: string): number {
    return hash(team) % SHARDS;
}
