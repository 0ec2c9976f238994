/** Retry-after, in milliseconds, of a request without memory for its body: most uploads are finished after this time. */
export const bodyMemoryRetryAfterMs = 500;
