/** How many requests may be sent to an upstream, evenly in time. */

/** So many at once, and then one each so many milliseconds. */
export type Rate = { readonly burst: number; readonly everyMs: number; };
