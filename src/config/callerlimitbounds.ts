/** Bounds of the limits on requests and connections of callers; the upper ones equal those of the daemon's settings. */

const KIB = 1024;
/** An hour in milliseconds. */
const MAX_TIMEOUT_MS = 3_600_000;

export const callerLimitBounds = {
    headerBytes: { min: KIB, max: 1024 * KIB },
    bodyBytes: { min: 0, max: 1024 * KIB * KIB },
    headersTimeoutMs: { min: 1, max: MAX_TIMEOUT_MS },
    keepAliveMs: { min: 1, max: MAX_TIMEOUT_MS },
} as const;
