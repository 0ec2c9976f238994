/**
 * Limits the repeats that one daemon sends to a service in any window of the repeat bound: at most `ratio` of the
 * requests that the daemon sends to it in that window, and `reserve` repeats more.
 */
export type Allowance = { readonly ratio: number; readonly reserve: number; };
