/** Interval of the timer that all tickers share, in milliseconds; their intervals are multiples of it. */
export const tickMs = 50;
