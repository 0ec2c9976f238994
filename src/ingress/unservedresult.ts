/** The result of an attempt that did not serve the request. */
import type { GateResponse } from "../hop/gateresponse.js";
import type { AttemptResult } from "../policy/retry/attemptresult.js";

/** An upstream's error response, or no response. */
export type UnservedResult = Exclude<AttemptResult<GateResponse>, { readonly outcome: "served"; }>;
