/** Defines the daemon's own limits on what callers send; operators may set stricter ones in the configuration. */

/** Sizes are in bytes, times in milliseconds. */
export type IngressLimits = {
    readonly headerBytes: number;
    /** Bodies up to this size are kept whole, so that they can be sent again. */
    readonly keepBytes: number;
    readonly bodyBytes: number;
    readonly headersTimeoutMs: number;
    readonly requestTimeoutMs: number;
    readonly keepAliveMs: number;
    /** How long the rest of a body is read after its request has been answered. */
    readonly discardTimeoutMs: number;
    /** Bounds the memory of the requests that were parsed and not answered, over all connections. */
    readonly requestMemoryBytes: number;
    /** The most requests of a connection that are accepted and not answered. */
    readonly requestsPerConnection: number;
};
