/**
 * Estimates the network round trip to a gate in milliseconds: a moving average of the response time, less the time that
 * the gate took.
 */

/** Assumed before the first response: a round trip between data halls of one region. */
const INITIAL_ROUND_TRIP_MS = 1;
/** Weight of the newest response in the moving average. */
const NEWEST_WEIGHT = 0.1;

/** Holds the estimated round trip to one gate. */
export class RoundTrip {
    #ms = INITIAL_ROUND_TRIP_MS;

    get ms(): number {
        return this.#ms;
    }

    /**
     * Records a response: the time from sending the request to the response head, and the time that the gate reports it
     * took.
     */
    observe(elapsedMs: number, gateMs: number): void {
        this.#ms += NEWEST_WEIGHT * (Math.max(0, elapsedMs - gateMs) - this.#ms);
    }
}
