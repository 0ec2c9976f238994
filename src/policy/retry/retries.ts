/** What one daemon holds of one service for attempts after the first. */
import type { Hedging } from "./hedging.js";
import type { RetryBudget } from "./retrybudget.js";

/** Retries and hedges share the budget. */
export type Retries = { readonly budget: RetryBudget; readonly hedging: Hedging; };
