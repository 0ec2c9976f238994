/**
 * Should a request whose turn it is wait until its upstream works faster again?
 *
 * Upstreams share their machines with others and work several times slower for a moment. Work that begins then keeps its slot for as
 * many times as long: it is late itself, and what waits behind it too. It waits when it would lose less by that than by beginning:
 * long work does, short work doesn't.
 */

/** Work takes `workMs` at the usual pace and `slowdown` times that if it begins now; the slow spell lasts `spellMs` more. */
type WaitInput = { readonly workMs: number; readonly slowdown: number; readonly spellMs: number; };

/** Times in milliseconds. */
export function isWorthWaiting({ workMs, slowdown, spellMs }: WaitInput): boolean {
    return (slowdown - 1) * workMs > spellMs;
}
