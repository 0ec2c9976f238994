/**
 * Who of a hall watches the store: the first few in rank that are heard.
 *
 * Nothing guards the role. Two too many cost the store two more waiting watches for a while; two too few are replaced
 * after a lapse. So no lease is needed, and one that wakes from a pause does no harm.
 */
import type { Address } from "../ids/address.js";

/** Watchers of a hall. */
const WATCHERS = 2;
/** A watcher that has not been heard for so long is replaced. */
const LAPSE_MS = 5000;
/** A new daemon listens for somewhat more than a round of beats before it counts silence. */
const GRACE_MS = 2500;
/** Those further back wait longer, so that a whole hall does not rush to the store. */
const STAGGER_MS = 200;

/** Decides for one daemon; `startedAt` and all times are on its clock. */
export class WatcherElection {
    readonly #heard = new Map<Address, number>();
    #ranked: readonly Address[] = [];
    #enoughAt: number;

    constructor(private readonly self: Address, startedAt: number) {
        this.#enoughAt = startedAt + GRACE_MS;
    }

    /** Takes in the hall's members in rank. */
    setMembers(ranked: readonly Address[]): void {
        this.#ranked = ranked;
        const known = new Set(ranked);
        [...this.#heard.keys()].filter(gate => !known.has(gate)).forEach(gate => this.#heard.delete(gate));
    }

    /** Takes in that a member said that it watches, or no longer does. */
    recordHeartbeat(from: Address, watching: boolean, now: number): void {
        if (watching) {
            this.#heard.set(from, now);
        }
        else {
            this.#heard.delete(from);
        }
    }

    /** True when this daemon should watch. */
    shouldWatch(now: number): boolean {
        const at = this.#ranked.indexOf(this.self);
        const better = at < 0 ? this.#ranked : this.#ranked.slice(0, at);
        const heard = better.filter(gate => now - (this.#heard.get(gate) ?? -Infinity) < LAPSE_MS);
        if (heard.length >= WATCHERS) {
            this.#enoughAt = now;
            return false;
        }
        return better.length < WATCHERS || now - this.#enoughAt >= better.length * STAGGER_MS;
    }
}
