/**
 * Retry-after, in milliseconds, of a request for which no upstream could be chosen because no configuration is known
 * yet or no upstream of the service takes requests. A daemon reads its configuration and discovers its upstreams within
 * about this time after a start.
 */
export const unplacedRetryAfterMs = 250;
