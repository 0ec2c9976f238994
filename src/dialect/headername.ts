/** Lists the names of winglock's own header fields. */

/** All start with `winglock-`, so that one check of the prefix strips them from callers' requests. */
export const headerName = {
    /** Carries the key that daemons share, on every call between them; callers' keys come on another listener. */
    key: "winglock-key",
    /** Carries `not-run` or `unknown`: sent to callers on problems, and by upstreams that shed load. */
    outcome: "winglock-outcome",
    /** Links a call to its request: sent to upstreams, and returned by them on calls through their own daemon. */
    context: "winglock-context",
    /** Informs an upstream of the milliseconds left until the request's deadline. */
    timeout: "winglock-timeout-ms",
    /** Carries the request's id to the upstream; if the response returns an id, it must be this one. */
    requestId: "winglock-request-id",
    /** Names the upstream that a request is for. */
    upstream: "winglock-upstream",
    /** Names the service on the host that a request to an upstream comes from. */
    caller: "winglock-caller",
    /** Carries the key of a caller's team. */
    callerKey: "winglock-key",
    /** Names the team of the caller to an upstream. */
    team: "winglock-team",
    /** Carries an upstream's running requests, queued requests, slots and pace in hundredths, separated by commas. */
    load: "winglock-load",
    /** States on health endpoints for how many more milliseconds the upstream is cold. */
    cold: "winglock-cold-ms",
    /** States the requests per second that an upstream with a rate limit accepts, as a decimal number. */
    limit: "winglock-limit",
    /** Present in responses of an upstream that is about to stop. */
    leaving: "winglock-leaving",
} as const;
