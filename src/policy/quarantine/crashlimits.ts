/** How many ends of upstreams are enough, how long they count, and how much is kept of them. */
export const crashLimits = {
    /**
     * A request under which so many upstreams have ended is refused. A request that is proper is under way at one end in a hundred days;
     * at three, with no good end between, where the upstreams end for another reason over and over. Operators allow three.
     */
    refuseAt: 3,
    /** From so many on it is not sent again by winglock itself: the next end would be the one too many. */
    suspectAt: 2,
    /**
     * Refused for so long after the last end, in milliseconds; then it is tried again, since the upstreams may have been mended, and the
     * next end refuses it for as long again. Chosen: longer than callers go on asking, shorter than a release is awaited.
     */
    holdMs: 600_000,
    /** An end is remembered for so long, in milliseconds: several holds. */
    keepMs: 3_600_000,
    /** Requests that are kept at the most: what is under way at twenty ends. Those with the fewest ends go first, of these the oldest. */
    maxRequests: 256,
    /** Ends that are kept of one request at the most: five times as many as are enough. */
    maxCrashes: 16,
} as const;
