/**
 * Limits the repeats that all daemons together send to a service.
 *
 * In any `windowMs`, the repeats are at most `ratio` of the service's requests plus `slack`. Operators set the bound
 * (docs/SETTINGS.md, `policy.repeats`); daemonallowance.ts gives each daemon its part of it.
 */
export type RepeatBound = { readonly ratio: number; readonly slack: number; readonly windowMs: number; };
