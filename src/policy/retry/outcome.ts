/**
 * The outcome of an attempt that did not serve its request.
 *
 * `not-run`: the request is proven not to have run.
 * `unknown`: the request may have run.
 * `failed`: the request ran, and the upstream reported a failure.
 */
export type Outcome = "not-run" | "unknown" | "failed";
