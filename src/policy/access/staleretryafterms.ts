/**
 * Retry-after, in milliseconds, of a request that is refused because the configuration was not confirmed for too long.
 * Confirmations resume within about this time after the connection to the watchers or the store is restored.
 */
export const staleRetryAfterMs = 1000;
