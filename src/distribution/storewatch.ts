/** Interface between the heartbeats and the watches of the store. */
import type { Address } from "../ids/address.js";
import type { RecordsPosition } from "../wire/recordsposition.js";
import type { WatchScope } from "./watchscope.js";

/**
 * Watches the store while this daemon is a watcher, and follows another watcher otherwise. Times are milliseconds on
 * the daemon's clock.
 */
export abstract class StoreWatch {
    /** The part of the store that is watched at present. */
    abstract get scope(): WatchScope;
    /** Starts or stops the watches to match the scope. */
    abstract setScope(scope: WatchScope): void;
    /** Returns true while the store is known to respond to this daemon. */
    abstract isStoreReachable(now: number): boolean;
    /**
     * Position of this daemon's list of daemons; undefined if there is no such list, or if it does not come from the
     * store.
     */
    abstract get records(): RecordsPosition | undefined;
    /** Pulls from a watcher the changes of its list of daemons up to the position `records`. */
    abstract follow(watcher: Address, records: RecordsPosition): void;
}
