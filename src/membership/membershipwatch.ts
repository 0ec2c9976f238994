/**
 * Watches the configuration and the daemons' records in the store while this daemon is a watcher, and follows a watcher
 * of its hall otherwise.
 *
 * It is used where upstreams announce themselves. Owns the loops; distribution/watcherelection.ts decides which daemons
 * are watchers.
 */
import type { DocumentWatcher } from "../distribution/documentwatcher.js";
import { StoreWatch } from "../distribution/storewatch.js";
import type { WatchScope } from "../distribution/watchscope.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RecordsPosition } from "../wire/recordsposition.js";
import type { MemberList } from "./memberlist.js";
import type { RecordFollower } from "./recordfollower.js";
import type { RegistryWatcher } from "./registrywatcher.js";

/** Two of a watcher's renewal intervals (recordpublisher.ts) and a margin of half a second. */
const STORE_UNREACHABLE_AFTER_MS = 4500;

type WatchDependencies = {
    readonly incarnation: Incarnation;
    readonly memberList: MemberList;
    readonly registryWatcher: RegistryWatcher;
    readonly documentWatcher: DocumentWatcher;
    readonly follower: RecordFollower;
};

/** The result of each renewal of this daemon's record has to be reported with `recordResponse` or `recordFailure`. */
export class MembershipWatch extends StoreWatch {
    #scope: WatchScope = "nothing";
    #lastResponseAt = -Infinity;
    #hasFailed = false;

    constructor(private readonly deps: WatchDependencies) {
        super();
    }

    get scope(): WatchScope {
        return this.#scope;
    }

    setScope(scope: WatchScope): void {
        this.#scope = scope;
        this.deps.documentWatcher.setWatching(scope !== "nothing");
        this.deps.registryWatcher.setWatching(scope === "all");
    }

    isStoreReachable(now: number): boolean {
        return now - this.#lastResponseAt < STORE_UNREACHABLE_AFTER_MS;
    }

    get records(): RecordsPosition | undefined {
        const { registryWatcher, memberList, incarnation } = this.deps;
        return registryWatcher.isSynchronized ? { life: incarnation, at: memberList.changeCount } : undefined;
    }

    follow(watcher: Address, target: RecordsPosition): void {
        void this.deps.follower.follow(watcher, target);
    }

    /** Starts the watches again, since the present ones may be waiting on an unresponsive connection. */
    restart(): void {
        this.deps.registryWatcher.restart();
        this.deps.documentWatcher.renew();
    }

    /**
     * Records a response of the store. The first one after a failure restarts the watches, since those that were
     * waiting at the failure may wait forever.
     */
    recordResponse(now: number): void {
        this.#lastResponseAt = now;
        if (this.#hasFailed) {
            this.#hasFailed = false;
            this.restart();
        }
    }

    /** Records that a renewal has failed. */
    recordFailure(): void {
        this.#hasFailed = true;
    }
}
