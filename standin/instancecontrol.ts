/** Control message of the instance stand-in. */

/** What a test can set. `pace` is in hundredths and scales the work time; `silent` stops the announcements. */
export type InstanceControl = {
    state: "ready" | "draining" | "left";
    workMs: number;
    pace: number;
    fault: "none" | "foreign" | "lost" | "short" | "unframed-reset" | "unframed-end";
    silent: boolean;
    /** Time for which the instance becomes cold, in milliseconds. */
    coldMs: number;
    /** Rate limit that responses state, in requests per second; `;` separates header values; empty for none. */
    limit: string;
    /** Whether responses state that the instance is leaving. */
    leaving: boolean;
    /** URL that each run calls before it responds, with the id of the run and a suffix; empty for none. */
    callUrl: string;
    /** Whether responses to health checks also state the limit and leaving. */
    saysOnHealth: boolean;
};
