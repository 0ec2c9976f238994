/**
 * The outcome that the caller was given. `left`: the caller left before its response was complete. `cut`: the daemon
 * closed the connection before that.
 */
export type RequestOutcome = "served" | "not-run" | "unknown" | "left" | "cut";
