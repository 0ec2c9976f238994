/** Defines what a caller's connection is doing. */

/**
 * - `silent`: no request was received yet.
 * - `idle`: all requests are answered.
 * - `unfinished`: a request has begun, and its body is incomplete.
 * - `unread`: a response is written, and its caller does not read it.
 * - `busy`: a request is being served.
 */
export type ConnectionState = "silent" | "idle" | "unfinished" | "unread" | "busy";
