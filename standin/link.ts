/** Listener of the proxy and the target to which it forwards. */

/** Maps a listening address to a target address; `place` is the number of the target's data hall. */
export type Link = { readonly listen: string; readonly target: string; readonly place: number; };
