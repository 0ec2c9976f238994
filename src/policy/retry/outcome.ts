/** What is known of an attempt of a request. */

/** `not-run` is proven; `unknown` may have run; `failed` ran and the upstream says that it went wrong. */
export type Outcome = "not-run" | "unknown" | "failed";
