/** Defines the status of a request by the crashes at which it was in progress. */

/**
 * - `free`: the request is not suspected.
 * - `suspect`: the request may have caused crashes, and winglock itself does not retry it.
 * - `quarantined`: the request is not run.
 */
export type QuarantineStatus = "free" | "suspect" | "quarantined";
