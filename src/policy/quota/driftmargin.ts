/** The largest difference in speed of two clocks, as a fraction; quartz clocks differ by 0.0001 at most. */
export const driftMargin = 0.001;
