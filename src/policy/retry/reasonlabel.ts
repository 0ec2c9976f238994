/** Names the result of an attempt for log lines and for the metric of retries. */
import type { AttemptResult } from "./attemptresult.js";

/**
 * Returns the reason, `status-` and the status of a response that reports a failure, or an empty text if the request
 * was served.
 */
export function reasonLabel(result: AttemptResult<unknown>): string {
    switch (result.outcome) {
        case "served":
            return "";
        case "failed":
            return `status-${result.status}`;
        case "not-run":
        case "unknown":
            return result.reason;
    }
}
