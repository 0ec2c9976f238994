/** The header fields that are winglock's own. */

/** All start with `winglock-`, so that one test strips them from what callers send. */
export const headerName = {
    /** On every peer call: the key that daemons share. */
    key: "winglock-key",
    /** To callers on refusals, and from upstreams that shed: `not-run` or `unknown`. */
    outcome: "winglock-outcome",
    /** To upstreams, and back from them on calls that they make to their own daemon. */
    context: "winglock-context",
    /** To upstreams: milliseconds that are left for the request. */
    timeout: "winglock-timeout-ms",
    /** To upstreams: the request's id; an upstream that echoes it has its answers checked. */
    requestId: "winglock-request-id",
    /** To upstreams: the name of the upstream that is meant. */
    upstream: "winglock-upstream",
    /** To upstreams: the service from whose host the request comes. */
    caller: "winglock-caller",
    /** From upstreams: running, waiting, slots and pace in hundredths, joined by commas. */
    load: "winglock-load",
    /** From upstreams, on their health endpoints: for how many milliseconds more they are cold. */
    cold: "winglock-cold-ms",
    /** From upstreams in need: how many requests a second they take, a decimal number. */
    limit: "winglock-limit",
    /** From upstreams: present when they are about to stop. */
    leaving: "winglock-leaving",
} as const;
