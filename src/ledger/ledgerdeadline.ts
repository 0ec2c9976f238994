/** Until when the ledger refuses nothing as late, and forgets nothing, of a request. */

/** When it was sent, as its ingress reckoned the gate's clock, and the time that it had left then; milliseconds. */
type Sent = { readonly gateTime: number; readonly remainingMs: number; };

/**
 * On the gate's clock, and by what was sent alone: the same for a request and its revocation, whenever each arrives, and also where the ingress
 * reckons a time that the gate has not come to. With the least of that and the time of arrival a tombstone was forgotten before its
 * request came (ledgermodel.test.ts).
 */
export function ledgerDeadline({ gateTime, remainingMs }: Sent): number {
    return gateTime + remainingMs;
}
