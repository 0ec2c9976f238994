/**
 * Who of a hall watches the store: the first few in rank whose heartbeats arrive.
 *
 * Nothing guards the role. Two too many cost the store some more waiting watches for a while; two too few are replaced
 * after a lapse. So no lease is needed, and one that wakes from a pause does no harm. Whoever does not watch is told by one of
 * those that do; each of them tells its part of the hall.
 */
import type { Address } from "../ids/address.js";
import type { WatchScope } from "./watchscope.js";

/** Watchers of a hall: one may fail. */
const WATCHERS = 2;
/** A watcher without a heartbeat for so long is replaced; milliseconds, more than two rounds. */
const LAPSE_MS = 5000;
/** A new daemon listens for somewhat more than a round of heartbeats before it counts silence; milliseconds. */
const GRACE_MS = 2500;
/** Those further back in rank wait longer, so that a whole hall does not rush to the store; milliseconds each. */
const STAGGER_MS = 200;
/**
 * One that knew nobody has looked for others by then (membership/registrywatcher.ts), and those that start together have found some of each
 * other. Without it a fleet that has just started would watch no configuration for 4 s, and a change in that time come as late. Milliseconds.
 */
const FIRST_LOOK_MS = 1200;

/**
 * Decides for one daemon; `startedAt` and all times are on its clock. One that knows nobody when the store has answered it waits for
 * `aloneMs`, where there is another way to meet others that have just started; 0 where the watch is the only one.
 */
export class WatcherElection {
    readonly #heartbeats = new Map<Address, number>();
    #ranked: readonly Address[] = [];
    #ownRank = -1;
    #enoughAt: number;

    #mayWatchFrom: number | undefined;

    constructor(private readonly self: Address, startedAt: number, private readonly aloneMs = 0) {
        this.#enoughAt = startedAt + GRACE_MS;
    }

    /** Sets the hall's members, in rank. */
    setMembers(ranked: readonly Address[]): void {
        this.#ranked = ranked;
        this.#ownRank = ranked.indexOf(this.self);
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

    /** True when this daemon should watch; one whom the store does not answer steps in for nobody. */
    shouldWatch(now: number, isStoreReached = true): boolean {
        const isAlone = this.#ranked.length <= 1;
        if (isStoreReached) {
            this.#mayWatchFrom ??= isAlone ? now + this.aloneMs : now;
        }
        if (isAlone && this.#mayWatchFrom === undefined || now < (this.#mayWatchFrom ?? now)) {
            return false;
        }
        const better = this.#ownRank < 0 ? this.#ranked : this.#ranked.slice(0, this.#ownRank);
        if (this.#fresh(better, now).length >= WATCHERS) {
            this.#enoughAt = now;
            return false;
        }
        return better.length < WATCHERS || isStoreReached && now - this.#enoughAt >= better.length * STAGGER_MS;
    }

    /** What this daemon should watch: while it waits for others, the configuration at least, if it is among the first of those it knows. */
    scopeOf(now: number, isStoreReached = true): WatchScope {
        if (this.shouldWatch(now, isStoreReached)) {
            return "all";
        }
        const waitsUntil = this.#mayWatchFrom;
        const isWaiting = waitsUntil !== undefined && now < waitsUntil
            && now >= waitsUntil - this.aloneMs + FIRST_LOOK_MS;
        return isWaiting && this.#ownRank < WATCHERS ? "configuration" : "nothing";
    }

    /** The watcher that tells a daemon of the hall what it has seen, or undefined while none is known. */
    sourceOf(gate: Address, now: number): Address | undefined {
        const watchers = this.#fresh(this.#ranked, now);
        return watchers[Math.max(0, this.#ranked.indexOf(gate)) % watchers.length];
    }

    /** The watchers among them, as many as are needed. */
    #fresh(among: readonly Address[], now: number): Address[] {
        const fresh: Address[] = [];
        for (const gate of among) {
            if (now - (this.#heartbeats.get(gate) ?? -Infinity) < LAPSE_MS && fresh.push(gate) === WATCHERS) {
                break;
            }
        }
        return fresh;
    }
}
