/** What an operator sets for a service. */
import { z } from "zod";
import { ServiceName } from "../ids/servicename.js";

/** Answers up to this size are received whole before the caller gets any of them, in bytes. */
const DEFAULT_BUFFER_BYTES = 1024 * 1024;
/** Bounds what one answer holds in memory, in bytes. */
const MAX_BUFFER_BYTES = 16 * 1024 * 1024;
/** Longest wait for a slot, in milliseconds, where the service does not say. */
const DEFAULT_MAX_WAIT_MS = 1000;
/** Milliseconds; no caller that was seen waits longer. */
const MAX_WAIT_MS = 60_000;
/** Characters. */
const MAX_PATH_CHARS = 1024;
/** Of the successes, that retries may add to the load. */
const DEFAULT_RETRY_RATIO = 0.1;

/** More than any upstream serves. */
const MAX_REQUESTS_PER_SECOND = 1_000_000;
/** An hour, in milliseconds. */
const MAX_COLD_START_MS = 3_600_000;

const Service = z.strictObject({
    name: ServiceName,
    bufferBytes: z.int().min(0).max(MAX_BUFFER_BYTES).default(DEFAULT_BUFFER_BYTES),
    maxWaitMs: z.int().min(0).max(MAX_WAIT_MS).default(DEFAULT_MAX_WAIT_MS),
    healthPath: z.string().max(MAX_PATH_CHARS).startsWith("/").optional(),
    retryRatio: z.number().min(0).max(1).default(DEFAULT_RETRY_RATIO),
    coldPerSecond: z.number().positive().max(MAX_REQUESTS_PER_SECOND).optional(),
    coldStartMs: z.int().min(0).max(MAX_COLD_START_MS).optional(),
});
type Service = z.infer<typeof Service>;

/**
 * A named group of upstreams; sizes in bytes, times in milliseconds; no `healthPath` means the daemons' own. A cold upstream takes
 * `coldPerSecond` requests a second, as many as any other where that is not set; one that does not say how long it is cold is taken for
 * cold for `coldStartMs` after its start.
 */
export { Service };
