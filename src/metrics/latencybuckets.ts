/** Upper bounds of the buckets of histograms of durations, in seconds. */
export const latencyBucketsS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];
