/** The rate limit that a response of an upstream states. */

/** `none` states no limit; `unreadable` is a value that is not a decimal number, or more than one value. */
export type StatedLimit =
    | { readonly type: "none"; }
    | { readonly type: "perSecond"; readonly perSecond: number; }
    | { readonly type: "unreadable"; readonly text: string; };
