/**
 * Who of a hall watches the store: the first few in rank whose heartbeats arrive.
 *
 * Nothing guards the role. Two too many cost the store two more waiting watches for a while; two too few are replaced
 * after a lapse. So no lease is needed, and one that wakes from a pause does no harm.
 */
import type { Address } from "../ids/address.js";

/** Watchers of a hall: one may fail. */
const WATCHERS = 2;
/** A watcher without a heartbeat for so long is replaced; milliseconds, more than two rounds. */
const LAPSE_MS = 5000;
/** A new daemon listens for somewhat more than a round of heartbeats before it counts silence; milliseconds. */
const GRACE_MS = 2500;
/** Those further back in rank wait longer, so that a whole hall does not rush to the store; milliseconds each. */
const STAGGER_MS = 200;

/** Decides for one daemon; `startedAt` and all times are on its clock. */
export class WatcherElection {
    readonly #heartbeats = new Map<Address, number>();
    #ranked: readonly Address[] = [];
    #enoughAt: number;

    constructor(private readonly self: Address, startedAt: number) {
        this.#enoughAt = startedAt + GRACE_MS;
    }

    /** Sets the hall's members, in rank. */
    setMembers(ranked: readonly Address[]): void {
        this.#ranked = ranked;
        const known = new Set(ranked);
        [...this.#heartbeats.keys()].filter(gate => !known.has(gate)).forEach(gate => this.#heartbeats.delete(gate));
    }

    /** Records a heartbeat: its sender watches, or no longer does. */
    recordHeartbeat(from: Address, watching: boolean, now: number): void {
        if (watching) {
            this.#heartbeats.set(from, now);
        }
        else {
            this.#heartbeats.delete(from);
        }
    }

    /** True when this daemon should watch. */
    shouldWatch(now: number): boolean {
        const at = this.#ranked.indexOf(this.self);
        const better = at < 0 ? this.#ranked : this.#ranked.slice(0, at);
        const watching = better.filter(gate => now - (this.#heartbeats.get(gate) ?? -Infinity) < LAPSE_MS);
        if (watching.length >= WATCHERS) {
            this.#enoughAt = now;
            return false;
        }
        return better.length < WATCHERS || now - this.#enoughAt >= better.length * STAGGER_MS;
    }
}
