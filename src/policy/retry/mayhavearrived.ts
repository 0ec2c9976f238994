/**
 * Decides whether an attempt that did not serve its request may have reached the upstream, which makes the next one a
 * repeat.
 */
import type { AttemptResult } from "./attemptresult.js";

/** Returns false only for a proven `not-run`, unless the gate reports that the upstream itself refused the request. */
export function mayHaveArrived(result: Exclude<AttemptResult<unknown>, { readonly outcome: "served"; }>): boolean {
    return result.outcome !== "not-run" || result.arrived === true;
}
