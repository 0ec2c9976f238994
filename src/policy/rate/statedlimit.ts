/** What an answer says of the requests a second that its upstream takes. */

/** `unreadable` is a value that is no decimal number, or more than one. */
export type StatedLimit =
    | { readonly type: "none"; }
    | { readonly type: "perSecond"; readonly perSecond: number; }
    | { readonly type: "unreadable"; readonly text: string; };
