/** Defines the states of a `once` request at its gate. */

/** `queued`: has not run; `running`: is at the upstream; `done`: has run; `revoked`: has not run and never will. */
export type EntryState = "queued" | "running" | "done" | "revoked";
