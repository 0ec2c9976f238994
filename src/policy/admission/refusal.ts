/** Why a gate refuses. */

/** The reason, and when to come back, in milliseconds. */
export type Refusal = {
    readonly reason: "queue-full" | "wait-too-long" | "busy" | "cold" | "limited" | "deadline";
    readonly retryAfterMs: number;
};
