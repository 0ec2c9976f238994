/** Decides how many requests a gate lets its upstream serve at a time. */

/** A concurrency limit policy, which observes each response. */
export abstract class SlotLimit {
    /** The share of the slots above which the upstream was found to slow down, or undefined if none is known. */
    get learnedShare(): number | undefined {
        return undefined;
    }

    /** Returns the maximum number of requests that may run now. */
    abstract current(): number;
    /**
     * Records that the upstream has finished a request. `times` holds the time that its work took at each concurrency
     * level (the index), relative to what is usual for such requests.
     */
    abstract observe(times: Float64Array): void;
}
