/** Defines the limits that an operator can set on requests and connections of callers. */
import { z } from "zod";

const KIB = 1024;
/** Equals the largest value that the daemon's settings allow. */
const MAX_HEADER_BYTES = 1024 * KIB;
/** Equals the largest value that the daemon's settings allow. */
const MAX_BODY_BYTES = 1024 * KIB * KIB;
/** An hour in milliseconds; equals the largest value that the daemon's settings allow. */
const MAX_TIMEOUT_MS = 3_600_000;

const CallerLimits = z.strictObject({
    headerBytes: z.int().min(KIB).max(MAX_HEADER_BYTES).optional(),
    bodyBytes: z.int().min(0).max(MAX_BODY_BYTES).optional(),
    headersTimeoutMs: z.int().min(1).max(MAX_TIMEOUT_MS).optional(),
    keepAliveMs: z.int().min(1).max(MAX_TIMEOUT_MS).optional(),
});
type CallerLimits = z.infer<typeof CallerLimits>;

/** A limit that is omitted is taken from the daemon's settings. Sizes are bytes, times are milliseconds. */
export { CallerLimits };
