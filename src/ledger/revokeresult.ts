/** What the ledger says when asked to take a request back. */

/** `revoked`: proven not run, now and later; `running`, `done`: it did; `unknown`: nothing can be proven. */
export type RevokeResult = "revoked" | "running" | "done" | "unknown";
