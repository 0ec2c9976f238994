/** Why a caller's connection is closed before its requests are answered. */

/** docs/OPERATIONS.md describes each. */
export type ClosureReason = "connection-limit" | "discard-limit" | "request-memory";
