/** One request of the bench. */

/** Times in milliseconds since the start; `serviceMs` is what it takes on an upstream at its usual speed. */
export type Arrival = {
    readonly at: number;
    readonly serviceMs: number;
    readonly type: "normal" | "urgent" | "once";
};
