/** Defines how many crashes quarantine a request, how long crashes count, and how many of them are kept. */
export const crashLimits = {
    /**
     * Number of uncleared crashes from which a request is quarantined, so that it no longer runs. A harmless request is
     * in progress at one crash now and then, but at three without being served successfully in between only if
     * upstreams crash repeatedly for another reason. The users' operators allow three crashes.
     */
    quarantineThreshold: 3,
    /**
     * Number of uncleared crashes from which winglock itself does not retry a request; the next would be one too many.
     */
    suspectThreshold: 2,
    /**
     * Time for which a request stays quarantined after its last crash. It may run again afterwards, because a release may
     * have fixed the upstreams; one more crash quarantines it again. The time is longer than callers keep retrying, and
     * shorter than the wait for a release.
     */
    quarantineMs: 600_000,
    /** Time for which a request is kept after its last crash: several times as long as a quarantine. */
    retentionMs: 3_600_000,
    /**
     * Maximum number of requests that are kept, enough for those in progress at twenty crashes. Requests with the
     * fewest crashes are evicted first, and of these the ones with the oldest crash.
     */
    maxRequests: 256,
    /** Maximum number of crashes that are kept for a request: five times as many as quarantine it. */
    maxCrashesPerRequest: 16,
} as const;
