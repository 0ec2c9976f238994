/** Splits the daemons of a hall by the watcher that they follow. */
import type { Address } from "../ids/address.js";

type PartitionedHall = { readonly followers: Address[]; readonly rest: Address[]; };

/** Splits the other daemons of the hall into the followers of `self` and those of another watcher (`rest`). */
export function partitionHall(
    members: readonly Address[],
    self: Address,
    watcherFor: (gate: Address) => Address | undefined,
): PartitionedHall {
    const others = members.filter(gate => gate !== self);
    const isFollower = (gate: Address): boolean => watcherFor(gate) === self;
    return { followers: others.filter(isFollower), rest: others.filter(gate => !isFollower(gate)) };
}
