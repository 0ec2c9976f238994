/** An even rate at which requests may be sent to an upstream. */

/** Allows `burst` requests at once, then one every `intervalMs`. */
export type Rate = { readonly burst: number; readonly intervalMs: number; };
