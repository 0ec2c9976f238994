/** Describes the result of an attempt or a request in a simulation. */

/** A refusal states the reason, and when the caller should retry. */
export type ModelResult =
    | { readonly outcome: "served"; }
    | { readonly outcome: "failed"; }
    | {
        readonly outcome: "refused";
        readonly reason: "busy" | "cold" | "limited" | "slow" | "wait-too-long" | "queue-full" | "deadline";
        readonly retryAfterMs: number;
    };
