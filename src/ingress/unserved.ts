/** The result of an attempt that did not serve the request. */
import type { GateAnswer } from "../hop/gateanswer.js";
import type { AttemptResult } from "../policy/retry/attemptresult.js";

/** An answer that says that the request failed, or none. */
export type Unserved = Exclude<AttemptResult<GateAnswer>, { readonly outcome: "served"; }>;
