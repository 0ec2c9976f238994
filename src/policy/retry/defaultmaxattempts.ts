/** The maximum number of attempts of a request whose rule sets none, not counting redirects. */
export const defaultMaxAttempts = 3;
