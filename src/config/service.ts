/** Defines the settings of a service. */
import { z } from "zod";
import { ServiceName } from "../ids/servicename.js";
import { maxColdStartMs } from "./maxcoldstartms.js";
import { maxRequestsPerSecond } from "./maxrequestspersecond.js";

/** Responses up to this size are received in full before any part is sent to the caller. */
const DEFAULT_BUFFER_BYTES = 1024 * 1024;
/** Limits the memory that one response uses. */
const MAX_BUFFER_BYTES = 16 * 1024 * 1024;
/** Bounds how long a request is queued for a slot, unless the service sets `maxWaitMs`. */
const DEFAULT_MAX_WAIT_MS = 1000;
/** Exceeds the longest wait of any known caller. */
const MAX_WAIT_MS = 60_000;
const MAX_PATH_CHARS = 1024;
/** Retries that are allowed for each successful request. */
const DEFAULT_RETRY_RATIO = 0.1;

const Service = z.strictObject({
    name: ServiceName,
    bufferBytes: z.int().min(0).max(MAX_BUFFER_BYTES).default(DEFAULT_BUFFER_BYTES),
    maxWaitMs: z.int().min(0).max(MAX_WAIT_MS).default(DEFAULT_MAX_WAIT_MS),
    healthPath: z.string().max(MAX_PATH_CHARS).startsWith("/").optional(),
    retryRatio: z.number().min(0).max(1).default(DEFAULT_RETRY_RATIO),
    coldPerSecond: z.number().positive().max(maxRequestsPerSecond).optional(),
    coldStartMs: z.int().min(0).max(maxColdStartMs).optional(),
});
type Service = z.infer<typeof Service>;

/**
 * A service is a named group of upstreams that serve the same requests. Sizes are bytes, times are milliseconds.
 *
 * - `healthPath`: the path of the upstreams' health endpoints; the daemon's setting if omitted.
 * - `coldPerSecond`: the requests per second that a cold upstream is sent; as many as other upstreams if omitted.
 * - `coldStartMs`: for how long an upstream counts as cold after its start if it does not state a time.
 */
export { Service };
