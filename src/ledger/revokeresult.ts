/** The ledger's result for a request that is to be revoked. */

/** `revoked`: proven not run, now and later; `running`, `done`: it did; `unknown`: nothing can be proven. */
export type RevokeResult = "revoked" | "running" | "done" | "unknown";
