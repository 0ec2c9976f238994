/** How many requests a gate lets its upstream serve at once. */

/** A policy of limiting; observes each answer. */
export abstract class SlotLimit {
    /** The most that may run now. */
    abstract current(): number;
    /**
     * Records that the upstream has finished a request while `running` ran, itself among them; the time it took is
     * relative to what is usual for such requests.
     */
    abstract observe(running: number, relativeTime: number): void;
}
