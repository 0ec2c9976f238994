/**
 * Decides to which counter of a shard a daemon leases its share.
 *
 * The share is leased to one counter at a time. The daemon treats it as leased for the whole duration from the time at
 * which it sent the lease, whatever it learns of the counter, unless the counter's process is known to have ended. The
 * end of the lease is stated on the counter's clock, of which the daemon knows a time that has passed; therefore the
 * counter never counts the lease for longer, however late the message arrives.
 */
import type { Incarnation } from "../../ids/incarnation.js";
import type { CounterView } from "./counterview.js";
import { driftMargin } from "./driftmargin.js";
import { quotaTimes } from "./quotatimes.js";

type Lease<Counter> = { readonly counter: Counter; readonly incarnation: Incarnation; readonly until: number; };

/** Times are milliseconds on the daemon's clock. */
export class ShareLease<Counter> {
    #lease: Lease<Counter> | undefined;

    /**
     * `startedAt`: the start of the process; a lease of its former life may last until a lease's duration later, unless
     * `excludesFormer` returns true.
     */
    constructor(private readonly startedAt: number, private readonly excludesFormer = (): boolean => false) {}

    /** Returns the counter that holds the share; undefined if none does. */
    holder(now: number): Counter | undefined {
        return this.#lease !== undefined && now < this.#lease.until ? this.#lease.counter : undefined;
    }

    /**
     * Leases the share to a counter, or renews its lease. Returns the counter's process and the end of the lease on its
     * clock, or undefined if the share is leased elsewhere, may be, or the counter's clock is not known.
     */
    grant(counter: Counter, view: CounterView, now: number): { counter: Incarnation; until: number; } | undefined {
        const { incarnation } = view;
        const mayHaveLease = now < this.startedAt + quotaTimes.leaseMs * (1 + driftMargin) && !this.excludesFormer();
        if (incarnation === undefined || mayHaveLease || !this.#isFree(counter, incarnation, now)) {
            return undefined;
        }
        this.#lease = { counter, incarnation, until: now + quotaTimes.leaseMs };
        return { counter: incarnation, until: view.estimate(now) + quotaTimes.leaseMs * (1 - driftMargin) };
    }

    /** Ends the lease if the counter is known to run as another process now. */
    recordIncarnation(counter: Counter, incarnation: Incarnation): void {
        if (this.#lease?.counter === counter && this.#lease.incarnation !== incarnation) {
            this.#lease = undefined;
        }
    }

    #isFree(counter: Counter, incarnation: Incarnation, now: number): boolean {
        const lease = this.#lease;
        return lease === undefined || now >= lease.until
            || (lease.counter === counter && lease.incarnation === incarnation);
    }
}
