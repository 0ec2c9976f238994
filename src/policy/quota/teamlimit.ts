/** The limit of a team as operators set it: requests per second, and requests beyond them at once. */
export type TeamLimit = { readonly ratePerSecond: number; readonly burst: number; };
