/** Defines a value in the store with its version. */

/** `version` increases with each write; 0 means that nothing has been written. */
export type VersionedValue = { readonly value: string; readonly version: number; };
