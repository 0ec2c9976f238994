/**
 * Estimates the network round trip to a gate in milliseconds: a moving average of the response time, less the time that
 * the gate took.
 */

/** Assumed before the first response of a gate in the own region: a round trip between data halls of one region. */
const INITIAL_ROUND_TRIP_MS = 1;
/** Weight of the newest response in the moving average. */
const NEWEST_WEIGHT = 0.1;

/** What is known of the round trips to other gates at the same place. */
type Neighbours = { readonly estimateMs: () => number; readonly observe: (ms: number) => void; };

/** Holds the estimated round trip to one gate. */
export class RoundTrip {
    #ms: number | undefined;

    /** `neighbours` is undefined for a gate in the own region. */
    constructor(private readonly neighbours: Neighbours | undefined = undefined) {}

    get ms(): number {
        return this.#ms ?? this.neighbours?.estimateMs() ?? INITIAL_ROUND_TRIP_MS;
    }

    /**
     * Records a response: the time from sending the request to the response head, and the time that the gate reports it
     * took.
     */
    observe(elapsedMs: number, gateMs: number): void {
        const measuredMs = Math.max(0, elapsedMs - gateMs);
        this.neighbours?.observe(measuredMs);
        this.#ms = this.ms + NEWEST_WEIGHT * (measuredMs - this.ms);
    }
}
