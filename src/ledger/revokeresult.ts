/** Defines the ledger's result for the revocation of a request. */

/**
 * `revoked`: proven not to have run, and never will; `running`: runs now; `done`: has run; `unknown`: nothing is
 * proven.
 */
export type RevokeResult = "revoked" | "running" | "done" | "unknown";
