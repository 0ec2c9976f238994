/** Until when the ledger refuses nothing as late, and forgets nothing, of a request. */

/** When it was sent, as its ingress reckoned the gate's clock, and the time that it had left then; milliseconds. */
type Sent = { readonly gateTime: number; readonly remainingMs: number; };

/** On the gate's clock, which shows `now`. */
export function ledgerDeadline({ gateTime, remainingMs }: Sent, now: number): number {
    return Math.min(now, gateTime) + remainingMs;
}
