/** What becomes of a request in a model. */

/** How an attempt or a request ends. */
export type ModelResult =
    | { readonly outcome: "served"; }
    | { readonly outcome: "failed"; }
    | {
        readonly outcome: "refused";
        readonly reason: "busy" | "cold" | "limited" | "slow" | "wait-too-long" | "queue-full" | "deadline";
        readonly retryAfterMs: number;
    };
