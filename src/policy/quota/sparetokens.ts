/** The prefetched tokens of one team that may be valid, as its counter knows them. */

type Holder = { count: number; until: number; };

/** Times are milliseconds on the counter's clock. */
export class SpareTokens<Asker> {
    readonly #holders = new Map<Asker, Holder>();

    /** Returns the number of tokens that may be valid at `now` at all daemons except `asker`. */
    countOthers(asker: Asker, now: number): number {
        let sum = 0;
        for (const [holder, { count, until }] of this.#holders) {
            if (until <= now) {
                this.#holders.delete(holder);
            }
            else {
                sum += holder === asker ? 0 : count;
            }
        }
        return sum;
    }

    /** Records that `asker` holds up to `count` tokens until `until` at the latest. */
    record(asker: Asker, count: number, until: number): void {
        if (count > 0) {
            this.#holders.set(asker, { count, until });
        }
        else {
            this.#holders.delete(asker);
        }
    }
}
