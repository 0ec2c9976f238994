/** The maximum number of free redirects of a request; each one costs a round trip between hosts. */
export const maxRedirects = 2;
