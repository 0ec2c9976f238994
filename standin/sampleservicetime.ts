/** Samples how long the upstream stand-in takes for a request. */

/** Spread of service times: `none` is constant, `low` is uniform within 50 % of the mean. */
type Spread = "none" | "low";

/** Returns a service time in milliseconds; `random` is a random number from 0 up to, but not including, 1. */
export function sampleServiceTime(meanMs: number, spread: Spread, random: number): number {
    switch (spread) {
        case "none":
            return meanMs;
        case "low":
            return meanMs * (0.5 + random);
    }
}
