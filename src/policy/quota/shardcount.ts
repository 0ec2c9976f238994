/**
 * The number of shards of teams; the same at all daemons and in all versions. A daemon renews a lease for each shard, and
 * with fewer shards a counter handles a larger part of the requests.
 */
export const shardCount = 4;
