/** Defines the ledger's result for a request that arrives. */

/** Only an `admitted` request may go on. Any other result proves that this arrival has not run the request. */
export type AdmitResult = "admitted" | "duplicate" | "revoked" | "expired" | "full";
