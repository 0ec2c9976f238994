/** When a repeatable request that is still unanswered is also sent elsewhere (Dean and Barroso 2013). */
import { QuantileEstimate } from "./quantileestimate.js";

/** Later than nearly all answers come, so that few requests are sent twice in steady load. */
const SHARE = 0.98;
const START_MS = 50;
const LEAST_MS = 4;
const MARGIN = 1.1;

/** Learns from a service's answers how long is unusual. */
export class Hedging {
    readonly #usual = new QuantileEstimate(SHARE, START_MS);

    /** Milliseconds after which an answer is overdue. */
    get afterMs(): number {
        return Math.max(LEAST_MS, this.#usual.value * MARGIN);
    }

    /** Takes in how long an answer took, or, for one that was overtaken, at least took. */
    observe(elapsedMs: number): void {
        this.#usual.observe(elapsedMs);
    }
}
