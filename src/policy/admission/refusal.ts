/** Defines why a gate refuses a request. */

/** The reason, and in how many milliseconds the caller should retry. */
export type Refusal = {
    readonly reason: "queue-full" | "wait-too-long" | "busy" | "cold" | "limited" | "deadline";
    readonly retryAfterMs: number;
};
