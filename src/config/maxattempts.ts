/** Limits the attempts of a request; further attempts would only add load. */
export const maxAttempts = 16;
