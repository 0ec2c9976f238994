/**
 * Decides whether and when a request without a response is also sent to a second upstream (a hedge; Dean and Barroso
 * 2013).
 *
 * A request is hedged only if it may run twice, its response is received whole before the caller gets any of it, its
 * body can be sent again and its rule allows one more attempt. The hedge is sent when the response is overdue
 * (hedgedelay.ts), or somewhat sooner if other requests wait behind the response on the caller's connection, since it
 * delays these too. Its budget comes only from the share earned by requests, so that the reserve is left for failures.
 */
import type { RequestKind } from "../../config/requestkind.js";
import type { ResponseMode } from "../../config/responsemode.js";

/** The largest part by which the delay is shortened, and the number of waiting requests for which it is. */
const MAX_REDUCTION = 0.25;
const MAX_COUNTED_BEHIND = 4;

/** Describes the request and the usual response time of its service. */
type HedgeInput = {
    readonly isEnabled: boolean;
    readonly kind: RequestKind;
    readonly answer: ResponseMode;
    readonly bodyKept: boolean;
    /** The number of attempts so far, without redirects. */
    readonly attempts: number;
    /** The number of attempts that the rule allows, without redirects. */
    readonly maxAttempts: number;
    /** Milliseconds after which a response of the service is overdue; undefined while that is not known. */
    readonly afterMs: number | undefined;
    /** The number of requests that wait behind this one on the caller's connection. */
    readonly requestsBehind: number;
};

/** Returns the milliseconds after which the hedge may be sent, or undefined if the request must not be hedged. */
export function decideHedge(input: HedgeInput): number | undefined {
    const { isEnabled, kind, answer, bodyKept, attempts, maxAttempts, afterMs, requestsBehind } = input;
    const mayRunTwice = kind === "repeatable" && answer === "whole" && bodyKept;
    if (!isEnabled || !mayRunTwice || attempts >= maxAttempts || afterMs === undefined) {
        return undefined;
    }
    const reduction = MAX_REDUCTION * Math.min(requestsBehind, MAX_COUNTED_BEHIND) / MAX_COUNTED_BEHIND;
    return afterMs * (1 - reduction);
}
