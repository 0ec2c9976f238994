/** Can an attempt that did not serve its request have reached the upstream? Then another one is an arrival more. */
import type { AttemptResult } from "./attemptresult.js";

/** A proven `not-run` has not arrived unless its gate says that the upstream itself turned it away. */
export function mayHaveArrived(result: Exclude<AttemptResult<unknown>, { readonly outcome: "served"; }>): boolean {
    return result.outcome !== "not-run" || result.arrived === true;
}
