/** How many requests a gate lets its upstream serve at once. */

/** A policy of limiting; is told of each answer. */
export abstract class SlotLimit {
    /** The most that may run now. */
    abstract current(): number;
    /** Takes in that the upstream has finished a request. */
    abstract observe(): void;
}
