/** Describes a request to the placement policies. */

/** `bodyBytes` is the length of the request's body, 0 if it has none or its length is unknown. */
export type PlacedRequest = { readonly bodyBytes: number; };
