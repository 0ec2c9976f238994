/** Control message of the instance stand-in. */

/** What a test can set. `pace` is in hundredths and scales the work time; `silent` stops the announcements. */
export type InstanceControl = {
    state: "ready" | "draining" | "left";
    workMs: number;
    pace: number;
    /** `endless-head` and `endless-body` apply to requests whose path ends with `/endless`. */
    fault:
        | "none"
        | "foreign"
        | "lost"
        | "short"
        | "unframed-reset"
        | "unframed-end"
        | "endless-head"
        | "endless-body";
    silent: boolean;
    /** Time for which the instance becomes cold, in milliseconds. */
    coldMs: number;
    /** Rate limit that responses state, in requests per second; `;` separates header values; empty for none. */
    limit: string;
    /** Whether responses state that the instance is leaving. */
    leaving: boolean;
    /** URL that each run calls before it responds, with the id of the run and a suffix; empty for none. */
    callUrl: string;
    /** Share of the requests that are refused with 503 and the field that states that they did not run. */
    shedShare: number;
    /** Share of the responses that are sent a second time, right before the next response on the connection. */
    surplusShare: number;
    /** Status of the surplus responses; 0 for that of the response before. */
    surplusStatus: number;
    /** Whether a surplus response carries the id of its request. */
    surplusHasId: boolean;
    /** Bytes of padding in the body of a successful response. */
    padBytes: number;
    /** Size of the chunks in which the body of a successful response is sent; 0 for a body with a length. */
    chunkBytes: number;
    /** Whether responses to health checks also state the limit and leaving. */
    saysOnHealth: boolean;
};
