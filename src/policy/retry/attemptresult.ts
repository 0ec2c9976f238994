/** The result of one attempt. */
import type { Reason } from "./reason.js";

/** The caller has received the response, or as much of it as it wanted. */
type Served = { readonly outcome: "served"; };

/** The upstream ran the request and reported in its response that the request failed. */
type Failed<UpstreamResponse> = {
    readonly outcome: "failed";
    readonly response: UpstreamResponse;
    readonly status: number;
    /** True when a hop nearer to the failure has already retried. */
    readonly retriedBelow: boolean;
};

/** No response of the upstream was received. */
type NoResponse = {
    readonly outcome: "not-run" | "unknown";
    readonly reason: Reason;
    /** True when the gate reports that it sent the request to the upstream. */
    readonly arrived?: boolean;
    /** Milliseconds after which a request that is refused now is likely to find a free slot at the upstream. */
    readonly retryAfterMs?: number;
    /** The name of the upstream that holds a slot for the request. */
    readonly goTo?: string;
    /** The id of the offer under which the slot is held. */
    readonly offer?: string;
    /** The revision of the configuration at the gate's daemon. */
    readonly revision?: number;
};

/** `UpstreamResponse` is the type of an upstream's response; the policy does not look into it. */
export type AttemptResult<UpstreamResponse> = Served | Failed<UpstreamResponse> | NoResponse;
