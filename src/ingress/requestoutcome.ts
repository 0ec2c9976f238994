/** The outcome that the caller was given; `left`: the caller left before its response was complete. */
export type RequestOutcome = "served" | "not-run" | "unknown" | "left";
