/**
 * The result of a request for a token. `over-quota`: the team has used up its limit. `no-counter`: the daemon can reach
 * no counter that could tell, and its own share is too small for a request. `retryAfterMs` is in milliseconds.
 */
export type QuotaResult =
    | { readonly type: "token"; }
    | { readonly type: "refused"; readonly reason: "over-quota" | "no-counter"; readonly retryAfterMs: number; };
