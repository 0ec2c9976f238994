/** Control message of the upstream stand-in. */

/**
 * What is wrong with a response: `cut` closes the connection in the middle of the body, `doubled` sends the response
 * twice, `short` and `long` send fewer or more bytes than the content-length states, `foreign` has the id of another
 * request, and `late` is delayed.
 */
type ResponseFault = "none" | "cut" | "doubled" | "short" | "long" | "foreign" | "late";

/**
 * What a test can set. `slowdown` multiplies service times, `failing` is the share of requests that fail with 500, and
 * `shed` refuses requests with (`said`) or without (`unsaid`) the header that says that nothing ran.
 */
export type UpstreamControl = {
    slowdown: number;
    meanMs: number;
    spread: "none" | "low";
    failing: number;
    shed: "no" | "said" | "unsaid";
    /** Share of the requests that `shed` refuses. */
    shedShare: number;
    leaving: boolean;
    /** Rate limit that responses state, in requests per second; 0 for none. */
    limitPerSecond: number;
    answerFault: ResponseFault;
    /** Share of the responses that get the fault. */
    faultShare: number;
    /** Share of the refusals that are sent a second time, right before the next response on the connection. */
    surplusShare: number;
    /** Mean pause between slow periods, in milliseconds; 0 for none. */
    noiseEveryMs: number;
    /** Ingress of the local daemon and path that `/chain` calls, as IP:PORT/PATH; empty for none. */
    next: string;
};
