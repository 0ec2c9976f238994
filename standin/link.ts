/** One way through the proxy. */

/** From a listening address to a target; `place` is the data hall of the target. */
export type Link = { readonly listen: string; readonly target: string; readonly place: number; };
