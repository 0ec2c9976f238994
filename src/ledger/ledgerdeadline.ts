/** Determines until when the ledger admits a request and keeps its entry. */

/**
 * Time at which the request was sent, on the gate's clock as the ingress estimates it, and the time that it had left
 * then, in milliseconds.
 */
type SentTime = { readonly gateTime: number; readonly remainingMs: number; };

/**
 * Returns the deadline on the gate's clock, in milliseconds. It depends only on what was sent. So it is the same for a
 * request and its revocation, whenever each of them arrives, even if the ingress estimates a time that the gate's clock
 * has not reached. A deadline counted from the arrival, where that is earlier, let the ledger evict a tombstone before
 * its request arrived (ledgermodel.test.ts).
 */
export function ledgerDeadline({ gateTime, remainingMs }: SentTime): number {
    return gateTime + remainingMs;
}
