/** Defines the limits of callers' bodies. */

/** In bytes: bodies up to `keepBytes` are kept, so that they can be sent again; those above `maxBytes` are refused. */
export type BodyLimits = { readonly keepBytes: number; readonly maxBytes: number; };
