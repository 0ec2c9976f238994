/** How long a stand-in takes. */

/** Spread: `none` is constant, `low` within a half either way. */
type Spread = "none" | "low";

/** Draws a service time in milliseconds; `random` is from 0 up to 1. */
export function sampleServiceTime(meanMs: number, spread: Spread, random: number): number {
    switch (spread) {
        case "none":
            return meanMs;
        case "low":
            return meanMs * (0.5 + random);
    }
}
