/** What an operator allows callers. */
import { z } from "zod";

/** Bytes. */
const KIB = 1024;
/** As much as the daemon's own settings allow, in bytes. */
const MAX_HEADER_BYTES = 1024 * KIB;
/** As much as the daemon's own settings allow, in bytes. */
const MAX_BODY_BYTES = 1024 * KIB * KIB;
/** An hour: as much as the daemon's own settings allow, in milliseconds. */
const MAX_TIMEOUT_MS = 3_600_000;

const CallerLimits = z.strictObject({
    headerBytes: z.int().min(KIB).max(MAX_HEADER_BYTES).optional(),
    bodyBytes: z.int().min(0).max(MAX_BODY_BYTES).optional(),
    headersTimeoutMs: z.int().min(1).max(MAX_TIMEOUT_MS).optional(),
    keepAliveMs: z.int().min(1).max(MAX_TIMEOUT_MS).optional(),
});
type CallerLimits = z.infer<typeof CallerLimits>;

/** Bounds on what callers send, in bytes and milliseconds; one that is left out is the daemon's own. */
export { CallerLimits };
