/** The state of one daemon for retries and hedges to one service. */
import type { Allowance } from "./allowance.js";
import type { HedgeDelay } from "./hedgedelay.js";
import type { RetryBudget } from "./retrybudget.js";

/** Retries and hedges share `budget`; `allowance` limits it at present. */
export type Retries = { readonly budget: RetryBudget; readonly allowance: Allowance; readonly hedgeDelay: HedgeDelay; };
