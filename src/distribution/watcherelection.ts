/**
 * Decides which daemons of a hall watch the store: the first few in rank whose heartbeats arrive.
 *
 * The role needs no lease. Two watchers too many cost the store some additional pending watches for a while; two too
 * few are replaced after HEARTBEAT_TIMEOUT_MS. A watcher that resumes after a pause of its process does no harm. Each
 * daemon that does not watch follows one of the watchers, which notifies its followers of changes.
 */
import type { Address } from "../ids/address.js";
import { watchersPerHall } from "./watchersperhall.js";
import type { WatchScope } from "./watchscope.js";

/** A watcher without a heartbeat for so long is replaced: more than two rounds of heartbeats. */
const HEARTBEAT_TIMEOUT_MS = 5000;
/**
 * Time after its start in which a daemon replaces no unresponsive watcher: somewhat more than a round of heartbeats.
 */
const STARTUP_GRACE_MS = 2500;
/**
 * Additional wait for each rank before a daemon replaces a watcher, so that the whole hall does not watch the store at
 * once.
 */
const RANK_DELAY_MS = 200;
/**
 * Time after which a daemon that knew no others has searched for them once (membership/registrywatcher.ts); by then,
 * daemons that start together have found some of each other. The first in rank of these then watch the configuration.
 * Otherwise a fleet that has just started would not watch it for 4 s, and would apply a change in that time as late.
 */
const FIRST_DISCOVERY_MS = 1200;

/**
 * Decides for one daemon. `startedAt` and all times are milliseconds on its clock. A daemon that knows no others when
 * the store first responds to it waits for `discoveryMs` before it watches, so that it can find others that have just
 * started. 0 if the watch is the only way to find them.
 */
export class WatcherElection {
    readonly #lastHeartbeatAt = new Map<Address, number>();
    #rankedMembers: readonly Address[] = [];
    #ownRank = -1;
    /** Time at which enough watchers ahead in rank were last known; at first, the end of the grace period. */
    #lastSufficientAt: number;
    /** Undefined until the store has responded. */
    #discoveryEndsAt: number | undefined;

    constructor(private readonly self: Address, startedAt: number, private readonly discoveryMs = 0) {
        this.#lastSufficientAt = startedAt + STARTUP_GRACE_MS;
    }

    /** Sets the members of the hall, in order of rank. */
    setMembers(rankedMembers: readonly Address[]): void {
        this.#rankedMembers = rankedMembers;
        this.#ownRank = rankedMembers.indexOf(this.self);
        const memberSet = new Set(rankedMembers);
        [...this.#lastHeartbeatAt.keys()].filter(gate => !memberSet.has(gate)).forEach(gate =>
            this.#lastHeartbeatAt.delete(gate)
        );
    }

    /** The place of this daemon in the order of its hall, from 0; -1 while it is not known. */
    get ownRank(): number {
        return this.#ownRank;
    }

    /** Records a heartbeat, which states whether its sender is an active watcher. */
    recordHeartbeat(from: Address, watching: boolean, now: number): void {
        if (watching) {
            this.#lastHeartbeatAt.set(from, now);
        }
        else {
            this.#lastHeartbeatAt.delete(from);
        }
    }

    /**
     * Returns true if this daemon should watch. A daemon to which the store does not respond does not replace another
     * watcher.
     */
    shouldWatch(now: number, isStoreReachable = true): boolean {
        const isAlone = this.#rankedMembers.length <= 1;
        if (isStoreReachable) {
            this.#discoveryEndsAt ??= isAlone ? now + this.discoveryMs : now;
        }
        if (isAlone && this.#discoveryEndsAt === undefined || now < (this.#discoveryEndsAt ?? now)) {
            return false;
        }
        const higherRanked = this.#ownRank < 0 ? this.#rankedMembers : this.#rankedMembers.slice(0, this.#ownRank);
        if (this.#activeWatchers(higherRanked, now).length >= watchersPerHall) {
            this.#lastSufficientAt = now;
            return false;
        }
        return higherRanked.length < watchersPerHall
            || isStoreReachable && now - this.#lastSufficientAt >= higherRanked.length * RANK_DELAY_MS;
    }

    /**
     * Returns what this daemon should watch. While it waits to find others, that is the configuration if it is among
     * the first in rank of the daemons that it knows.
     */
    scopeAt(now: number, isStoreReachable = true): WatchScope {
        if (this.shouldWatch(now, isStoreReachable)) {
            return "all";
        }
        const discoveryEndsAt = this.#discoveryEndsAt;
        const isDiscovering = discoveryEndsAt !== undefined && now < discoveryEndsAt
            && now >= discoveryEndsAt - this.discoveryMs + FIRST_DISCOVERY_MS;
        return isDiscovering && this.#ownRank < watchersPerHall ? "configuration" : "nothing";
    }

    /** Returns the watcher that a daemon of the hall follows, or undefined if no active watcher is known. */
    watcherFor(gate: Address, now: number): Address | undefined {
        const watchers = this.#activeWatchers(this.#rankedMembers, now);
        return watchers[Math.max(0, this.#rankedMembers.indexOf(gate)) % watchers.length];
    }

    /** Returns the first active watchers among the candidates, watchersPerHall at most. */
    #activeWatchers(candidates: readonly Address[], now: number): Address[] {
        const active: Address[] = [];
        for (const gate of candidates) {
            if (
                now - (this.#lastHeartbeatAt.get(gate) ?? -Infinity) < HEARTBEAT_TIMEOUT_MS
                && active.push(gate) === watchersPerHall
            ) {
                break;
            }
        }
        return active;
    }
}
