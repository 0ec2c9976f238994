/** How many requests a gate lets its upstream serve at once. */

/** A policy of limiting; observes each answer. */
export abstract class SlotLimit {
    /** Of the slots, above which the upstream was found to slow down; undefined while none is known. */
    get learnedShare(): number | undefined {
        return undefined;
    }

    /** The most that may run now. */
    abstract current(): number;
    /**
     * Records that the upstream has finished a request; the time that its work took while so many ran at once (the index) is
     * relative to what is usual for such requests.
     */
    abstract observe(times: Float64Array): void;
}
