/** The names of the concurrency limit policies in the settings. */

/**
 * `fixed` allows all slots; `ramp` opens them one by one; `learned` also keeps the last ones free where that raises the
 * throughput.
 */
export type LimitName = "fixed" | "ramp" | "learned";
