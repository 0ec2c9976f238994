/**
 * What a daemon watches in the store while it is its turn, where upstreams announce themselves: the configuration and the records.
 *
 * While it is not, it follows a watcher of its hall. Owns the loops; whose turn it is is decided by distribution/watcherelection.ts.
 */
import type { DocumentWatcher } from "../distribution/documentwatcher.js";
import { StoreWatch } from "../distribution/storewatch.js";
import type { WatchScope } from "../distribution/watchscope.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RecordsMark } from "../wire/recordsmark.js";
import type { MemberList } from "./memberlist.js";
import type { RecordFollower } from "./recordfollower.js";
import type { RegistryWatcher } from "./registrywatcher.js";

/** Two renewals of the own record, a watcher's (recordpublisher.ts), and half a second: by then the store does not answer. Milliseconds. */
const REACHED_MS = 4500;

type WatchDependencies = {
    readonly incarnation: Incarnation;
    readonly members: MemberList;
    readonly records: RegistryWatcher;
    readonly configuration: DocumentWatcher;
    readonly follower: RecordFollower;
};

/** `recordAnswer` and `recordFailure` are called with what becomes of each renewal. */
export class MembershipWatch extends StoreWatch {
    #scope: WatchScope = "nothing";
    #answeredAt = -Infinity;
    #hasFailed = false;

    constructor(private readonly deps: WatchDependencies) {
        super();
    }

    get scope(): WatchScope {
        return this.#scope;
    }

    set(scope: WatchScope): void {
        this.#scope = scope;
        this.deps.configuration.set(scope !== "nothing");
        this.deps.records.set(scope === "all");
    }

    isReached(now: number): boolean {
        return now - this.#answeredAt < REACHED_MS;
    }

    get records(): RecordsMark | undefined {
        const { records, members, incarnation } = this.deps;
        return records.isFollowing ? { life: incarnation, at: members.changes } : undefined;
    }

    follow(watcher: Address, records: RecordsMark): void {
        void this.deps.follower.follow(watcher, records);
    }

    /** Watches anew: what waits may wait on a connection that carries nothing any more. */
    renew(): void {
        this.deps.records.renew();
        this.deps.configuration.renew();
    }

    /** Records that the store has answered; watches that were waiting when it failed may wait for ever. */
    recordAnswer(now: number): void {
        this.#answeredAt = now;
        if (this.#hasFailed) {
            this.#hasFailed = false;
            this.renew();
        }
    }

    /** Records that the store has not answered. */
    recordFailure(): void {
        this.#hasFailed = true;
    }
}
