/** Defines how much of a body is read after its request has been answered. */

/** `maxBytes` counts the bytes received, with the framing of chunks; `timeoutMs` is in milliseconds. */
export type DiscardLimits = { readonly maxBytes: number; readonly timeoutMs: number; };
