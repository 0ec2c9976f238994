/**
 * Chooses the counters of a shard.
 *
 * Two counters of a shard are used at a time. Each daemon prefers one of them, to which it leases its share and which it
 * asks first, and asks the other if the first has no token or does not answer. If one of them fails, the shares at the
 * other remain: they cover 0.8 times the usual rate if the limit is 1.6 times that rate, and a full bucket covers the
 * rest until the leases at the failed counter have expired.
 */
import type { Address } from "../../ids/address.js";
import { counterOrder } from "./counterorder.js";
import type { CounterView } from "./counterview.js";
import { hash } from "./hash.js";

/** Counters that are used at a time. */
const COUNTERS = 2;

type ChoiceDependencies = {
    readonly shard: number;
    readonly self: Address;
    readonly view: (counter: Address) => CounterView;
};

/** Holds the order of the daemons that may be a counter of the shard. */
export class CounterChoice {
    #order: readonly Address[] = [];

    constructor(private readonly deps: ChoiceDependencies) {}

    /** Applies the addresses of all daemons, this one included. */
    setMembers(members: readonly Address[]): void {
        this.#order = counterOrder(members, this.deps.shard);
    }

    /** The counters that are used now: the first that are not suspected, or this daemon itself if there is none. */
    get picks(): Address[] {
        const alive = this.#order.filter(counter => !this.#isSuspected(counter));
        return alive.length === 0 ? [this.deps.self] : alive.slice(0, COUNTERS);
    }

    /** The counter to which this daemon leases its share. */
    get preferred(): Address {
        const { self, shard } = this.deps;
        const { picks } = this;
        return picks[hash(`${self} ${shard}`) % picks.length]!;
    }

    /** Returns the counters to ask for tokens, in order; `holder` is the one that holds this daemon's share, if any. */
    targets(holder: Address | undefined): Address[] {
        const held = holder === undefined || this.#isSuspected(holder) ? [] : [holder];
        return [...new Set([this.preferred, ...this.picks, ...held])];
    }

    /** The counters whose state has to be found out: suspected ones that precede, and those that never answered. */
    get uncertain(): Address[] {
        const { picks } = this;
        const last = this.#order.indexOf(picks.at(-1)!);
        const suspected = this.#order.filter((counter, place) =>
            this.#isSuspected(counter) && (place < last || last < 0)
        );
        return [...suspected, ...picks.filter(counter => this.deps.view(counter).incarnation === undefined)];
    }

    #isSuspected(counter: Address): boolean {
        return counter !== this.deps.self && this.deps.view(counter).isSuspected;
    }
}
