/**
 * Limits the requests of a team over all daemons: in any window, at most (rate * window + burst) * (1 + overage) +
 * slack of them run. Operators set the bound (docs/SETTINGS.md, `policy.quota`); quotalimit.ts divides it.
 */

/** `windowS`: the window in seconds; `overage`: a fraction; `slack`: a number of requests. */
export type QuotaBound = { readonly windowS: number; readonly overage: number; readonly slack: number; };
