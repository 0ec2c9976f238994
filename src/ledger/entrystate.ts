/** How far a not-repeatable request has come at its gate. */

/** `queued` has not run; `running` is at the upstream; `done` ran; `revoked` never ran and never will. */
export type EntryState = "queued" | "running" | "done" | "revoked";
