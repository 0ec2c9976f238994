/** When a repeatable request that is still unanswered is also sent elsewhere (Dean and Barroso 2013). */
import { QuantileEstimate } from "./quantileestimate.js";

/** Later than nearly all answers come, so that few requests are sent twice in steady load. */
const SHARE = 0.98;
const START_MS = 50;
const LEAST_MS = 4;
const MARGIN = 1.1;
/** An answer moves the share of those that made calls by so much; a service that mostly calls others is not hedged. */
const CALLS_WEIGHT = 0.1;
const MOSTLY = 0.5;
/** Fewer answers say nothing of what is usual. */
const MIN_ANSWERS = 30;

/** Learns from a service's answers how long is unusual. */
export class Hedging {
    #answers = 0;
    #callsShare = 0;
    readonly #usual = new QuantileEstimate(SHARE, START_MS);

    /**
     * Milliseconds after which an answer is overdue; undefined before enough answers have come.
     *
     * Undefined too while most answers needed calls of their own: one slow hop makes each hop above it overdue, and a
     * hedge at each would run the hops below it anew. The hop next to the slow upstream hedges.
     */
    get afterMs(): number | undefined {
        if (this.#answers < MIN_ANSWERS || this.#callsShare > MOSTLY) {
            return undefined;
        }
        return Math.max(LEAST_MS, this.#usual.value * MARGIN);
    }

    /** Takes in how long an answer took, or, for one that was overtaken, at least took, and whether it needed calls. */
    observe(elapsedMs: number, calls: boolean): void {
        this.#answers += 1;
        this.#callsShare += CALLS_WEIGHT * (Number(calls) - this.#callsShare);
        this.#usual.observe(elapsedMs);
    }
}
