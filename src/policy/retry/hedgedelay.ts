/**
 * Estimates the time in milliseconds after which a response of a service is overdue and its request is hedged.
 *
 * A response is overdue when nearly all responses of its service arrive sooner (Dean and Barroso 2013), so that under
 * steady load few requests are sent twice.
 */
import { QuantileEstimate } from "./quantileestimate.js";

/** The share of responses that arrive before the overdue time. */
const OVERDUE_QUANTILE = 0.98;
/** The estimate before the first response. */
const INITIAL_ESTIMATE_MS = 50;
/** The shortest delay: about the time of two hops. */
const MIN_DELAY_MS = 4;
/** Factor on the estimate, which a single response can change by up to a twentieth. */
const DELAY_FACTOR = 1.1;
/** Weight of the newest response in the moving share of responses that needed calls. */
const NEWEST_RESPONSE_WEIGHT = 0.1;
/** Above this share of responses that needed calls, hedging is left to the called services. */
const MAX_CALLS_SHARE = 0.5;
/** The number of responses below which there is no usable estimate. */
const MIN_RESPONSES = 30;

/** Holds the estimate of one service. */
export class HedgeDelay {
    #responses = 0;
    #callsShare = 0;
    readonly #overdueQuantile = new QuantileEstimate(OVERDUE_QUANTILE, INITIAL_ESTIMATE_MS);

    /**
     * Milliseconds after which a response is overdue; undefined until enough responses have arrived.
     *
     * Also undefined while most responses needed calls to other services: one slow hop makes the responses of all hops
     * above it overdue, and a hedge at each of them would run all hops below it again. Only the hop next to the slow
     * upstream hedges.
     */
    get afterMs(): number | undefined {
        if (this.#responses < MIN_RESPONSES || this.#callsShare > MAX_CALLS_SHARE) {
            return undefined;
        }
        return Math.max(MIN_DELAY_MS, this.#overdueQuantile.value * DELAY_FACTOR);
    }

    /**
     * Records how long a response took and whether the upstream made calls for it.
     *
     * `elapsedMs` is a lower bound for a response that was overtaken by that of a hedge.
     */
    observe(elapsedMs: number, madeCalls: boolean): void {
        this.#responses += 1;
        this.#callsShare += NEWEST_RESPONSE_WEIGHT * (Number(madeCalls) - this.#callsShare);
        this.#overdueQuantile.observe(elapsedMs);
    }
}
