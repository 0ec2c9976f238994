/** A time in which an upstream is slow. */

/** Milliseconds since the start of the run; service times are multiplied by `factor`. */
export type Spell = { readonly from: number; readonly to: number; readonly factor: number; };
