/** The request limits of a service's upstreams while they are cold. */

/** The limits as operators configure them. */
export type ColdLimits = {
    /** The requests a second that a cold upstream can serve. */
    readonly perSecond: number;
    /** A cold upstream may be sent `perSecond` times this, plus `slack`, in any second. Far more make it fail. */
    readonly overage: number;
    readonly slack: number;
    /** Time for which an upstream that reports no cold time is assumed to be cold after its start, in milliseconds. */
    readonly startMs: number;
};
