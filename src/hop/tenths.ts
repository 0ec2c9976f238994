/** Times as they go over the wire. */

const TENTHS = 10;

/** Milliseconds to a tenth, rounded down: a time that is told is never later than the truth. */
export function tenths(ms: number): number {
    return Math.floor(ms * TENTHS) / TENTHS;
}
