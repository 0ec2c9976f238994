/** The ledger's result for a request that arrives. */

/** Only `admitted` may go on; with every other result the request has not run by this arrival. */
export type AdmitResult = "admitted" | "duplicate" | "revoked" | "expired" | "full";
