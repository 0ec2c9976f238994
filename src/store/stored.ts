/** A value in the store. */

/** `version` grows with each write; 0 means that nothing has been written. */
export type Stored = { readonly value: string; readonly version: number; };
