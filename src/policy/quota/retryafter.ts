/**
 * Decides when a caller whose request exceeded the quota should return.
 *
 * Tokens come free one after another, so the callers that were refused lately are spread at random over the time in
 * which tokens for all of them come free.
 */
import type { RandomSource } from "../randomsource.js";

const MS_PER_SECOND = 1000;
/** Callers are spread over this time at least. */
const MIN_SPREAD_MS = 200;
/** Bounds the spread, because a burst ends within seconds. */
const MAX_SPREAD_MS = 5000;

/** `refusedPerSecond`: the refusals of the team at all daemons; times in milliseconds. */
type RefusalInput = { readonly dueMs: number; readonly refusedPerSecond: number; readonly ratePerSecond: number; };

/** Returns the time to wait, in milliseconds. */
export function retryAfter({ dueMs, refusedPerSecond, ratePerSecond }: RefusalInput, random: RandomSource): number {
    const neededMs = refusedPerSecond * MS_PER_SECOND / ratePerSecond;
    return dueMs + random() * Math.min(MAX_SPREAD_MS, Math.max(MIN_SPREAD_MS, neededMs));
}
