/**
 * Chooses the counters of a shard.
 *
 * Several counters of a shard are used at a time, which share its messages. Each daemon prefers one of them, to which it
 * leases its share and which it asks first, and asks the next one if the first has no token or does not answer. If one of
 * them fails, the shares at the others remain: of a limit of 1.6 times the usual rate, they cover 1.3 times that rate.
 */
import type { Address } from "../../ids/address.js";
import { counterOrder } from "./counterorder.js";
import type { CounterView } from "./counterview.js";

/** Counters that are used at a time; with more, the bucket of a small team at one of them holds too few tokens. */
const COUNTERS = 6;

/** Counters that are asked after the preferred one for a request. */
const OTHERS = 2;

type ChoiceDependencies = {
    readonly shard: number;
    readonly self: Address;
    readonly view: (counter: Address) => CounterView;
};

/** Holds the order of the daemons that may be a counter of the shard. */
export class CounterChoice {
    #order: readonly Address[] = [];
    /** The place of this daemon among all, which divides the daemons evenly among the counters. */
    #place = 0;

    constructor(private readonly deps: ChoiceDependencies) {}

    /** Applies the addresses of all daemons, this one included. */
    setMembers(members: readonly Address[]): void {
        this.#order = counterOrder(members, this.deps.shard);
        this.#place = Math.max(0, [...members].sort().indexOf(this.deps.self));
    }

    /** The counters that are used now: the first that are not suspected, or this daemon itself if there is none. */
    get picks(): Address[] {
        const alive = this.#order.filter(counter => !this.#isSuspected(counter));
        return alive.length === 0 ? [this.deps.self] : alive.slice(0, COUNTERS);
    }

    /** The daemons that may be a counter of the shard. */
    get candidates(): readonly Address[] {
        return this.#order;
    }

    /** The counter to which this daemon leases its share. */
    get preferred(): Address {
        const { picks } = this;
        return picks[this.#place % picks.length]!;
    }

    /** Returns the counters to ask for tokens, in order; `holder` is the one that holds this daemon's share, if any. */
    targets(holder: Address | undefined): Address[] {
        const held = holder === undefined || this.#isSuspected(holder) ? [] : [holder];
        const { picks, preferred } = this;
        const place = picks.indexOf(preferred);
        const others = Array.from({ length: OTHERS }, (_, index) => picks[(place + 1 + index) % picks.length]!);
        return [...new Set([preferred, ...others, ...held])];
    }

    /** The counters whose state has to be found out: suspected ones that precede, and those that never answered. */
    get uncertain(): Address[] {
        const { picks } = this;
        const last = this.#order.indexOf(picks.at(-1)!);
        const suspected = this.#order.filter((counter, place) =>
            this.#isSuspected(counter) && (place < last || last < 0)
        );
        const unknown = this.#order.filter(counter => this.deps.view(counter).incarnation === undefined);
        return [...new Set([...suspected, ...unknown])];
    }

    #isSuspected(counter: Address): boolean {
        return counter !== this.deps.self && this.deps.view(counter).isSuspected;
    }
}
