/** What the caller was told; `left` means that it did not wait. */
export type Ending = "served" | "not-run" | "unknown" | "left";
