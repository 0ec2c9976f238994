/** The word for the result of an attempt, in logs and in the metric of retries. */
import type { AttemptResult } from "./attemptresult.js";

/** The reason, or the status of an answer that says that the request failed; empty for a request that was served. */
export function reasonWord(result: AttemptResult<unknown>): string {
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
