/**
 * The shares that daemons have leased to this counter, for one shard of teams.
 *
 * A lease is one share of 1/N, where N is the number of daemons as the lender knows it, or as the counter does if that
 * is larger. Its end is a time on the counter's clock that the lender computed, so that a late message does not make
 * a lease last longer. A daemon has one lease at a counter, also after its restart.
 */
type Lease = { until: number; members: number; };

/** Times are milliseconds on the counter's clock. */
export class ShareLeases<Lender> {
    readonly #leases = new Map<Lender, Lease>();

    /** Records a lease; returns true if the sum of the shares has changed. */
    record(lender: Lender, until: number, members: number, now: number): boolean {
        const known = this.#leases.get(lender);
        if (until <= Math.max(now, known?.until ?? -Infinity)) {
            return false;
        }
        const changed = known?.members !== members;
        this.#leases.set(lender, { until, members });
        return changed;
    }

    /** Returns the time at which the next lease ends; Infinity if there is none. */
    nextEnd(): number {
        let end = Infinity;
        for (const { until } of this.#leases.values()) {
            end = Math.min(end, until);
        }
        return end;
    }

    /** Removes the leases that have ended. */
    removeEnded(now: number): void {
        for (const [lender, { until }] of this.#leases) {
            if (until <= now) {
                this.#leases.delete(lender);
            }
        }
    }

    /** Returns the sum of the shares whose leases last beyond `time`, from 0 to 1; `members` as the counter knows it. */
    sum(members: number, time: number): number {
        const least = Math.max(members, this.#leases.size);
        let total = 0;
        for (const lease of this.#leases.values()) {
            total += lease.until > time ? 1 / Math.max(least, lease.members) : 0;
        }
        return Math.min(1, total);
    }
}
