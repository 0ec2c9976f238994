/** Lists the names of winglock's own header fields. */

/** All start with `winglock-`, so that one check of the prefix strips them from callers' requests. */
export const headerName = {
    /** On every call between daemons: the key that they share. */
    key: "winglock-key",
    /** To callers on problems, and from upstreams that shed load: `not-run` or `unknown`. */
    outcome: "winglock-outcome",
    /** To upstreams, and back from them on calls through their own daemon: links a call to its request. */
    context: "winglock-context",
    /** To upstreams: the milliseconds left until the request's deadline. */
    timeout: "winglock-timeout-ms",
    /** To upstreams: the request's id; if a response returns an id, it must be this one. */
    requestId: "winglock-request-id",
    /** To upstreams: the name of the upstream that the request is for. */
    upstream: "winglock-upstream",
    /** To upstreams: the service on the host that the request comes from. */
    caller: "winglock-caller",
    /** From upstreams: running requests, queued requests, slots and pace in hundredths, separated by commas. */
    load: "winglock-load",
    /** From upstreams, on their health endpoints: for how many more milliseconds they are cold. */
    cold: "winglock-cold-ms",
    /** From upstreams that limit their rate: the requests per second that they accept, a decimal number. */
    limit: "winglock-limit",
    /** From upstreams: present if they are about to stop. */
    leaving: "winglock-leaving",
} as const;
