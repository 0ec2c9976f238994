/** Result of a request, as its caller sees it. */

/**
 * `not-run` and `unknown` are stated by the response. `cut`: the connection broke or timed out after the request was
 * sent or within the response. `refused`: every daemon refused the connection.
 */
type Outcome = "answered" | "not-run" | "unknown" | "cut" | "refused";

/**
 * `at` is the due time and `latencyMs` the latency from the due time, both in milliseconds. `kind` is the name of the
 * `RequestSpec`, `once` means that the request may run only once, and `status` is 0 without a response.
 */
export type RequestResult = {
    readonly id: string;
    readonly kind: string;
    readonly once: boolean;
    readonly outcome: Outcome;
    readonly status: number;
    /** The status is 200, but the body does not belong to the request or is damaged. */
    readonly wrong: boolean;
    /** The body is wrong and does not begin with the id of the request. */
    readonly foreign?: boolean;
    readonly latencyMs: number;
    readonly at: number;
};
