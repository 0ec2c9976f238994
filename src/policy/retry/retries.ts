/** What one daemon holds of one service for attempts after the first. */
import type { Allowance } from "./allowance.js";
import type { Hedging } from "./hedging.js";
import type { RetryBudget } from "./retrybudget.js";

/** Retries and hedges share the budget; `allowance` is what it may come to now. */
export type Retries = { readonly budget: RetryBudget; readonly allowance: Allowance; readonly hedging: Hedging; };
