/** What a daemon watches in the store while it is its turn, as heartbeats need to know of it. */
import type { Address } from "../ids/address.js";
import type { RecordsMark } from "../wire/recordsmark.js";
import type { WatchScope } from "./watchscope.js";

/** Times are milliseconds on the daemon's clock. */
export abstract class StoreWatch {
    abstract get scope(): WatchScope;
    /** Starts or ends the watches. */
    abstract set(scope: WatchScope): void;
    /** True while the store answers this daemon, as far as is known. */
    abstract isReached(now: number): boolean;
    /** How far this daemon's list of daemons has come; undefined where there is none, or it does not come from the store. */
    abstract get records(): RecordsMark | undefined;
    /** Catches up with a watcher's list of daemons. */
    abstract follow(watcher: Address, records: RecordsMark): void;
}
