/**
 * How much may all daemons together send to a service beyond the first arrivals of its requests?
 *
 * In any `windowMs` at the most `ratio` of the requests and `slack` besides; operators set it (docs/SETTINGS.md,
 * `policy.repeats`). What of it is one daemon's own is for ownallowance.ts to say.
 */
export type RepeatBound = { readonly ratio: number; readonly slack: number; readonly windowMs: number; };
